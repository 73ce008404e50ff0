#include "process/forwarding/read_turns.h"

#include <gtest/gtest.h>
#include <vector>

namespace burdockring {
namespace {

constexpr auto kList = SharedList::kTargets;
/// Time of one read at the source, with its wait there.
constexpr Duration kReadTime = 500ms;
constexpr Duration kStep = 10ms;

/// Routers of one zone that follow a list, in virtual time.
class ReadingZone
{
  struct Router
  {
    ReadTurns turns_;
    bool rejected_ = false;
    bool stopped_ = false;
    std::optional<Instant> readEnds_;
    Instant lastWord_{};
  };

  std::vector<Router> routers_;
  Instant now_ = 1s;
  int reads_ = 0;

  auto EndRead(std::size_t aReader) -> void
  {
    auto& reader = routers_[aReader];
    reader.readEnds_.reset();
    reader.turns_.OnRead(kList, !reader.rejected_, now_);
    if (reader.rejected_) {
      return;
    }
    for (auto& router : routers_) {
      router.turns_.Note(kList, now_);
      router.lastWord_ = now_;
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
  explicit ReadingZone(std::size_t aRouters)
    : routers_(aRouters)
  {
    for (auto& router : routers_) {
      router.lastWord_ = now_;
      router.turns_.Note(kList, now_);
    }
  }

  auto Reject(std::size_t aRouter) -> void
  {
    routers_[aRouter].rejected_ = true;
  }

  /// A frozen router keeps its rank, as the others don't know yet.
  auto Freeze(std::size_t aRouter) -> void
  {
    routers_[aRouter].stopped_ = true;
  }

  /// Runs for a time; returns the longest silence at any router that lives.
  auto Run(Duration aTime) -> Duration
  {
    Duration longest{};
    for (const auto end = now_ + aTime; now_ < end; now_ += kStep) {
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        auto& router = routers_[i];
        if (router.stopped_) {
          continue;
        }
        longest = std::max(longest, now_ - router.lastWord_);
        if (router.readEnds_) {
          if (now_ >= *router.readEnds_) {
            EndRead(i);
          }
        } else if (router.turns_.TimeToRead(kList, static_cast<int>(i), now_) <=
                   0us) {
          ++reads_;
          router.readEnds_ =
            now_ + (router.rejected_ ? Duration(4ms) : kReadTime);
        }
      }
    }
    return longest;
  }

  [[nodiscard]] auto Reads() const -> int { return reads_; }
};

TEST(ReadTurnsTest, OneRouterReadsForItsZone)
{
  ReadingZone small(3);
  ReadingZone large(40);
  EXPECT_LE(small.Run(20s), 600ms);
  EXPECT_LE(large.Run(20s), 600ms);
  EXPECT_EQ(small.Reads(), large.Reads());
}

TEST(ReadTurnsTest, AnotherTakesOverFromAFrozenReader)
{
  ReadingZone zone(20);
  zone.Run(5s);
  zone.Freeze(0);
  // Leaving targets must be known within two seconds.
  EXPECT_LE(zone.Run(10s), 1800ms);
}

TEST(ReadTurnsTest, RoutersThatAreTurnedAwayHearTheNewsFromOthers)
{
  ReadingZone zone(9);
  zone.Run(5s);
  for (const std::size_t router : { 0U, 1U, 4U }) {
    zone.Reject(router);
  }
  EXPECT_LE(zone.Run(10s), 2s);
}

TEST(ReadTurnsTest, SourceThatIsDownIsNotFlooded)
{
  ReadingZone zone(20);
  for (std::size_t i = 0; i < 20; ++i) {
    zone.Reject(i);
  }
  zone.Run(5s);
  // Two try four times a second, the others once.
  EXPECT_LE(zone.Reads(), 5 * (2 * 5 + 18 * 2));
}

// Load pattern: a source that turns some routers away while configurations and
// targets change.
TEST(ReadTurnsTest, ReaderThatIsTurnedAwayLeavesAnotherThatReads)
{
  ReadingZone zone(9);
  zone.Run(5s);
  zone.Reject(0);
  EXPECT_LE(zone.Run(10s), 600ms);
  ReadTurns second;
  second.Note(SharedList::kConfiguration, 1s);
  second.OnRead(SharedList::kConfiguration, true, 1s);
  EXPECT_EQ(second.TimeToRead(SharedList::kConfiguration, 2, 1s), 0us);
  EXPECT_GT(second.TimeToRead(SharedList::kConfiguration, 3, 1s), 0us);
}

TEST(ReadTurnsTest, FirstReadWaitsForNobody)
{
  ReadTurns turns;
  turns.Note(kList, 1s);
  EXPECT_EQ(turns.TimeToFirstRead(kList, 5, 1s), 0us);
  turns.OnRead(kList, false, 1s);
  EXPECT_EQ(turns.TimeToFirstRead(kList, 5, 1s), ReadTurns::kFirstPause);
}

} // namespace
} // namespace burdockring
