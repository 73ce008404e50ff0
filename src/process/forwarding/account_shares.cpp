#include "process/forwarding/account_shares.h"

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
  StandingRow{ ShareStanding::kOwed, "owed" },
  StandingRow{ ShareStanding::kFair, "fair" },
  StandingRow{ ShareStanding::kBeyond, "beyond" },
};

/// More tokens than any router handles in a window; garbled counts stay within
/// it.
constexpr std::int64_t kMostOfPeer = 1'000'000'000'000;

} // namespace

auto ShareStandingName(ShareStanding aStanding) -> std::string_view
{
  return kStandingTable.at(static_cast<std::size_t>(aStanding)).name_;
}

auto AccountShares::Advance(Instant aNow) -> void
{
  const std::int64_t bucket = aNow / kBucketSpan;
  if (bucket <= bucket_) {
    return;
  }
  const auto steps =
    std::min<std::int64_t>(bucket - bucket_, static_cast<int>(kBuckets));
  for (std::int64_t step = 1; step <= steps; ++step) {
    const auto index = static_cast<std::size_t>(bucket_ + step) % kBuckets;
    for (auto& entry : own_) {
      auto& window = entry.second;
      window.sum_.asked_ -= window.buckets_[index].asked_;
      window.sum_.given_ -= window.buckets_[index].given_;
      window.buckets_[index] = {};
    }
  }
  bucket_ = bucket;
  std::erase_if(own_, [](const auto& aEntry) {
    return aEntry.second.sum_.asked_ == 0 && aEntry.second.sum_.given_ == 0;
  });
}

auto AccountShares::SumPeers(Instant aNow) -> void
{
  std::erase_if(peers_, [&](const auto& aEntry) {
    return aNow - aEntry.second.at_ > kPeerLife;
  });
  peerSums_.clear();
  for (const auto& peer : peers_) {
    for (const auto& entry : peer.second.accounts_) {
      auto& sum = peerSums_[AccountId{ entry.first }];
      sum.asked_ += entry.second.askedTokens;
      sum.given_ += entry.second.givenTokens;
    }
  }
}

auto AccountShares::FindLevel(const std::vector<double>& aAsked, double aPool)
  -> double
{
  auto left = aPool;
  auto count = static_cast<double>(aAsked.size());
  for (const auto amount : aAsked) {
    if (amount * count > left) {
      return left / count;
    }
    left -= amount;
    count -= 1.0;
  }
  return std::numeric_limits<double>::infinity();
}

auto AccountShares::RefreshLevels(Instant aNow) -> void
{
  if (aNow - lastLevel_ < kLevelInterval && lastLevel_ != 0us) {
    return;
  }
  lastLevel_ = aNow;
  Advance(aNow);
  SumPeers(aNow);
  std::map<AccountId, std::int64_t> sums;
  levels_ = {};
  for (const auto& entry : own_) {
    sums[entry.first] += entry.second.sum_.asked_;
    levels_.given_ += entry.second.sum_.given_;
  }
  for (const auto& entry : peerSums_) {
    sums[entry.first] += entry.second.asked_;
    levels_.given_ += entry.second.given_;
  }
  std::vector<double> asked;
  for (const auto& entry : sums) {
    asked.push_back(static_cast<double>(entry.second));
    levels_.asked_ += entry.second;
  }
  std::sort(asked.begin(), asked.end());
  const double now = static_cast<double>(levels_.given_);
  double sure =
    tokensPerSecond_ * std::chrono::duration<double>(kWindow).count();
  if (aNow < saturatedUntil_) {
    sure = std::min(sure, now * kGrowth);
  }
  levels_.owed_ = FindLevel(asked, sure);
  levels_.fair_ = FindLevel(asked, std::max(sure, now));
}

auto AccountShares::Total(AccountId aAccount) const -> Amounts
{
  Amounts total;
  if (const auto own = own_.find(aAccount); own != own_.end()) {
    total = own->second.sum_;
  }
  if (const auto peers = peerSums_.find(aAccount); peers != peerSums_.end()) {
    total.asked_ += peers->second.asked_;
    total.given_ += peers->second.given_;
  }
  return total;
}

auto AccountShares::SetTokensPerSecond(double aTokens) -> void
{
  tokensPerSecond_ = aTokens;
  lastLevel_ = {};
}

auto AccountShares::NoteSaturated(Instant aNow) -> void
{
  // What was given is known for one window.
  saturatedUntil_ = aNow + kWindow;
}

auto AccountShares::Ask(AccountId aAccount, std::int64_t aTokens, Instant aNow)
  -> void
{
  Advance(aNow);
  auto& window = own_[aAccount];
  window.buckets_[static_cast<std::size_t>(bucket_) % kBuckets].asked_ +=
    aTokens;
  window.sum_.asked_ += aTokens;
}

auto AccountShares::Give(AccountId aAccount, std::int64_t aTokens, Instant aNow)
  -> void
{
  Advance(aNow);
  auto& window = own_[aAccount];
  window.buckets_[static_cast<std::size_t>(bucket_) % kBuckets].given_ +=
    aTokens;
  window.sum_.given_ += aTokens;
}

auto AccountShares::SetPeer(RouterId aPeer,
                            const std::vector<wire::AccountUse>& aAccounts,
                            bool aPartial,
                            Instant aNow) -> void
{
  auto& peer = peers_[aPeer];
  peer.at_ = aNow;
  if (!aPartial) {
    peer.accounts_.clear();
  }
  for (const auto& use : aAccounts) {
    auto& known = peer.accounts_[use.account];
    known = use;
    known.askedTokens =
      std::clamp<std::int64_t>(use.askedTokens, 0, kMostOfPeer);
    known.givenTokens =
      std::clamp<std::int64_t>(use.givenTokens, 0, kMostOfPeer);
  }
}

auto AccountShares::Standing(AccountId aAccount,
                             std::int64_t aTokens,
                             Instant aNow) -> ShareStanding
{
  if (tokensPerSecond_ <= 0) {
    return ShareStanding::kOwed;
  }
  RefreshLevels(aNow);
  const auto with = static_cast<double>(Total(aAccount).given_ + aTokens);
  if (with <= levels_.owed_) {
    return ShareStanding::kOwed;
  }
  return with <= levels_.fair_ ? ShareStanding::kFair : ShareStanding::kBeyond;
}

auto AccountShares::Given(AccountId aAccount, Instant aNow) -> std::int64_t
{
  RefreshLevels(aNow);
  return Total(aAccount).given_;
}

auto AccountShares::CurrentLevels() const -> const Levels&
{
  return levels_;
}

auto AccountShares::OwnUse(Instant aNow) -> std::vector<wire::AccountUse>
{
  Advance(aNow);
  std::vector<wire::AccountUse> uses;
  for (const auto& entry : own_) {
    wire::AccountUse use;
    use.account = entry.first.value_;
    use.askedTokens = entry.second.sum_.asked_;
    use.givenTokens = entry.second.sum_.given_;
    uses.push_back(use);
  }
  return uses;
}

} // namespace burdockring
