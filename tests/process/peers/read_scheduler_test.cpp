#include "process/peers/read_scheduler.h"

#include <gtest/gtest.h>
#include <vector>

namespace burdockring {
namespace {

constexpr auto kList = SharedList::kTargets;
/// Duration of one read, including the wait at the source.
constexpr Duration kReadTime = 500ms;
constexpr Duration kStep = 10ms;

/// Routers of one zone that follow a list, in simulated time.
class SimulatedZone
{
  struct Router
  {
    ReadScheduler scheduler_;
    bool rejected_ = false;
    bool stopped_ = false;
    std::optional<Instant> readEnds_;
    Instant lastUpdate_{};
  };

  std::vector<Router> routers_;
  Instant now_ = 1s;
  int reads_ = 0;

  auto FinishRead(std::size_t aReader) -> void
  {
    auto& reader = routers_[aReader];
    reader.readEnds_.reset();
    reader.scheduler_.OnRead(kList, !reader.rejected_, now_);
    if (reader.rejected_) {
      return;
    }
    for (auto& router : routers_) {
      router.scheduler_.NoteUpdate(kList, now_);
      router.lastUpdate_ = now_;
    }
  }

  [[nodiscard]] auto RankOf(std::size_t aRouter) const -> int
  {
    int rank = 0;
    for (std::size_t i = 0; i < aRouter; ++i) {
      rank += routers_[i].stopped_ ? 0 : 1;
    }
    return rank;
  }

public:
  explicit SimulatedZone(std::size_t aRouters)
    : routers_(aRouters)
  {
    for (auto& router : routers_) {
      router.lastUpdate_ = now_;
      router.scheduler_.NoteUpdate(kList, now_);
    }
  }

  auto Reject(std::size_t aRouter) -> void
  {
    routers_[aRouter].rejected_ = true;
  }

  /// A frozen router keeps its rank, as the others have not detected it yet.
  auto Freeze(std::size_t aRouter) -> void
  {
    routers_[aRouter].stopped_ = true;
  }

  /// Runs for aTime; returns the longest time without updates at a live router.
  auto Run(Duration aTime) -> Duration
  {
    Duration maxSilence{};
    for (const auto end = now_ + aTime; now_ < end; now_ += kStep) {
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        auto& router = routers_[i];
        if (router.stopped_) {
          continue;
        }
        maxSilence = std::max(maxSilence, now_ - router.lastUpdate_);
        if (router.readEnds_) {
          if (now_ >= *router.readEnds_) {
            FinishRead(i);
          }
        } else if (router.scheduler_.TimeToRead(kList, static_cast<int>(i),
                                                now_) <= 0us) {
          ++reads_;
          router.readEnds_ =
            now_ + (router.rejected_ ? Duration(4ms) : kReadTime);
        }
      }
    }
    return maxSilence;
  }

  [[nodiscard]] auto Reads() const -> int { return reads_; }
};

TEST(ReadSchedulerTest, OneRouterReadsForItsZone)
{
  SimulatedZone small(3);
  SimulatedZone large(40);
  EXPECT_LE(small.Run(20s), 600ms);
  EXPECT_LE(large.Run(20s), 600ms);
  EXPECT_EQ(small.Reads(), large.Reads());
}

TEST(ReadSchedulerTest, AnotherTakesOverFromAFrozenReader)
{
  SimulatedZone zone(20);
  zone.Run(5s);
  zone.Freeze(0);
  // Routers must learn of leaving targets within two seconds.
  EXPECT_LE(zone.Run(10s), 1800ms);
}

TEST(ReadSchedulerTest, RejectedRoutersGetUpdatesFromOthers)
{
  SimulatedZone zone(9);
  zone.Run(5s);
  for (const std::size_t router : { 0U, 1U, 4U }) {
    zone.Reject(router);
  }
  EXPECT_LE(zone.Run(10s), 2s);
}

TEST(ReadSchedulerTest, UnavailableSourceIsNotFlooded)
{
  SimulatedZone zone(20);
  for (std::size_t i = 0; i < 20; ++i) {
    zone.Reject(i);
  }
  zone.Run(5s);
  // Two routers retry four times per second, the others once; the bound allows
  // one more for each.
  EXPECT_LE(zone.Reads(), 5 * (2 * 5 + 18 * 2));
}

// Load pattern: a source that rejects some routers while configurations and
// targets change.
TEST(ReadSchedulerTest, AnotherReaderRemainsWhenOneIsRejected)
{
  SimulatedZone zone(9);
  zone.Run(5s);
  zone.Reject(0);
  EXPECT_LE(zone.Run(10s), 600ms);
  ReadScheduler second;
  second.NoteUpdate(SharedList::kConfiguration, 1s);
  second.OnRead(SharedList::kConfiguration, true, 1s);
  EXPECT_EQ(second.TimeToRead(SharedList::kConfiguration, 2, 1s), 0us);
  EXPECT_GT(second.TimeToRead(SharedList::kConfiguration, 3, 1s), 0us);
}

TEST(ReadSchedulerTest, FirstReadIsDueAtOnce)
{
  ReadScheduler scheduler;
  scheduler.NoteUpdate(kList, 1s);
  EXPECT_EQ(scheduler.TimeToFirstRead(kList, 5, 1s), 0us);
  scheduler.OnRead(kList, false, 1s);
  EXPECT_EQ(scheduler.TimeToFirstRead(kList, 5, 1s),
            ReadScheduler::kInitialBackoff);
}

} // namespace
} // namespace burdockring
