#include "process/placement/reported_load.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace burdockring {
namespace {

constexpr double kPercent = 100.0;
constexpr int kNormalPercent = 100;

} // namespace

auto ReportedLoadState::Fade(Duration aAge, Duration aMemory) -> double
{
  const double age =
    static_cast<double>(aAge.count()) / static_cast<double>(aMemory.count());
  return std::clamp(1.0 - age, 0.0, 1.0);
}

auto ReportedLoadState::OnSent(Instant aNow) -> void
{
  lastSent_ = aNow;
}

auto ReportedLoadState::OnReport(const ReportedLoad& aLoad,
                                 int aOwnRunning,
                                 int aOthersRunning,
                                 Instant aNow) -> bool
{
  if (aLoad.slownessPercent_) {
    slowness_ = std::clamp(*aLoad.slownessPercent_ / kPercent, kMinSlowness,
                           kMaxSlowness);
    slownessAt_ = aNow;
  }
  if (lastSent_ > 0us && aNow - lastSent_ < kTransit) {
    return false;
  }
  // A request whose response has begun still runs.
  const int excess =
    aLoad.running_ + aLoad.waiting_ - aOwnRunning - aOthersRunning;
  if (isReported_ && aNow - reportedAt_ >= kLastingAfter) {
    lasting_ = Lasting(excess_, excess);
  } else {
    lasting_ = excess > 0 ? std::clamp(lasting_, 0, excess)
                          : std::clamp(lasting_, excess, 0);
  }
  excess_ = excess;
  waiting_ = aLoad.waiting_;
  reportedAt_ = aNow;
  isReported_ = true;
  return excess_ != 0;
}

auto ReportedLoadState::Lasting(int aBefore, int aNow) -> int
{
  if (aBefore > 0 && aNow > 0) {
    return std::max(0, std::min(aBefore, aNow) - kTolerance);
  }
  if (aBefore < 0 && aNow < 0) {
    return std::min(0, std::max(aBefore, aNow) + kTolerance);
  }
  return 0;
}

auto ReportedLoadState::OnOthersChanged(int aChange) -> void
{
  const auto reduce = [aChange](int aExcess) {
    if (aExcess > 0 && aChange > 0) {
      return std::max(0, aExcess - aChange);
    }
    return aExcess < 0 && aChange < 0 ? std::min(0, aExcess - aChange)
                                      : aExcess;
  };
  excess_ = reduce(excess_);
  lasting_ = reduce(lasting_);
}

auto ReportedLoadState::Excess(Instant aNow) const -> int
{
  if (excess_ == 0) {
    return 0;
  }
  const auto age = aNow - reportedAt_;
  const int lasting = age < kLastingMemory ? lasting_ : 0;
  const double rest = (excess_ - lasting) * Fade(age, kExcessMemory);
  return lasting + static_cast<int>(std::lround(rest));
}

auto ReportedLoadState::WaitingExcess(Instant aNow) const -> int
{
  return std::clamp(Excess(aNow), 0, waiting_);
}

auto ReportedLoadState::Slowness(Instant aNow) const -> double
{
  const double fade = Fade(aNow - slownessAt_, kSlownessMemory);
  const double deviation = (slowness_ - 1.0) * fade;
  return 1.0 + deviation;
}

auto ReportedLoadState::Age(Instant aNow) const -> Duration
{
  return isReported_ ? aNow - reportedAt_ : Duration::max();
}

auto LoadNoteFilter::IsNews(const ReportedLoad& aOld, const ReportedLoad& aNew)
  -> bool
{
  const int slownessChange = aNew.slownessPercent_.value_or(kNormalPercent) -
                             aOld.slownessPercent_.value_or(kNormalPercent);
  return aOld.running_ + aOld.waiting_ != aNew.running_ + aNew.waiting_ ||
         std::abs(slownessChange) >= kSlownessStep;
}

auto LoadNoteFilter::Take(RouterId aLead,
                          TargetId aTarget,
                          const ReportedLoad& aLoad,
                          Instant aNow) -> bool
{
  const std::pair key(aLead, aTarget);
  const auto found = sent_.find(key);
  if (found != sent_.end() && !IsNews(found->second.load_, aLoad) &&
      aNow - found->second.at_ < kRepeatInterval) {
    return false;
  }
  auto& budget = budgets_[aLead];
  if (aNow - budget.first >= 1s) {
    budget = { aNow, 0 };
  }
  if (budget.second >= kMaxPerSecond) {
    return false;
  }
  ++budget.second;
  if (sent_.size() >= kMaxEntries) {
    sent_.clear();
  }
  sent_[key] = { aLoad, aNow };
  return true;
}

} // namespace burdockring
