#ifndef BURDOCKRING_CONNECTION_HTTP_SERVER_H
#define BURDOCKRING_CONNECTION_HTTP_SERVER_H

#include "absl/status/status.h"
#include "adapter/http_fetch.h"
#include "base/http_fields.h"
#include "base/time.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace burdockring {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;

/// A list of one field. Lists are built before the awaited call that takes
/// them, as braces within an awaited expression trip the compiler.
auto MakeFields(std::string aName, std::string aValue) -> HttpFields;

/// Limits on what one connection may cost.
struct HttpLimits
{
  std::uint32_t headerBytes_ = 16U << 10U;
  std::uint64_t bodyBytes_ = 1U << 20U;
  /// Longest time for a request to arrive whole once it has begun, or for a
  /// kept connection to stay idle.
  Duration readTimeout_ = 15s;
  /// Longest time for the peer to take a piece of the answer.
  Duration writeTimeout_ = 30s;
  int connections_ = 4096;
};

/// Answers one request, whole or in chunks.
class HttpResponder
{
  boost::beast::tcp_stream* stream_;
  Duration writeTimeout_;
  bool keepAlive_;
  bool begun_ = false;
  bool failed_ = false;

  auto WriteText(std::string aText) -> boost::asio::awaitable<bool>;

public:
  HttpResponder(boost::beast::tcp_stream* aStream,
                Duration aWriteTimeout,
                bool aKeepAlive);

  /// Each call gives false once the connection has failed.
  auto Whole(int aStatus,
             std::string aType,
             std::string aBody,
             HttpFields aFields) -> boost::asio::awaitable<bool>;
  auto BeginChunks(int aStatus, std::string aType, HttpFields aFields)
    -> boost::asio::awaitable<bool>;
  auto Chunk(std::string aData) -> boost::asio::awaitable<bool>;
  auto EndChunks() -> boost::asio::awaitable<bool>;
  /// Lets the connection end after this answer.
  auto EndConnection() -> void;
  /// Closes the connection, so that what was sent can't pass for whole.
  auto Abort() -> void;

  [[nodiscard]] auto HasBegun() const -> bool;
  [[nodiscard]] auto KeepsAlive() const -> bool;
  /// The connection, for noticing that the peer has closed it.
  [[nodiscard]] auto Stream() -> boost::beast::tcp_stream&;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(
  HttpRequest aRequest, HttpResponder* aResponder)>;

/// Serves HTTP on one address, each connection on one of the contexts in turn.
/// Requests over a limit, cut short or malformed get an error in JSON or a
/// closed connection, and never reach the handler.
class HttpServer
{
  std::vector<boost::asio::io_context*> contexts_;
  HttpLimits limits_;
  HttpHandler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::size_t nextContext_ = 0;
  std::shared_ptr<std::atomic<int>> open_ =
    std::make_shared<std::atomic<int>>(0);

  auto Accept() -> boost::asio::awaitable<void>;

public:
  HttpServer(std::vector<boost::asio::io_context*> aContexts,
             HttpLimits aLimits,
             HttpHandler aHandler);

  auto Listen(const Endpoint& aEndpoint) -> absl::Status;
  /// Stops accepting; open connections go on. May be called from any thread;
  /// the server must outlive the threads of its contexts.
  auto Close() -> void;
  [[nodiscard]] auto OpenConnections() const -> int;
};

/// Opens, binds and listens; the status names the address on failure.
auto OpenAcceptor(
  boost::asio::ip::tcp::acceptor* aAcceptor,
  const Endpoint& aEndpoint,
  int aListenQueue = boost::asio::socket_base::max_listen_connections)
  -> absl::Status;

/// The body of an error answer: {"error":{"code":...,"message":...}}.
auto ErrorBody(const std::string& aCode, const std::string& aMessage)
  -> std::string;

} // namespace burdockring

#endif
