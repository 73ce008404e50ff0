#ifndef BURDOCKRING_MEASURE_SIM_FLEET_H
#define BURDOCKRING_MEASURE_SIM_FLEET_H

#include "measure/event_queue.h"
#include "measure/fleet_layout.h"
#include "measure/sim_log.h"
#include "measure/sim_request.h"
#include "measure/sim_target.h"
#include "process/node/router_node.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace burdockring {

/// What a message between routers is for.
enum class TrafficKind
{
  kHeartbeat,
  kDemand,
  kGrants,
  kExchange,
  kConfig,
};

inline constexpr std::size_t kTrafficKinds = 5;

/// Bytes and messages between routers, encoded and framed.
struct ControlTraffic
{
  std::int64_t bytes_ = 0;
  std::int64_t messages_ = 0;
  std::array<std::int64_t, kTrafficKinds> bytesByKind_{};
};

/// Where a request was when its capacity was shared out.
class SharingModel
{
public:
  SharingModel() = default;
  virtual ~SharingModel() = default;
  SharingModel(const SharingModel&) = delete;
  auto operator=(const SharingModel&) -> SharingModel& = delete;

  virtual auto Start() -> void = 0;
  virtual auto Submit(const SimRequest& aRequest) -> void = 0;
  /// Slots in use by running work, and slots that could be.
  [[nodiscard]] virtual auto BusySlots() const -> int = 0;
  [[nodiscard]] virtual auto TotalSlots() const -> int = 0;
  /// Routers that callers can reach.
  [[nodiscard]] virtual auto IsUp(int aRouter) const -> bool = 0;
};

/// The real decisions of many routers on virtual time, with the real encoding
/// of their messages. The network between them delays, loses, and cuts zones;
/// routers die, restart empty and freeze; the log and the targets are fakes.
class SimFleet : public SharingModel
{
  /// Where a request's attempt runs.
  struct AttemptPlace
  {
    int target_ = 0;
    int attempt_ = 0;
  };

  struct Router
  {
    std::unique_ptr<RouterNode> node_;
    std::int64_t epoch_ = 0;
    Instant frozenUntil_{};
    LogOffset nextRead_ = 0;
    ControlTraffic sent_;
    std::map<RequestId, SimRequest> requests_;
    std::map<RequestId, AttemptPlace> places_;
    double handleSeconds_ = 0;
  };

  EventQueue* queue_;
  FleetLayout layout_;
  NodeOptions options_;
  RequestObserver* observer_;
  SimLog log_;
  std::vector<Router> routers_;
  std::vector<std::unique_ptr<SimTarget>> targets_;
  std::map<RouterId, int> indexByRouter_;
  std::map<TargetId, int> indexByTarget_;
  std::set<int> cutZones_;
  std::set<std::pair<int, int>> cutLinks_;
  std::vector<TargetId> leavingTargets_;
  WallTime wallStart_{ 1'700'000'000'000 };
  bool platformCut_ = false;
  std::int64_t nextIncarnation_ = 1;
  std::map<std::string, int> runsByKey_;

  auto Boot(int aRouter) -> void;
  auto Tick(int aRouter, std::int64_t aEpoch) -> void;
  auto PollLog(int aRouter, std::int64_t aEpoch) -> void;
  auto PollVmList(int aRouter, std::int64_t aEpoch) -> void;
  auto Deliver(int aRouter, std::int64_t aEpoch, NodeEvent aEvent) -> void;
  auto Apply(int aRouter, NodeEffects aEffects) -> void;
  auto Send(int aFrom, const SendToPeer& aEffect) -> void;
  auto BeginAttempt(int aRouter, const StartAttempt& aEffect) -> void;
  auto EndRequest(int aRouter, const RespondToCaller& aEffect) -> void;
  auto Append(int aRouter, const AppendToLog& aEffect) -> void;
  auto FailAttempts(int aTarget) -> void;
  auto ConnectTarget(int aTarget) -> void;
  [[nodiscard]] auto AreCut(int aZone, int aOtherZone) const -> bool;
  [[nodiscard]] auto Delay(int aZone, int aOtherZone) const -> Duration;
  [[nodiscard]] auto Time() const -> NodeTime;

public:
  SimFleet(EventQueue* aQueue,
           FleetLayout aLayout,
           const NodeOptions& aOptions,
           RequestObserver* aObserver);

  /// Publishes the layout's configuration and boots every router.
  auto Start() -> void override;
  auto Submit(const SimRequest& aRequest) -> void override;
  /// The caller closes its connection.
  auto LeaveCaller(const SimRequest& aRequest) -> void;
  [[nodiscard]] auto BusySlots() const -> int override;
  [[nodiscard]] auto TotalSlots() const -> int override;
  [[nodiscard]] auto IsUp(int aRouter) const -> bool override;

  /// Faults.
  auto Kill(int aRouter) -> void;
  auto Restart(int aRouter) -> void;
  auto Freeze(int aRouter, Duration aLength) -> void;
  auto StopGracefully(int aRouter) -> void;
  auto CutZone(int aZone, bool aCut) -> void;
  /// Cuts messages from one router to another, one way.
  auto CutLink(int aFrom, int aTo, bool aCut) -> void;
  auto CutPlatform(bool aCut) -> void;
  auto KillTarget(int aTarget) -> void;
  auto SetLeaving(int aTarget) -> void;

  /// The targets' own record: how often each idempotency key was begun.
  [[nodiscard]] auto RunsByKey() const -> const std::map<std::string, int>&;
  [[nodiscard]] auto Log() -> SimLog&;
  [[nodiscard]] auto Target(int aIndex) -> SimTarget&;
  /// The router's decisions, or null while it is dead.
  [[nodiscard]] auto Node(int aRouter) const -> const RouterNode*;
  [[nodiscard]] auto Sent(int aRouter) const -> const ControlTraffic&;
  /// Processor time of a router's decisions so far, in seconds.
  [[nodiscard]] auto HandleSeconds(int aRouter) const -> double;
  /// The live router that schedules a zone, or -1.
  [[nodiscard]] auto FindScheduler(int aZone) const -> int;
  [[nodiscard]] auto Layout() const -> const FleetLayout&;
  [[nodiscard]] auto WallNow() const -> WallTime;
};

} // namespace burdockring

#endif
