#include "process/forwarding/own_capacity.h"

#include <deque>
#include <gtest/gtest.h>

namespace burdockring {
namespace {

/// A router whose processor works off requests one after the other, in virtual
/// time: each costs so much, and a refusal a small part of it.
class BusyRouter
{
  static constexpr Duration kStep = 1ms;
  static constexpr Duration kTimer = 20ms;
  /// One turn over all that is ready to be worked on, at most.
  static constexpr Duration kTurn = 170ms;
  static constexpr Duration kServeCost = 10ms;
  static constexpr Duration kRefuseCost = 1ms;

  OwnCapacity capacity_;
  Instant now_ = 10s;
  Instant timerAt_ = 10s;
  /// Work that the processor has not done yet.
  Duration behind_{};
  std::deque<Instant> open_;

public:
  struct Result
  {
    int served_ = 0;
    int refused_ = 0;
    /// How far behind the processor was at most in the last half of the time.
    Duration behind_{};
    Duration closed_{};
  };

  /// Requests come evenly, so many a second, and are open for a second.
  auto Run(int aPerSecond, Duration aTime, bool aGuarded) -> Result
  {
    Result result;
    const auto begin = now_;
    double due = 0;
    for (; now_ < begin + aTime; now_ += kStep) {
      behind_ = std::max<Duration>(behind_ - kStep, 0us);
      while (!open_.empty() && open_.front() <= now_) {
        open_.pop_front();
      }
      if (now_ >= timerAt_ + std::min(behind_, kTurn)) {
        capacity_.Note(now_ - timerAt_, open_.size(), now_);
        timerAt_ = now_ + kTimer;
      }
      result.closed_ += capacity_.TakesConnections() ? 0us : kStep;
      for (due += aPerSecond / 1000.0; due >= 1; due -= 1) {
        if (aGuarded && !capacity_.Admits(open_.size())) {
          ++result.refused_;
          behind_ += kRefuseCost;
          continue;
        }
        ++result.served_;
        behind_ += kServeCost;
        open_.push_back(now_ + 1s);
      }
      if (now_ > begin + aTime / 2) {
        result.behind_ = std::max(result.behind_, behind_);
      }
    }
    return result;
  }

  auto Pause(Duration aTime) -> void
  {
    now_ += aTime;
    capacity_.Note(now_ - timerAt_, open_.size(), now_);
    timerAt_ = now_ + kTimer;
  }

  [[nodiscard]] auto Capacity() const -> const OwnCapacity&
  {
    return capacity_;
  }
};

TEST(OwnCapacityTest, RouterThatKeepsUpRefusesNothing)
{
  BusyRouter router;
  const auto result = router.Run(60, 20s, true);
  EXPECT_EQ(result.refused_, 0);
  EXPECT_EQ(result.closed_, 0us);
}

TEST(OwnCapacityTest, FloodedRouterKeepsWhatItTookOnTimely)
{
  BusyRouter guarded;
  const auto result = guarded.Run(400, 20s, true);
  // 400 requests want four times the processor; refusals take some of it.
  EXPECT_LT(result.behind_, 400ms);
  EXPECT_GT(result.served_, 20 * 30);
  BusyRouter open;
  EXPECT_GT(open.Run(400, 20s, false).behind_, 10s);
}

TEST(OwnCapacityTest, FloodedRouterIsClosedForHalfTheTimeAtMost)
{
  BusyRouter router;
  const auto result = router.Run(400, 40s, true);
  EXPECT_GT(result.closed_, 3s);
  EXPECT_LE(result.closed_, 24s);
}

TEST(OwnCapacityTest, FloodThatEndsLeavesNoTrace)
{
  BusyRouter router;
  router.Run(400, 10s, true);
  router.Run(0, 3s, true);
  EXPECT_FALSE(router.Capacity().IsOverloaded());
  EXPECT_TRUE(router.Capacity().TakesConnections());
}

TEST(OwnCapacityTest, OneLongPauseIsNoOverload)
{
  BusyRouter router;
  router.Run(20, 2s, true);
  router.Pause(5s);
  EXPECT_FALSE(router.Capacity().IsOverloaded());
}

} // namespace
} // namespace burdockring
