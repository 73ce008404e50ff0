#include "process/forwarding/own_capacity.h"

#include <algorithm>

namespace burdockring {

auto OwnCapacity::Adjust(bool aLate, std::size_t aOpen, Instant aNow) -> void
{
  if (aNow - lastAdjusted_ < kAdjustInterval) {
    return;
  }
  lastAdjusted_ = aNow;
  const auto open = static_cast<double>(aOpen);
  mostOpen_ = aLate ? std::min(mostOpen_, open) * kLess
                    : std::max(mostOpen_ * kMore, 1.0);
  mostOpen_ = std::max(mostOpen_, kLeastOpen);
}

auto OwnCapacity::Close(Instant aNow) -> void
{
  if (!closedSince_ &&
      (!reopenedAt_ || aNow >= *reopenedAt_ + kLeastOpenTime)) {
    closedSince_ = aNow;
  }
}

auto OwnCapacity::Reopen(Instant aNow) -> void
{
  if (closedSince_ && aNow - *closedSince_ >= kLongestClosed) {
    closedSince_.reset();
    reopenedAt_ = aNow;
  }
}

OwnCapacity::OwnCapacity(const ForwardingPolicy& aPolicy)
  : policy_(aPolicy)
{
}

auto OwnCapacity::Note(Duration aLateness, std::size_t aOpen, Instant aNow)
  -> void
{
  const bool late = policy_.Has(Mechanism::kOwnCapacity) && aLateness > kLate;
  lateInRow_ = late ? lateInRow_ + 1 : 0;
  if (late) {
    lastLate_ = aNow;
  }
  if (!overloaded_ && lateInRow_ >= kLateTimes) {
    overloaded_ = true;
    mostOpen_ = static_cast<double>(aOpen);
    Close(aNow);
  }
  if (!overloaded_) {
    Reopen(aNow);
    return;
  }
  Adjust(late, aOpen, aNow);
  if (late) {
    Close(aNow);
  }
  const bool isFree = mostOpen_ >= kFreeFactor * static_cast<double>(aOpen);
  if (isFree && aNow - lastLate_ >= kCalmTime) {
    overloaded_ = false;
  }
  Reopen(aNow);
}

auto OwnCapacity::Admits(std::size_t aOpen) const -> bool
{
  return !overloaded_ || static_cast<double>(aOpen) < mostOpen_;
}

auto OwnCapacity::IsOverloaded() const -> bool
{
  return overloaded_;
}

auto OwnCapacity::TakesConnections() const -> bool
{
  return !closedSince_ || !policy_.Has(Mechanism::kClosedBalancer);
}

} // namespace burdockring
