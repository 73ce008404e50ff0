#ifndef BURDOCKRING_CONNECTION_PEER_LINK_H
#define BURDOCKRING_CONNECTION_PEER_LINK_H

#include "adapter/http_fetch.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace burdockring {

/// The outgoing half of the link to one peer. Frames that can't be sent are
/// dropped: the protocol repeats what matters. All calls on one executor.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
  boost::asio::any_io_executor executor_;
  Endpoint endpoint_;
  std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
  boost::asio::steady_timer wake_;
  std::deque<std::string> frames_;
  std::size_t queuedBytes_ = 0;
  std::int64_t sentBytes_ = 0;
  std::int64_t dropped_ = 0;
  bool closed_ = false;

  auto Run() -> boost::asio::awaitable<void>;
  auto Connect() -> boost::asio::awaitable<bool>;
  auto DropAll() -> void;

public:
  PeerLink(boost::asio::any_io_executor aExecutor, Endpoint aEndpoint);

  auto Start() -> void;
  auto Send(std::string aFrame) -> void;
  /// Gives up the connection and opens a new one.
  auto Reconnect() -> void;
  auto Close() -> void;
  [[nodiscard]] auto SentBytes() const -> std::int64_t;
  [[nodiscard]] auto Address() const -> const Endpoint&;
};

} // namespace burdockring

#endif
