#include "connection/caller_connection.h"

#include "adapter/tcp_options.h"
#include "base/boot_clock.h"

#include <boost/asio/buffer.hpp>
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

/// How long to wait for the caller to close after the last answer.
constexpr Duration kLingerTime = 1s;
/// Longest time without an acknowledgement from the caller's side.
constexpr Duration kUserTimeout = 5s;

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

} // namespace

auto CallerConnection::Read() -> void
{
  if (reading_ || closed_) {
    return;
  }
  if (exchange_ && inbound_.size() >= kMaxAhead) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
    asio::buffer(readBuffer_),
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aBytes) {
      self->reading_ = false;
      self->OnRead(aError, aBytes);
    });
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
  if (!lingering_) {
    inbound_.append(readBuffer_.data(), aBytes);
    Parse();
  }
  Read();
}

auto CallerConnection::Flush() -> void
{
  if (closed_ || !writing_.empty() || outbound_.empty()) {
    return;
  }
  writing_.swap(outbound_);
  asio::async_write(
    socket_, asio::buffer(writing_),
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t /*aBytes*/) {
      self->writing_.clear();
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
      requestSince_ = BootNow();
      continued_ = false;
    }
    const auto error = reader_->Put(&inbound_);
    if (error) {
      RefuseMessage(StatusOf(error));
      return;
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
  if (coding != nullptr && !IsSameFieldName(*coding, "chunked")) {
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
  // The exchange may finish before Begin returns.
  const auto self = shared_from_this();
  exchange_ = port_->Begin(this, std::move(head), std::move(body), BootNow());
  if (const auto exchange = exchange_) {
    exchange->Start();
  }
}

auto CallerConnection::RefuseMessage(int aStatus) -> void
{
  const std::string body = "{\"error\":{\"code\":\"bad_message\"}}\n";
  Write(fmt::format("HTTP/1.1 {} Refused\r\nConnection: close\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    aStatus, body.size(), body));
  lingering_ = true;
  idleSince_ = BootNow();
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
  , idleSince_(BootNow())
{
}

auto CallerConnection::Start() -> void
{
  SetTcpOptions(&socket_, { kUserTimeout });
  Read();
}

auto CallerConnection::CheckTime(Instant aNow) -> void
{
  const auto limits = port_->Limits();
  if (lingering_) {
    if (aNow - idleSince_ > kLingerTime) {
      Close();
    }
    return;
  }
  if (exchange_) {
    return;
  }
  if (requestSince_ && aNow - *requestSince_ > limits.headerTimeout_ &&
      !reader_->HasHead()) {
    RefuseMessage(kRequestTimeout);
    return;
  }
  const auto since = requestSince_.value_or(idleSince_);
  if (aNow - since > limits.idleTimeout_) {
    Close();
  }
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
  if (outbound_.empty()) {
    outbound_ = std::move(aBytes);
  } else {
    outbound_ += aBytes;
  }
  if (!paused_ && exchange_ && outbound_.size() > kMaxWaiting) {
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
