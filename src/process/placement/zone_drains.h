#ifndef BURDOCKRING_PROCESS_PLACEMENT_ZONE_DRAINS_H
#define BURDOCKRING_PROCESS_PLACEMENT_ZONE_DRAINS_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdockring {

/// A position in the store's records. Offsets count within one epoch. The list
/// that is in force while a router waits for what a restored store has lost
/// comes before the settled one of the same offset.
struct StorePosition
{
  std::int64_t epoch_ = 0;
  std::int64_t offset_ = 0;
  bool isSettled_ = true;

  auto operator<=>(const StorePosition&) const = default;
};

/// A record that begins or ends the drain of a zone.
struct ZoneDrainRecord
{
  ZoneId zone_;
  std::string name_;
  bool isDrained_ = false;
};

/// How the list of drained zones became known.
enum class DrainSource
{
  kStore,
  kPeer,
};

auto DrainSourceName(DrainSource aSource) -> std::string_view;

/// A zone whose drain began or ended, reported for logging.
struct ZoneDrainChange
{
  ZoneId zone_;
  std::string name_;
  bool isDrained_ = false;
  DrainSource source_ = DrainSource::kStore;
  StorePosition position_;
};

/// The zones whose targets get no requests, as the operator asked through the
/// store.
///
/// Each list is the state as of a position in the store, and the latest
/// position wins, whether it was read or received from a peer. A store that is
/// restored from an older copy begins a new epoch, in which the first read may
/// lack drains or show drains that have ended. So the list of the epoch before
/// stays in force until the writers have had time to write again; only records
/// that are written in the new epoch apply at once.
///
/// Load pattern: the operator drains a zone at full load and takes it back
/// seconds later, while the store is slow, unreachable for some routers, or
/// restored.
class ZoneDrains
{
public:
  /// Zones that one list may hold; a longer list of a peer is malformed.
  static constexpr std::size_t kMaxZones = 1024;

private:
  using ZoneNames = std::map<ZoneId, std::string>;

  struct List
  {
    ZoneNames zones_;
    StorePosition position_;
    DrainSource source_ = DrainSource::kStore;
  };

  ZoneNames zones_;
  std::optional<StorePosition> position_;
  /// Epoch of the last grace period after a restore, and its end while it
  /// lasts.
  std::int64_t heldEpoch_ = 0;
  std::optional<Instant> heldUntil_;
  /// Whether a drain was ever heard of.
  bool isInUse_ = false;
  /// The list that takes effect when the grace period ends.
  std::optional<List> pending_;
  std::vector<ZoneDrainChange> changes_;

  /// Takes the list, at once or after the grace period, if it is newer. Returns
  /// whether it did.
  auto Offer(List aList, Instant aNow) -> bool;
  auto Apply(List aList) -> void;

public:
  /// The store was restored from an older copy, or another router says so.
  auto OnStoreEpoch(std::int64_t aEpoch, Instant aNow) -> void;
  /// All records of drains, read from the store as of the position.
  auto OnSnapshot(const std::vector<ZoneDrainRecord>& aRecords,
                  StorePosition aPosition,
                  Instant aNow) -> void;
  /// Records that were written up to the position, which this router read in
  /// order.
  auto OnRecords(const std::vector<ZoneDrainRecord>& aRecords,
                 StorePosition aPosition,
                 Instant aNow) -> void;
  auto OnPeerList(const wire::ZoneDrainList& aList, Instant aNow) -> void;
  auto Tick(Instant aNow) -> void;

  [[nodiscard]] auto IsDrained(ZoneId aZone) const -> bool;
  [[nodiscard]] auto Count() const -> std::size_t;
  /// The list for peers; empty while no drain has been seen, so that fleets
  /// without drains send nothing.
  [[nodiscard]] auto ListForPeers() const -> std::optional<wire::ZoneDrainList>;
  /// Returns the changes since the last call and clears them.
  auto TakeChanges() -> std::vector<ZoneDrainChange>;
};

} // namespace burdockring

#endif
