#ifndef BURDOCKRING_CONNECTION_PEER_SERVER_H
#define BURDOCKRING_CONNECTION_PEER_SERVER_H

#include "absl/status/status.h"
#include "adapter/http_fetch.h"
#include "peer_types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>

namespace burdockring {

/// Accepts connections of other routers and hands on their messages. Bytes
/// that are no message close their connection and are counted.
class PeerServer
{
  boost::asio::io_context* context_;
  std::function<void(wire::Envelope)> onMessage_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::int64_t receivedBytes_ = 0;
  std::int64_t garbled_ = 0;

  auto Accept() -> boost::asio::awaitable<void>;
  auto Serve(boost::asio::ip::tcp::socket aSocket)
    -> boost::asio::awaitable<void>;

public:
  PeerServer(boost::asio::io_context* aContext,
             std::function<void(wire::Envelope)> aOnMessage);

  auto Listen(const Endpoint& aEndpoint) -> absl::Status;
  auto Close() -> void;
  [[nodiscard]] auto ReceivedBytes() const -> std::int64_t;
  [[nodiscard]] auto Garbled() const -> std::int64_t;
};

} // namespace burdockring

#endif
