#include "process/forwarding/belief_log.h"

#include <chrono>
#include <cmath>

namespace burdockring {
namespace {

/// Printed for a level that binds no account.
constexpr std::int64_t kNoLevel = -1;

auto LevelField(double aLevel) -> std::int64_t
{
  return std::isfinite(aLevel) ? static_cast<std::int64_t>(aLevel) : kNoLevel;
}

} // namespace

auto BeliefLog::WriteShares(std::int64_t aDecisions) -> void
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

auto BeliefLog::WriteEngines() -> void
{
  for (const auto& belief : dispatcher_->EngineBeliefs()) {
    const std::chrono::duration<double, std::milli> first =
      belief.firstEventTime_;
    log_->Write("engine_pace",
                { { "service", std::int64_t{ belief.service_.value_ } },
                  { "ms_per_token", belief.msPerToken_ },
                  { "first_event_ms", first.count() } });
  }
}

BeliefLog::BeliefLog(const Dispatcher* aDispatcher, EventLog* aLog)
  : dispatcher_(aDispatcher)
  , log_(aLog)
{
}

auto BeliefLog::Tick(Instant aNow) -> void
{
  if (aNow - lastLine_ < kInterval) {
    return;
  }
  const auto decisions = dispatcher_->DecisionCount();
  if (decisions == lastDecisions_) {
    return;
  }
  WriteShares(decisions - lastDecisions_);
  WriteEngines();
  lastLine_ = aNow;
  lastDecisions_ = decisions;
}

} // namespace burdockring
