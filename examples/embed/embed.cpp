#include "process/node/router_node.h"

#include <iostream>

/// Runs one router's decisions with no socket, thread or clock: a request goes
/// in as an event, and what has to be done comes out as effects.
auto main() -> int
{
  using namespace burdockring;
  RouterAddress self;
  self.name_ = "embedded";
  self.id_ = MakeId<RouterId>(self.name_);
  self.zone_ = MakeId<ZoneId>("here");
  RouterNode node({}, self, 1);

  const std::string text = "zones: [{name: here}]\n"
                           "client_accounts: [{name: me, token_sha256: " +
                           std::string(64, 'a') +
                           "}]\n"
                           "services: [{name: work}]\n"
                           "targets: [{name: t, service: work, zone: here, "
                           "address: '127.0.0.1:9000'}]\n";
  const ConfigChange change{ MakeChangeId(0, text), 0, "embed", text };
  const LogRead read{ 0, 1, { { 0, EncodeRecords({ change }) } }, true };
  node.Handle(read, { 1s, WallTime(0) });

  RequestArrived arrival;
  arrival.id_ = 1;
  arrival.account_ = MakeId<AccountId>("me");
  arrival.service_ = MakeId<ServiceId>("work");
  node.Handle(arrival, { 1100ms, WallTime(100) });
  for (auto now = Instant(1200ms); now < 5s; now += 5ms) {
    for (const auto& effect : node.Handle(TickEvent{}, { now, WallTime(0) })) {
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        std::cout << "request " << start->request_ << " goes to "
                  << start->host_ << ':' << start->port_ << '\n';
        return 0;
      }
    }
  }
  std::cerr << "the request was never started\n";
  return 1;
}
