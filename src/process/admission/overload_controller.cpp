#include "process/admission/overload_controller.h"

#include <algorithm>

namespace burdockring {

auto OverloadController::Adjust(bool aLate,
                                std::size_t aOpenRequests,
                                Instant aNow) -> void
{
  if (aNow - lastAdjusted_ < kAdjustInterval) {
    return;
  }
  lastAdjusted_ = aNow;
  const auto open = static_cast<double>(aOpenRequests);
  openLimit_ = aLate ? std::min(openLimit_, open) * kDecreaseFactor
                     : std::max(openLimit_ * kIncreaseFactor, 1.0);
  openLimit_ = std::max(openLimit_, kMinOpenLimit);
}

auto OverloadController::Close(Instant aNow) -> void
{
  if (!closedAt_ && (!reopenedAt_ || aNow >= *reopenedAt_ + kMinOpenTime)) {
    closedAt_ = aNow;
  }
}

auto OverloadController::Reopen(Instant aNow) -> void
{
  if (closedAt_ && aNow - *closedAt_ >= kMaxClosedTime) {
    closedAt_.reset();
    reopenedAt_ = aNow;
  }
}

OverloadController::OverloadController(const ForwardingPolicy& aPolicy)
  : policy_(aPolicy)
{
}

auto OverloadController::Note(Duration aLateness,
                              std::size_t aOpenRequests,
                              Instant aNow) -> void
{
  const bool late = policy_.IsEnabled(Mechanism::kOverloadControl) &&
                    aLateness > kLateThreshold;
  consecutiveLate_ = late ? consecutiveLate_ + 1 : 0;
  if (late) {
    lastLate_ = aNow;
  }
  if (!overloaded_ && consecutiveLate_ >= kLateCount) {
    overloaded_ = true;
    openLimit_ = static_cast<double>(aOpenRequests);
    Close(aNow);
  }
  if (!overloaded_) {
    Reopen(aNow);
    return;
  }
  Adjust(late, aOpenRequests, aNow);
  if (late) {
    Close(aNow);
  }
  const bool hasHeadroom =
    openLimit_ >= kRecoveryHeadroom * static_cast<double>(aOpenRequests);
  if (hasHeadroom && aNow - lastLate_ >= kRecoveryTime) {
    overloaded_ = false;
  }
  Reopen(aNow);
}

auto OverloadController::Allows(std::size_t aOpenRequests) const -> bool
{
  return !overloaded_ || static_cast<double>(aOpenRequests) < openLimit_;
}

auto OverloadController::IsOverloaded() const -> bool
{
  return overloaded_;
}

auto OverloadController::AcceptsConnections() const -> bool
{
  return !closedAt_ || !policy_.IsEnabled(Mechanism::kBalancerOptOut);
}

} // namespace burdockring
