#ifndef BURDOCKRING_PROCESS_FORWARDING_DISCOVERY_SINK_H
#define BURDOCKRING_PROCESS_FORWARDING_DISCOVERY_SINK_H

#include "base/time.h"
#include "peer_types.h"
#include "process/membership/peer_table.h"
#include "process/peers/read_scheduler.h"
#include "process/peers/store_epoch_tracker.h"
#include "process/placement/target_directory.h"
#include "process/placement/zone_drains.h"
#include "process/quarantine/stored_quarantine.h"
#include "version/route_table.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockring {

/// As the time of a configuration read from its source: a newer one may have
/// replaced it by then. Earlier than any reading of BootNow, so it confirms
/// nothing.
inline constexpr Instant kMayBeReplaced = -24h;

/// Receives configuration and membership updates from their source. Instants
/// are readings of BootNow taken before the read that returned the update
/// began, so that the update was the newest at that time or later.
class DiscoverySink
{
public:
  DiscoverySink() = default;
  virtual ~DiscoverySink() = default;
  DiscoverySink(const DiscoverySink&) = delete;
  auto operator=(const DiscoverySink&) -> DiscoverySink& = delete;

  /// A configuration that was the newest at aAsOf, or that may have been
  /// replaced already if aAsOf is kMayBeReplaced. aText is its encoded form,
  /// which is sent to peers.
  virtual auto OnConfiguration(RouteTablePointer aTable,
                               std::string aText,
                               Instant aAsOf) -> void = 0;
  /// The last configuration was still the newest at aAsOf.
  virtual auto OnConfigurationConfirmed(Instant aAsOf) -> void = 0;
  /// Records of zone drains up to an offset of the configuration's topic. If
  /// aIsSnapshot, zones without a record are not drained.
  virtual auto OnZoneDrains(const std::vector<ZoneDrainRecord>& aRecords,
                            bool aIsSnapshot,
                            std::int64_t aOffset) -> void = 0;
  virtual auto OnTarget(const std::string& aKey, RegisteredTarget aTarget)
    -> void = 0;
  virtual auto OnTargetRemoved(const std::string& aKey) -> void = 0;
  virtual auto OnTargets(
    std::vector<std::pair<std::string, RegisteredTarget>> aSnapshot)
    -> void = 0;
  /// Targets of a list whose rest can't be read now.
  virtual auto OnTargetsInPart(
    std::vector<std::pair<std::string, RegisteredTarget>> aPart) -> void = 0;
  /// A read of the targets, by this router or a peer, succeeded or failed. Is
  /// called before the records of a read are passed on.
  virtual auto OnTargetListRead(bool aSuccess) -> void = 0;
  virtual auto OnRouters(const std::vector<RouterAddress>& aRouters)
    -> void = 0;

  /// A quarantine that was stored before this process started.
  virtual auto OnStoredQuarantine(const StoredQuarantine& aQuarantine)
    -> void = 0;
  /// The store epoch that a response or a peer's update belongs to. Returns how
  /// it compares with the newest known one: data of an older epoch must be
  /// ignored; after a newer one all lists must be read in full and the router's
  /// own entries written again.
  virtual auto OnStoreEpoch(std::optional<std::int64_t> aEpoch)
    -> EpochOrder = 0;
  /// Time until this router should read the list itself; zero: now.
  /// aIsFirstRead: it has not read the list yet, or not in the current store
  /// epoch.
  virtual auto TimeToRead(SharedList aList, bool aIsFirstRead) -> Duration = 0;
  /// This router's own read of a list, or of a page of it, has ended. aNews, if
  /// any, is forwarded to other routers; it also reports an unreachable source.
  virtual auto OnListRead(SharedList aList,
                          bool aSuccess,
                          std::optional<wire::ListNews> aNews) -> void = 0;
};

} // namespace burdockring

#endif
