#include "process/sharing/target_slots.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

const ServiceId kService{ 1 };
const ZoneId kZone{ 1 };

auto Target(int aNumber) -> TargetId
{
  return TargetId{ aNumber };
}

class TargetSlotsTest : public testing::Test
{
protected:
  TargetSlots slots_;

  TargetSlotsTest()
  {
    ConfigSet set;
    for (int i = 1; i <= 4; ++i) {
      TargetObject target;
      target.id_ = Target(i);
      target.service_ = kService;
      target.zone_ = kZone;
      target.slots_ = 8;
      set.targets_[target.id_] = target;
    }
    slots_.Configure(set, kService, kZone);
  }

  auto Report(int aTarget, const TargetStats& aStats, Instant aNow) -> void
  {
    slots_.Observe(Target(aTarget), aStats, aNow);
  }
};

TEST_F(TargetSlotsTest, ChoosesTheLargestFreeShare)
{
  slots_.AddUsed(Target(1), 3);
  slots_.AddUsed(Target(2), 2);
  slots_.AddUsed(Target(3), 5);
  slots_.AddUsed(Target(4), 4);
  EXPECT_EQ(slots_.ChooseFree(0s), Target(2));
  EXPECT_EQ(slots_.TotalFree(0s), 18);
}

TEST_F(TargetSlotsTest, LeavingTargetHasNoLimit)
{
  slots_.SetLeaving({ Target(1) });
  EXPECT_EQ(slots_.Limit(Target(1), 0s), 0);
  EXPECT_EQ(slots_.TotalLimit(0s), 24);
}

TEST_F(TargetSlotsTest, FailingTargetIsEjectedProbedAndRestored)
{
  Report(1, { 0, 3, 0, 0us }, 1s);
  EXPECT_TRUE(slots_.IsEjected(Target(1)));
  EXPECT_EQ(slots_.Limit(Target(1), 2s), 0);
  EXPECT_EQ(slots_.Limit(Target(1), 4s), 1);
  Report(1, { 1, 0, 0, 0us }, 5s);
  EXPECT_EQ(slots_.Limit(Target(1), 5s), 8);
}

TEST_F(TargetSlotsTest, NeverEjectsMoreThanHalf)
{
  for (int i = 1; i <= 4; ++i) {
    Report(i, { 0, 10, 0, 0us }, 1s);
  }
  EXPECT_EQ(slots_.TotalLimit(1s), 16);
}

TEST_F(TargetSlotsTest, SlowTargetLimitShrinksAndRecovers)
{
  for (int second = 1; second <= 10; ++second) {
    for (int i = 1; i <= 4; ++i) {
      Report(i, { 1, 0, 0, i == 1 ? Duration(50ms) : Duration(5ms) },
             std::chrono::seconds(second));
    }
    slots_.AdaptLimits(std::chrono::seconds(second));
  }
  EXPECT_EQ(slots_.Limit(Target(1), 10s), 1);
  EXPECT_EQ(slots_.Limit(Target(2), 10s), 8);
  for (int second = 11; second <= 40; ++second) {
    Report(1, { 1, 0, 0, 5ms }, std::chrono::seconds(second));
    slots_.AdaptLimits(std::chrono::seconds(second));
  }
  EXPECT_EQ(slots_.Limit(Target(1), 40s), 8);
}

TEST_F(TargetSlotsTest, RefusalsShrinkTheLimit)
{
  Report(1, { 0, 0, 2, 0us }, 1s);
  slots_.AdaptLimits(2s);
  EXPECT_LT(slots_.Limit(Target(1), 2s), 8);
}

} // namespace
} // namespace burdockring
