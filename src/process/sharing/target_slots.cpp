#include "process/sharing/target_slots.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace burdockring {

auto TargetSlots::LimitOf(TargetId aId,
                          const Target& aTarget,
                          Instant aNow) const -> int
{
  if (leaving_.contains(aId)) {
    return 0;
  }
  if (aTarget.isEjected_) {
    return aNow >= aTarget.probeAt_ ? 1 : 0;
  }
  return std::clamp(static_cast<int>(std::floor(aTarget.limit_)), 1,
                    aTarget.configured_);
}

auto TargetSlots::MedianTimePerToken() const -> Duration
{
  std::vector<Duration> times;
  for (const auto& entry : targets_) {
    if (entry.second.timePerToken_ > 0us) {
      times.push_back(entry.second.timePerToken_);
    }
  }
  if (times.empty()) {
    return 0us;
  }
  const auto middle =
    times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

auto TargetSlots::EjectedCount() const -> int
{
  return static_cast<int>(
    std::count_if(targets_.begin(), targets_.end(),
                  [](const auto& aEntry) { return aEntry.second.isEjected_; }));
}

auto TargetSlots::AddFailures(Target* aTarget, int aCount, Instant aNow) -> void
{
  aTarget->consecutiveFailures_ += aCount;
  if (aTarget->isEjected_) {
    aTarget->probeAt_ = aNow + kEjectionTime;
    return;
  }
  const auto maxEjected = static_cast<int>(targets_.size()) / 2;
  if (aTarget->consecutiveFailures_ >= kFailuresToEject &&
      EjectedCount() < maxEjected) {
    aTarget->isEjected_ = true;
    aTarget->probeAt_ = aNow + kEjectionTime;
  }
}

auto TargetSlots::Configure(const ConfigSet& aSet,
                            ServiceId aService,
                            ZoneId aZone) -> void
{
  std::map<TargetId, Target> next;
  for (const auto& entry : aSet.targets_) {
    const auto& object = entry.second;
    if (object.service_ != aService || object.zone_ != aZone) {
      continue;
    }
    const auto previous = targets_.find(object.id_);
    auto target = previous == targets_.end() ? Target{} : previous->second;
    if (target.configured_ != object.slots_) {
      target.configured_ = object.slots_;
      target.limit_ = object.slots_;
    }
    next.emplace(object.id_, target);
  }
  targets_ = std::move(next);
}

auto TargetSlots::SetLeaving(const std::set<TargetId>& aLeaving) -> void
{
  leaving_ = aLeaving;
}

auto TargetSlots::SetUsed(const std::map<TargetId, int>& aUsed) -> void
{
  for (auto& entry : targets_) {
    const auto found = aUsed.find(entry.first);
    entry.second.used_ = found == aUsed.end() ? 0 : found->second;
  }
}

auto TargetSlots::AddUsed(TargetId aTarget, int aCount) -> void
{
  const auto found = targets_.find(aTarget);
  if (found != targets_.end()) {
    found->second.used_ += aCount;
  }
}

auto TargetSlots::Observe(TargetId aTarget,
                          const TargetStats& aStats,
                          Instant aNow) -> void
{
  const auto found = targets_.find(aTarget);
  if (found == targets_.end()) {
    return;
  }
  auto& target = found->second;
  if (aStats.ended_ > 0) {
    target.consecutiveFailures_ = 0;
    target.isEjected_ = false;
  }
  if (aStats.failed_ > 0) {
    AddFailures(&target, aStats.failed_, aNow);
  }
  target.refused_ = target.refused_ || aStats.refused_ > 0;
  if (aStats.timePerToken_ > 0us) {
    const auto old = target.timePerToken_;
    const auto step = std::chrono::duration_cast<Duration>(
      (aStats.timePerToken_ - old) * kSmoothingFactor);
    target.timePerToken_ = old == 0us ? aStats.timePerToken_ : old + step;
  }
}

auto TargetSlots::AdaptLimits(Instant aNow) -> void
{
  if (aNow - lastAdapted_ < kAdaptInterval) {
    return;
  }
  lastAdapted_ = aNow;
  const auto median = MedianTimePerToken();
  for (auto& entry : targets_) {
    auto& target = entry.second;
    const bool isSlow =
      median > 0us && std::chrono::duration<double>(target.timePerToken_) >
                        std::chrono::duration<double>(median) * kSlowFactor;
    if (isSlow || target.refused_) {
      target.limit_ = std::max(1.0, target.limit_ * kShrinkFactor);
    } else {
      target.limit_ =
        std::min<double>(target.configured_, target.limit_ + kGrowthStep);
    }
    target.refused_ = false;
  }
}

auto TargetSlots::ChooseFree(Instant aNow) const -> std::optional<TargetId>
{
  std::optional<TargetId> best;
  double bestShare = 0;
  for (const auto& entry : targets_) {
    const auto limit = LimitOf(entry.first, entry.second, aNow);
    const auto free = limit - entry.second.used_;
    if (free <= 0) {
      continue;
    }
    const auto share = static_cast<double>(free) / limit;
    if (!best || share > bestShare) {
      best = entry.first;
      bestShare = share;
    }
  }
  return best;
}

auto TargetSlots::Limit(TargetId aTarget, Instant aNow) const -> int
{
  const auto found = targets_.find(aTarget);
  return found == targets_.end() ? 0 : LimitOf(aTarget, found->second, aNow);
}

auto TargetSlots::Used(TargetId aTarget) const -> int
{
  const auto found = targets_.find(aTarget);
  return found == targets_.end() ? 0 : found->second.used_;
}

auto TargetSlots::IsEjected(TargetId aTarget) const -> bool
{
  const auto found = targets_.find(aTarget);
  return found != targets_.end() && found->second.isEjected_;
}

auto TargetSlots::TotalLimit(Instant aNow) const -> int
{
  int total = 0;
  for (const auto& entry : targets_) {
    total += LimitOf(entry.first, entry.second, aNow);
  }
  return total;
}

auto TargetSlots::TotalFree(Instant aNow) const -> int
{
  int total = 0;
  for (const auto& entry : targets_) {
    total += std::max(0, LimitOf(entry.first, entry.second, aNow) -
                           entry.second.used_);
  }
  return total;
}

} // namespace burdockring
