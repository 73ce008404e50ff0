#ifndef BURDOCKRING_PROCESS_FORWARDING_BELIEF_LOG_H
#define BURDOCKRING_PROCESS_FORWARDING_BELIEF_LOG_H

#include "process/forwarding/dispatcher.h"
#include "process/forwarding/event_log.h"

#include <cstdint>

namespace burdockring {

/// Logs what a router's placements go by: the shares of the pool and how fast
/// engines seem to read. So the beliefs of one lead can be held against those
/// of another. A line a second at most, and none while nothing is decided.
class PlacementStateLog
{
  static constexpr Duration kInterval = 1s;

  const Dispatcher* dispatcher_;
  EventLog* log_;
  Instant lastWriteTime_{};
  std::int64_t lastDecisionCount_ = 0;

  auto WriteShareLevels(std::int64_t aDecisions) -> void;
  auto WriteEnginePace() -> void;

public:
  PlacementStateLog(const Dispatcher* aDispatcher, EventLog* aLog);

  auto Tick(Instant aNow) -> void;
};

} // namespace burdockring

#endif
