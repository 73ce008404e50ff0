#include "connection/peer_link.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

namespace burdockring {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr Duration kReconnectPause = 100ms;
constexpr Duration kConnectTimeout = 1s;
constexpr std::size_t kMaxQueuedBytes = 8U << 20U;

} // namespace

auto PeerLink::DropAll() -> void
{
  dropped_ += static_cast<std::int64_t>(frames_.size());
  frames_.clear();
  queuedBytes_ = 0;
}

auto PeerLink::Connect() -> asio::awaitable<bool>
{
  boost::system::error_code badAddress;
  const auto address = asio::ip::make_address(endpoint_.host_, badAddress);
  boost::beast::tcp_stream stream(executor_);
  stream.expires_after(kConnectTimeout);
  const auto [error] = co_await stream.async_connect(
    tcp::endpoint(address, endpoint_.port_), kToken);
  if (error) {
    co_return false;
  }
  boost::system::error_code ignored;
  socket_ = std::make_shared<tcp::socket>(stream.release_socket());
  socket_->set_option(tcp::no_delay(true), ignored);
  co_return true;
}

auto PeerLink::Run() -> asio::awaitable<void>
{
  const auto self = shared_from_this();
  while (!closed_) {
    const bool connected = co_await Connect();
    if (!connected) {
      DropAll();
      wake_.expires_after(kReconnectPause);
      co_await wake_.async_wait(kToken);
      continue;
    }
    const auto socket = socket_;
    while (!closed_ && socket == socket_ && socket->is_open()) {
      if (frames_.empty()) {
        wake_.expires_after(1s);
        co_await wake_.async_wait(kToken);
        continue;
      }
      const auto frame = std::move(frames_.front());
      frames_.pop_front();
      queuedBytes_ -= frame.size();
      const auto [error, written] =
        co_await asio::async_write(*socket, asio::buffer(frame), kToken);
      if (error) {
        break;
      }
      sentBytes_ += static_cast<std::int64_t>(written);
    }
    boost::system::error_code ignored;
    socket->close(ignored);
  }
}

PeerLink::PeerLink(asio::any_io_executor aExecutor, Endpoint aEndpoint)
  : executor_(std::move(aExecutor))
  , endpoint_(std::move(aEndpoint))
  , wake_(executor_)
{
}

auto PeerLink::Start() -> void
{
  asio::co_spawn(executor_, Run(), asio::detached);
}

auto PeerLink::Send(std::string aFrame) -> void
{
  if (queuedBytes_ + aFrame.size() > kMaxQueuedBytes) {
    DropAll();
  }
  queuedBytes_ += aFrame.size();
  frames_.push_back(std::move(aFrame));
  wake_.cancel();
}

auto PeerLink::Reconnect() -> void
{
  DropAll();
  if (socket_) {
    boost::system::error_code ignored;
    socket_->close(ignored);
  }
  wake_.cancel();
}

auto PeerLink::Close() -> void
{
  closed_ = true;
  Reconnect();
}

auto PeerLink::SentBytes() const -> std::int64_t
{
  return sentBytes_;
}

auto PeerLink::Address() const -> const Endpoint&
{
  return endpoint_;
}

} // namespace burdockring
