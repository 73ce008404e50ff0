#ifndef BURDOCKRING_PROCESS_FORWARDING_DISCOVERY_SINK_H
#define BURDOCKRING_PROCESS_FORWARDING_DISCOVERY_SINK_H

#include "base/time.h"
#include "peer_types.h"
#include "process/forwarding/read_turns.h"
#include "process/forwarding/store_epoch.h"
#include "process/forwarding/target_directory.h"
#include "process/membership/peer_table.h"
#include "version/route_table.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockring {

/// What a source of configuration and membership tells a router. Instants are
/// readings of BootNow taken before the read that gave the news began, so that
/// the news was the newest at that time or later.
class DiscoverySink
{
public:
  DiscoverySink() = default;
  virtual ~DiscoverySink() = default;
  DiscoverySink(const DiscoverySink&) = delete;
  auto operator=(const DiscoverySink&) -> DiscoverySink& = delete;

  /// A configuration that was the newest at aAsOf. aText is its encoded form,
  /// which peers can decode.
  virtual auto OnConfiguration(RouteTablePointer aTable,
                               std::string aText,
                               Instant aAsOf) -> void = 0;
  /// No newer configuration than the last one was there at aAsOf.
  virtual auto OnConfigurationConfirmed(Instant aAsOf) -> void = 0;
  virtual auto OnTarget(const std::string& aKey, RegisteredTarget aTarget)
    -> void = 0;
  virtual auto OnTargetRemoved(const std::string& aKey) -> void = 0;
  virtual auto OnTargets(
    const std::vector<std::pair<std::string, RegisteredTarget>>& aAll)
    -> void = 0;
  virtual auto OnTargetListReachable(bool aReachable) -> void = 0;
  virtual auto OnRouters(const std::vector<RouterAddress>& aRouters)
    -> void = 0;

  /// The epoch of the store that an answer or a peer's news belongs to. Gives
  /// how it is to be taken: an older one says nothing any more; after a newer
  /// one all lists must be read whole, and own entries written again.
  virtual auto OnStoreEpoch(std::optional<std::int64_t> aEpoch)
    -> EpochOrder = 0;
  /// Time until this router should read the list itself; zero: now. aFirst:
  /// it has never read it, or not in this epoch of the store.
  virtual auto TimeToRead(SharedList aList, bool aFirst) -> Duration = 0;
  /// An own read has ended. The news, if any, is for the routers near by; where
  /// the source was out of reach it says so.
  virtual auto OnListRead(SharedList aList,
                          bool aSuccess,
                          std::optional<wire::ListNews> aNews) -> void = 0;
};

} // namespace burdockring

#endif
