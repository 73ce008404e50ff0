#include "connection/caller_connection.h"

#include "adapter/tcp_options.h"
#include "base/boot_clock.h"
#include "base/http_rules.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <fmt/format.h>
#include <sys/socket.h>
#include <utility>

namespace burdockring {
namespace {

namespace asio = boost::asio;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kUnavailable = 503;

/// How long to wait for the caller to close after the last answer.
constexpr Duration kLingerTime = 1s;
/// Longest time without an acknowledgement from the caller's side.
constexpr Duration kUserTimeout = 5s;
/// Bytes of the shortest header field, with its line end.
constexpr std::size_t kShortestField = 4;
constexpr std::size_t kMaxChunkHeader = 1024;
/// A body in chunks of one byte, which is within the limits, has five bytes of
/// framing for each.
constexpr std::size_t kFramingRatio = 8;
/// Part of the body limit that must come within the idle timeout. All of a body
/// within one timeout makes progress, however small it is.
constexpr std::size_t kProgressPart = 16;
/// Seconds after which the caller may try again: holders without progress for
/// that long are closed first.
constexpr int kRetryAfter = 1;

auto StatusOf(const boost::system::error_code& aError) -> int
{
  namespace http = boost::beast::http;
  if (aError == http::error::header_limit) {
    return kHeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return kBodyTooLarge;
  }
  return kBadRequest;
}

/// Limits on what the limit of the header does not bound. None of them is met
/// by a request within the configured limits: fields are as many as fit a
/// header, and trailers may be as long as one.
auto FramingLimitsFor(const CallerLimits& aLimits) -> FramingLimits
{
  return { .fields_ = aLimits.headerBytes_ / kShortestField,
           .chunkHeaderBytes_ = kMaxChunkHeader,
           .trailerBytes_ = aLimits.headerBytes_,
           .framingSlack_ = aLimits.headerBytes_,
           .framingRatio_ = kFramingRatio };
}

} // namespace

auto CallerConnection::Read() -> void
{
  if (reading_ || closed_) {
    return;
  }
  const auto& memory = port_->Memory();
  const bool isShort = memory.Level() >= MemoryLevel::kBackpressure;
  if (exchange_ &&
      inbound_.size() >= (isShort ? kMaxAheadUnderPressure : kMaxAhead)) {
    return;
  }
  if (pausedSince_) {
    return;
  }
  if (exchange_ &&
      !memory.Pressure().MayHold(memory.Held(), 0, MemoryBudget::kReadBytes)) {
    // CheckTime reads on.
    return;
  }
  reading_ = true;
  socket_.async_read_some(
    asio::buffer(first_),
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aBytes) {
      self->reading_ = false;
      self->OnRead(aError, aBytes);
    });
}

auto CallerConnection::HasRoomToRead() -> bool
{
  auto& memory = port_->Memory();
  const auto own =
    headCharge_.Bytes() + unparsedCharge_.Bytes() + bodyCharge_.Bytes();
  // Bytes that complete the body or the head take no more than they have.
  const auto more = reader_ ? reader_->BodyGrowth(MemoryBudget::kReadBytes)
                            : MemoryBudget::kReadBytes;
  if (memory.Pressure().MayHold(memory.Held(), own, more)) {
    return true;
  }
  port_->RelieveMemory(more);
  return !closed_ && !lingering_ &&
         memory.Pressure().MayHold(memory.Held(), own, more);
}

auto CallerConnection::OnRead(const boost::system::error_code& aError,
                              std::size_t aBytes) -> void
{
  if (closed_) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  lastRead_ = BootNow();
  auto& shared = port_->Memory().SharedReadBuffer();
  std::size_t more = 0;
  if (aBytes == first_.size() && !pausedSince_) {
    // After an error the next read finds the end of the stream at least.
    boost::system::error_code ignored;
    more = socket_.read_some(asio::buffer(shared), ignored);
  }
  if (!lingering_ && !exchange_ && !HasRoomToRead()) {
    if (closed_) {
      return;
    }
    if (!lingering_) {
      RefuseMessage(kUnavailable, MemoryAction::kBodyClosed);
    }
  }
  if (!lingering_) {
    inbound_.append(first_.data(), aBytes);
    inbound_.append(shared.data(), more);
    Parse();
    if (inbound_.empty()) {
      inbound_ = {};
    }
    ChargeRequest();
  }
  Read();
}

auto CallerConnection::Flush() -> void
{
  if (closed_ || !writing_.empty() || outbound_.empty()) {
    return;
  }
  writing_.swap(outbound_);
  lastWritten_ = BootNow();
  asio::async_write(
    socket_, asio::buffer(writing_),
    [this](const boost::system::error_code& aError, std::size_t aBytes) {
      if (aBytes > 0 && aBytes < writing_.size()) {
        lastWritten_ = BootNow();
      }
      return asio::transfer_all()(aError, aBytes);
    },
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t /*aBytes*/) {
      self->writing_.clear();
      if (self->writing_.capacity() > kMaxKept) {
        self->writing_ = {};
      }
      self->ChargeResponse();
      if (self->closed_) {
        return;
      }
      if (aError) {
        self->Close();
        return;
      }
      if (self->paused_ && self->outbound_.size() < kMaxWaiting / 2) {
        self->paused_ = false;
        if (self->exchange_) {
          self->exchange_->SetPaused(false);
        }
      }
      if (self->outbound_.empty() && self->lingering_) {
        self->Linger();
        return;
      }
      self->Flush();
    });
}

auto CallerConnection::Parse() -> void
{
  while (!exchange_ && !closed_ && !lingering_ && !inbound_.empty()) {
    if (!reader_) {
      const auto limits = port_->Limits();
      reader_.emplace(limits.headerBytes_, limits.bodyBytes_);
      reader_->SetLimits(FramingLimitsFor(limits));
      requestSince_ = BootNow();
      progressSince_ = *requestSince_;
      lastByte_ = *requestSince_;
      progressAt_ = 0;
      pausedFor_ = {};
      continued_ = false;
      accepted_ = false;
    }
    const auto bodyBefore = reader_->BodySize();
    const auto error = reader_->Put(&inbound_);
    if (error) {
      if (reader_->IsOverLimits()) {
        port_->Memory().Count(MemoryAction::kFramingRefused);
      }
      RefuseMessage(StatusOf(error));
      return;
    }
    if (reader_->BodySize() > bodyBefore && !reader_->is_done()) {
      NoteProgress();
    }
    if (!reader_->HasHead()) {
      return;
    }
    const int refusal = CheckHead();
    if (refusal != 0) {
      RefuseMessage(refusal);
      return;
    }
    if (!reader_->is_done()) {
      if (!IsAccepted()) {
        RefuseMessage(kUnavailable, MemoryAction::kBodyRejected);
        return;
      }
      const auto* expect = FindField(reader_->Head().fields_, "Expect");
      if (expect != nullptr && !continued_) {
        continued_ = true;
        Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    }
    StartRequest();
  }
}

auto CallerConnection::CheckHead() const -> int
{
  const auto& fields = reader_->Head().fields_;
  const auto* coding = FindField(fields, "Transfer-Encoding");
  if (coding != nullptr && !IsKnownTransferCoding(*coding)) {
    return kNotImplemented;
  }
  const auto* length = FindField(fields, "Content-Length");
  if (coding != nullptr && length != nullptr) {
    return kBadRequest;
  }
  return 0;
}

auto CallerConnection::HasLeft() -> bool
{
  char byte = 0;
  return recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

auto CallerConnection::ChargeRequest() -> void
{
  headCharge_.Set(reader_ ? reader_->HeadMemory() : 0);
  bodyCharge_.Set(reader_ ? reader_->BodyMemory() : 0);
  unparsedCharge_.Set(inbound_.capacity());
}

auto CallerConnection::ChargeResponse() -> void
{
  unreadCharge_.Set(outbound_.capacity() + writing_.capacity());
}

auto CallerConnection::NoteProgress() -> void
{
  lastByte_ = BootNow();
  const auto step =
    static_cast<std::size_t>(port_->Limits().bodyBytes_) / kProgressPart;
  if (reader_->BodySize() - progressAt_ >= step) {
    progressAt_ = reader_->BodySize();
    progressSince_ = lastByte_;
  }
}

auto CallerConnection::IsAccepted() -> bool
{
  if (accepted_) {
    return true;
  }
  // A body in chunks is taken for small until it is not.
  const auto length = reader_->content_length();
  const std::size_t expected = length ? *length : reader_->BodySize();
  const auto& memory = port_->Memory();
  if (!memory.Pressure().MayBegin(memory.Held(), expected)) {
    return false;
  }
  accepted_ = length || expected > MemoryPressure::kSmall;
  return true;
}

auto CallerConnection::ExpectedBody() const -> std::size_t
{
  if (const auto length = reader_->content_length()) {
    return *length;
  }
  return static_cast<std::size_t>(port_->Limits().bodyBytes_);
}

auto CallerConnection::StartRequest() -> void
{
  // The caller of a request that waited long in kernel queues may be gone.
  if (HasLeft()) {
    Close();
    return;
  }
  auto head = reader_->Head();
  auto body = reader_->TakeBody();
  endAfter_ = !reader_->keep_alive();
  takesChunks_ = head.minorVersion_ >= 1;
  if (!takesChunks_) {
    endAfter_ = true;
  }
  reader_.reset();
  requestSince_.reset();
  ChargeRequest();
  // The exchange may finish before Begin returns.
  const auto self = shared_from_this();
  exchange_ = port_->Begin(this, std::move(head), std::move(body), BootNow());
  if (const auto exchange = exchange_) {
    exchange->Start();
  }
}

auto CallerConnection::RefuseMessage(int aStatus) -> void
{
  const bool isFull = aStatus == kUnavailable;
  const std::string body = fmt::format("{{\"error\":{{\"code\":\"{}\"}}}}\n",
                                       isFull ? "router_full" : "bad_message");
  reader_.reset();
  requestSince_.reset();
  pausedSince_.reset();
  inbound_ = {};
  ChargeRequest();
  Write(fmt::format("HTTP/1.1 {} Refused\r\nConnection: close\r\n{}"
                    "Content-Type: application/json\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    aStatus,
                    isFull ? fmt::format("Retry-After: {}\r\n", kRetryAfter)
                           : std::string(),
                    body.size(), body));
  lingering_ = true;
  idleSince_ = BootNow();
}

auto CallerConnection::RefuseMessage(int aStatus, MemoryAction aAction) -> void
{
  port_->Memory().Count(aAction);
  RefuseMessage(aStatus);
  // What still comes is read and dropped.
  Read();
}

auto CallerConnection::CutResponse() -> void
{
  if (cut_ || closed_) {
    return;
  }
  cut_ = true;
  port_->Memory().Count(MemoryAction::kResponseClosed);
  outbound_ = {};
  ChargeResponse();
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    self->Close();
  });
}

auto CallerConnection::Linger() -> void
{
  boost::system::error_code ignored;
  socket_.shutdown(asio::socket_base::shutdown_send, ignored);
  idleSince_ = BootNow();
  Read();
}

auto CallerConnection::Close() -> void
{
  if (closed_) {
    return;
  }
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  const auto self = shared_from_this();
  reader_.reset();
  inbound_ = {};
  outbound_ = {};
  ChargeRequest();
  ChargeResponse();
  if (const auto exchange = std::exchange(exchange_, nullptr)) {
    exchange->OnCallerDisconnected();
  }
  onClose_(this);
}

CallerConnection::CallerConnection(asio::ip::tcp::socket aSocket,
                                   CallerPort* aPort,
                                   CloseHandler aOnClose)
  : socket_(std::move(aSocket))
  , port_(aPort)
  , onClose_(std::move(aOnClose))
  , ownCharge_(&aPort->Memory(), MemoryPurpose::kConnection)
  , headCharge_(&aPort->Memory(), MemoryPurpose::kHead)
  , unparsedCharge_(&aPort->Memory(), MemoryPurpose::kUnparsed)
  , bodyCharge_(&aPort->Memory(), MemoryPurpose::kRequestBody)
  , unreadCharge_(&aPort->Memory(), MemoryPurpose::kUnread)
  , idleSince_(BootNow())
{
  ownCharge_.Set(sizeof(CallerConnection));
}

auto CallerConnection::Start() -> void
{
  SetTcpOptions(&socket_, { kUserTimeout });
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  Read();
}

auto CallerConnection::CheckTime(Instant aNow) -> void
{
  const auto limits = port_->Limits();
  const bool isWriting = !writing_.empty();
  if (lingering_) {
    const auto since = isWriting ? lastWritten_ : idleSince_;
    if (aNow - since > (isWriting ? limits.idleTimeout_ : kLingerTime)) {
      Close();
    }
    return;
  }
  if (exchange_) {
    if (paused_ && port_->Memory().Level() < MemoryLevel::kBackpressure) {
      paused_ = false;
      exchange_->SetPaused(false);
    }
    Read();
    return;
  }
  if (requestSince_) {
    CheckRequestTime(aNow, limits);
    return;
  }
  const auto since =
    isWriting ? std::max(idleSince_, lastWritten_) : idleSince_;
  if (aNow - since > limits.idleTimeout_) {
    Close();
  }
}

auto CallerConnection::CheckRequestTime(Instant aNow,
                                        const CallerLimits& aLimits) -> void
{
  if (!reader_->HasHead()) {
    if (aNow - *requestSince_ > aLimits.headerTimeout_) {
      RefuseMessage(kRequestTimeout);
    }
    return;
  }
  if (pausedSince_) {
    if (aNow - *pausedSince_ > aLimits.idleTimeout_) {
      RefuseMessage(kUnavailable, MemoryAction::kBodyPaused);
    }
    return;
  }
  if (aNow - progressSince_ > aLimits.idleTimeout_) {
    RefuseMessage(kRequestTimeout, MemoryAction::kBodyStalled);
  }
}

auto CallerConnection::Body(Instant aNow) const -> std::optional<BodyInProgress>
{
  if (!reader_ || !reader_->HasHead() || exchange_ || lingering_ || closed_) {
    return std::nullopt;
  }
  BodyInProgress body;
  body.received_ = reader_->BodySize();
  const auto expected = ExpectedBody();
  body.remaining_ = expected - std::min(expected, body.received_);
  const auto paused = pausedSince_ ? aNow - *pausedSince_ : Duration();
  body.reading_ = aNow - *requestSince_ - pausedFor_ - paused;
  return body;
}

auto CallerConnection::Holder(Instant aNow) const -> std::optional<MemoryHolder>
{
  if (closed_ || cut_) {
    return std::nullopt;
  }
  if (!writing_.empty()) {
    return MemoryHolder{ 0, unreadCharge_.Bytes(), aNow - lastWritten_ };
  }
  if (!reader_ || exchange_ || lingering_) {
    return std::nullopt;
  }
  const auto bytes =
    headCharge_.Bytes() + unparsedCharge_.Bytes() + bodyCharge_.Bytes();
  return MemoryHolder{ 0, bytes, aNow - lastByte_ };
}

auto CallerConnection::GiveUpMemory() -> void
{
  if (!writing_.empty()) {
    CutResponse();
  } else if (reader_ && !exchange_ && !lingering_) {
    RefuseMessage(kUnavailable, MemoryAction::kBodyClosed);
  }
}

auto CallerConnection::Place(Instant aNow) const -> std::optional<PlaceHolder>
{
  if (closed_ || exchange_ || !writing_.empty()) {
    return std::nullopt;
  }
  PlaceHolder place;
  // The caller can't progress while the router doesn't read.
  place.stalled_ =
    pausedSince_ ? Duration() : aNow - std::max(idleSince_, lastRead_);
  place.reading_ = requestSince_ ? aNow - *requestSince_ : Duration();
  return place;
}

auto CallerConnection::GiveUpPlace() -> void
{
  boost::system::error_code ignored;
  if (closed_ || socket_.available(ignored) > 0) {
    return;
  }
  port_->Memory().Count(MemoryAction::kConnectionClosed);
  if (reader_) {
    RefuseMessage(kUnavailable);
  }
  // The refusal has been handed to the system by then.
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Close(); });
}

auto CallerConnection::SetReadPaused(bool aPaused) -> void
{
  if (aPaused == pausedSince_.has_value()) {
    return;
  }
  const auto now = BootNow();
  if (aPaused) {
    pausedSince_ = now;
    return;
  }
  const auto paused = now - *pausedSince_;
  pausedSince_.reset();
  pausedFor_ += paused;
  progressSince_ += paused;
  lastByte_ = now;
  Read();
}

auto CallerConnection::CloseIfIdle(Duration aIdle) -> void
{
  if (!exchange_ && !requestSince_ && writing_.empty() &&
      BootNow() - idleSince_ >= aIdle) {
    Close();
  }
}

auto CallerConnection::TakesChunks() const -> bool
{
  return takesChunks_;
}

auto CallerConnection::EndsConnection() const -> bool
{
  return endAfter_ || port_->IsEnding();
}

auto CallerConnection::EndConnection() -> void
{
  endAfter_ = true;
}

auto CallerConnection::Write(std::string aBytes) -> void
{
  if (cut_) {
    return;
  }
  auto& memory = port_->Memory();
  const auto more = aBytes.size();
  if (!memory.Pressure().MayHold(memory.Held(), 0, more)) {
    port_->RelieveMemory(more);
    if (!memory.Pressure().MayHold(memory.Held(), 0, more)) {
      CutResponse();
    }
    if (cut_) {
      return;
    }
  }
  if (outbound_.empty()) {
    outbound_ = std::move(aBytes);
  } else {
    outbound_ += aBytes;
  }
  ChargeResponse();
  if (!paused_ && exchange_ && outbound_.size() > kMaxWaiting &&
      memory.Level() >= MemoryLevel::kBackpressure) {
    paused_ = true;
    exchange_->SetPaused(true);
  }
  Flush();
}

auto CallerConnection::Finish() -> void
{
  exchange_.reset();
  idleSince_ = BootNow();
  if (EndsConnection()) {
    lingering_ = true;
    if (outbound_.empty() && writing_.empty()) {
      Linger();
    }
    return;
  }
  // Pipelined requests are parsed after this answer's handlers have run.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->Parse();
    self->Read();
  });
}

auto CallerConnection::Abort() -> void
{
  exchange_.reset();
  if (!takesChunks_) {
    // Without chunks, an orderly close marks the end of the answer.
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  Close();
}

} // namespace burdockring
