#ifndef BURDOCKRING_PROCESS_FORWARDING_ACCOUNT_SHARES_H
#define BURDOCKRING_PROCESS_FORWARDING_ACCOUNT_SHARES_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace burdockring {

/// How an account stands against its max-min share.
enum class ShareStanding
{
  /// Within its share of what the pool is sure to give.
  kGuaranteed,
  /// Within its share of what the pool gives now.
  kFair,
  kBeyondShare,
};

/// The printed word, as "beyond".
auto ShareStandingName(ShareStanding aStanding) -> std::string_view;

/// Which client accounts are within their max-min share of the pool.
///
/// Counts what each account asked for and was given in the last kWindow, in
/// tokens, here and as the peers last told. The share is the level at which
/// min(asked, level), summed over all accounts, fills the pool: what it is sure
/// to give, and what it gives now, which is more where prompts are kept. While
/// requests within their share find no room, the pool is sure to give no more
/// than it does, whatever the configuration says of it.
///
/// Load pattern: one account sends many times its usual while the others stay
/// small; they are served as if it weren't there. The same while a part of the
/// targets is lost or slow.
class AccountShares
{
public:
  /// Span over which the shares are owed.
  static constexpr Duration kWindow = 4s;

  /// Sums of a window over all routers, in tokens, and the shares that follow.
  struct Levels
  {
    std::int64_t demand_ = 0;
    std::int64_t charged_ = 0;
    /// What one account may have of what is sure, and of what is given now.
    double guaranteedLevel_ = 0;
    double fairLevel_ = 0;
  };

private:
  static constexpr std::size_t kBuckets = 8;
  static constexpr Duration kBucketSpan = kWindow / kBuckets;
  /// A peer that was silent for so long is left out.
  static constexpr Duration kPeerTimeout = 1500ms;
  /// What a full pool may come to give within a window, as a multiple of what
  /// it gave in the last: room for a pool that is full in places only. Three of
  /// four accounts at this multiple of their share leave the fourth over half
  /// of its own, which is what accounts are promised.
  static constexpr double kSaturatedHeadroom = 1.15;
  /// How often the level is worked out anew.
  static constexpr Duration kLevelRefreshInterval = 50ms;

  struct Amounts
  {
    std::int64_t demand_ = 0;
    std::int64_t charged_ = 0;
  };

  struct Window
  {
    std::array<Amounts, kBuckets> buckets_;
    Amounts sum_;
  };

  struct PeerUsage
  {
    Instant at_{};
    std::map<std::int32_t, wire::AccountUse> accounts_;
  };

  double tokensPerSecond_ = 0;
  /// Until when the pool counts as full.
  Instant saturatedUntil_{};
  std::map<AccountId, Window> local_;
  std::map<RouterId, PeerUsage> peers_;
  std::map<AccountId, Amounts> peerSums_;
  std::int64_t bucket_ = 0;
  Instant lastLevelRefresh_{};
  Levels levels_;

  auto AdvanceWindow(Instant aNow) -> void;
  auto SumPeers(Instant aNow) -> void;
  auto RefreshLevels(Instant aNow) -> void;
  [[nodiscard]] static auto MaxMinLevel(const std::vector<double>& aDemands,
                                        double aCapacity) -> double;
  [[nodiscard]] auto Total(AccountId aAccount) const -> Amounts;

public:
  /// Zero: the pool's rate isn't known, and every account is within its share.
  auto SetTokensPerSecond(double aTokens) -> void;
  /// A request within its share found no room, here or at a peer.
  auto OnSaturated(Instant aNow) -> void;
  auto AddDemand(AccountId aAccount, std::int64_t aTokens, Instant aNow)
    -> void;
  /// Less than none takes back what did not run after all.
  auto Charge(AccountId aAccount, std::int64_t aTokens, Instant aNow) -> void;
  /// Partial: the rows change what the peer told before.
  auto SetPeerUsage(RouterId aPeer,
                    const std::vector<wire::AccountUse>& aAccounts,
                    bool aPartial,
                    Instant aNow) -> void;
  /// How the account would stand with so much more.
  auto StandingWith(AccountId aAccount, std::int64_t aTokens, Instant aNow)
    -> ShareStanding;
  /// What the account was given in the last window, in tokens.
  auto ChargedTo(AccountId aAccount, Instant aNow) -> std::int64_t;
  /// As of the last question for a standing.
  [[nodiscard]] auto CurrentLevels() const -> const Levels&;
  /// This router's own part, for the peers.
  auto LocalUsage(Instant aNow) -> std::vector<wire::AccountUse>;
};

} // namespace burdockring

#endif
