#include "process/admission/account_shares.h"

#include <algorithm>
#include <limits>

namespace burdockring {
namespace {

struct StandingRow
{
  ShareStanding standing_;
  std::string_view name_;
};

constexpr std::array kStandingTable{
  StandingRow{ ShareStanding::kGuaranteed, "owed" },
  StandingRow{ ShareStanding::kFair, "fair" },
  StandingRow{ ShareStanding::kBeyondShare, "beyond" },
};

/// More tokens than any router handles in a window. Counts in a garbled report
/// are clamped to it.
constexpr std::int64_t kMaxPeerCount = 1'000'000'000'000;

} // namespace

auto ShareStandingName(ShareStanding aStanding) -> std::string_view
{
  return kStandingTable.at(static_cast<std::size_t>(aStanding)).name_;
}

auto AccountShares::AdvanceWindow(Instant aNow) -> void
{
  const std::int64_t bucket = aNow / kBucketSpan;
  if (bucket <= bucket_) {
    return;
  }
  const auto steps =
    std::min<std::int64_t>(bucket - bucket_, static_cast<int>(kBuckets));
  for (std::int64_t step = 1; step <= steps; ++step) {
    const auto index = static_cast<std::size_t>(bucket_ + step) % kBuckets;
    for (auto& entry : local_) {
      auto& window = entry.second;
      window.sum_.demand_ -= window.buckets_[index].demand_;
      window.sum_.charged_ -= window.buckets_[index].charged_;
      window.buckets_[index] = {};
    }
  }
  bucket_ = bucket;
  std::erase_if(local_, [](const auto& aEntry) {
    return aEntry.second.sum_.demand_ == 0 && aEntry.second.sum_.charged_ == 0;
  });
}

auto AccountShares::SumPeers(Instant aNow) -> void
{
  std::erase_if(peers_, [&](const auto& aEntry) {
    return aNow - aEntry.second.at_ > kPeerTimeout;
  });
  peerSums_.clear();
  for (const auto& peer : peers_) {
    for (const auto& entry : peer.second.accounts_) {
      auto& sum = peerSums_[AccountId{ entry.first }];
      sum.demand_ += entry.second.askedTokens;
      sum.charged_ += entry.second.givenTokens;
    }
  }
}

auto AccountShares::MaxMinLevel(const std::vector<double>& aDemands,
                                double aCapacity) -> double
{
  auto remaining = aCapacity;
  auto count = static_cast<double>(aDemands.size());
  for (const auto demand : aDemands) {
    if (demand * count > remaining) {
      return remaining / count;
    }
    remaining -= demand;
    count -= 1.0;
  }
  return std::numeric_limits<double>::infinity();
}

auto AccountShares::RefreshLevels(Instant aNow) -> void
{
  if (aNow - lastLevelRefresh_ < kLevelRefreshInterval &&
      lastLevelRefresh_ != 0us) {
    return;
  }
  lastLevelRefresh_ = aNow;
  AdvanceWindow(aNow);
  SumPeers(aNow);
  std::map<AccountId, std::int64_t> demandByAccount;
  levels_ = {};
  for (const auto& entry : local_) {
    demandByAccount[entry.first] += entry.second.sum_.demand_;
    levels_.charged_ += entry.second.sum_.charged_;
  }
  for (const auto& entry : peerSums_) {
    demandByAccount[entry.first] += entry.second.demand_;
    levels_.charged_ += entry.second.charged_;
  }
  std::vector<double> demands;
  for (const auto& entry : demandByAccount) {
    demands.push_back(static_cast<double>(entry.second));
    levels_.demand_ += entry.second;
  }
  std::sort(demands.begin(), demands.end());
  const double charged = static_cast<double>(levels_.charged_);
  double guaranteed =
    tokensPerSecond_ * std::chrono::duration<double>(kWindow).count();
  if (aNow < saturatedUntil_) {
    guaranteed = std::min(guaranteed, charged * kSaturatedHeadroom);
  }
  levels_.guaranteedLevel_ = MaxMinLevel(demands, guaranteed);
  levels_.fairLevel_ = MaxMinLevel(demands, std::max(guaranteed, charged));
}

auto AccountShares::Total(AccountId aAccount) const -> Amounts
{
  Amounts total;
  if (const auto local = local_.find(aAccount); local != local_.end()) {
    total = local->second.sum_;
  }
  if (const auto peers = peerSums_.find(aAccount); peers != peerSums_.end()) {
    total.demand_ += peers->second.demand_;
    total.charged_ += peers->second.charged_;
  }
  return total;
}

auto AccountShares::SetTokensPerSecond(double aTokens) -> void
{
  tokensPerSecond_ = aTokens;
  lastLevelRefresh_ = {};
}

auto AccountShares::OnSaturated(Instant aNow) -> void
{
  // The measured throughput covers one window.
  saturatedUntil_ = aNow + kWindow;
}

auto AccountShares::AddDemand(AccountId aAccount,
                              std::int64_t aTokens,
                              Instant aNow) -> void
{
  AdvanceWindow(aNow);
  auto& window = local_[aAccount];
  window.buckets_[static_cast<std::size_t>(bucket_) % kBuckets].demand_ +=
    aTokens;
  window.sum_.demand_ += aTokens;
}

auto AccountShares::Charge(AccountId aAccount,
                           std::int64_t aTokens,
                           Instant aNow) -> void
{
  AdvanceWindow(aNow);
  auto& window = local_[aAccount];
  window.buckets_[static_cast<std::size_t>(bucket_) % kBuckets].charged_ +=
    aTokens;
  window.sum_.charged_ += aTokens;
}

auto AccountShares::SetPeerUsage(RouterId aPeer,
                                 const std::vector<wire::AccountUse>& aAccounts,
                                 bool aPartial,
                                 Instant aNow) -> void
{
  auto& peer = peers_[aPeer];
  peer.at_ = aNow;
  if (!aPartial) {
    peer.accounts_.clear();
  }
  for (const auto& usage : aAccounts) {
    auto& row = peer.accounts_[usage.account];
    row = usage;
    row.askedTokens =
      std::clamp<std::int64_t>(usage.askedTokens, 0, kMaxPeerCount);
    row.givenTokens =
      std::clamp<std::int64_t>(usage.givenTokens, 0, kMaxPeerCount);
  }
}

auto AccountShares::StandingWith(AccountId aAccount,
                                 std::int64_t aTokens,
                                 Instant aNow) -> ShareStanding
{
  if (tokensPerSecond_ <= 0) {
    return ShareStanding::kGuaranteed;
  }
  RefreshLevels(aNow);
  const auto total = static_cast<double>(Total(aAccount).charged_ + aTokens);
  if (total <= levels_.guaranteedLevel_) {
    return ShareStanding::kGuaranteed;
  }
  return total <= levels_.fairLevel_ ? ShareStanding::kFair
                                     : ShareStanding::kBeyondShare;
}

auto AccountShares::ChargedTo(AccountId aAccount, Instant aNow) -> std::int64_t
{
  RefreshLevels(aNow);
  return Total(aAccount).charged_;
}

auto AccountShares::CurrentLevels() const -> const Levels&
{
  return levels_;
}

auto AccountShares::LocalUsage(Instant aNow) -> std::vector<wire::AccountUse>
{
  AdvanceWindow(aNow);
  std::vector<wire::AccountUse> usages;
  for (const auto& entry : local_) {
    wire::AccountUse usage;
    usage.account = entry.first.value_;
    usage.askedTokens = entry.second.sum_.demand_;
    usage.givenTokens = entry.second.sum_.charged_;
    usages.push_back(usage);
  }
  return usages;
}

} // namespace burdockring
