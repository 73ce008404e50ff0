#include "process/rates/cold_start_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockring {
namespace {

constexpr std::int32_t kShareSalt = 53;
/// Keeps the conversion to an integer in range.
constexpr double kMaxRequests = 1e6;

} // namespace

auto MaxColdRequests(const ColdStartLimits& aLimits, double aRequestsPerSecond)
  -> int
{
  const double limit =
    aRequestsPerSecond * aLimits.burstFactor_ + aLimits.slack_;
  return static_cast<int>(std::clamp(limit, 0.0, kMaxRequests));
}

ColdStartLimiter::ColdStartLimiter(RouterId aSelf)
  : self_(aSelf)
{
}

auto ColdStartLimiter::SetPlacers(std::vector<RouterId> aPlacers, Instant aNow)
  -> void
{
  std::sort(aPlacers.begin(), aPlacers.end());
  if (aPlacers == placers_) {
    return;
  }
  formerPlacers_ = std::exchange(placers_, std::move(aPlacers));
  changedAt_ = aNow;
  shares_.clear();
}

auto ColdStartLimiter::Share(TargetId aTarget,
                             int aMaxRequests,
                             Instant aNow) const -> int
{
  auto& known = shares_[aTarget];
  if (known.maxRequests_ != aMaxRequests) {
    known = { aMaxRequests, ShareAmong(placers_, aTarget, aMaxRequests),
              ShareAmong(formerPlacers_, aTarget, aMaxRequests) };
  }
  const bool isSettled =
    formerPlacers_.empty() || aNow >= changedAt_ + kListSettleTime;
  return isSettled ? known.share_ : std::min(known.share_, known.formerShare_);
}

auto ColdStartLimiter::ShareAmong(const std::vector<RouterId>& aPlacers,
                                  TargetId aTarget,
                                  int aMaxRequests) const -> int
{
  if (!std::binary_search(aPlacers.begin(), aPlacers.end(), self_)) {
    return 0;
  }
  const auto score = [&](RouterId aRouter) {
    return RendezvousScore(aRouter.value_, aTarget.value_, kShareSalt);
  };
  const auto own = score(self_);
  const auto rank = static_cast<int>(
    std::count_if(aPlacers.begin(), aPlacers.end(),
                  [&](RouterId aRouter) { return score(aRouter) > own; }));
  const auto placers = static_cast<int>(aPlacers.size());
  const auto used = static_cast<int>(kUsedFraction * aMaxRequests);
  return used / placers + (rank < used % placers ? 1 : 0);
}

auto ColdStartLimiter::NextAllowed(TargetId aTarget,
                                   int aMaxRequests,
                                   Instant aNow) const -> std::optional<Instant>
{
  const auto share =
    static_cast<std::size_t>(Share(aTarget, aMaxRequests, aNow));
  if (share == 0) {
    return std::nullopt;
  }
  auto allowed = startedAt_.value_or(aNow) + kWindow;
  const auto placed = placed_.find(aTarget);
  if (placed != placed_.end() && placed->second.size() >= share) {
    const auto& times = placed->second;
    allowed = std::max<Instant>(allowed, times[times.size() - share] + kWindow);
  }
  return allowed;
}

auto ColdStartLimiter::OnPlaced(TargetId aTarget, Instant aNow) -> void
{
  placed_[aTarget].push_back(aNow);
}

auto ColdStartLimiter::Tick(Instant aNow) -> void
{
  startedAt_ = startedAt_.value_or(aNow);
  for (auto& entry : placed_) {
    auto& times = entry.second;
    while (!times.empty() && times.front() + kWindow <= aNow) {
      times.pop_front();
    }
  }
  std::erase_if(placed_,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

} // namespace burdockring
