#include "process/forwarding/account_shares.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

const auto kSmall = MakeId<AccountId>("small");
const auto kLarge = MakeId<AccountId>("large");

auto Use(AccountId aAccount, std::int64_t aAsked, std::int64_t aGiven)
  -> wire::AccountUse
{
  wire::AccountUse use;
  use.account = aAccount.value_;
  use.askedTokens = aAsked;
  use.givenTokens = aGiven;
  return use;
}

TEST(AccountShares, AllAreOwedWhileThePoolIsNotKnown)
{
  AccountShares shares;
  shares.Give(kLarge, 1'000'000, 1s);
  EXPECT_EQ(shares.Standing(kLarge, 1'000'000, 1s), ShareStanding::kOwed);
}

TEST(AccountShares, FloodingAccountIsBeyondAndTheOthersAreNot)
{
  AccountShares shares;
  shares.SetTokensPerSecond(1000);
  shares.Ask(kSmall, 1000, 10s);
  shares.Ask(kLarge, 100'000, 10s);
  shares.Give(kLarge, 3500, 10s);
  EXPECT_EQ(shares.Standing(kLarge, 100, 10s), ShareStanding::kBeyond);
  EXPECT_EQ(shares.Standing(kSmall, 1000, 10s), ShareStanding::kOwed);
}

TEST(AccountShares, LevelRisesWithWhatThePoolGives)
{
  AccountShares shares;
  shares.SetTokensPerSecond(1000);
  shares.Ask(kSmall, 100'000, 10s);
  shares.Ask(kLarge, 100'000, 10s);
  shares.Give(kSmall, 3000, 10s);
  shares.Give(kLarge, 9000, 10s);
  // 12,000 are given where 4,000 are sure: 6,000 for each.
  EXPECT_EQ(shares.Standing(kSmall, 100, 10s), ShareStanding::kFair);
  EXPECT_EQ(shares.Standing(kLarge, 100, 10s), ShareStanding::kBeyond);
}

TEST(AccountShares, PeersCountAndFallSilent)
{
  AccountShares shares;
  shares.SetTokensPerSecond(1000);
  shares.Ask(kSmall, 100'000, 10s);
  shares.SetPeer(MakeId<RouterId>("peer"),
                 { Use(kLarge, 100'000, 0), Use(kSmall, 0, 3900) }, false, 10s);
  EXPECT_EQ(shares.Standing(kSmall, 10, 10s), ShareStanding::kBeyond);
  EXPECT_EQ(shares.Standing(kSmall, 10, 12s), ShareStanding::kOwed);
}

TEST(AccountShares, WhatIsLongAgoCountsNoMore)
{
  AccountShares shares;
  shares.SetTokensPerSecond(1000);
  shares.Ask(kLarge, 100'000, 10s);
  shares.Ask(kSmall, 100'000, 10s);
  shares.Give(kLarge, 100'000, 10s);
  EXPECT_EQ(shares.Standing(kLarge, 10, 10s), ShareStanding::kBeyond);
  EXPECT_EQ(shares.Standing(kLarge, 10, 15s), ShareStanding::kOwed);
  EXPECT_TRUE(shares.OwnUse(15s).empty());
}

} // namespace
} // namespace burdockring
