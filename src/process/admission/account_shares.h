#ifndef BURDOCKRING_PROCESS_ADMISSION_ACCOUNT_SHARES_H
#define BURDOCKRING_PROCESS_ADMISSION_ACCOUNT_SHARES_H

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

/// How the usage of an account compares with its max-min fair share.
enum class ShareStanding
{
  /// Within its share of the pool's guaranteed capacity.
  kGuaranteed,
  /// Within its share of the pool's current throughput.
  kFair,
  kBeyondShare,
};

/// The name in logs and messages, for example "beyond".
auto ShareStandingName(ShareStanding aStanding) -> std::string_view;

/// Tracks the usage of client accounts and compares it with their max-min fair
/// shares of the pool.
///
/// Sums the tokens that each account requested and was charged for during the
/// last kWindow, by this router and by its peers as last reported. The share is
/// the level at which the sum of min(demand, level) over all accounts equals
/// the capacity of the pool. There are two levels: one for the guaranteed
/// capacity and one for the current throughput, which is higher where prompts
/// are cached. While the pool is saturated, that is, while requests within
/// their share find no capacity, the guaranteed capacity is bounded by the
/// measured throughput, whatever the configured rate.
///
/// Load pattern: one account sends many times its usual load while the others
/// stay small; the others are served as if it were absent. The same holds while
/// some targets are lost or slow.
class AccountShares
{
public:
  /// Length of the sliding window.
  static constexpr Duration kWindow = 4s;

  /// Totals over all routers for one window, in tokens, and the resulting
  /// levels.
  struct Levels
  {
    std::int64_t demand_ = 0;
    std::int64_t charged_ = 0;
    /// Most that one account may use of the guaranteed capacity and of the
    /// current throughput.
    double guaranteedLevel_ = 0;
    double fairLevel_ = 0;
  };

private:
  static constexpr std::size_t kBuckets = 8;
  static constexpr Duration kBucketSpan = kWindow / kBuckets;
  /// The usage of a peer that has not reported for this long is ignored.
  static constexpr Duration kPeerTimeout = 1500ms;
  /// Most that a saturated pool is assumed to deliver in a window, as a
  /// multiple of its throughput in the last one. The headroom allows for a pool
  /// that is saturated only in places. If three of four accounts reach this
  /// multiple of their share, the fourth still gets more than half of its own,
  /// which is what accounts are promised.
  static constexpr double kSaturatedHeadroom = 1.15;
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
  /// The pool counts as saturated until then.
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
  /// Zero means that the rate of the pool is unknown; every account then counts
  /// as within its guaranteed share.
  auto SetTokensPerSecond(double aTokens) -> void;
  /// Called when a request within its share finds no capacity, here or at a
  /// peer.
  auto OnSaturated(Instant aNow) -> void;
  auto AddDemand(AccountId aAccount, std::int64_t aTokens, Instant aNow)
    -> void;
  /// A negative amount refunds tokens of a request that did not run after all.
  auto Charge(AccountId aAccount, std::int64_t aTokens, Instant aNow) -> void;
  /// If aPartial, the rows update the previous report; otherwise they replace
  /// it.
  auto SetPeerUsage(RouterId aPeer,
                    const std::vector<wire::AccountUse>& aAccounts,
                    bool aPartial,
                    Instant aNow) -> void;
  /// Standing of the account if it were charged aTokens more.
  auto StandingWith(AccountId aAccount, std::int64_t aTokens, Instant aNow)
    -> ShareStanding;
  /// Tokens charged to the account in the last window.
  auto ChargedTo(AccountId aAccount, Instant aNow) -> std::int64_t;
  /// As of the last call to StandingWith() or ChargedTo().
  [[nodiscard]] auto CurrentLevels() const -> const Levels&;
  /// Usage counted by this router, to report to the peers.
  auto LocalUsage(Instant aNow) -> std::vector<wire::AccountUse>;
};

} // namespace burdockring

#endif
