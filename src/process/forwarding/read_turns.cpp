#include "process/forwarding/read_turns.h"

#include <algorithm>

namespace burdockring {
namespace {

struct ListRow
{
  SharedList list_;
  std::string_view name_;
  /// Silence after which the next router takes over: longer than the time
  /// between two words of a reader, well within the bound on how late the news
  /// may be acted on.
  Duration silence_;
  /// Routers that read at the same time, in different zones where there are
  /// several: the source may turn one of them away, and what it tells of must
  /// be in force within the silence that would show it.
  int readers_;
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

auto ReadTurns::Backoff(const State& aState, int aRank) const -> Duration
{
  if (aState.failures_ == 0) {
    return 0us;
  }
  const int longest = aRank < kNearRanks     ? kMaxDoublings
                      : aRank < kMaxStaggers ? kMaxFarDoublings
                                             : kMaxLastDoublings;
  return kFirstPause * (1 << std::min(aState.failures_ - 1, longest));
}

auto ReadTurns::Note(SharedList aList, Instant aWord) -> void
{
  auto& last = states_.at(static_cast<std::size_t>(aList)).lastWord_;
  last = std::max(last, aWord);
}

auto ReadTurns::OnRead(SharedList aList, bool aSuccess, Instant aNow) -> void
{
  auto& state = states_.at(static_cast<std::size_t>(aList));
  state.lastTry_ = aNow;
  state.failures_ = aSuccess ? 0 : state.failures_ + 1;
}

auto ReadTurns::TimeToRead(SharedList aList, int aRank, Instant aNow) const
  -> Duration
{
  const auto& state = states_.at(static_cast<std::size_t>(aList));
  if (aRank < Row(aList).readers_ && state.failures_ == 0) {
    return 0us;
  }
  auto due = state.lastWord_ + Row(aList).silence_ +
             kStagger * std::min(aRank, kMaxStaggers) +
             (aRank >= kMaxStaggers ? kLastStagger : Duration(0));
  if (aRank == 0) {
    due = std::min(due, state.lastTry_ + kRetryInterval);
  }
  due = std::max(due, state.lastTry_ + Backoff(state, aRank));
  return std::max<Duration>(due - aNow, 0us);
}

auto ReadTurns::TimeToFirstRead(SharedList aList, int aRank, Instant aNow) const
  -> Duration
{
  const auto& state = states_.at(static_cast<std::size_t>(aList));
  const auto due = state.lastTry_ + Backoff(state, aRank);
  return std::max<Duration>(due - aNow, 0us);
}

} // namespace burdockring
