#include "process/forwarding/placement_wire.h"

#include <algorithm>

namespace burdockring {
namespace {

constexpr std::size_t kPartBytes = 8;
constexpr unsigned kBitsInByte = 8;
/// Event of a note on a run that has begun; ends are numbered behind it.
constexpr int kBegunEvent = 0;
constexpr int kFirstEndEvent = 1;
/// Longest span that a message may name: no caller waits so long.
constexpr Duration kLongestSpan = 1h;
constexpr std::int32_t kLastStanding =
  static_cast<std::int32_t>(ShareStanding::kBeyondShare);
/// Most tokens that a message may name for a request.
constexpr std::int32_t kMostTokens = 10'000'000;

auto AppendPart(std::string* aBytes, std::uint64_t aPart) -> void
{
  for (unsigned i = 0; i < kPartBytes; ++i) {
    *aBytes += static_cast<char>(aPart >> (i * kBitsInByte));
  }
}

auto PartAt(const std::string& aBytes, std::size_t aIndex) -> std::uint64_t
{
  std::uint64_t part = 0;
  for (unsigned i = 0; i < kPartBytes; ++i) {
    const auto byte =
      static_cast<unsigned char>(aBytes[aIndex * kPartBytes + i]);
    part |= std::uint64_t{ byte } << (i * kBitsInByte);
  }
  return part;
}

auto SpanOf(std::int64_t aMicros) -> Duration
{
  return std::clamp<Duration>(Duration(aMicros), -kLongestSpan, kLongestSpan);
}

auto TokensOf(std::int32_t aTokens) -> int
{
  return std::clamp(aTokens, 0, kMostTokens);
}

auto StandingOf(const wire::PlaceAnswer& aAnswer) -> ShareStanding
{
  return static_cast<ShareStanding>(
    std::clamp(aAnswer.standing, 0, kLastStanding));
}

auto IsReason(std::int32_t aNumber) -> bool
{
  return aNumber >= 0 &&
         aNumber <= static_cast<std::int32_t>(RejectReason::kResting);
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
  ask.goesOn = aItem.isContinuation_;
  ask.promptTokens = aItem.promptTokens_;
  ask.outputTokens = aItem.outputTokens_;
  for (const auto& part : aItem.parts_) {
    AppendPart(&ask.parts, part.id_);
    ask.partTokens.push_back(part.tokens_);
  }
  for (const auto target : aItem.triedTargets_) {
    ask.tried.push_back(target.value_);
  }
  return ask;
}

auto DecodeAsk(const wire::PlaceAsk& aAsk, RequestId aId, Instant aNow)
  -> std::optional<WorkItem>
{
  if (aAsk.parts.size() != aAsk.partTokens.size() * kPartBytes) {
    return std::nullopt;
  }
  WorkItem item;
  item.id_ = aId;
  item.service_ = ServiceId{ aAsk.serviceId };
  item.account_ = AccountId{ aAsk.account };
  item.latencyObjective_ = SpanOf(aAsk.aimMicros);
  item.arrival_ = aNow - SpanOf(aAsk.waitedMicros);
  item.deadline_ = aNow + SpanOf(aAsk.patienceMicros);
  item.isContinuation_ = aAsk.goesOn;
  item.promptTokens_ = TokensOf(aAsk.promptTokens);
  item.outputTokens_ = TokensOf(aAsk.outputTokens);
  for (std::size_t i = 0; i < aAsk.partTokens.size(); ++i) {
    item.parts_.push_back(
      { PartAt(aAsk.parts, i), TokensOf(aAsk.partTokens[i]) });
  }
  for (const auto target : aAsk.tried) {
    item.triedTargets_.push_back(TargetId{ target });
  }
  return item;
}

auto EncodeVerdict(const DispatchVerdict& aVerdict, std::int64_t aNumber)
  -> wire::PlaceAnswer
{
  wire::PlaceAnswer answer;
  answer.request = aNumber;
  if (const auto* start = std::get_if<StartWork>(&aVerdict)) {
    answer.outcome = static_cast<std::int32_t>(PlaceOutcome::kStarts);
    answer.target = start->target_.value_;
    answer.copyFrom = start->copyFrom_.value_or(TargetId{}).value_;
    answer.expectedWaitMicros = start->expectedWait_.count();
    answer.prefillTokens = start->addedLoad_.prefillTokens_;
    answer.memoryTokens = start->addedLoad_.memoryTokens_;
    answer.standing = static_cast<std::int32_t>(start->standing_);
    return answer;
  }
  const auto& reject = std::get<RejectWork>(aVerdict);
  answer.outcome = static_cast<std::int32_t>(PlaceOutcome::kRejected);
  answer.reason = static_cast<std::int32_t>(reject.reason_);
  answer.standing = static_cast<std::int32_t>(reject.standing_);
  answer.expectedWaitMicros = reject.expectedWait_.count();
  answer.retryAfterMicros = reject.retryAfter_.count();
  return answer;
}

auto DecodeVerdict(const wire::PlaceAnswer& aAnswer, RequestId aRequest)
  -> std::optional<DispatchVerdict>
{
  if (aAnswer.outcome == static_cast<std::int32_t>(PlaceOutcome::kStarts)) {
    StartWork start;
    start.request_ = aRequest;
    start.target_ = TargetId{ aAnswer.target };
    if (aAnswer.copyFrom != 0) {
      start.copyFrom_ = TargetId{ aAnswer.copyFrom };
    }
    start.expectedWait_ = SpanOf(aAnswer.expectedWaitMicros);
    start.addedLoad_ = { 1, TokensOf(aAnswer.prefillTokens),
                         TokensOf(aAnswer.memoryTokens) };
    start.standing_ = StandingOf(aAnswer);
    return start;
  }
  if (aAnswer.outcome != static_cast<std::int32_t>(PlaceOutcome::kRejected) ||
      !IsReason(aAnswer.reason)) {
    return std::nullopt;
  }
  RejectWork reject;
  reject.request_ = aRequest;
  reject.reason_ = static_cast<RejectReason>(aAnswer.reason);
  reject.standing_ = StandingOf(aAnswer);
  reject.expectedWait_ = SpanOf(aAnswer.expectedWaitMicros);
  reject.retryAfter_ = SpanOf(aAnswer.retryAfterMicros);
  return reject;
}

auto BegunNote(std::int64_t aNumber) -> wire::RunNote
{
  wire::RunNote note;
  note.request = aNumber;
  note.event = kBegunEvent;
  return note;
}

auto EndNote(std::int64_t aNumber, RunEnd aEnd) -> wire::RunNote
{
  wire::RunNote note;
  note.request = aNumber;
  note.event = kFirstEndEvent + static_cast<int>(aEnd);
  return note;
}

auto EndOf(const wire::RunNote& aNote) -> std::optional<RunEnd>
{
  const int number = aNote.event - kFirstEndEvent;
  if (number < 0 || number >= kRunEndCount) {
    return std::nullopt;
  }
  return static_cast<RunEnd>(number);
}

} // namespace burdockring
