#ifndef BURDOCKRING_TESTS_SOAK_LOOPBACK_PROXY_H
#define BURDOCKRING_TESTS_SOAK_LOOPBACK_PROXY_H

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string_view>
#include <thread>

namespace burdockring {

/// What a proxy does to the connections through it.
enum class LinkFault
{
  kNone,
  /// Bytes arrive 80 ms later.
  kDelayed,
  /// Open connections are reset, new ones at once.
  kReset,
  /// No byte arrives, either way; connections stay open.
  kSilent,
  /// Only what the server sends is lost.
  kCutToCaller,
  /// Only what the caller sends is lost.
  kCutToServer,
};

auto LinkFaultName(LinkFault aFault) -> std::string_view;
constexpr int kLinkFaultCount = 6;

/// Passes connections on to a port of this machine, and harms them on order.
class LoopbackProxy
{
  using Socket = boost::asio::ip::tcp::socket;

  struct Link
  {
    Socket caller_;
    Socket server_;
  };

  boost::asio::io_context context_{ 1 };
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t server_;
  std::atomic<LinkFault> fault_{ LinkFault::kNone };
  std::set<std::shared_ptr<Link>> links_;
  std::thread thread_;

  auto Accept() -> boost::asio::awaitable<void>;
  auto Carry(std::shared_ptr<Link> aLink, bool aToServer)
    -> boost::asio::awaitable<void>;
  [[nodiscard]] auto Loses(bool aToServer) const -> bool;
  auto ResetAll() -> void;

public:
  LoopbackProxy(std::uint16_t aPort, std::uint16_t aServer);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  auto operator=(const LoopbackProxy&) -> LoopbackProxy& = delete;

  auto SetFault(LinkFault aFault) -> void;
};

} // namespace burdockring

#endif
