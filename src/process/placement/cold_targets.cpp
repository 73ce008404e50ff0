#include "process/placement/cold_targets.h"

#include <algorithm>

namespace burdockring {
namespace {

/// Unit of the time left in lists, and the most that a byte holds of it.
constexpr Duration kListUnit = 50ms;
constexpr std::int64_t kMaxUnits = 255;
constexpr std::size_t kIdBytes = 4;
constexpr unsigned kIdBits = 32;
constexpr unsigned kByteBits = 8;
constexpr std::uint32_t kByteMask = 0xff;

} // namespace

auto ColdTargets::IsCold(const State& aState, Instant aNow) -> bool
{
  return aNow < aState.coldUntil_ ||
         (aState.unverifiedSince_ &&
          aNow < *aState.unverifiedSince_ + kMaxUnverified);
}

auto ColdTargets::IsUninformed(Instant aNow) const -> bool
{
  return !uninformedUntil_ || aNow < *uninformedUntil_;
}

auto ColdTargets::AppendRow(TargetId aTarget,
                            Duration aLeft,
                            wire::ColdTargetList* aList) -> bool
{
  if (aList->left.size() >= kMaxListed) {
    return false;
  }
  const auto units = std::clamp<std::int64_t>(aLeft / kListUnit, 0, kMaxUnits);
  const auto id = static_cast<std::uint32_t>(aTarget.value_);
  for (unsigned shift = 0; shift < kIdBits; shift += kByteBits) {
    aList->targets += static_cast<char>((id >> shift) & kByteMask);
  }
  aList->left += static_cast<char>(units);
  return true;
}

auto ColdTargets::OnPeerList(const wire::ColdTargetList& aList,
                             Duration aLongestWarmUp,
                             Instant aNow) -> void
{
  // Without a configuration this router can't tell which targets may be cold.
  if (aLongestWarmUp <= 0us || aList.left.size() > kMaxListed ||
      aList.targets.size() != aList.left.size() * kIdBytes) {
    return;
  }
  for (std::size_t i = 0; i < aList.left.size(); ++i) {
    std::uint32_t id = 0;
    for (std::size_t byte = kIdBytes; byte-- > 0;) {
      id = (id << kByteBits) |
           static_cast<unsigned char>(aList.targets[i * kIdBytes + byte]);
    }
    const Duration left = kListUnit * static_cast<unsigned char>(aList.left[i]);
    MarkColdUntil(TargetId{ static_cast<std::int32_t>(id) },
                  aNow + std::min(left, aLongestWarmUp));
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

auto ColdTargets::Observe(Duration aLongestWarmUp, Instant aNow) -> void
{
  const bool wasSuspended = aNow - lastObserved_ > kMaxGap;
  if (!uninformedUntil_ || wasSuspended) {
    uninformedUntil_ = aNow + aLongestWarmUp;
  }
  lastObserved_ = aNow;
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
