#include "soak/loopback_proxy.h"

#include "connection/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>
#include <string>

namespace burdockring {
namespace {

namespace asio = boost::asio;

constexpr auto kDelay = std::chrono::milliseconds(80);
constexpr std::size_t kBufferBytes = 16U << 10U;

constexpr std::array<std::string_view, kLinkFaultCount> kNames{
  "none", "delayed", "reset", "silent", "cut to caller", "cut to server"
};

auto Reset(asio::ip::tcp::socket* aSocket) -> void
{
  boost::system::error_code ignored;
  aSocket->set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket->close(ignored);
}

} // namespace

auto LinkFaultName(LinkFault aFault) -> std::string_view
{
  return kNames.at(static_cast<std::size_t>(aFault));
}

auto LoopbackProxy::Loses(bool aToServer) const -> bool
{
  const auto fault = fault_.load();
  return fault == LinkFault::kSilent ||
         fault ==
           (aToServer ? LinkFault::kCutToServer : LinkFault::kCutToCaller);
}

auto LoopbackProxy::Accept() -> asio::awaitable<void>
{
  for (;;) {
    boost::system::error_code error;
    auto caller = co_await acceptor_.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    if (fault_ == LinkFault::kReset) {
      Reset(&caller);
      continue;
    }
    auto link =
      std::make_shared<Link>(Link{ std::move(caller), Socket(context_) });
    co_await link->server_.async_connect(
      { asio::ip::address_v4::loopback(), server_ },
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      Reset(&link->caller_);
      continue;
    }
    links_.insert(link);
    asio::co_spawn(context_, Carry(link, true), asio::detached);
    asio::co_spawn(context_, Carry(link, false), asio::detached);
  }
}

auto LoopbackProxy::Carry(std::shared_ptr<Link> aLink, bool aToServer)
  -> asio::awaitable<void>
{
  auto& from = aToServer ? aLink->caller_ : aLink->server_;
  auto& to = aToServer ? aLink->server_ : aLink->caller_;
  std::array<char, kBufferBytes> buffer{};
  asio::steady_timer timer(context_);
  for (;;) {
    boost::system::error_code error;
    const auto bytes = co_await from.async_read_some(
      asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
    if (fault_ == LinkFault::kDelayed) {
      timer.expires_after(kDelay);
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    }
    if (Loses(aToServer)) {
      // What was lost once makes the rest useless: it stays lost.
      continue;
    }
    co_await asio::async_write(
      to, asio::buffer(buffer.data(), bytes),
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
  }
  boost::system::error_code ignored;
  aLink->caller_.close(ignored);
  aLink->server_.close(ignored);
  links_.erase(aLink);
}

auto LoopbackProxy::ResetAll() -> void
{
  for (const auto& link : links_) {
    Reset(&link->caller_);
    Reset(&link->server_);
  }
}

LoopbackProxy::LoopbackProxy(std::uint16_t aPort, std::uint16_t aServer)
  : acceptor_(context_)
  , server_(aServer)
{
  const auto status = OpenAcceptor(&acceptor_, { "127.0.0.1", aPort });
  if (!status.ok()) {
    throw std::runtime_error(std::string(status.message()));
  }
  asio::co_spawn(context_, Accept(), asio::detached);
  thread_ = std::thread([this] { context_.run(); });
}

LoopbackProxy::~LoopbackProxy()
{
  context_.stop();
  thread_.join();
}

auto LoopbackProxy::SetFault(LinkFault aFault) -> void
{
  const auto before = fault_.exchange(aFault);
  // A link that lost bytes can't go on in the middle of them.
  const bool lost = before != LinkFault::kNone && before != LinkFault::kDelayed;
  if (aFault == LinkFault::kReset || (lost && aFault == LinkFault::kNone)) {
    asio::post(context_, [this] { ResetAll(); });
  }
}

} // namespace burdockring
