#include "support/router_zone.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

/// The users' bound: the window after the fifth crash, and how many requests
/// may reach engines after it.
constexpr Duration kStableWindow = 3s;
constexpr std::size_t kCountedCrashes = 5;
constexpr int kMaxSentAfterBound = 3;

constexpr std::uint64_t kDeadlyPart = 0xdead;
constexpr std::uint64_t kFirstParts = 0x100;
constexpr std::uint64_t kMiddleParts = 0x200;
constexpr std::uint64_t kSessionParts = 0x300;
constexpr std::uint64_t kOwnParts = 0x10000;

/// Requests of four parts: the first is shared by all of a group, the second by
/// some, the third by a session; the last belongs to the request. A share of
/// them has a deadly part in the second place.
class PartTraffic
{
  RouterZone* zone_;
  std::mt19937 random_;
  double deadlyShare_;
  std::vector<std::uint64_t> deadlyParts_;
  int routers_;
  std::uint64_t count_ = 0;

  auto Draw(std::uint64_t aCount) -> std::uint64_t
  {
    return std::uniform_int_distribution<std::uint64_t>(0, aCount - 1)(random_);
  }

public:
  static constexpr Duration kGap = 10ms;

  PartTraffic(RouterZone* aZone,
              int aRouters,
              double aDeadlyShare,
              std::uint32_t aSeed,
              std::vector<std::uint64_t> aDeadlyParts = { kDeadlyPart })
    : zone_(aZone)
    , random_(aSeed)
    , deadlyShare_(aDeadlyShare)
    , deadlyParts_(std::move(aDeadlyParts))
    , routers_(aRouters)
  {
  }

  auto SetDeadlyShare(double aShare) -> void { deadlyShare_ = aShare; }

  auto Run(Duration aTime) -> void
  {
    for (const auto end = zone_->Now() + aTime; zone_->Now() < end;) {
      const bool deadly =
        std::uniform_real_distribution<double>(0, 1)(random_) < deadlyShare_;
      const auto middle = deadly ? deadlyParts_[Draw(deadlyParts_.size())]
                                 : kMiddleParts + Draw(10);
      zone_->Arrive(Draw(static_cast<std::uint64_t>(routers_)), 500,
                    { { kFirstParts + Draw(3), 100 },
                      { middle, 100 },
                      { kSessionParts + Draw(40), 100 },
                      { kOwnParts + ++count_, 200 } });
      zone_->Run(kGap);
    }
  }
};

/// Requests with deadly parts that reached an engine after aFrom.
auto DeadlySentAfter(const RouterZone& aZone, Instant aFrom) -> int
{
  int sent = 0;
  for (const auto& entry : aZone.Outcomes()) {
    for (const auto at : entry.second.sent_) {
      sent += entry.second.isDeadly_ && at > aFrom ? 1 : 0;
    }
  }
  return sent;
}

/// Share of the sound requests that arrived in a span of time and began at
/// their first attempt.
auto SoundShare(const RouterZone& aZone, Instant aFrom, Instant aTo) -> double
{
  int arrived = 0;
  int began = 0;
  for (const auto& entry : aZone.Outcomes()) {
    const auto& outcome = entry.second;
    if (!outcome.isDeadly_ && outcome.arrived_ >= aFrom &&
        outcome.arrived_ < aTo) {
      ++arrived;
      began += outcome.beganAtFirstAttempt_ ? 1 : 0;
    }
  }
  return arrived == 0 ? 0.0 : static_cast<double>(began) / arrived;
}

constexpr int kRouters = 16;
constexpr Duration kSettled = 3s;
constexpr Duration kCalm = 4s;

class DeadlyPromptPartTest : public testing::TestWithParam<std::uint32_t>
{
protected:
  static auto MakeZone(double aLossRate = 0.02) -> RouterZone
  {
    return RouterZone({ .routers_ = kRouters,
                        .targets_ = 12,
                        .slots_ = 16,
                        .lossRate_ = aLossRate,
                        .seed_ = GetParam(),
                        .deadlyParts_ = { kDeadlyPart, kDeadlyPart + 1 } });
  }

  /// Checks both bounds on a zone in which deadly requests still come.
  static auto ExpectContained(const RouterZone& aZone, Instant aCalmFrom)
    -> void
  {
    const auto& crashes = aZone.Crashes();
    ASSERT_FALSE(crashes.empty());
    const auto counted = crashes[std::min(crashes.size(), kCountedCrashes) - 1];
    EXPECT_LE(DeadlySentAfter(aZone, counted + kStableWindow),
              kMaxSentAfterBound)
      << crashes.size() << " crashes";
    const auto calm = SoundShare(aZone, aCalmFrom, crashes.front());
    const auto later =
      SoundShare(aZone, counted + 2 * kStableWindow, aZone.Now());
    EXPECT_GE(later, 0.5 * calm);
  }
};

// A request whose prompt crashes engines was sent on to one engine after the
// other, and so was each new request with the same part.
TEST_P(DeadlyPromptPartTest, DeadlyPartStopsReachingEnginesAfterFiveCrashes)
{
  auto zone = MakeZone();
  zone.Run(kSettled);
  PartTraffic traffic(&zone, kRouters, 0, GetParam());
  const auto calmFrom = zone.Now();
  traffic.Run(kCalm);
  traffic.SetDeadlyShare(0.05);
  traffic.Run(22s);
  ExpectContained(zone, calmFrom);
}

TEST_P(DeadlyPromptPartTest, TwoDeadlyPartsAreBothStopped)
{
  auto zone = MakeZone();
  zone.Run(kSettled);
  PartTraffic traffic(&zone, kRouters, 0, GetParam(),
                      { kDeadlyPart, kDeadlyPart + 1 });
  const auto calmFrom = zone.Now();
  traffic.Run(kCalm);
  traffic.SetDeadlyShare(0.08);
  traffic.Run(22s);
  ExpectContained(zone, calmFrom);
}

// One request a second may be deadly, and each seen by another router.
TEST_P(DeadlyPromptPartTest, RareDeadlyRequestsAreStoppedToo)
{
  auto zone = MakeZone();
  zone.Run(kSettled);
  PartTraffic traffic(&zone, kRouters, 0, GetParam());
  const auto calmFrom = zone.Now();
  traffic.Run(kCalm);
  traffic.SetDeadlyShare(0.01);
  traffic.Run(30s);
  ExpectContained(zone, calmFrom);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DeadlyPromptPartTest, testing::Range(1U, 6U));

} // namespace
} // namespace burdockring
