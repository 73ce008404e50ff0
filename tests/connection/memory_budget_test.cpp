#include "connection/memory_budget.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

// Guards against an account that drifts away from what is held, which would
// reject everything, or nothing, after some days.
TEST(MemoryBudget, ChargesAreGivenBack)
{
  MemoryBudget budget(1000);
  {
    MemoryCharge body(&budget, MemoryPurpose::kRequestBody);
    MemoryCharge head(&budget, MemoryPurpose::kHead);
    body.Set(700);
    head.Set(50);
    EXPECT_EQ(budget.Held(), 750U);
    EXPECT_EQ(budget.HeldFor(MemoryPurpose::kRequestBody), 700U);
    EXPECT_EQ(budget.Level(), MemoryLevel::kReject);
    body.Set(100);
    EXPECT_EQ(budget.Held(), 150U);
    EXPECT_EQ(budget.Level(), MemoryLevel::kFree);
  }
  EXPECT_EQ(budget.Held(), 0U);
  EXPECT_EQ(budget.HeldFor(MemoryPurpose::kRequestBody), 0U);
}

TEST(MemoryBudget, LimitMayChangeWhileBytesAreHeld)
{
  MemoryBudget budget(1000);
  MemoryCharge body(&budget, MemoryPurpose::kRequestBody);
  body.Set(400);
  budget.SetLimit(400);
  EXPECT_EQ(budget.Level(), MemoryLevel::kClose);
  EXPECT_FALSE(budget.Pressure().MayHold(budget.Held(), 0, 1));
}

TEST(MemoryBudget, EveryPurposeAndActionHasItsPlaceInTheTables)
{
  for (std::size_t i = 0; i < kMemoryPurposes.size(); ++i) {
    EXPECT_EQ(static_cast<std::size_t>(kMemoryPurposes.at(i).purpose_), i);
  }
  for (std::size_t i = 0; i < kMemoryActions.size(); ++i) {
    EXPECT_EQ(static_cast<std::size_t>(kMemoryActions.at(i).action_), i);
  }
}

} // namespace
} // namespace burdockring
