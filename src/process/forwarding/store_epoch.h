#ifndef BURDOCKRING_PROCESS_FORWARDING_STORE_EPOCH_H
#define BURDOCKRING_PROCESS_FORWARDING_STORE_EPOCH_H

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace burdockring {

/// How long after a return from an older copy the store may lack what was
/// written before: those who wrote it write it again within this time.
constexpr Duration kRewriteGrace = 2s;

/// How an epoch compares with the newest one known.
enum class EpochOrder
{
  kCurrent,
  kOlder,
  kNewer,
};

/// Which epoch of the store is the newest that this router knows of.
///
/// An epoch ends when the store comes back from an older copy of itself.
/// Offsets of one epoch say nothing in another, and what the store says first
/// in a new one may be older than what was known before.
class StoreEpoch
{
  std::optional<std::int64_t> newest_;

public:
  /// Takes the epoch of an answer or of a peer's news. The first one known
  /// counts as current, and so does an answer that names none.
  auto Note(std::optional<std::int64_t> aEpoch) -> EpochOrder;
  [[nodiscard]] auto Newest() const -> std::optional<std::int64_t>;
};

} // namespace burdockring

#endif
