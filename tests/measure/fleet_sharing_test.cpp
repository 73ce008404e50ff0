#include "measure/scenario_runner.h"
#include "support/fleet_fixture.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <ostream>

namespace burdockring {

/// Found by GoogleTest where it prints a parameter.
auto PrintTo(const Scenario& aScenario, std::ostream* aStream) -> void
{
  *aStream << aScenario.name_;
}

namespace {

class FleetSharingTest : public testing::Test
{
protected:
  FleetLayout layout_;
  FleetFixture world_{ layout_ };

  auto SubmitMany(int aCount, int aTokens) -> std::vector<RequestId>
  {
    std::vector<RequestId> ids;
    for (int i = 0; i < aCount; ++i) {
      const auto request = world_.MakeRequest(i % layout_.accounts_,
                                              i % layout_.routers_, aTokens);
      ids.push_back(request.id_);
      world_.Submit(request);
    }
    return ids;
  }

  auto CountWhole(const std::vector<RequestId>& aIds) -> int
  {
    int whole = 0;
    for (const auto id : aIds) {
      whole += world_.RunStateOf(id) == RunState::kWhole ? 1 : 0;
    }
    return whole;
  }
};

TEST_F(FleetSharingTest, EveryRequestIsServedOnceAndWhole)
{
  const auto ids = SubmitMany(300, 100);
  world_.Run(10s);
  EXPECT_EQ(CountWhole(ids), 300);
  for (const auto id : ids) {
    EXPECT_EQ(world_.recorder_.tokens_[id], 100);
  }
}

TEST_F(FleetSharingTest, WorkOfOneRouterUsesEveryZone)
{
  for (int i = 0; i < 96; ++i) {
    world_.Submit(world_.MakeRequest(0, 0, 400));
  }
  world_.Run(1s);
  EXPECT_EQ(world_.fleet_.BusySlots(), 96);
}

TEST_F(FleetSharingTest, PlannedStopCutsNothing)
{
  const auto ids = SubmitMany(200, 400);
  world_.Run(100ms);
  world_.fleet_.StopGracefully(1);
  EXPECT_FALSE(world_.fleet_.IsUp(1));
  world_.Run(30s);
  EXPECT_EQ(CountWhole(ids), 200);
  EXPECT_TRUE(world_.fleet_.Node(1)->IsDrained());
}

TEST_F(FleetSharingTest, DeadTargetsRequestsGoOnElsewhereFromTheirLastToken)
{
  const auto ids = SubmitMany(96, 400);
  world_.Run(500ms);
  world_.fleet_.KillTarget(0);
  world_.Run(20s);
  EXPECT_EQ(CountWhole(ids), 96);
}

TEST_F(FleetSharingTest, LeavingTargetGetsNoNewWorkOnRoutersWithoutPlatform)
{
  world_.fleet_.CutPlatform(true);
  world_.fleet_.SetLeaving(0);
  const auto start = world_.queue_.Now();
  std::vector<RequestId> ids;
  for (int i = 0; i < 80; ++i) {
    const auto more = SubmitMany(20, 50);
    ids.insert(ids.end(), more.begin(), more.end());
    world_.Run(100ms);
  }
  world_.Run(10s);
  EXPECT_EQ(CountWhole(ids), 1600);
  EXPECT_LE(world_.fleet_.Target(0).LastBegin() - start, 3s);
  EXPECT_EQ(world_.fleet_.Target(0).Running(), 0);
}

TEST_F(FleetSharingTest, QueueBoundRefusesAtOnceWithATimeToComeBack)
{
  FleetLayout layout;
  layout.maxWaiting_ = 10;
  FleetFixture world(layout);
  std::vector<RequestId> ids;
  for (int i = 0; i < 300; ++i) {
    const auto request = world.MakeRequest(0, 0, 1000);
    ids.push_back(request.id_);
    world.Submit(request);
  }
  int refused = 0;
  for (const auto id : ids) {
    if (world.CodeOf(id) == ResponseCode::kQueueFull) {
      ++refused;
      EXPECT_EQ(world.RunStateOf(id), RunState::kNotRun);
      EXPECT_GT(world.recorder_.answers_[id]->retryAfter_, 0us);
    }
  }
  const auto& pool = world.fleet_.Node(0)->Pools().begin()->second;
  EXPECT_EQ(pool.TotalWaiting(), 10);
  EXPECT_EQ(refused + pool.Busy() + 10, 300);
}

TEST_F(FleetSharingTest, CutZoneServesItselfAndComesBack)
{
  world_.fleet_.CutZone(1, true);
  world_.Run(3s);
  std::vector<RequestId> inside;
  for (int i = 0; i < 24; ++i) {
    const auto request = world_.MakeRequest(i % 16, 1, 50);
    inside.push_back(request.id_);
    world_.Submit(request);
  }
  world_.Run(5s);
  EXPECT_EQ(CountWhole(inside), 24);
  world_.fleet_.CutZone(1, false);
  world_.Run(5s);
  for (int i = 0; i < 96; ++i) {
    world_.Submit(world_.MakeRequest(0, 1, 400));
  }
  world_.Run(1s);
  EXPECT_EQ(world_.fleet_.BusySlots(), 96);
}

TEST_F(FleetSharingTest, RouterThatWasIdleGetsItsHomeSlotsAtOnce)
{
  for (int round = 0; round < 5; ++round) {
    std::vector<RequestId> ids;
    for (int i = 0; i < 24; ++i) {
      const auto request = world_.MakeRequest(0, 1, 10);
      ids.push_back(request.id_);
      world_.Submit(request);
    }
    world_.Run(15ms);
    EXPECT_EQ(world_.fleet_.Target(1).Running(), 8);
    world_.Run(5s);
    EXPECT_EQ(CountWhole(ids), 24);
  }
}

TEST_F(FleetSharingTest, EqualEventsGiveEqualEffects)
{
  const auto* scenario = FindScenario("scheduler-dies");
  auto shorter = *scenario;
  shorter.length_ = 9s;
  const auto one = RunScenario(shorter, SharingMethod::kBurdockring, {}, 7, 1);
  const auto two = RunScenario(shorter, SharingMethod::kBurdockring, {}, 7, 1);
  EXPECT_EQ(one.maxGap_, two.maxGap_);
  EXPECT_EQ(one.bytesPerNode_, two.bytesPerNode_);
  EXPECT_EQ(one.counts_.tokens_, two.counts_.tokens_);
}

/// The users' bounds on every scenario; see docs/design/sharing.md.
class ScenarioBoundsTest : public testing::TestWithParam<Scenario>
{
};

auto ServiceOfOneRound(const Scenario& aScenario) -> double
{
  // What an account of weight one gets while every zone reports once.
  const auto layout = aScenario.Layout();
  const SharingOptions options;
  double weights = 0;
  for (int i = 0; i < aScenario.backlogged_; ++i) {
    weights += layout.Weight(i);
  }
  const auto rate = layout.targets_ * layout.slots_ /
                    std::chrono::duration<double>(layout.timePerToken_).count();
  const auto round = std::chrono::duration<double>(options.exchangeInterval_ +
                                                   options.maxReportInterval_);
  return rate / weights * round.count();
}

TEST_P(ScenarioBoundsTest, GapIsWithinTwiceTheOmniscientQueues)
{
  const auto& scenario = GetParam();
  const auto figures =
    RunScenario(scenario, SharingMethod::kBurdockring, {}, 1, 1);
  const auto best = RunScenario(scenario, SharingMethod::kOmniscient, {}, 1, 1);
  const auto bound = 2 * best.maxGap_ + ServiceOfOneRound(scenario);
  EXPECT_LE(figures.maxGap_, bound);
  EXPECT_LE(figures.gapAfter_, bound);
}

TEST_P(ScenarioBoundsTest, EveryAccountGetsHalfItsShareAndSlotsAreUsed)
{
  const auto& scenario = GetParam();
  const auto figures =
    RunScenario(scenario, SharingMethod::kBurdockring, {}, 1, 1);
  EXPECT_GE(figures.minShare_, 0.5);
  EXPECT_GE(figures.utilisation_, 0.98);
  if (scenario.fault_ != SimFault::kNone) {
    EXPECT_GE(figures.utilisationInFault_, 0.90);
    EXPECT_LE(figures.recoverySeconds_, 5.0);
    EXPECT_LE(figures.leavingSeconds_, 3.0);
  }
}

TEST_P(ScenarioBoundsTest, ControlStaysWithinNineKilobytes)
{
  const auto figures =
    RunScenario(GetParam(), SharingMethod::kBurdockring, {}, 1, 1);
  EXPECT_LE(figures.bytesPerNode_, 9000);
}

auto NameOf(const testing::TestParamInfo<Scenario>& aInfo) -> std::string
{
  std::string name(aInfo.param.name_);
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

INSTANTIATE_TEST_SUITE_P(Scenarios,
                         ScenarioBoundsTest,
                         testing::ValuesIn(ScenarioTable()),
                         NameOf);

} // namespace
} // namespace burdockring
