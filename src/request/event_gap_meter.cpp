#include "request/event_gap_meter.h"

#include <algorithm>

namespace burdockring {

auto EventGapMeter::OnEvents(Instant aNow) -> std::optional<Duration>
{
  const auto previous = lastEvent_;
  lastEvent_ = aNow;
  if (!previous) {
    return std::nullopt;
  }
  const Duration gap = aNow - *previous;
  longest_ = std::max(longest_, gap);
  ++gaps_;
  return gap;
}

auto EventGapMeter::Longest() const -> Duration
{
  return longest_;
}

auto EventGapMeter::GapCount() const -> std::int64_t
{
  return gaps_;
}

} // namespace burdockring
