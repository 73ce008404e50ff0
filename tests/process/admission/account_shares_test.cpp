#include "process/admission/account_shares.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

const auto kSmallAccount = MakeId<AccountId>("small");
const auto kLargeAccount = MakeId<AccountId>("large");

auto MakeUsage(AccountId aAccount, std::int64_t aDemand, std::int64_t aCharged)
  -> wire::AccountUse
{
  wire::AccountUse use;
  use.account = aAccount.value_;
  use.askedTokens = aDemand;
  use.givenTokens = aCharged;
  return use;
}

TEST(AccountShares, AllAreGuaranteedWhilePoolRateIsUnknown)
{
  AccountShares shares;
  shares.Charge(kLargeAccount, 1'000'000, 1s);
  EXPECT_EQ(shares.StandingWith(kLargeAccount, 1'000'000, 1s),
            ShareStanding::kGuaranteed);
}

TEST(AccountShares, OnlyTheFloodingAccountIsBeyondItsShare)
{
  AccountShares shares;
  shares.SetTokensPerSecond(1000);
  shares.AddDemand(kSmallAccount, 1000, 10s);
  shares.AddDemand(kLargeAccount, 100'000, 10s);
  shares.Charge(kLargeAccount, 3500, 10s);
  EXPECT_EQ(shares.StandingWith(kLargeAccount, 100, 10s),
            ShareStanding::kBeyondShare);
  EXPECT_EQ(shares.StandingWith(kSmallAccount, 1000, 10s),
            ShareStanding::kGuaranteed);
}

TEST(AccountShares, FairLevelRisesWithThroughput)
{
  AccountShares shares;
  shares.SetTokensPerSecond(1000);
  shares.AddDemand(kSmallAccount, 100'000, 10s);
  shares.AddDemand(kLargeAccount, 100'000, 10s);
  shares.Charge(kSmallAccount, 3000, 10s);
  shares.Charge(kLargeAccount, 9000, 10s);
  // 12,000 tokens are charged while 4,000 are guaranteed: 6,000 for each
  // account.
  EXPECT_EQ(shares.StandingWith(kSmallAccount, 100, 10s), ShareStanding::kFair);
  EXPECT_EQ(shares.StandingWith(kLargeAccount, 100, 10s),
            ShareStanding::kBeyondShare);
}

TEST(AccountShares, SilentPeerIsLeftOutAfterTimeout)
{
  AccountShares shares;
  shares.SetTokensPerSecond(1000);
  shares.AddDemand(kSmallAccount, 100'000, 10s);
  shares.SetPeerUsage(
    MakeId<RouterId>("peer"),
    { MakeUsage(kLargeAccount, 100'000, 0), MakeUsage(kSmallAccount, 0, 3900) },
    false, 10s);
  EXPECT_EQ(shares.StandingWith(kSmallAccount, 10, 10s),
            ShareStanding::kBeyondShare);
  EXPECT_EQ(shares.StandingWith(kSmallAccount, 10, 12s),
            ShareStanding::kGuaranteed);
}

TEST(AccountShares, UsageOutsideTheWindowIsDropped)
{
  AccountShares shares;
  shares.SetTokensPerSecond(1000);
  shares.AddDemand(kLargeAccount, 100'000, 10s);
  shares.AddDemand(kSmallAccount, 100'000, 10s);
  shares.Charge(kLargeAccount, 100'000, 10s);
  EXPECT_EQ(shares.StandingWith(kLargeAccount, 10, 10s),
            ShareStanding::kBeyondShare);
  EXPECT_EQ(shares.StandingWith(kLargeAccount, 10, 15s),
            ShareStanding::kGuaranteed);
  EXPECT_TRUE(shares.LocalUsage(15s).empty());
}

} // namespace
} // namespace burdockring
