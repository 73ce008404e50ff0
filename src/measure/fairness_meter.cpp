#include "measure/fairness_meter.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

constexpr Duration kShareWindow = 10s;
constexpr std::size_t kMaxGaps = 2'000'000;

} // namespace

auto FairnessMeter::PairOf(std::size_t aOne, std::size_t aOther) -> Pair&
{
  return pairs_[std::min(aOne, aOther) * accounts_.size() +
                std::max(aOne, aOther)];
}

auto FairnessMeter::BeginPairs(std::size_t aAccount) -> void
{
  for (std::size_t other = 0; other < accounts_.size(); ++other) {
    if (other == aAccount || accounts_[other].waiting_ == 0) {
      continue;
    }
    const auto low = std::min(aAccount, other);
    const auto high = std::max(aAccount, other);
    const auto difference = accounts_[low].service_ - accounts_[high].service_;
    PairOf(aAccount, other) = { difference, difference };
  }
}

auto FairnessMeter::EndPair(std::size_t aOne, std::size_t aOther) -> void
{
  const auto& pair = PairOf(aOne, aOther);
  const auto gap = pair.high_ - pair.low_;
  maxGap_ = std::max(maxGap_, gap);
  if (gaps_.size() < kMaxGaps) {
    gaps_.push_back(static_cast<float>(gap));
  }
}

auto FairnessMeter::EndPairs(std::size_t aAccount) -> void
{
  for (std::size_t other = 0; other < accounts_.size(); ++other) {
    if (other != aAccount && accounts_[other].waiting_ > 0) {
      EndPair(aAccount, other);
    }
  }
}

FairnessMeter::FairnessMeter(const std::vector<double>& aWeights)
  : accounts_(aWeights.size())
  , pairs_(aWeights.size() * aWeights.size())
{
  for (std::size_t i = 0; i < aWeights.size(); ++i) {
    accounts_[i].weight_ = aWeights[i];
  }
}

auto FairnessMeter::AddWaiting(int aAccount, int aChange, Instant aNow) -> void
{
  const auto index = static_cast<std::size_t>(aAccount);
  auto& account = accounts_[index];
  const bool was = account.waiting_ > 0;
  const bool will = account.waiting_ + aChange > 0;
  if (!was && will) {
    account.waitingSince_ = aNow;
    BeginPairs(index);
  }
  if (was && !will) {
    EndPairs(index);
  }
  account.waiting_ += aChange;
}

auto FairnessMeter::AddService(int aAccount, double aTokens) -> void
{
  const auto index = static_cast<std::size_t>(aAccount);
  auto& account = accounts_[index];
  account.service_ += aTokens / account.weight_;
  if (account.waiting_ == 0) {
    return;
  }
  for (std::size_t other = 0; other < accounts_.size(); ++other) {
    if (other == index || accounts_[other].waiting_ == 0) {
      continue;
    }
    const auto low = std::min(index, other);
    const auto high = std::max(index, other);
    const auto difference = accounts_[low].service_ - accounts_[high].service_;
    auto& pair = PairOf(index, other);
    pair.low_ = std::min(pair.low_, difference);
    pair.high_ = std::max(pair.high_, difference);
  }
}

auto FairnessMeter::SampleSlots(int aBusy, int aTotal, Instant aNow) -> void
{
  const auto step = std::chrono::duration<double>(aNow - lastSample_).count();
  lastSample_ = aNow;
  if (!AnyWaiting()) {
    return;
  }
  const auto busy = std::min(aBusy, aTotal);
  busyTime_ += busy * step;
  slotTime_ += aTotal * step;
  recentBusy_ += busy * step;
  recentSlots_ += aTotal * step;
}

auto FairnessMeter::SampleShares(Instant aNow) -> void
{
  Snapshot snapshot{ aNow, {} };
  for (const auto& account : accounts_) {
    snapshot.service_.push_back(account.service_);
  }
  snapshots_.push_back(std::move(snapshot));
  while (aNow - snapshots_.front().at_ > kShareWindow) {
    snapshots_.pop_front();
  }
  const auto& first = snapshots_.front();
  if (aNow - first.at_ < kShareWindow) {
    return;
  }
  double tokens = 0;
  double weights = 0;
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    const auto& account = accounts_[i];
    if (account.waiting_ > 0 && account.waitingSince_ <= first.at_) {
      tokens += (account.service_ - first.service_[i]) * account.weight_;
      weights += account.weight_;
    }
  }
  const auto fair = weights > 0 ? tokens / weights : 0;
  for (std::size_t i = 0; fair > 0 && i < accounts_.size(); ++i) {
    const auto& account = accounts_[i];
    if (account.waiting_ > 0 && account.waitingSince_ <= first.at_) {
      minShare_ =
        std::min(minShare_, (account.service_ - first.service_[i]) / fair);
    }
  }
}

auto FairnessMeter::Reset(Instant aNow) -> void
{
  gaps_.clear();
  maxGap_ = 0;
  minShare_ = 1e9;
  busyTime_ = 0;
  slotTime_ = 0;
  snapshots_.clear();
  lastSample_ = aNow;
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    if (accounts_[i].waiting_ > 0) {
      BeginPairs(i);
    }
  }
}

auto FairnessMeter::Close() -> void
{
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    for (std::size_t j = i + 1; j < accounts_.size(); ++j) {
      if (accounts_[i].waiting_ > 0 && accounts_[j].waiting_ > 0) {
        EndPair(i, j);
      }
    }
  }
}

auto FairnessMeter::MaxGap() const -> double
{
  auto gap = maxGap_;
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    for (std::size_t j = i + 1; j < accounts_.size(); ++j) {
      if (accounts_[i].waiting_ > 0 && accounts_[j].waiting_ > 0) {
        const auto& pair = pairs_[i * accounts_.size() + j];
        gap = std::max(gap, pair.high_ - pair.low_);
      }
    }
  }
  return gap;
}

auto FairnessMeter::GapPercentile(double aPercent) const -> double
{
  if (gaps_.empty()) {
    return 0;
  }
  auto gaps = gaps_;
  const auto place = static_cast<std::ptrdiff_t>(
    aPercent / 100.0 * static_cast<double>(gaps.size() - 1));
  std::nth_element(gaps.begin(), gaps.begin() + place, gaps.end());
  return gaps[static_cast<std::size_t>(place)];
}

auto FairnessMeter::MinShare() const -> double
{
  return minShare_ > 1e8 ? 1.0 : minShare_;
}

auto FairnessMeter::Utilisation() const -> double
{
  return slotTime_ > 0 ? busyTime_ / slotTime_ : 1.0;
}

auto FairnessMeter::TakeRecentUtilisation() -> double
{
  const auto busy = std::exchange(recentBusy_, 0);
  const auto slots = std::exchange(recentSlots_, 0);
  return slots > 0 ? busy / slots : 1.0;
}

auto FairnessMeter::AnyWaiting() const -> bool
{
  return std::any_of(
    accounts_.begin(), accounts_.end(),
    [](const Account& aAccount) { return aAccount.waiting_ > 0; });
}

auto FairnessMeter::Service(int aAccount) const -> double
{
  return accounts_[static_cast<std::size_t>(aAccount)].service_;
}

} // namespace burdockring
