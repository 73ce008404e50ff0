#include "connection/peer_server.h"

#include "connection/frame_codec.h"
#include "connection/http_server.h"
#include "wire/envelope_codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace burdockring {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

} // namespace

auto PeerServer::Accept() -> asio::awaitable<void>
{
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kToken);
    if (!error) {
      asio::co_spawn(*context_, Serve(std::move(socket)), asio::detached);
    }
  }
}

auto PeerServer::Serve(tcp::socket aSocket) -> asio::awaitable<void>
{
  std::string message;
  while (true) {
    FrameHeader header{};
    const auto [headError, headBytes] =
      co_await asio::async_read(aSocket, asio::buffer(header), kToken);
    if (headError) {
      co_return;
    }
    const auto length = DecodeFrameLength(header);
    if (!length.ok()) {
      ++garbled_;
      co_return;
    }
    message.resize(*length);
    const auto [bodyError, bodyBytes] =
      co_await asio::async_read(aSocket, asio::buffer(message), kToken);
    if (bodyError) {
      co_return;
    }
    receivedBytes_ += static_cast<std::int64_t>(headBytes + bodyBytes);
    auto envelope = wire::DecodeEnvelope(message);
    if (!envelope.ok()) {
      ++garbled_;
      co_return;
    }
    onMessage_(std::move(*envelope));
  }
}

PeerServer::PeerServer(asio::io_context* aContext,
                       std::function<void(wire::Envelope)> aOnMessage)
  : context_(aContext)
  , onMessage_(std::move(aOnMessage))
  , acceptor_(*aContext)
{
}

auto PeerServer::Listen(const Endpoint& aEndpoint) -> absl::Status
{
  auto status = OpenAcceptor(&acceptor_, aEndpoint);
  if (status.ok()) {
    asio::co_spawn(*context_, Accept(), asio::detached);
  }
  return status;
}

auto PeerServer::Close() -> void
{
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

auto PeerServer::ReceivedBytes() const -> std::int64_t
{
  return receivedBytes_;
}

auto PeerServer::Garbled() const -> std::int64_t
{
  return garbled_;
}

} // namespace burdockring
