#include "process/placement/placement_wire.h"

#include "process/quarantine/part_ids.h"

#include <algorithm>

namespace burdockring {
namespace {

/// Event codes of a run note: the first event, then the values of RunOutcome
/// counted from kOutcomeBase.
constexpr int kFirstEventReceived = 0;
constexpr int kOutcomeBase = 1;
/// Durations in messages are clamped to this; no caller waits longer.
constexpr Duration kMaxDuration = 1h;
constexpr std::int32_t kMaxStanding =
  static_cast<std::int32_t>(ShareStanding::kBeyondShare);
/// Token counts in messages are clamped to this.
constexpr std::int32_t kMaxTokens = 10'000'000;

auto ClampedDuration(std::int64_t aMicros) -> Duration
{
  return std::clamp<Duration>(Duration(aMicros), -kMaxDuration, kMaxDuration);
}

auto ClampedTokens(std::int32_t aTokens) -> int
{
  return std::clamp(aTokens, 0, kMaxTokens);
}

auto DecodeStanding(const wire::PlaceAnswer& aAnswer) -> ShareStanding
{
  return static_cast<ShareStanding>(
    std::clamp(aAnswer.standing, 0, kMaxStanding));
}

auto IsKnownReason(std::int32_t aNumber) -> bool
{
  return aNumber >= 0 &&
         aNumber <= static_cast<std::int32_t>(RejectReason::kTargetsPaused);
}

} // namespace

auto EncodeAsk(const WorkItem& aItem, std::int64_t aNumber, Instant aNow)
  -> wire::PlaceAsk
{
  wire::PlaceAsk ask;
  ask.request = aNumber;
  ask.serviceId = aItem.service_.value_;
  ask.account = aItem.account_.value_;
  ask.aimMicros = aItem.latencyObjective_.count();
  ask.waitedMicros = (aNow - aItem.arrival_).count();
  ask.patienceMicros = (aItem.deadline_ - aNow).count();
  if (aItem.maxEventGap_ > 0us) {
    ask.__set_maxGapMicros(aItem.maxEventGap_.count());
  }
  ask.goesOn = aItem.isContinuation_;
  ask.promptTokens = aItem.promptTokens_;
  ask.outputTokens = aItem.outputTokens_;
  PartIds parts;
  for (const auto& part : aItem.parts_) {
    parts.push_back(part.id_);
    ask.partTokens.push_back(part.tokens_);
  }
  ask.parts = EncodePartIds(parts);
  for (const auto target : aItem.triedTargets_) {
    ask.tried.push_back(target.value_);
  }
  return ask;
}

auto DecodeAsk(const wire::PlaceAsk& aAsk, RequestId aId, Instant aNow)
  -> std::optional<WorkItem>
{
  const auto parts = DecodePartIds(aAsk.parts);
  if (!parts || parts->size() != aAsk.partTokens.size()) {
    return std::nullopt;
  }
  WorkItem item;
  item.id_ = aId;
  item.service_ = ServiceId{ aAsk.serviceId };
  item.account_ = AccountId{ aAsk.account };
  item.latencyObjective_ = ClampedDuration(aAsk.aimMicros);
  item.arrival_ = aNow - ClampedDuration(aAsk.waitedMicros);
  item.deadline_ = aNow + ClampedDuration(aAsk.patienceMicros);
  if (aAsk.__isset.maxGapMicros) {
    item.maxEventGap_ =
      std::max<Duration>(ClampedDuration(aAsk.maxGapMicros), 0us);
  }
  item.isContinuation_ = aAsk.goesOn;
  item.promptTokens_ = ClampedTokens(aAsk.promptTokens);
  item.outputTokens_ = ClampedTokens(aAsk.outputTokens);
  for (std::size_t i = 0; i < parts->size(); ++i) {
    item.parts_.push_back({ (*parts)[i], ClampedTokens(aAsk.partTokens[i]) });
  }
  for (const auto target : aAsk.tried) {
    item.triedTargets_.push_back(TargetId{ target });
  }
  return item;
}

auto EncodeAnswer(const DispatchDecision& aDecision, std::int64_t aNumber)
  -> wire::PlaceAnswer
{
  wire::PlaceAnswer answer;
  answer.request = aNumber;
  if (const auto* start = std::get_if<StartDecision>(&aDecision)) {
    answer.outcome = static_cast<std::int32_t>(PlaceOutcome::kStarted);
    answer.target = start->target_.value_;
    answer.copyFrom = start->copyFrom_.value_or(TargetId{}).value_;
    answer.expectedWaitMicros = start->expectedWait_.count();
    answer.prefillTokens = start->addedLoad_.prefillTokens_;
    answer.memoryTokens = start->addedLoad_.memoryTokens_;
    answer.standing = static_cast<std::int32_t>(start->standing_);
    return answer;
  }
  const auto& reject = std::get<RejectDecision>(aDecision);
  answer.outcome = static_cast<std::int32_t>(PlaceOutcome::kRejected);
  answer.reason = static_cast<std::int32_t>(reject.reason_);
  answer.standing = static_cast<std::int32_t>(reject.standing_);
  answer.expectedWaitMicros = reject.expectedWait_.count();
  answer.retryAfterMicros = reject.retryAfter_.count();
  return answer;
}

auto DecodeAnswer(const wire::PlaceAnswer& aAnswer, RequestId aRequest)
  -> std::optional<DispatchDecision>
{
  if (aAnswer.outcome == static_cast<std::int32_t>(PlaceOutcome::kStarted)) {
    StartDecision start;
    start.request_ = aRequest;
    start.target_ = TargetId{ aAnswer.target };
    if (aAnswer.copyFrom != 0) {
      start.copyFrom_ = TargetId{ aAnswer.copyFrom };
    }
    start.expectedWait_ = ClampedDuration(aAnswer.expectedWaitMicros);
    start.addedLoad_ = { 1, ClampedTokens(aAnswer.prefillTokens),
                         ClampedTokens(aAnswer.memoryTokens) };
    start.standing_ = DecodeStanding(aAnswer);
    return start;
  }
  if (aAnswer.outcome != static_cast<std::int32_t>(PlaceOutcome::kRejected) ||
      !IsKnownReason(aAnswer.reason)) {
    return std::nullopt;
  }
  RejectDecision reject;
  reject.request_ = aRequest;
  reject.reason_ = static_cast<RejectReason>(aAnswer.reason);
  reject.standing_ = DecodeStanding(aAnswer);
  reject.expectedWait_ = ClampedDuration(aAnswer.expectedWaitMicros);
  reject.retryAfter_ = ClampedDuration(aAnswer.retryAfterMicros);
  return reject;
}

auto MakeFirstEventNote(std::int64_t aNumber) -> wire::RunNote
{
  wire::RunNote note;
  note.request = aNumber;
  note.event = kFirstEventReceived;
  return note;
}

auto MakeOutcomeNote(std::int64_t aNumber, RunOutcome aOutcome) -> wire::RunNote
{
  wire::RunNote note;
  note.request = aNumber;
  note.event = kOutcomeBase + static_cast<int>(aOutcome);
  return note;
}

auto DecodeOutcome(const wire::RunNote& aNote) -> std::optional<RunOutcome>
{
  const int number = aNote.event - kOutcomeBase;
  if (number < 0 || number >= kRunOutcomeCount) {
    return std::nullopt;
  }
  return static_cast<RunOutcome>(number);
}

} // namespace burdockring
