#include "adapter/tcp_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace burdockring {

auto SetTcpOptions(boost::asio::ip::tcp::socket* aSocket,
                   const TcpOptions& aOptions) -> void
{
  boost::system::error_code ignored;
  aSocket->set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const auto set = [&](int aName, std::int64_t aValue) {
    const auto value = static_cast<int>(aValue);
    setsockopt(aSocket->native_handle(), IPPROTO_TCP, aName, &value,
               sizeof(value));
  };
  set(TCP_USER_TIMEOUT, std::chrono::duration_cast<std::chrono::milliseconds>(
                          aOptions.userTimeout_)
                          .count());
  if (aOptions.keepAlive_ == 0us) {
    return;
  }
  aSocket->set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aOptions.keepAlive_)
      .count();
  set(TCP_KEEPIDLE, seconds);
  set(TCP_KEEPINTVL, seconds);
  set(TCP_KEEPCNT, aOptions.probes_);
}

} // namespace burdockring
