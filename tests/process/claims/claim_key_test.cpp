#include "process/claims/claim_key.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

TEST(ClaimKey, ReadsTheTimeOfAUuid7)
{
  const auto key = MakeUuid7(WallTime(1'700'000'000'123), 1, 2);
  EXPECT_EQ(ParseKeyTime(key), WallTime(1'700'000'000'123));
}

TEST(ClaimKey, RejectsInvalidUuids)
{
  EXPECT_FALSE(ParseKeyTime(""));
  EXPECT_FALSE(ParseKeyTime("not a key"));
  EXPECT_FALSE(ParseKeyTime("01890a5d-ac96-4abc-8def-000000000000"));
  EXPECT_FALSE(ParseKeyTime("01890a5d-ac96-7abc-8def-00000000000g"));
}

TEST(ClaimKey, IgnoresCaseAndSeparatesAccounts)
{
  const AccountId one{ 1 };
  EXPECT_EQ(MakeClaimKey(one, "ABC"), MakeClaimKey(one, "abc"));
  EXPECT_NE(MakeClaimKey(one, "abc"), MakeClaimKey(AccountId{ 2 }, "abc"));
}

} // namespace
} // namespace burdockring
