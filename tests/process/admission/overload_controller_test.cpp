#include "process/admission/overload_controller.h"

#include <deque>
#include <gtest/gtest.h>

namespace burdockring {
namespace {

/// Simulates, in virtual time, a router whose processor handles requests one
/// after the other. Each request has a fixed cost, and a rejection a small part
/// of it.
class SimulatedRouter
{
  static constexpr Duration kStep = 1ms;
  static constexpr Duration kTimerInterval = 20ms;
  /// Longest time for one iteration of the event loop over all ready work.
  static constexpr Duration kMaxLoopTime = 170ms;
  static constexpr Duration kServeCost = 10ms;
  static constexpr Duration kRejectCost = 1ms;

  OverloadController capacity_;
  Instant now_ = 10s;
  Instant timerAt_ = 10s;
  /// Work that the processor has not done yet.
  Duration backlog_{};
  std::deque<Instant> open_;

public:
  struct Result
  {
    int served_ = 0;
    int rejected_ = 0;
    /// Largest backlog of the processor during the second half of the run.
    Duration backlog_{};
    Duration closed_{};
  };

  /// Sends aPerSecond requests at even intervals; each stays open for a second.
  auto Run(int aPerSecond, Duration aTime, bool aIsLimited) -> Result
  {
    Result result;
    const auto begin = now_;
    double due = 0;
    for (; now_ < begin + aTime; now_ += kStep) {
      backlog_ = std::max<Duration>(backlog_ - kStep, 0us);
      while (!open_.empty() && open_.front() <= now_) {
        open_.pop_front();
      }
      if (now_ >= timerAt_ + std::min(backlog_, kMaxLoopTime)) {
        capacity_.Note(now_ - timerAt_, open_.size(), now_);
        timerAt_ = now_ + kTimerInterval;
      }
      result.closed_ += capacity_.AcceptsConnections() ? 0us : kStep;
      for (due += aPerSecond / 1000.0; due >= 1; due -= 1) {
        if (aIsLimited && !capacity_.Allows(open_.size())) {
          ++result.rejected_;
          backlog_ += kRejectCost;
          continue;
        }
        ++result.served_;
        backlog_ += kServeCost;
        open_.push_back(now_ + 1s);
      }
      if (now_ > begin + aTime / 2) {
        result.backlog_ = std::max(result.backlog_, backlog_);
      }
    }
    return result;
  }

  auto Pause(Duration aTime) -> void
  {
    now_ += aTime;
    capacity_.Note(now_ - timerAt_, open_.size(), now_);
    timerAt_ = now_ + kTimerInterval;
  }

  [[nodiscard]] auto Capacity() const -> const OverloadController&
  {
    return capacity_;
  }
};

TEST(OverloadControllerTest, RouterThatKeepsUpRejectsNothing)
{
  SimulatedRouter router;
  const auto result = router.Run(60, 20s, true);
  EXPECT_EQ(result.rejected_, 0);
  EXPECT_EQ(result.closed_, 0us);
}

TEST(OverloadControllerTest, FloodedRouterServesAcceptedRequestsOnTime)
{
  SimulatedRouter limited;
  const auto result = limited.Run(400, 20s, true);
  // 400 requests a second need four times the processor's capacity; rejections
  // take part of it.
  EXPECT_LT(result.backlog_, 400ms);
  EXPECT_GT(result.served_, 20 * 30);
  SimulatedRouter unlimited;
  EXPECT_GT(unlimited.Run(400, 20s, false).backlog_, 10s);
}

TEST(OverloadControllerTest, FloodedRouterIsClosedAtMostHalfTheTime)
{
  SimulatedRouter router;
  const auto result = router.Run(400, 40s, true);
  EXPECT_GT(result.closed_, 3s);
  EXPECT_LE(result.closed_, 24s);
}

TEST(OverloadControllerTest, RecoversAfterTheFloodEnds)
{
  SimulatedRouter router;
  router.Run(400, 10s, true);
  router.Run(0, 3s, true);
  EXPECT_FALSE(router.Capacity().IsOverloaded());
  EXPECT_TRUE(router.Capacity().AcceptsConnections());
}

TEST(OverloadControllerTest, SingleLongPauseIsNotOverload)
{
  SimulatedRouter router;
  router.Run(20, 2s, true);
  router.Pause(5s);
  EXPECT_FALSE(router.Capacity().IsOverloaded());
}

} // namespace
} // namespace burdockring
