#include "process/peers/read_scheduler.h"

#include <algorithm>

namespace burdockring {
namespace {

struct ListRow
{
  SharedList list_;
  std::string_view name_;
  /// Time without updates after which the next router takes over: longer than
  /// the interval between two updates of a reader, and well below the limit on
  /// how late a change may take effect.
  Duration takeoverSilence_;
  /// Number of routers that read at the same time, in different zones if there
  /// are several. The source may reject one of them, and a change must take
  /// effect within the takeover time that would reveal the rejection.
  int concurrentReaders_;
};

constexpr std::array kListTable{
  ListRow{ SharedList::kConfiguration, "configuration", 1900ms, 3 },
  ListRow{ SharedList::kTargets, "targets", 1100ms, 2 },
  ListRow{ SharedList::kRouters, "routers", 4s, 1 },
};

auto Row(SharedList aList) -> const ListRow&
{
  return kListTable.at(static_cast<std::size_t>(aList));
}

} // namespace

auto SharedListName(SharedList aList) -> std::string_view
{
  return Row(aList).name_;
}

auto ReadScheduler::Backoff(const State& aState, int aRank) const -> Duration
{
  if (aState.failures_ == 0) {
    return 0us;
  }
  const int maxDoublings = aRank < kFrontRanks       ? kMaxFrontDoublings
                           : aRank < kStaggeredRanks ? kMaxStaggeredDoublings
                                                     : kMaxRearDoublings;
  return kInitialBackoff * (1 << std::min(aState.failures_ - 1, maxDoublings));
}

auto ReadScheduler::NoteUpdate(SharedList aList, Instant aCompleteAsOf) -> void
{
  auto& last = states_.at(static_cast<std::size_t>(aList)).lastUpdate_;
  last = std::max(last, aCompleteAsOf);
}

auto ReadScheduler::OnRead(SharedList aList, bool aSuccess, Instant aNow)
  -> void
{
  auto& state = states_.at(static_cast<std::size_t>(aList));
  state.lastAttempt_ = aNow;
  state.failures_ = aSuccess ? 0 : state.failures_ + 1;
}

auto ReadScheduler::TimeToRead(SharedList aList, int aRank, Instant aNow) const
  -> Duration
{
  const auto& state = states_.at(static_cast<std::size_t>(aList));
  if (aRank < Row(aList).concurrentReaders_ && state.failures_ == 0) {
    return 0us;
  }
  auto dueAt = state.lastUpdate_ + Row(aList).takeoverSilence_ +
               kTakeoverStagger * std::min(aRank, kStaggeredRanks) +
               (aRank >= kStaggeredRanks ? kRearDelay : Duration(0));
  if (aRank == 0) {
    dueAt = std::min(dueAt, state.lastAttempt_ + kRetryInterval);
  }
  dueAt = std::max(dueAt, state.lastAttempt_ + Backoff(state, aRank));
  return std::max<Duration>(dueAt - aNow, 0us);
}

auto ReadScheduler::TimeToFirstRead(SharedList aList,
                                    int aRank,
                                    Instant aNow) const -> Duration
{
  const auto& state = states_.at(static_cast<std::size_t>(aList));
  const auto dueAt = state.lastAttempt_ + Backoff(state, aRank);
  return std::max<Duration>(dueAt - aNow, 0us);
}

} // namespace burdockring
