#include "connection/exchange.h"

#include "base/boot_clock.h"
#include "base/http_rules.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <utility>

namespace burdockring {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kNoContent = 204;

auto IsSuccess(int aStatus) -> bool
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

auto ReasonPhrase(int aStatus) -> std::string
{
  return std::string(boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(static_cast<unsigned>(aStatus))));
}

auto AppendField(std::string* aText,
                 std::string_view aName,
                 std::string_view aValue) -> void
{
  fmt::format_to(std::back_inserter(*aText), "{}: {}\r\n", aName, aValue);
}

/// Value of the field, or empty.
auto FieldValue(const HttpFields& aFields, std::string_view aName)
  -> std::string_view
{
  const auto* value = FindField(aFields, aName);
  return value == nullptr ? std::string_view() : *value;
}

auto ConnectionValue(const HttpFields& aFields) -> std::string_view
{
  return FieldValue(aFields, "Connection");
}

/// The media type without its parameters, or empty.
auto MediaType(const MessageHead& aHead) -> std::string_view
{
  const auto value = FieldValue(aHead.fields_, "Content-Type");
  return value.substr(0, value.find_first_of("; "));
}

/// Whether the answer can continue a stream that another target began.
auto Continues(const MessageHead& aFirst, const MessageHead& aNext) -> bool
{
  const auto first = MediaType(aFirst);
  const auto next = MediaType(aNext);
  return IsSuccess(aNext.status_) &&
         (first.empty() || next.empty() || IsSameFieldName(first, next));
}

} // namespace

auto Exchange::RequestHead(const SendAttempt& aAttempt) const -> std::string
{
  HttpFields endToEnd;
  const auto connection = ConnectionValue(head_.fields_);
  for (const auto& field : head_.fields_) {
    if (!IsHopByHop(field.name_, connection) &&
        !IsSameFieldName(field.name_, "Content-Length") &&
        !IsSameFieldName(field.name_, "Expect")) {
      endToEnd.push_back(field);
    }
  }
  std::string text =
    fmt::format("{} {} HTTP/1.1\r\n", head_.method_, head_.target_);
  for (const auto& field : port_->Adapter().TargetFields(endToEnd, aAttempt)) {
    AppendField(&text, field.name_, field.value_);
  }
  const bool mayLackBody = head_.method_ == "GET" || head_.method_ == "HEAD" ||
                           head_.method_ == "DELETE";
  if (!body_->empty() || !mayLackBody) {
    AppendField(&text, "Content-Length", std::to_string(body_->size()));
  }
  text += "\r\n";
  return text;
}

auto Exchange::GatherLimit() const -> std::size_t
{
  return port_->Memory().Level() >= MemoryLevel::kReject
           ? kMaxGatheredUnderPressure
           : kMaxGathered;
}

auto Exchange::ChargeGathered() -> void
{
  gatheredCharge_.Set(gathered_.capacity() + events_.RestMemory());
}

auto Exchange::IsBodiless(int aStatus) const -> bool
{
  return head_.method_ == "HEAD" || IsBodilessStatus(aStatus);
}

auto Exchange::AppendStatedLength(std::string* aText) const -> void
{
  const auto length = FieldValue(answer_.fields_, "Content-Length");
  if (answer_.status_ != kNoContent && !length.empty()) {
    // The parser takes a list of one length, too.
    AppendField(aText, "Content-Length", length.substr(0, length.find(',')));
  }
}

auto Exchange::BeginAnswer(bool aWithLength) -> void
{
  begun_ = true;
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", answer_.status_,
                                 ReasonPhrase(answer_.status_));
  const auto connection = ConnectionValue(answer_.fields_);
  for (const auto& field : answer_.fields_) {
    if (!IsHopByHop(field.name_, connection) &&
        !IsSameFieldName(field.name_, "Content-Length")) {
      AppendField(&text, field.name_, field.value_);
    }
  }
  const bool isBodiless = IsBodiless(answer_.status_);
  if (isBodiless) {
    AppendStatedLength(&text);
  } else if (aWithLength) {
    AppendField(&text, "Content-Length", std::to_string(gathered_.size()));
  } else if (writer_->TakesChunks()) {
    AppendField(&text, "Transfer-Encoding", "chunked");
  }
  AppendConnection(&text);
  text += "\r\n";
  if (aWithLength && !isBodiless) {
    text += gathered_;
  }
  writer_->Write(std::move(text));
}

auto Exchange::AppendConnection(std::string* aText) -> void
{
  if (port_->Node().IsOverloaded()) {
    writer_->EndConnection();
  }
  if (writer_->EndsConnection()) {
    AppendField(aText, "Connection", "close");
  }
}

auto Exchange::WriteChunk(std::string aBytes) -> void
{
  if (!writer_->TakesChunks()) {
    writer_->Write(std::move(aBytes));
    return;
  }
  writer_->Write(fmt::format("{:x}\r\n{}\r\n", aBytes.size(), aBytes));
}

auto Exchange::Forward(std::string aBytes) -> void
{
  if (aBytes.empty() || writer_ == nullptr) {
    return;
  }
  if (!begun_) {
    BeginAnswer(false);
  }
  WriteChunk(std::move(aBytes));
}

auto Exchange::EndAnswer() -> void
{
  done_ = true;
  port_->Release(id_);
  if (writer_ == nullptr) {
    return;
  }
  if (mode_ == Mode::kGather) {
    BeginAnswer(true);
  } else {
    if (!begun_) {
      BeginAnswer(false);
    }
    if (writer_->TakesChunks()) {
      writer_->Write("0\r\n\r\n");
    }
  }
  RecordTiming(answer_.status_, true);
  writer_->Finish();
}

auto Exchange::IsInOrder(std::string_view aEvents) const -> bool
{
  if (!resumedAfter_) {
    return true;
  }
  const auto first = EventSplitter::FirstEventOf(aEvents);
  return !first || *first > *resumedAfter_;
}

auto Exchange::NoteFirstByte() -> void
{
  if (!firstByteSeen_) {
    firstByteSeen_ = true;
    firstByte_ = BootNow();
  }
  port_->Node().OnResponseStarted(id_, attempt_, BootNow());
}

auto Exchange::CloseTarget() -> void
{
  if (connection_) {
    connection_->Cancel();
    connection_.reset();
  }
}

auto Exchange::Fail(std::string_view aCause) -> void
{
  CloseTarget();
  mode_ = Mode::kNone;
  port_->Node().OnAttemptFailed(id_, attempt_, AttemptStage::kInvalidResponse,
                                aCause, BootNow());
  port_->Settle();
}

auto Exchange::Discard(std::size_t aBytes) -> void
{
  discardedBytes_ += aBytes;
  if (discardedBytes_ <= kMaxDiscarded) {
    return;
  }
  // The status is known, so the rest of the body is not needed.
  if (mode_ == Mode::kRefused) {
    EndRefusal();
  } else {
    EndWithheld();
  }
}

auto Exchange::EndRefusal() -> void
{
  CloseTarget();
  mode_ = Mode::kNone;
  port_->Node().OnAttemptRefused(id_, attempt_, BootNow());
  port_->Settle();
}

auto Exchange::EndWithheld() -> void
{
  CloseTarget();
  mode_ = Mode::kNone;
  port_->Node().OnResponseWithheld(id_, attempt_, answer_.status_, BootNow());
  port_->Settle();
}

auto Exchange::RecordTiming(int aStatus, bool aWhole) -> void
{
  const auto now = BootNow();
  port_->Record({ account_, route_,
                  firstByteSeen_ ? firstByte_ - received_ : now - received_,
                  now - received_, aStatus, aWhole });
}

Exchange::Exchange(ForwardingPort* aPort,
                   AnswerWriter* aWriter,
                   RequestId aId,
                   MessageHead aHead,
                   std::string aBody,
                   Instant aReceived)
  : port_(aPort)
  , writer_(aWriter)
  , id_(aId)
  , head_(std::move(aHead))
  , body_(std::make_shared<const std::string>(std::move(aBody)))
  , bodyCharge_(&aPort->Memory(), MemoryPurpose::kRequestBody)
  , gatheredCharge_(&aPort->Memory(), MemoryPurpose::kGathered)
  , received_(aReceived)
{
  std::size_t bytes = sizeof(Exchange) + body_->capacity();
  for (const auto& field : head_.fields_) {
    bytes += sizeof(field) + field.name_.size() + field.value_.size();
  }
  bodyCharge_.Set(bytes);
}

auto Exchange::Start() -> void
{
  IncomingRequest arrival;
  arrival.id_ = id_;
  const auto* host = FindField(head_.fields_, "Host");
  arrival.host_ = host == nullptr ? std::string() : *host;
  arrival.target_ = head_.target_;
  arrival.facts_ = port_->Adapter().ReadRequest(head_.fields_);
  arrival.received_ = received_;
  attemptId_ = arrival.facts_.attemptId_;
  auto& node = port_->Node();
  node.OnArrival(std::move(arrival), BootNow());
  if (const auto* route = node.RouteOf(id_)) {
    route_ = route->name_;
    isStream_ = route->kind_ == RouteKind::kStream;
    isRetryable_ = route->IsRetryable();
  }
  account_ = node.AccountOf(id_);
  port_->Settle();
}

auto Exchange::Apply(const SendAttempt& aEffect) -> void
{
  attempt_ = aEffect.attempt_;
  mode_ = Mode::kNone;
  gathered_.clear();
  discardedBytes_ = 0;
  resumedAfter_ = begun_ ? aEffect.lastEvent_ : std::nullopt;
  events_.DropRest();
  connection_ = port_->Targets().Send(aEffect, RequestHead(aEffect), body_,
                                      weak_from_this());
}

auto Exchange::Apply(const AbortAttempt& /*aEffect*/) -> void
{
  CloseTarget();
}

auto Exchange::Apply(const FailRequest& aEffect) -> void
{
  done_ = true;
  port_->Release(id_);
  if (writer_ == nullptr) {
    return;
  }
  RecordTiming(aEffect.status_, false);
  if (begun_) {
    writer_->Abort();
    return;
  }
  const std::string body =
    fmt::format("{{\"error\":{{\"code\":\"{}\"}}}}\n", aEffect.code_);
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", aEffect.status_,
                                 ReasonPhrase(aEffect.status_));
  for (const auto& field : port_->Adapter().RefusalFields(aEffect)) {
    AppendField(&text, field.name_, field.value_);
  }
  AppendField(&text, "Content-Type", "application/json");
  AppendField(&text, "Content-Length", std::to_string(body.size()));
  AppendConnection(&text);
  text += "\r\n";
  writer_->Write(IsBodiless(aEffect.status_) ? text : text + body);
  writer_->Finish();
}

auto Exchange::OnCallerDisconnected() -> void
{
  writer_ = nullptr;
  if (done_) {
    return;
  }
  done_ = true;
  // Closing the connection makes the target stop.
  CloseTarget();
  port_->Node().OnCallerDisconnected(id_, BootNow());
  port_->Release(id_);
  port_->Settle();
}

auto Exchange::SetPaused(bool aPaused) -> void
{
  if (connection_) {
    connection_->SetPaused(aPaused);
  }
}

auto Exchange::OnSending(int aAttempt) -> void
{
  port_->Node().OnAttemptSent(id_, aAttempt);
}

auto Exchange::OnHead(int aAttempt, const MessageHead& aHead, bool aIsReused)
  -> bool
{
  if (aAttempt != attempt_ || done_) {
    return false;
  }
  const auto& adapter = port_->Adapter();
  const auto facts = adapter.ReadAnswer(aHead.status_, aHead.fields_);
  if (!facts.attemptId_.empty() && facts.attemptId_ != attemptId_) {
    port_->Log().Write("foreign_answer", { { "request", attemptId_ },
                                           { "answer", facts.attemptId_ } });
    return false;
  }
  if (facts.attemptId_.empty() && !attemptId_.empty() && aIsReused) {
    // It may be a late copy of the answer to an earlier request.
    Fail("an answer without an id on a reused connection");
    return false;
  }
  if (facts.notice_.isLeaving_ || facts.notice_.pauseDuration_ > 0us) {
    port_->Node().OnTargetNotice(id_, attempt_, facts.notice_, BootNow());
  }
  if (facts.notRun_ || facts.isFromOtherTarget_) {
    mode_ = Mode::kRefused;
    return true;
  }
  if (!facts.isSigned_ || facts.isEncoded_) {
    Fail("answer without the target's signature");
    return false;
  }
  if (begun_ && !Continues(answer_, aHead)) {
    Fail("the answer does not continue the stream");
    return false;
  }
  if (!begun_) {
    answer_ = aHead;
  }
  port_->Node().OnResponseHead(id_, attempt_, BootNow());
  if (facts.impliesNotRun_ && !isRetryable_) {
    mode_ = Mode::kWithheld;
    return true;
  }
  const bool hasEvents =
    isStream_ && IsSuccess(aHead.status_) && !IsBodiless(answer_.status_);
  mode_ = hasEvents ? Mode::kEvents : Mode::kGather;
  return true;
}

auto Exchange::OnBody(int aAttempt, std::string aBody) -> void
{
  if (aAttempt != attempt_ || done_) {
    return;
  }
  const auto self = shared_from_this();
  Take(std::move(aBody));
  ChargeGathered();
}

auto Exchange::Take(std::string aBody) -> void
{
  switch (mode_) {
    case Mode::kNone:
      return;
    case Mode::kRefused:
    case Mode::kWithheld:
      Discard(aBody.size());
      return;
    case Mode::kGather:
      gathered_ += aBody;
      if (gathered_.size() > GatherLimit()) {
        mode_ = Mode::kBytes;
        NoteFirstByte();
        Forward(std::exchange(gathered_, {}));
      }
      return;
    case Mode::kBytes:
      Forward(std::move(aBody));
      return;
    case Mode::kEvents:
      break;
  }
  auto whole = events_.Take(std::move(aBody));
  if (events_.IsTooLong()) {
    Fail("an event without end");
    return;
  }
  if (whole.empty()) {
    return;
  }
  if (!IsInOrder(whole)) {
    Fail("a resumed stream repeats events");
    return;
  }
  resumedAfter_.reset();
  NoteFirstByte();
  port_->Node().OnEventsForwarded(id_, attempt_,
                                  EventSplitter::CountEvents(whole), BootNow());
  if (const auto last = events_.LastEvent()) {
    port_->Node().OnEventForwarded(id_, *last);
  }
  Forward(std::move(whole));
}

auto Exchange::OnEnd(int aAttempt) -> void
{
  if (aAttempt != attempt_ || done_) {
    return;
  }
  connection_.reset();
  if (mode_ == Mode::kRefused) {
    EndRefusal();
    return;
  }
  if (mode_ == Mode::kWithheld) {
    EndWithheld();
    return;
  }
  auto& node = port_->Node();
  if (mode_ == Mode::kEvents && events_.IsInsideEvent()) {
    // The target broke off, even if the message was framed correctly.
    mode_ = Mode::kNone;
    node.OnAttemptFailed(id_, attempt_, AttemptStage::kResponding,
                         "stream ended inside an event", BootNow());
    port_->Settle();
    return;
  }
  const bool success = IsSuccess(answer_.status_);
  if (success) {
    NoteFirstByte();
  }
  node.OnResponseComplete(id_, attempt_, success, BootNow());
  EndAnswer();
  port_->Settle();
}

auto Exchange::OnBroken(int aAttempt,
                        AttemptStage aStage,
                        std::string_view aCause) -> void
{
  if (aAttempt != attempt_ || done_) {
    return;
  }
  connection_.reset();
  if (mode_ == Mode::kRefused) {
    EndRefusal();
    return;
  }
  mode_ = Mode::kNone;
  port_->Node().OnAttemptFailed(id_, attempt_, aStage, aCause, BootNow());
  port_->Settle();
}

auto Exchange::Id() const -> RequestId
{
  return id_;
}

} // namespace burdockring
