#ifndef BURDOCKRING_PROCESS_PEERS_STORE_EPOCH_TRACKER_H
#define BURDOCKRING_PROCESS_PEERS_STORE_EPOCH_TRACKER_H

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace burdockring {

/// Time after a restore from an older copy within which the writers write again
/// what the store lost.
constexpr Duration kRewriteGracePeriod = 2s;

/// How an epoch compares with the newest one known.
enum class EpochOrder
{
  kCurrent,
  kOlder,
  kNewer,
};

/// Tracks the newest epoch of the store that this router knows of.
///
/// An epoch ends when the store is restored from an older copy. Offsets of one
/// epoch are meaningless in another, and the first reads in a new epoch may
/// return older data than was known before.
class StoreEpochTracker
{
  std::optional<std::int64_t> newest_;

public:
  /// Records the epoch of a store response or of a peer's update. The first one
  /// known counts as current, and so does a response without an epoch.
  auto Note(std::optional<std::int64_t> aEpoch) -> EpochOrder;
  [[nodiscard]] auto Newest() const -> std::optional<std::int64_t>;
};

} // namespace burdockring

#endif
