#ifndef BURDOCKRING_PROCESS_PLACEMENT_PLACEMENT_STATE_LOG_H
#define BURDOCKRING_PROCESS_PLACEMENT_PLACEMENT_STATE_LOG_H

#include "process/forwarding/event_log.h"
#include "process/placement/dispatcher.h"

#include <cstdint>

namespace burdockring {

/// Logs the state that placement decisions are based on: the share levels of
/// the pool and the estimated prefill speed of its engines. The estimates of
/// different leads can be compared by these lines. Writes at most once per
/// second, and nothing while no decisions are made.
class PlacementStateLog
{
  static constexpr Duration kInterval = 1s;

  const Dispatcher* dispatcher_;
  EventLog* log_;
  Instant lastWriteTime_{};
  std::int64_t lastDecisionCount_ = 0;

  auto WriteShareLevels(std::int64_t aDecisions) -> void;
  auto WriteEnginePace() -> void;
  auto WritePromptPacing() -> void;

public:
  PlacementStateLog(const Dispatcher* aDispatcher, EventLog* aLog);

  auto Tick(Instant aNow) -> void;
};

} // namespace burdockring

#endif
