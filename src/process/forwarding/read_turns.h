#ifndef BURDOCKRING_PROCESS_FORWARDING_READ_TURNS_H
#define BURDOCKRING_PROCESS_FORWARDING_READ_TURNS_H

#include "base/time.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace burdockring {

/// A list that routers follow at its source and tell each other of.
enum class SharedList
{
  kConfiguration,
  kTargets,
  kRouters,
};

constexpr std::size_t kSharedListCount = 3;

auto SharedListName(SharedList aList) -> std::string_view;

/// Decides when this router reads a list at its source itself.
///
/// The first of all routers, by a rank that all of them work out alike, reads
/// as often as it can and tells the others. The others read only when no news
/// has come for some time, one after the other, so that reads at the source do
/// not grow with the fleet. Nothing has to be agreed: a router that hears
/// nothing reads, and a zone that is cut off has a first one of its own.
///
/// Load pattern: many routers before one source whose calls are limited and
/// priced; a source that turns some routers away, or is down.
class ReadTurns
{
public:
  /// Waits after failed reads in a row, doubling up to the longest. The first
  /// routers of a zone try often, to tell the others soon that the source is
  /// back.
  static constexpr Duration kFirstPause = 60ms;
  static constexpr int kMaxDoublings = 2;
  static constexpr int kMaxFarDoublings = 4;
  static constexpr int kMaxLastDoublings = 6;
  static constexpr int kNearRanks = 2;
  /// A router that fails while others tell it the news tries again so often.
  static constexpr Duration kRetryInterval = 2s;
  /// How much later each rank takes over, up to so many ranks. All behind them
  /// stand in at once, later still: so many that were turned away by the source
  /// leave little hope.
  static constexpr Duration kStagger = 120ms;
  static constexpr int kMaxStaggers = 12;
  static constexpr Duration kLastStagger = 1s;

private:
  struct State
  {
    /// Until when the news is known to be complete, or when it last came.
    Instant lastWord_{};
    Instant lastTry_{};
    int failures_ = 0;
  };

  std::array<State, kSharedListCount> states_;

  [[nodiscard]] auto Backoff(const State& aState, int aRank) const -> Duration;

public:
  /// News came, which was complete at aWord.
  auto Note(SharedList aList, Instant aWord) -> void;
  /// This router's own read has ended.
  auto OnRead(SharedList aList, bool aSuccess, Instant aNow) -> void;
  /// Time until the next own read is due; zero: now. aRank: how many routers of
  /// the zone come before this one.
  [[nodiscard]] auto TimeToRead(SharedList aList, int aRank, Instant aNow) const
    -> Duration;
  /// The same for a list that this router has never read.
  [[nodiscard]] auto TimeToFirstRead(SharedList aList,
                                     int aRank,
                                     Instant aNow) const -> Duration;
};

} // namespace burdockring

#endif
