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

/// A message to one router.
struct AddressedEnvelope
{
  RouterId router_;
  wire::Envelope envelope_;
};

/// The schedulers that this router runs: one for each availability zone and
/// service for which the peers choose it.
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
  /// The version of the peers that the schedulers were chosen by.
  std::int64_t peersVersion_ = 0;

  static auto Name(const Key& aKey, const ConfigSet& aSet) -> std::string;

public:
  SchedulerSet(const SharingOptions* aOptions, const PeerTable* aPeers);

  /// Ends all of them; those that are due begin anew with the next Refresh.
  auto Clear() -> void;
  /// Lets the next Refresh choose again though the peers are the same.
  auto Invalidate() -> void;
  /// Begins and ends schedulers where the peers have changed, and tells the
  /// pools theirs. Gives the names of those that began.
  auto Refresh(std::map<ServiceId, ServicePool>* aPools,
               const ConfigSet& aSet,
               const std::set<TargetId>& aLeaving,
               Instant aNow) -> std::vector<std::string>;
  auto Configure(const ConfigSet& aSet) -> void;
  auto SetLeaving(const std::set<TargetId>& aLeaving) -> void;
  /// A router is gone, and what it held with it.
  auto RemoveRouter(RouterId aRouter, Instant aNow) -> void;
  auto OnReport(RouterId aFrom,
                std::int64_t aIncarnation,
                const wire::DemandReport& aReport,
                Instant aNow) -> void;
  auto OnExchange(std::int64_t aIncarnation,
                  const wire::ZoneExchange& aExchange,
                  Instant aNow) -> void;
  /// Schedules, and takes what is to be sent.
  auto Run(Instant aNow) -> std::vector<AddressedEnvelope>;
  /// The scheduler of a zone and service, or null where another router has it.
  [[nodiscard]] auto Find(ZoneId aZone, ServiceId aService) const
    -> const ZoneScheduler*;
};

} // namespace burdockring

#endif
