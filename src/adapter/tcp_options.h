#ifndef BURDOCKRING_ADAPTER_TCP_OPTIONS_H
#define BURDOCKRING_ADAPTER_TCP_OPTIONS_H

#include "base/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace burdockring {

/// How a connection notices that the other end's VM is gone.
struct TcpOptions
{
  /// Longest time without an acknowledgement of sent bytes.
  Duration userTimeout_{};
  /// Time without traffic until the other VM is asked for a sign of life, and
  /// between such questions; zero asks never. Whole seconds.
  Duration keepAlive_{};
  /// Questions without an answer after which the connection has failed.
  int probes_ = 2;
};

/// Sends small messages at once and sets the options. A socket that has failed
/// meanwhile keeps what it has: its next use tells.
auto SetTcpOptions(boost::asio::ip::tcp::socket* aSocket,
                   const TcpOptions& aOptions) -> void;

} // namespace burdockring

#endif
