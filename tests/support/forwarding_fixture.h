#ifndef BURDOCKRING_TESTS_SUPPORT_FORWARDING_FIXTURE_H
#define BURDOCKRING_TESTS_SUPPORT_FORWARDING_FIXTURE_H

#include "process/forwarding/event_log.h"
#include "process/forwarding/forwarding_node.h"
#include "process/placement/dispatcher.h"

#include <gmock/gmock.h>
#include <string>

namespace burdockring {

/// Mock that receives structured log lines.
class MockEventLog : public EventLog
{
public:
  MOCK_METHOD(void,
              Write,
              (std::string_view aEvent,
               std::initializer_list<LogField> aFields),
              (override));
};

/// Makes a target, by default in zone "near".
inline auto MakeTarget(const std::string& aName,
                       const std::string& aService,
                       int aSlots,
                       const std::string& aZone = "near") -> RegisteredTarget
{
  RegisteredTarget target;
  target.id_ = MakeId<TargetId>(aName);
  target.instance_ = aName;
  target.service_ = MakeId<ServiceId>(aService);
  target.zone_ = MakeId<ZoneId>(aZone);
  target.host_ = "10.0.0.1";
  target.port_ = 80;
  target.slots_ = aSlots;
  return target;
}

inline auto MakeRoute(const std::string& aName, RouteKind aKind) -> RouteObject
{
  RouteObject route;
  route.name_ = aName;
  route.host_ = "h";
  route.prefix_ = "/" + aName + "/";
  route.kind_ = aKind;
  route.timeout_ = 15s;
  route.latencyObjective_ = 300ms;
  route.maxAttempts_ = 2;
  route.shares_ = { { MakeId<ServiceId>("pool"), 1 } };
  return route;
}

/// Makes a table with routes "read" (safe), "write" (unsafe, no key needed) and
/// "talk" (a resumable stream), accounts "a" with key "key-a" and "b" with
/// "key-b", and one service "pool", whose engines by default copy the KV cache
/// of a token in 7 us. Streams may have a limit of the gap between two events.
inline auto MakeTable(std::int64_t aVersion,
                      bool aEngines = true,
                      double aTokensPerSecond = 0,
                      double aCopyMsPerToken = 0.007,
                      Duration aMaxEventGap = 0us) -> RouteTablePointer
{
  RoutedService service;
  service.name_ = "pool";
  service.id_ = MakeId<ServiceId>("pool");
  service.maxConnections_ = 100;
  service.isEngine_ = aEngines;
  service.memoryTokens_ = aEngines ? 600'000 : 0;
  service.copyMsPerToken_ = aEngines ? aCopyMsPerToken : 0;
  auto stream = MakeRoute("talk", RouteKind::kStream);
  stream.resumable_ = true;
  stream.maxEventGap_ = aMaxEventGap;
  auto write = MakeRoute("write", RouteKind::kUnsafe);
  write.public_ = true;
  return RouteTableBuilder(aVersion)
    .AddRoute(MakeRoute("read", RouteKind::kSafe))
    .AddRoute(write)
    .AddRoute(stream)
    .AddService(service)
    .AddAccount("a", { "key-a" })
    .AddAccount("b", { "key-b" })
    .SetTokensPerSecond(aTokensPerSecond)
    .Build();
}

} // namespace burdockring

#endif
