#include "connection/http_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr int kHttpVersion = 11;
constexpr auto kJsonType = "application/json";

/// What to tell the peer of a request that could not be read; status 0 says to
/// close without a word.
struct ReadFailure
{
  int status_ = 0;
  const char* code_ = "";
};

auto ClassifyReadError(const beast::error_code& aError) -> ReadFailure
{
  if (aError == http::error::header_limit) {
    return { 431, "header_too_large" };
  }
  if (aError == http::error::body_limit) {
    return { 413, "body_too_large" };
  }
  if (aError == beast::error::timeout) {
    return { 408, "request_timeout" };
  }
  const bool closed = aError == http::error::end_of_stream ||
                      aError == http::error::partial_message ||
                      aError.category() == asio::error::get_system_category();
  return closed ? ReadFailure{} : ReadFailure{ 400, "malformed_request" };
}

auto ServeConnection(tcp::socket aSocket,
                     HttpLimits aLimits,
                     HttpHandler aHandler,
                     std::shared_ptr<std::atomic<int>> aOpen)
  -> asio::awaitable<void>
{
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  bool keepAlive = true;
  while (keepAlive) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(aLimits.headerBytes_);
    parser.body_limit(aLimits.bodyBytes_);
    stream.expires_after(aLimits.readTimeout_);
    const auto [error, bytes] =
      co_await http::async_read(stream, buffer, parser, kToken);
    if (error) {
      const auto failure = ClassifyReadError(error);
      const bool idle = error == beast::error::timeout && !parser.got_some();
      if (failure.status_ != 0 && !idle) {
        HttpResponder responder(&stream, aLimits.writeTimeout_, false);
        auto body = ErrorBody(failure.code_, error.message());
        co_await responder.Whole(failure.status_, kJsonType, std::move(body),
                                 HttpFields());
      }
      break;
    }
    auto request = parser.release();
    HttpResponder responder(&stream, aLimits.writeTimeout_,
                            request.keep_alive());
    stream.expires_never();
    co_await aHandler(std::move(request), &responder);
    keepAlive = responder.KeepsAlive();
  }
  beast::error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  aOpen->fetch_sub(1);
}

auto RefuseConnection(tcp::socket aSocket) -> asio::awaitable<void>
{
  beast::tcp_stream stream(std::move(aSocket));
  HttpResponder responder(&stream, 1s, false);
  auto fields = MakeFields("Retry-After", "1");
  auto body = ErrorBody("too_many_connections", "come back later");
  co_await responder.Whole(503, kJsonType, std::move(body), std::move(fields));
}

} // namespace

auto MakeFields(std::string aName, std::string aValue) -> HttpFields
{
  HttpFields fields;
  fields.push_back({ std::move(aName), std::move(aValue) });
  return fields;
}

auto HttpResponder::WriteText(std::string aText) -> asio::awaitable<bool>
{
  if (failed_) {
    co_return false;
  }
  stream_->expires_after(writeTimeout_);
  const auto [error, bytes] =
    co_await asio::async_write(*stream_, asio::buffer(aText), kToken);
  stream_->expires_never();
  failed_ = static_cast<bool>(error);
  keepAlive_ = keepAlive_ && !failed_;
  co_return !failed_;
}

HttpResponder::HttpResponder(beast::tcp_stream* aStream,
                             Duration aWriteTimeout,
                             bool aKeepAlive)
  : stream_(aStream)
  , writeTimeout_(aWriteTimeout)
  , keepAlive_(aKeepAlive)
{
}

auto HttpResponder::Whole(int aStatus,
                          std::string aType,
                          std::string aBody,
                          HttpFields aFields) -> asio::awaitable<bool>
{
  begun_ = true;
  http::response<http::string_body> response(static_cast<http::status>(aStatus),
                                             kHttpVersion);
  response.set(http::field::content_type, aType);
  for (const auto& field : aFields) {
    response.set(field.name_, field.value_);
  }
  response.keep_alive(keepAlive_);
  response.body() = std::move(aBody);
  response.prepare_payload();
  stream_->expires_after(writeTimeout_);
  const auto [error, bytes] =
    co_await http::async_write(*stream_, response, kToken);
  stream_->expires_never();
  failed_ = static_cast<bool>(error);
  keepAlive_ = keepAlive_ && !failed_;
  co_return !failed_;
}

auto HttpResponder::BeginChunks(int aStatus,
                                std::string aType,
                                HttpFields aFields) -> asio::awaitable<bool>
{
  begun_ = true;
  http::response<http::empty_body> response(static_cast<http::status>(aStatus),
                                            kHttpVersion);
  response.set(http::field::content_type, aType);
  for (const auto& field : aFields) {
    response.set(field.name_, field.value_);
  }
  response.keep_alive(keepAlive_);
  response.chunked(true);
  http::response_serializer<http::empty_body> serializer(response);
  stream_->expires_after(writeTimeout_);
  const auto [error, bytes] =
    co_await http::async_write_header(*stream_, serializer, kToken);
  stream_->expires_never();
  failed_ = static_cast<bool>(error);
  keepAlive_ = keepAlive_ && !failed_;
  co_return !failed_;
}

auto HttpResponder::Chunk(std::string aData) -> asio::awaitable<bool>
{
  std::array<char, 24> size{};
  const auto length =
    std::snprintf(size.data(), size.size(), "%zx\r\n", aData.size());
  std::string framed(size.data(), static_cast<std::size_t>(length));
  framed += aData;
  framed += "\r\n";
  co_return co_await WriteText(std::move(framed));
}

auto HttpResponder::EndChunks() -> asio::awaitable<bool>
{
  co_return co_await WriteText("0\r\n\r\n");
}

auto HttpResponder::EndConnection() -> void
{
  keepAlive_ = false;
}

auto HttpResponder::Abort() -> void
{
  failed_ = true;
  keepAlive_ = false;
  beast::error_code ignored;
  // A reset says more clearly than an end that the answer is cut.
  stream_->socket().set_option(asio::socket_base::linger(true, 0), ignored);
  stream_->socket().close(ignored);
}

auto HttpResponder::HasBegun() const -> bool
{
  return begun_;
}

auto HttpResponder::KeepsAlive() const -> bool
{
  return keepAlive_;
}

auto HttpResponder::Stream() -> beast::tcp_stream&
{
  return *stream_;
}

auto HttpServer::Accept() -> asio::awaitable<void>
{
  while (acceptor_.is_open()) {
    auto& context = *contexts_[nextContext_++ % contexts_.size()];
    auto [error, socket] = co_await acceptor_.async_accept(context, kToken);
    if (error) {
      continue;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    if (open_->load() >= limits_.connections_) {
      asio::co_spawn(context, RefuseConnection(std::move(socket)),
                     asio::detached);
      continue;
    }
    open_->fetch_add(1);
    asio::co_spawn(context,
                   ServeConnection(std::move(socket), limits_, handler_, open_),
                   asio::detached);
  }
}

HttpServer::HttpServer(std::vector<asio::io_context*> aContexts,
                       HttpLimits aLimits,
                       HttpHandler aHandler)
  : contexts_(std::move(aContexts))
  , limits_(aLimits)
  , handler_(std::move(aHandler))
  , acceptor_(*contexts_.front())
{
}

auto HttpServer::Listen(const Endpoint& aEndpoint) -> absl::Status
{
  auto status = OpenAcceptor(&acceptor_, aEndpoint);
  if (status.ok()) {
    asio::co_spawn(acceptor_.get_executor(), Accept(), asio::detached);
  }
  return status;
}

auto HttpServer::Close() -> void
{
  // The loop of accepts runs on the acceptor's own thread, and sockets may not
  // be used by two threads at once.
  asio::post(acceptor_.get_executor(), [this] {
    beast::error_code ignored;
    acceptor_.close(ignored);
  });
}

auto HttpServer::OpenConnections() const -> int
{
  return open_->load();
}

auto OpenAcceptor(tcp::acceptor* aAcceptor,
                  const Endpoint& aEndpoint,
                  int aListenQueue) -> absl::Status
{
  beast::error_code error;
  const auto address = asio::ip::make_address(aEndpoint.host_, error);
  const auto fail = [&](const char* aStep) {
    return absl::UnavailableError(std::string(aStep) + ' ' + aEndpoint.host_ +
                                  ':' + std::to_string(aEndpoint.port_) + ": " +
                                  error.message());
  };
  if (error) {
    return fail("address");
  }
  const tcp::endpoint endpoint(address, aEndpoint.port_);
  aAcceptor->open(endpoint.protocol(), error);
  if (error) {
    return fail("open");
  }
  aAcceptor->set_option(asio::socket_base::reuse_address(true), error);
  aAcceptor->bind(endpoint, error);
  if (error) {
    return fail("bind");
  }
  aAcceptor->listen(aListenQueue, error);
  return error ? fail("listen") : absl::OkStatus();
}

auto ErrorBody(const std::string& aCode, const std::string& aMessage)
  -> std::string
{
  const nlohmann::json body = {
    { "error", { { "code", aCode }, { "message", aMessage } } }
  };
  return body.dump() + '\n';
}

} // namespace burdockring
