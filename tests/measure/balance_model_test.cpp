#include "measure/balance_model.h"

#include <gtest/gtest.h>
#include <tuple>

namespace burdockring {
namespace {

/// Age of the load data in ms, number of routers, unequal engines, seed.
using CaseParameters = std::tuple<int, int, bool, int>;

class BalanceModelTest : public testing::TestWithParam<CaseParameters>
{
protected:
  [[nodiscard]] static auto MakeCase(bool aSharedParts) -> BalanceCase
  {
    const auto [age, routers, unequal, seed] = GetParam();
    return { std::chrono::milliseconds(age), routers, unequal, aSharedParts,
             static_cast<std::uint64_t>(seed) };
  }
};

// Guards against routers that all send their next requests to the same engines
// because they have the same outdated load data.
TEST_P(BalanceModelTest, WaitIsAtMostHalfWayToPerfectKnowledge)
{
  const auto balanceCase = MakeCase(false);
  const auto perfect = RunBalanceCase(balanceCase, BalanceMethod::kPerfect);
  const auto present = RunBalanceCase(balanceCase, BalanceMethod::kLeastCost);
  const auto turns = RunBalanceCase(balanceCase, BalanceMethod::kTurns);
  EXPECT_LE(turns.waitP99Ms_, (perfect.waitP99Ms_ + present.waitP99Ms_) / 2);
}

// Guards against spreading that gives up cached prompt parts. With two routers,
// the engines that hold the parts bound the wait: there the half way is not
// reached (docs/design/even-load.md), so that only the direction is required.
TEST_P(BalanceModelTest, SpreadingKeepsCachedPartsAndShortensTheWait)
{
  const auto balanceCase = MakeCase(true);
  const auto perfect = RunBalanceCase(balanceCase, BalanceMethod::kPerfect);
  const auto present = RunBalanceCase(balanceCase, BalanceMethod::kLeastCost);
  const auto turns = RunBalanceCase(balanceCase, BalanceMethod::kTurns);
  EXPECT_GE(turns.cachedShare_, present.cachedShare_);
  EXPECT_LE(turns.waitP99Ms_, balanceCase.routers_ > 2
                                ? (perfect.waitP99Ms_ + present.waitP99Ms_) / 2
                                : present.waitP99Ms_);
}

INSTANTIATE_TEST_SUITE_P(Ages,
                         BalanceModelTest,
                         testing::Combine(testing::Values(20, 100),
                                          testing::Values(2, 12, 60),
                                          testing::Bool(),
                                          testing::Values(1, 2)));

// Without an age nothing is unseen, and the decision is the present one.
TEST(BalanceModelCurrentDataTest, NothingChangesWithCurrentData)
{
  for (const bool unequal : { false, true }) {
    const BalanceCase balanceCase{ 0us, 12, unequal, true, 1 };
    const auto present = RunBalanceCase(balanceCase, BalanceMethod::kLeastCost);
    const auto turns = RunBalanceCase(balanceCase, BalanceMethod::kTurns);
    // Backlogs are rounded in parts, which may decide between equal costs.
    EXPECT_NEAR(turns.waitP99Ms_, present.waitP99Ms_, 1.0);
    EXPECT_NEAR(turns.cachedShare_, present.cachedShare_, 0.001);
  }
}

} // namespace
} // namespace burdockring
