#ifndef BURDOCKRING_ADAPTER_HTTP_FETCH_H
#define BURDOCKRING_ADAPTER_HTTP_FETCH_H

#include "absl/status/statusor.h"
#include "base/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

namespace burdockring {

/// Where a server listens, by IP number.
struct Endpoint
{
  std::string host_;
  std::uint16_t port_ = 0;
};

/// Parses "IP:PORT".
auto ParseEndpoint(const std::string& aText) -> absl::StatusOr<Endpoint>;

struct HttpReply
{
  int status_ = 0;
  std::string body_;
};

enum class HttpMethod
{
  kGet,
  kPost,
};

/// Sends one request on a connection of its own and reads the whole reply.
/// Unavailable says that nothing was sent; DeadlineExceeded and Aborted say
/// that the request may have taken effect.
auto Fetch(Endpoint aEndpoint,
           HttpMethod aMethod,
           std::string aPath,
           std::string aBody,
           Duration aTimeout)
  -> boost::asio::awaitable<absl::StatusOr<HttpReply>>;

/// Runs Fetch to its end on a context of its own.
auto FetchBlocking(const Endpoint& aEndpoint,
                   HttpMethod aMethod,
                   const std::string& aPath,
                   const std::string& aBody,
                   Duration aTimeout) -> absl::StatusOr<HttpReply>;

} // namespace burdockring

#endif
