#include "connection/target_connection.h"

#include "adapter/tcp_options.h"
#include "base/boot_clock.h"
#include "base/http_rules.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace burdockring {
namespace {

namespace asio = boost::asio;

/// Longest time to set up a connection; a round trip within a region takes a
/// few milliseconds.
constexpr Duration kConnectTimeout = 350ms;
/// How long an idle connection is kept if the target states no timeout.
constexpr Duration kDefaultIdleLife = 2s;
/// Fraction of the target's idle timeout within which a connection is reused.
constexpr double kIdlePart = 0.5;
/// Longest time without an acknowledgement from the target's VM.
constexpr Duration kUserTimeout = 1500ms;
/// Idle time after which TCP keep-alive probes are sent.
constexpr Duration kKeepAlive = 1s;
constexpr int kFirstFinalStatus = 200;

auto KeepAliveTimeout(const HttpFields& aFields) -> std::optional<Duration>
{
  const auto* value = FindField(aFields, "Keep-Alive");
  if (value == nullptr) {
    return std::nullopt;
  }
  constexpr std::string_view kName = "timeout=";
  const auto at = value->find(kName);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const auto* first = value->data() + at + kName.size();
  std::from_chars(first, value->data() + value->size(), seconds);
  return std::chrono::seconds(seconds);
}

} // namespace

auto TargetConnection::NoteError(const boost::system::error_code& aError)
  -> void
{
  if (!aError || aError == asio::error::would_block) {
    return;
  }
  mayKeep_ = false;
  // A broken pipe concerns the sending side alone: where a reset cut off what
  // was to be received, an earlier call has reported the reset.
  if (!failure_ && aError != asio::error::eof &&
      aError != asio::error::broken_pipe) {
    failure_ = aError;
  }
}

auto TargetConnection::Read() -> void
{
  if (reading_ || paused_ || state_ == State::kClosed) {
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

auto TargetConnection::OnRead(const boost::system::error_code& aError,
                              std::size_t aBytes) -> void
{
  if (state_ == State::kClosed) {
    return;
  }
  if (state_ == State::kIdle) {
    // The target closed, or sent bytes that belong to no request.
    Cancel();
    return;
  }
  NoteError(aError);
  if (aError) {
    // A write may have met a failure before this read found the end; its
    // handler then waits behind this one.
    asio::post(socket_.get_executor(), [self = shared_from_this(), aError] {
      if (self->state_ == State::kBusy) {
        self->OnConnectionEnd(self->failure_ ? self->failure_ : aError);
      }
    });
    return;
  }
  inbound_.append(first_.data(), aBytes);
  if (aBytes == first_.size() && !paused_) {
    boost::system::error_code error;
    auto& shared = memory_->SharedReadBuffer();
    inbound_.append(shared.data(),
                    socket_.read_some(asio::buffer(shared), error));
    NoteError(error);
  }
  Parse();
  if (inbound_.empty()) {
    inbound_ = {};
  }
  inboundCharge_.Set(inbound_.capacity());
  Read();
}

auto TargetConnection::Write() -> void
{
  writing_ = true;
  const std::array<asio::const_buffer, 2> request{ asio::buffer(outbound_),
                                                   asio::buffer(*body_) };
  asio::async_write(
    socket_, request,
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t /*aBytes*/) {
      self->writing_ = false;
      self->body_.reset();
      // The target may have rejected the rest and still send its answer.
      self->NoteError(aError);
    });
}

auto TargetConnection::Parse() -> void
{
  while (state_ == State::kBusy && reader_ && !inbound_.empty()) {
    const auto error = reader_->Put(&inbound_);
    if (error || inbound_.size() > kMaxUnparsed) {
      Break("bytes that are no answer: " +
            (error ? error.message() : "no end of a line"));
      return;
    }
    if (!reader_->HasHead()) {
      return;
    }
    if (!answering_ && !skipping_ && !OnHead()) {
      return;
    }
    const auto listener = listener_.lock();
    auto body = reader_->TakeBody();
    skippedBytes_ += skipping_ ? body.size() : 0;
    if (answering_ && !body.empty() && listener) {
      listener->OnBody(attempt_, std::move(body));
    }
    if (state_ != State::kBusy) {
      return;
    }
    if (skippedBytes_ > kMaxSkippedBytes || skippedHeads_ > kMaxSkippedHeads) {
      Break("no end of what comes before the answer");
      return;
    }
    if (!reader_->is_done()) {
      return;
    }
    OnMessageEnd();
  }
}

auto TargetConnection::StartReader() -> void
{
  reader_.emplace(kHeaderLimit, UINT64_MAX);
  reader_->skip(isHeadRequest_);
}

auto TargetConnection::HasDoubtfulEnd() const -> bool
{
  if (reader_->chunked() && reader_->Head().minorVersion_ == 0) {
    return true;
  }
  const bool isExcluded =
    isHeadRequest_ || IsBodilessStatus(reader_->Head().status_);
  return isExcluded &&
         (reader_->chunked() || reader_->content_length().value_or(0) > 0);
}

auto TargetConnection::OnHead() -> bool
{
  const auto& head = reader_->Head();
  const auto listener = listener_.lock();
  if (!listener) {
    Cancel();
    return false;
  }
  if (head.status_ < kFirstFinalStatus) {
    skipping_ = true;
    return true;
  }
  if (const auto life = KeepAliveTimeout(head.fields_)) {
    idleLife_ = *life;
  }
  if (!reader_->keep_alive() || reader_->need_eof() || HasDoubtfulEnd()) {
    mayKeep_ = false;
  }
  const bool ours = listener->OnHead(attempt_, head, isReused_);
  if (state_ != State::kBusy) {
    return false;
  }
  if (!ours && reader_->need_eof()) {
    Break("an answer to another request");
    return false;
  }
  (ours ? answering_ : skipping_) = true;
  return true;
}

auto TargetConnection::OnMessageEnd() -> void
{
  if (skipping_) {
    skipping_ = false;
    ++skippedHeads_;
    StartReader();
    return;
  }
  const auto listener = listener_.lock();
  const int attempt = attempt_;
  listener_.reset();
  answering_ = false;
  reader_.reset();
  // A pause is for the caller of this answer only.
  paused_ = false;
  const bool keep = mayKeep_ && !writing_ && inbound_.empty();
  if (keep) {
    state_ = State::kIdle;
    since_ = BootNow();
    Read();
    onState_(this);
  } else {
    Cancel();
  }
  if (listener) {
    listener->OnEnd(attempt);
  }
}

auto TargetConnection::OnConnectionEnd(const boost::system::error_code& aError)
  -> void
{
  const bool clean = aError == asio::error::eof;
  if (clean && answering_ && reader_->need_eof() && !reader_->PutEnd()) {
    mayKeep_ = false;
    OnMessageEnd();
    return;
  }
  timedOut_ =
    aError == asio::error::timed_out || aError == asio::error::host_unreachable;
  Break(clean ? "connection ended early" : aError.message());
}

auto TargetConnection::Break(std::string_view aCause) -> void
{
  const auto listener = listener_.lock();
  const auto stage = isRefused_   ? AttemptStage::kConnectionRefused
                     : !sent_     ? AttemptStage::kUnsent
                     : timedOut_  ? AttemptStage::kTimedOut
                     : answering_ ? AttemptStage::kResponding
                                  : AttemptStage::kSent;
  const int attempt = attempt_;
  listener_.reset();
  Cancel();
  if (listener) {
    listener->OnBroken(attempt, stage, aCause);
  }
}

TargetConnection::TargetConnection(asio::io_context* aContext,
                                   MemoryBudget* aMemory,
                                   Endpoint aEndpoint,
                                   StateHandler aOnState)
  : socket_(*aContext)
  , endpoint_(std::move(aEndpoint))
  , onState_(std::move(aOnState))
  , memory_(aMemory)
  , ownCharge_(aMemory, MemoryPurpose::kConnection)
  , inboundCharge_(aMemory, MemoryPurpose::kUnparsed)
  , since_(BootNow())
  , idleLife_(kDefaultIdleLife)
{
  ownCharge_.Set(sizeof(TargetConnection));
}

auto TargetConnection::Open() -> void
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(endpoint_.host_, error);
  socket_.open(asio::ip::tcp::v4(), error);
  if (error) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Break("no address or no descriptor");
    });
    return;
  }
  SetTcpOptions(&socket_, { kUserTimeout, kKeepAlive });
  socket_.async_connect(
    { address, endpoint_.port_ },
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (self->state_ != State::kConnecting) {
        return;
      }
      if (aError) {
        self->isRefused_ = aError == asio::error::connection_refused;
        self->Break("connect: " + aError.message());
        return;
      }
      boost::system::error_code ignored;
      self->socket_.non_blocking(true, ignored);
      self->state_ = State::kBusy;
      const auto listener = self->listener_.lock();
      if (!listener) {
        self->Cancel();
        return;
      }
      self->sent_ = true;
      listener->OnSending(self->attempt_);
      self->Write();
      self->Read();
    });
}

auto TargetConnection::Send(int aAttempt,
                            std::string aHead,
                            std::shared_ptr<const std::string> aBody,
                            std::weak_ptr<AttemptListener> aListener) -> void
{
  attempt_ = aAttempt;
  isHeadRequest_ = aHead.starts_with("HEAD ");
  outbound_ = std::move(aHead);
  body_ = std::move(aBody);
  listener_ = std::move(aListener);
  StartReader();
  answering_ = false;
  skipping_ = false;
  skippedBytes_ = 0;
  skippedHeads_ = 0;
  sent_ = false;
  if (state_ != State::kIdle) {
    return;
  }
  state_ = State::kBusy;
  isReused_ = true;
  sent_ = true;
  if (const auto listener = listener_.lock()) {
    listener->OnSending(aAttempt);
  }
  Write();
  Read();
}

auto TargetConnection::Cancel() -> void
{
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  listener_.reset();
  boost::system::error_code ignored;
  socket_.close(ignored);
  onState_(this);
}

auto TargetConnection::SetPaused(bool aPaused) -> void
{
  paused_ = aPaused;
  Read();
}

auto TargetConnection::CheckConnecting(Instant aNow) -> void
{
  if (state_ == State::kConnecting && aNow - since_ > kConnectTimeout) {
    Break("connect timed out");
  }
}

auto TargetConnection::GetState() const -> State
{
  return state_;
}

auto TargetConnection::IsFresh(Instant aNow, Duration aMaxIdle) const -> bool
{
  const auto life = std::chrono::duration_cast<Duration>(idleLife_ * kIdlePart);
  return state_ == State::kIdle && aNow - since_ < std::min(life, aMaxIdle);
}

} // namespace burdockring
