#ifndef BURDOCKRING_REQUEST_EVENT_GAP_METER_H
#define BURDOCKRING_REQUEST_EVENT_GAP_METER_H

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace burdockring {

/// Measures the time between the events of one stream, as the caller gets them.
/// Events that arrive together count as one. A stream that another target
/// resumes has a gap where it was interrupted.
class EventGapMeter
{
  std::optional<Instant> lastEvent_;
  Duration longest_{};
  std::int64_t gaps_ = 0;

public:
  /// Records that events were forwarded. Returns the time since the previous
  /// ones; empty for the first.
  auto OnEvents(Instant aNow) -> std::optional<Duration>;
  /// The longest gap so far; zero before the second event.
  [[nodiscard]] auto Longest() const -> Duration;
  [[nodiscard]] auto GapCount() const -> std::int64_t;
};

} // namespace burdockring

#endif
