#include "process/placement/prompt_pacer.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

auto ToMs(Duration aTime) -> double
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

auto FromMs(double aMillis) -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMillis));
}

} // namespace

auto PromptPacer::LearnGap(ServiceId aService, Duration aLimit, Duration aGap)
  -> void
{
  // Twice the limit, so that the estimate returns soon from longer gaps.
  const double sample = std::clamp(ToMs(aGap), 1.0, 2 * ToMs(aLimit));
  auto& usual = usualGaps_[aService];
  if (usual.samples_ == 0) {
    usual.ms_ = sample;
  }
  ++usual.samples_;
  usual.ms_ *= sample > usual.ms_ ? 1 + kStepFraction * kUsualQuantile
                                  : 1 - kStepFraction * (1 - kUsualQuantile);
}

auto PromptPacer::LearnedGap(ServiceId aService) const
  -> std::optional<Duration>
{
  const auto found = usualGaps_.find(aService);
  return found != usualGaps_.end() && found->second.samples_ >= kMinGapSamples
           ? std::make_optional(FromMs(found->second.ms_))
           : std::nullopt;
}

auto PromptPacer::OnFirstEvent(ServiceId aService,
                               TargetId aEngine,
                               int aTokens,
                               Instant aSent,
                               Instant aNow) -> void
{
  auto& engine = engines_[aEngine];
  const auto previous = std::exchange(engine.lastFirstEvent_, aNow);
  if (engine.lastPeerPrompt_ && *engine.lastPeerPrompt_ >= aSent) {
    return;
  }
  // A first event takes its usual time after the prompt is read, and longer
  // while the next prompt is read. Over a span in which the engine reads
  // without a break, the sum of the times from one first event to the next is
  // right.
  const auto usual = LearnedGap(aService);
  if (!usual) {
    return;
  }
  const Instant begin =
    std::max<Instant>(aSent + *usual, previous.value_or(0us));
  auto& speed = speeds_[aService];
  speed.ms_ = speed.ms_ * kSpeedDecay + ToMs(aNow - begin);
  speed.tokens_ = speed.tokens_ * kSpeedDecay + aTokens;
  ++speed.samples_;
}

auto PromptPacer::ReadingTime(ServiceId aService,
                              const TargetLoad& aLoad,
                              int aTokens) const -> Duration
{
  const auto speed = speeds_.find(aService);
  if (speed == speeds_.end() || speed->second.samples_ < kMinSpeedSamples ||
      speed->second.ms_ <= 0) {
    return aLoad.PrefillTime(aTokens) - aLoad.PrefillTime(0);
  }
  return FromMs(speed->second.ms_ / speed->second.tokens_ * aTokens);
}

auto PromptPacer::Allowance(ServiceId aService, Duration aLimit) const
  -> std::optional<Duration>
{
  const auto usual = LearnedGap(aService);
  return usual && *usual < aLimit
           ? std::make_optional<Duration>(aLimit - *usual)
           : std::nullopt;
}

auto PromptPacer::RecordRoom(ServiceId aService, bool aHadRoom) -> void
{
  auto& share = withoutRoom_[aService];
  share += kRoomWeight * ((aHadRoom ? 0.0 : 1.0) - share);
}

auto PromptPacer::IsOverloaded(ServiceId aService) const -> bool
{
  const auto found = withoutRoom_.find(aService);
  return found != withoutRoom_.end() && found->second > kOverloadShare;
}

auto PromptPacer::OnLimitedRunStart(TargetId aEngine) -> void
{
  ++engines_[aEngine].limitedRuns_;
}

auto PromptPacer::OnLimitedRunEnd(TargetId aEngine) -> void
{
  auto& runs = engines_[aEngine].limitedRuns_;
  runs = std::max(0, runs - 1);
}

auto PromptPacer::LimitedRuns(TargetId aEngine) const -> int
{
  const auto found = engines_.find(aEngine);
  return found == engines_.end() ? 0 : found->second.limitedRuns_;
}

auto PromptPacer::OnPromptSent(TargetId aEngine,
                               Duration aReading,
                               Duration aBacklog,
                               Duration aLimit,
                               Instant aNow) -> void
{
  auto& readings = engines_[aEngine].readings_;
  while (!readings.empty() && readings.front().end_ + aLimit < aNow) {
    readings.pop_front();
  }
  // Readings that were expected to take longer than the backlog are done.
  while (!readings.empty() && readings.back().begin_ >= aNow + aBacklog) {
    readings.pop_back();
  }
  Instant begin = aNow;
  if (!readings.empty()) {
    auto& last = readings.back();
    last.end_ = std::min(last.end_, aNow + aBacklog);
    begin = std::max(begin, last.end_);
  }
  readings.push_back({ begin, begin + aReading });
}

auto PromptPacer::OnBacklogRead(TargetId aEngine, Instant aNow) -> void
{
  auto& readings = engines_[aEngine].readings_;
  while (!readings.empty() && readings.back().begin_ >= aNow) {
    readings.pop_back();
  }
  if (!readings.empty()) {
    readings.back().end_ = std::min(readings.back().end_, aNow);
  }
}

auto PromptPacer::OnPeerPrompt(TargetId aEngine, Instant aNow) -> void
{
  engines_[aEngine].lastPeerPrompt_ = aNow;
}

auto PromptPacer::Excess(TargetId aEngine,
                         Duration aReading,
                         Duration aBacklog,
                         Duration aAllowance,
                         Duration aLimit,
                         Instant aNow) const -> Duration
{
  const auto found = engines_.find(aEngine);
  if (found == engines_.end() || found->second.readings_.empty()) {
    return std::max<Duration>(aReading - aAllowance, 0us);
  }
  const auto& readings = found->second.readings_;
  const Instant latest = aNow + aBacklog;
  const Instant begin = std::max(aNow, std::min(readings.back().end_, latest));
  const Instant spanBegin = begin + aReading - aLimit;
  Duration sum = aReading;
  for (auto reading = readings.rbegin();
       reading != readings.rend() && reading->end_ > spanBegin; ++reading) {
    const Instant end = std::min(reading->end_, latest);
    sum += std::max<Duration>(end - std::max(reading->begin_, spanBegin), 0us);
  }
  return std::max<Duration>(sum - aAllowance, 0us);
}

auto PromptPacer::RemoveUnless(const std::function<bool(TargetId)>& aIsListed)
  -> void
{
  std::erase_if(engines_, [&](const auto& aEntry) {
    return aEntry.second.limitedRuns_ == 0 && !aIsListed(aEntry.first);
  });
}

auto PromptPacing::Excess(TargetId aEngine,
                          const TargetLoad& aLoad,
                          int aTokens,
                          Instant aNow) const -> Duration
{
  const bool hasPeerRuns = aLoad.Total().running_ > aLoad.Local().running_;
  if (pacer_->LimitedRuns(aEngine) == 0 && !hasPeerRuns) {
    return 0us;
  }
  const auto reading = pacer_->ReadingTime(service_, aLoad, aTokens);
  const auto backlog =
    pacer_->ReadingTime(service_, aLoad, aLoad.Total().prefillTokens_);
  return pacer_->Excess(aEngine, reading, backlog, allowance_, limit_, aNow);
}

} // namespace burdockring
