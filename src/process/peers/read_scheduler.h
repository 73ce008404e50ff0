#ifndef BURDOCKRING_PROCESS_PEERS_READ_SCHEDULER_H
#define BURDOCKRING_PROCESS_PEERS_READ_SCHEDULER_H

#include "base/time.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace burdockring {

/// A list that routers read from its source and share with each other.
enum class SharedList
{
  kConfiguration,
  kTargets,
  kRouters,
};

constexpr std::size_t kSharedListCount = 3;

auto SharedListName(SharedList aList) -> std::string_view;

/// Decides when this router reads a list from its source itself.
///
/// Each router computes the same ranking. The first-ranked routers read
/// continuously and send the result to the others. The others read only if they
/// received no update for some time, staggered by rank, so the number of reads
/// does not grow with the fleet. No coordination is needed: a router without
/// updates reads, and a partitioned zone has a first-ranked router of its own.
///
/// Load pattern: many routers on one source with limited and billed calls; a
/// source that rejects some routers or is down.
class ReadScheduler
{
public:
  /// Backoff after consecutive failed reads; doubles up to a maximum that
  /// depends on the rank. The first-ranked routers of a zone retry often, so
  /// that the others soon get updates when the source is back.
  static constexpr Duration kInitialBackoff = 60ms;
  static constexpr int kMaxFrontDoublings = 2;
  static constexpr int kMaxStaggeredDoublings = 4;
  static constexpr int kMaxRearDoublings = 6;
  static constexpr int kFrontRanks = 2;
  /// Retry interval of the first-ranked router after a failed read while it
  /// gets updates from others.
  static constexpr Duration kRetryInterval = 2s;
  /// Takeover delay per rank, for the first kStaggeredRanks ranks. All ranks
  /// behind take over together, kRearDelay later: if the source has rejected
  /// that many routers, another read is unlikely to succeed.
  static constexpr Duration kTakeoverStagger = 120ms;
  static constexpr int kStaggeredRanks = 12;
  static constexpr Duration kRearDelay = 1s;

private:
  struct State
  {
    /// Time up to which the list is known to be complete, or of the last
    /// update.
    Instant lastUpdate_{};
    Instant lastAttempt_{};
    int failures_ = 0;
  };

  std::array<State, kSharedListCount> states_;

  [[nodiscard]] auto Backoff(const State& aState, int aRank) const -> Duration;

public:
  /// An update was received that was complete at aCompleteAsOf.
  auto NoteUpdate(SharedList aList, Instant aCompleteAsOf) -> void;
  /// A read by this router has ended.
  auto OnRead(SharedList aList, bool aSuccess, Instant aNow) -> void;
  /// Time until this router's next read; zero if it is due now. aRank is the
  /// number of routers of the zone that rank before this one.
  [[nodiscard]] auto TimeToRead(SharedList aList, int aRank, Instant aNow) const
    -> Duration;
  /// Same for a list that this router has never read.
  [[nodiscard]] auto TimeToFirstRead(SharedList aList,
                                     int aRank,
                                     Instant aNow) const -> Duration;
};

} // namespace burdockring

#endif
