#ifndef BURDOCKRING_PROCESS_NODE_SCHEDULER_SET_H
#define BURDOCKRING_PROCESS_NODE_SCHEDULER_SET_H

#include "process/membership/peer_table.h"
#include "process/sharing/service_pool.h"
#include "process/sharing/zone_scheduler.h"
#include "version/config_set.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdockring {

/// A message and its destination.
struct AddressedEnvelope
{
  RouterId router_;
  wire::Envelope envelope_;
};

/// The schedulers that this router runs: one for each availability zone and
/// service that the peer table assigns to it.
class SchedulerSet
{
  struct Key
  {
    ZoneId zone_;
    ServiceId service_;

    auto operator<=>(const Key&) const = default;
  };

  const SharingOptions* options_;
  const PeerTable* peers_;
  std::map<Key, ZoneScheduler> schedulers_;
  /// Version of the peer table at the last refresh.
  std::int64_t peersVersion_ = 0;

  static auto Name(const Key& aKey, const ConfigSet& aSet) -> std::string;

public:
  SchedulerSet(const SharingOptions* aOptions, const PeerTable* aPeers);

  /// Removes all schedulers. The next Refresh creates those that this router
  /// still has to run.
  auto Clear() -> void;
  /// Makes the next Refresh run even if the peer table has not changed.
  auto Invalidate() -> void;
  /// Starts and stops schedulers if the peer table has changed, and sets the
  /// schedulers of the pools. Returns the names of the started ones.
  auto Refresh(std::map<ServiceId, ServicePool>* aPools,
               const ConfigSet& aSet,
               const std::set<TargetId>& aLeaving,
               Instant aNow) -> std::vector<std::string>;
  auto Configure(const ConfigSet& aSet) -> void;
  auto SetLeaving(const std::set<TargetId>& aLeaving) -> void;
  /// Removes a failed router and the grants that it held.
  auto RemoveRouter(RouterId aRouter, Instant aNow) -> void;
  auto OnReport(RouterId aFrom,
                std::int64_t aIncarnation,
                const wire::DemandReport& aReport,
                Instant aNow) -> void;
  auto OnExchange(std::int64_t aIncarnation,
                  const wire::ZoneExchange& aExchange,
                  Instant aNow) -> void;
  /// Runs all schedulers and returns the messages to send.
  auto Run(Instant aNow) -> std::vector<AddressedEnvelope>;
  /// The scheduler of a zone and service, or null if another router runs it.
  [[nodiscard]] auto Find(ZoneId aZone, ServiceId aService) const
    -> const ZoneScheduler*;
};

} // namespace burdockring

#endif
