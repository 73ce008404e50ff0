#include "process/placement/placement_state_log.h"

#include <chrono>
#include <cmath>

namespace burdockring {
namespace {

/// Logged for a level that limits no account.
constexpr std::int64_t kNoLevel = -1;

auto LevelField(double aLevel) -> std::int64_t
{
  return std::isfinite(aLevel) ? static_cast<std::int64_t>(aLevel) : kNoLevel;
}

} // namespace

auto PlacementStateLog::WriteShareLevels(std::int64_t aDecisions) -> void
{
  const auto& levels = dispatcher_->ShareLevels();
  log_->Write(
    "share_levels",
    { { "decisions", aDecisions },
      { "waiting", static_cast<std::int64_t>(dispatcher_->WaitingCount()) },
      { "running", static_cast<std::int64_t>(dispatcher_->RunningCount()) },
      { "asked_tokens", levels.demand_ },
      { "given_tokens", levels.charged_ },
      { "owed_level", LevelField(levels.guaranteedLevel_) },
      { "fair_level", LevelField(levels.fairLevel_) } });
}

auto PlacementStateLog::WriteEnginePace() -> void
{
  for (const auto& estimate : dispatcher_->EngineEstimates()) {
    const std::chrono::duration<double, std::milli> firstEventTime =
      estimate.firstEventTime_;
    log_->Write("engine_pace",
                { { "service", std::int64_t{ estimate.service_.value_ } },
                  { "ms_per_token", estimate.msPerToken_ },
                  { "first_event_ms", firstEventTime.count() } });
  }
}

auto PlacementStateLog::WritePromptPacing() -> void
{
  using Millis = std::chrono::duration<double, std::milli>;
  const auto& counters = dispatcher_->Pacing();
  for (const auto& estimate : dispatcher_->PacingEstimates()) {
    log_->Write("prompt_pacing",
                { { "service", std::int64_t{ estimate.service_.value_ } },
                  { "gap_limit_ms", Millis(estimate.limit_).count() },
                  { "allowance_ms", Millis(estimate.allowance_).count() },
                  { "read_ms_per_token", estimate.msPerToken_ },
                  { "shifted_so_far", counters.shifted_ },
                  { "held_so_far", counters.held_ },
                  { "without_room_so_far", counters.withoutRoom_ } });
  }
}

PlacementStateLog::PlacementStateLog(const Dispatcher* aDispatcher,
                                     EventLog* aLog)
  : dispatcher_(aDispatcher)
  , log_(aLog)
{
}

auto PlacementStateLog::Tick(Instant aNow) -> void
{
  if (aNow - lastWriteTime_ < kInterval) {
    return;
  }
  const auto decisions = dispatcher_->DecisionCount();
  if (decisions == lastDecisionCount_) {
    return;
  }
  WriteShareLevels(decisions - lastDecisionCount_);
  WriteEnginePace();
  WritePromptPacing();
  lastWriteTime_ = aNow;
  lastDecisionCount_ = decisions;
}

} // namespace burdockring
