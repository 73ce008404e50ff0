#include "support/fleet_fixture.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

auto MakeLayout() -> FleetLayout
{
  FleetLayout layout;
  layout.zones_ = 3;
  layout.routers_ = 9;
  layout.targets_ = 3;
  layout.accounts_ = 2;
  return layout;
}

class FleetConfigTest : public testing::Test
{
protected:
  FleetLayout layout_ = MakeLayout();
  FleetFixture world_{ layout_ };

  auto Publish(ConfigNumber aBase, int aAccounts) -> void
  {
    auto layout = layout_;
    layout.accounts_ = aAccounts;
    ConfigChange change;
    change.base_ = aBase;
    change.text_ = layout.ConfigText();
    change.changeId_ = MakeChangeId(aBase, change.text_);
    world_.fleet_.Log().Append(EncodeRecords({ change }));
  }

  auto VersionOf(int aRouter) -> ConfigNumber
  {
    const auto* node = world_.fleet_.Node(aRouter);
    return node == nullptr ? -1 : node->Config().Current().version_;
  }

  auto AccountsOf(int aRouter) -> std::size_t
  {
    return world_.fleet_.Node(aRouter)
      ->Config()
      .Current()
      .set_->accounts_.size();
  }
};

TEST_F(FleetConfigTest, RacingChangesGiveOneVersionEverywhere)
{
  Publish(1, 5);
  Publish(1, 6);
  world_.Run(3s);
  for (int i = 0; i < layout_.routers_; ++i) {
    EXPECT_EQ(VersionOf(i), 2);
    EXPECT_EQ(AccountsOf(i), 5U);
  }
}

TEST_F(FleetConfigTest,
       RouterThatMissedAChangeTakesItFromPeersWhileTheLogIsDown)
{
  world_.fleet_.Kill(4);
  Publish(1, 5);
  world_.Run(1s);
  world_.fleet_.CutPlatform(true);
  world_.fleet_.Restart(4);
  world_.Run(3s);
  EXPECT_EQ(VersionOf(4), 2);
  EXPECT_TRUE(world_.fleet_.IsUp(4));
}

TEST_F(FleetConfigTest, ForgottenChangesComeBackAsSnapshots)
{
  Publish(1, 5);
  world_.Run(90s);
  auto& log = world_.fleet_.Log();
  ASSERT_GT(log.End(), 2);
  log.Forget(2);
  for (int i = 0; i < layout_.routers_; ++i) {
    world_.fleet_.Kill(i);
  }
  for (int i = 0; i < layout_.routers_; ++i) {
    world_.fleet_.Restart(i);
  }
  world_.Run(3s);
  Publish(2, 7);
  world_.Run(3s);
  for (int i = 0; i < layout_.routers_; ++i) {
    EXPECT_EQ(VersionOf(i), 3);
    EXPECT_EQ(AccountsOf(i), 7U);
  }
}

TEST_F(FleetConfigTest, GarbledRecordsAreCountedAndChangeNothing)
{
  world_.fleet_.Log().Append("not a record");
  world_.fleet_.Log().Append("[{\"type\":\"change\"}]");
  world_.Run(1s);
  EXPECT_EQ(VersionOf(0), 1);
  EXPECT_EQ(world_.fleet_.Node(0)->Counters().malformedRecords_, 2);
}

TEST_F(FleetConfigTest, EmptyRouterIsNotReadyBeforeItHasAVersion)
{
  world_.fleet_.Kill(0);
  world_.fleet_.CutPlatform(true);
  world_.fleet_.Restart(0);
  EXPECT_FALSE(world_.fleet_.IsUp(0));
  world_.Run(3s);
  EXPECT_TRUE(world_.fleet_.IsUp(0));
}

TEST_F(FleetConfigTest, VersionsOnlyRiseWhileRoutersSleepAndChangesRace)
{
  std::vector<ConfigNumber> highest(static_cast<std::size_t>(layout_.routers_));
  for (int step = 0; step < 60; ++step) {
    const auto newest = VersionOf(0);
    Publish(std::max<ConfigNumber>(1, newest - step % 2), 2 + step % 7);
    world_.fleet_.Freeze(step % layout_.routers_, 1500ms);
    world_.fleet_.CutPlatform(step % 10 > 6);
    world_.Run(400ms);
    for (int i = 0; i < layout_.routers_; ++i) {
      auto& seen = highest[static_cast<std::size_t>(i)];
      EXPECT_GE(VersionOf(i), seen);
      seen = std::max(seen, VersionOf(i));
    }
  }
  world_.fleet_.CutPlatform(false);
  world_.Run(3s);
  for (int i = 1; i < layout_.routers_; ++i) {
    EXPECT_EQ(VersionOf(i), VersionOf(0));
    EXPECT_EQ(AccountsOf(i), AccountsOf(0));
  }
}

} // namespace
} // namespace burdockring
