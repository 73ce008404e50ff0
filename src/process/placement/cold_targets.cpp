#include "process/placement/cold_targets.h"

#include <algorithm>

namespace burdockring {

auto ColdTargets::IsCold(const State& aState, Instant aNow) -> bool
{
  return aNow < aState.coldUntil_ ||
         (aState.unverifiedSince_ &&
          aNow < *aState.unverifiedSince_ + kMaxUnverified);
}

auto ColdTargets::Start(Duration aLongestWarmUp, Instant aNow) -> void
{
  if (!uninformedUntil_) {
    uninformedUntil_ = aNow + aLongestWarmUp;
  }
}

auto ColdTargets::IsUninformed(Instant aNow) const -> bool
{
  return !uninformedUntil_ || aNow < *uninformedUntil_;
}

auto ColdTargets::OnPeerList(const wire::ColdTargetList& aList,
                             Duration aLongestWarmUp,
                             Instant aNow) -> void
{
  if (aList.targets.size() > kMaxListed) {
    return;
  }
  for (const auto& row : aList.targets) {
    const auto left =
      std::clamp<Duration>(Duration(row.leftMicros), 0us, aLongestWarmUp);
    MarkColdUntil(TargetId{ row.target }, aNow + left);
  }
  if (aList.complete) {
    uninformedUntil_ = std::min(uninformedUntil_.value_or(aNow), aNow);
  }
}

auto ColdTargets::MarkColdUntil(TargetId aTarget, Instant aUntil) -> void
{
  auto& state = states_[aTarget];
  state.coldUntil_ = std::max(state.coldUntil_, aUntil);
}

auto ColdTargets::OnTargetLost(TargetId aTarget, Instant aNow) -> void
{
  states_[aTarget].unverifiedSince_ = aNow;
}

auto ColdTargets::OnSuccess(TargetId aTarget,
                            Instant aPlacedAt,
                            Duration aWarmUp,
                            Instant aNow) -> void
{
  const auto found = states_.find(aTarget);
  if (found == states_.end()) {
    return;
  }
  auto& state = found->second;
  if (state.unverifiedSince_ && aPlacedAt > *state.unverifiedSince_) {
    state.unverifiedSince_.reset();
    state.coldUntil_ = std::max<Instant>(state.coldUntil_, aNow + aWarmUp);
  }
}

auto ColdTargets::DropWarm(Instant aNow) -> void
{
  std::erase_if(
    states_, [&](const auto& aEntry) { return !IsCold(aEntry.second, aNow); });
}

auto ColdTargets::IsCold(TargetId aTarget, Instant aNow) const -> bool
{
  const auto found = states_.find(aTarget);
  return found != states_.end() && IsCold(found->second, aNow);
}

auto ColdTargets::Count(Instant aNow) const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(states_.begin(), states_.end(), [&](const auto& aEntry) {
      return IsCold(aEntry.second, aNow);
    }));
}

} // namespace burdockring
