#include "process/rates/cold_start_limiter.h"

#include "support/router_zone.h"

#include <gtest/gtest.h>
#include <random>

namespace burdockring {
namespace {

constexpr TargetId kTarget{ 77 };

auto Routers(int aCount) -> std::vector<RouterId>
{
  std::vector<RouterId> routers;
  for (int i = 0; i < aCount; ++i) {
    routers.push_back(MakeId<RouterId>("router-" + std::to_string(i)));
  }
  return routers;
}

TEST(ColdStartLimiterTest, LimitIsRateTimesBurstAndSlack)
{
  EXPECT_EQ(MaxColdRequests({ 1.5, 5 }, 8.3), 17);
  EXPECT_EQ(MaxColdRequests({ 1.5, 5 }, 1e300), 1'000'000);
  EXPECT_EQ(MaxColdRequests({ 1.0, 0 }, 0.5), 0);
}

// The limit is the fleet's. It must hold for each number of placers, and while
// some routers know a list with a few more or fewer.
TEST(ColdStartLimiterTest, SharesOfAllRoutersStayBelowTheLimit)
{
  constexpr int kLimit = 17;
  constexpr int kChanged = 4;
  for (int count = 1; count <= 80; ++count) {
    const auto all = Routers(count + kChanged);
    int shares = 0;
    int sharesOfMixedLists = 0;
    for (int i = 0; i < count + kChanged; ++i) {
      ColdStartLimiter limiter(all[static_cast<std::size_t>(i)]);
      const std::vector<RouterId> old(all.begin(), all.begin() + count);
      const std::vector<RouterId> changed(all.begin() + kChanged, all.end());
      limiter.SetPlacers(old, 1s);
      shares += limiter.Share(kTarget, kLimit, 1s);
      limiter.SetPlacers(i % 2 == 0 ? old : changed, 2s);
      sharesOfMixedLists += limiter.Share(kTarget, kLimit, 3s);
    }
    EXPECT_LE(shares, kLimit * ColdStartLimiter::kUsedFraction) << count;
    EXPECT_GT(shares, 0) << count;
    EXPECT_LE(sharesOfMixedLists, kLimit) << count;
  }
}

// A router that reads a short list, as after a restore of the store, would take
// the shares of all others.
TEST(ColdStartLimiterTest, ShareThatGrowsWithAChangedListDoesSoLater)
{
  const auto routers = Routers(12);
  ColdStartLimiter limiter(routers[0]);
  limiter.SetPlacers(routers, 0s);
  const int share = limiter.Share(kTarget, 17, 1s);
  limiter.SetPlacers({ routers[0] }, 10s);
  EXPECT_EQ(limiter.Share(kTarget, 17, 11s), share);
  limiter.SetPlacers(routers, 12s);
  EXPECT_EQ(limiter.Share(kTarget, 17, 13s), share);
  limiter.SetPlacers({ routers[0] }, 20s);
  EXPECT_GT(limiter.Share(kTarget, 17, 20s + ColdStartLimiter::kListSettleTime),
            share);
}

TEST(ColdStartLimiterTest, ShareComesBackAfterAWindow)
{
  const auto routers = Routers(4);
  ColdStartLimiter limiter(routers[0]);
  limiter.SetPlacers(routers, 0s);
  const int share = limiter.Share(kTarget, 17, 1s);
  ASSERT_GT(share, 0);
  limiter.Tick(1s);
  // What it sent before its start is unknown.
  EXPECT_EQ(limiter.NextAllowed(kTarget, 17, 1s),
            1s + ColdStartLimiter::kWindow);
  for (int i = 0; i < share; ++i) {
    EXPECT_LE(limiter.NextAllowed(kTarget, 17, 10s), 10s);
    limiter.OnPlaced(kTarget, 10s);
  }
  EXPECT_EQ(limiter.NextAllowed(kTarget, 17, 10s),
            10s + ColdStartLimiter::kWindow);
  limiter.Tick(10s + ColdStartLimiter::kWindow);
  EXPECT_LE(limiter.NextAllowed(kTarget, 17, 12s), 12s);
}

TEST(ColdStartLimiterTest, RouterThatIsNoPlacerHasNoShare)
{
  const auto routers = Routers(3);
  ColdStartLimiter limiter(MakeId<RouterId>("other"));
  limiter.SetPlacers(routers, 0s);
  EXPECT_FALSE(limiter.NextAllowed(kTarget, 17, 10s));
}

/// A zone whose engines return cold under load. The bound is the service's own;
/// beyond it a real engine crashes again.
class ColdFleetTest : public testing::TestWithParam<std::uint32_t>
{
protected:
  static constexpr int kRouters = 16;
  static constexpr int kTargets = 6;
  static constexpr int kLimit = 17;
  static constexpr Duration kColdStart = 3s;

  RouterZone zone_{ { .routers_ = kRouters,
                      .targets_ = kTargets,
                      .slots_ = 64,
                      .lossRate_ = 0.03,
                      .duplicateRate_ = 0.05,
                      .seed_ = GetParam(),
                      .coldStart_ = kColdStart,
                      .coldPerSecond_ = 8.3,
                      .coldLimits_ = { 1.5, 5 } } };
  std::mt19937 random_{ GetParam() };

  static auto TargetNumber(int aNumber) -> TargetId
  {
    return MakeId<TargetId>("t" + std::to_string(aNumber));
  }

  /// 25 requests per second for each engine: far more than a cold one takes.
  auto Load(Duration aTime) -> void
  {
    for (const auto end = zone_.Now() + aTime; zone_.Now() < end;) {
      zone_.Arrive(
        std::uniform_int_distribution<std::size_t>(0, kRouters - 1)(random_));
      zone_.Run(7ms);
    }
  }

  auto SetUp() -> void override
  {
    zone_.Run(3s);
    Load(2s);
  }

  auto CrashAll() -> void
  {
    for (int target = 0; target < kTargets; ++target) {
      zone_.CrashEngine(TargetNumber(target));
    }
  }

  auto ExpectWithinLimit() -> void
  {
    EXPECT_LE(zone_.MaxColdArrivals(), kLimit);
    // Cold engines are used, too: that warms them up.
    EXPECT_GT(zone_.MaxColdArrivals(), 0);
  }
};

TEST_P(ColdFleetTest, EnginesThatReturnAllAtOnceAreNotOverrun)
{
  CrashAll();
  Load(10s);
  ExpectWithinLimit();
  int arrivals = 0;
  for (int target = 0; target < kTargets; ++target) {
    arrivals += zone_.RecentArrivals(TargetNumber(target));
  }
  // Warm engines take the whole load again.
  EXPECT_GT(arrivals, kTargets * kLimit);
}

TEST_P(ColdFleetTest, HalfOfTheEnginesReturnColdBesideWarmOnes)
{
  for (int target = 0; target < kTargets; target += 2) {
    zone_.CrashEngine(TargetNumber(target));
  }
  Load(10s);
  ExpectWithinLimit();
}

// A lead that restarts does not know what it sent a moment ago.
TEST_P(ColdFleetTest, LeadsThatRestartStayWithinTheLimit)
{
  CrashAll();
  Load(RouterZone::kEngineRestart + 200ms);
  for (std::int64_t incarnation = 2; incarnation < 6; ++incarnation) {
    zone_.Restart(incarnation % 2 == 0 ? 0 : 1, incarnation);
    Load(500ms);
  }
  Load(4s);
  EXPECT_LE(zone_.MaxColdArrivals(), kLimit);
}

// Followers place requests themselves while no lead responds, and use answers
// that reached them before a freeze.
TEST_P(ColdFleetTest, FrozenRoutersStayWithinTheLimit)
{
  CrashAll();
  Load(RouterZone::kEngineRestart + 100ms);
  for (std::size_t router = 0; router < 6; ++router) {
    zone_.Freeze(router, true);
  }
  Load(1500ms);
  for (std::size_t router = 0; router < 6; ++router) {
    zone_.Freeze(router, false);
  }
  Load(3s);
  EXPECT_LE(zone_.MaxColdArrivals(), kLimit);
}

// The operator takes a drained zone back, and its engines are cold.
TEST_P(ColdFleetTest, ZoneThatIsTakenBackReturnsSlowly)
{
  const auto near = MakeId<ZoneId>("near");
  zone_.Node(0).OnZoneDrains({ { near, "near", true } }, true, 5, zone_.Now());
  Load(2s);
  for (int target = 0; target < kTargets; ++target) {
    zone_.TurnCold(TargetNumber(target));
  }
  zone_.Node(0).OnZoneDrains({ { near, "near", false } }, false, 6,
                             zone_.Now());
  Load(6s);
  ExpectWithinLimit();
}

INSTANTIATE_TEST_SUITE_P(Seeds, ColdFleetTest, testing::Range(1U, 21U));

} // namespace
} // namespace burdockring
