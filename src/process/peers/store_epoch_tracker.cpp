#include "process/peers/store_epoch_tracker.h"

namespace burdockring {

auto StoreEpochTracker::Note(std::optional<std::int64_t> aEpoch) -> EpochOrder
{
  if (!aEpoch || aEpoch == newest_) {
    return EpochOrder::kCurrent;
  }
  if (newest_ && *aEpoch < *newest_) {
    return EpochOrder::kOlder;
  }
  const bool isFirst = !newest_;
  newest_ = aEpoch;
  return isFirst ? EpochOrder::kCurrent : EpochOrder::kNewer;
}

auto StoreEpochTracker::Newest() const -> std::optional<std::int64_t>
{
  return newest_;
}

} // namespace burdockring
