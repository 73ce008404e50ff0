#include "adapter/http_fetch.h"

#include "adapter/read_answer.h"

#include "absl/status/status.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace burdockring {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t kMaxReplyBytes = 64U << 20U;
constexpr auto kHttpVersion = 11;

auto Failure(const beast::error_code& aError, const char* aStep) -> absl::Status
{
  const auto text = std::string(aStep) + ": " + aError.message();
  return aError == beast::error::timeout ? absl::DeadlineExceededError(text)
                                         : absl::AbortedError(text);
}

} // namespace

auto ParseEndpoint(const std::string& aText) -> absl::StatusOr<Endpoint>
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return absl::InvalidArgumentError("'" + aText + "' is no IP:PORT");
  }
  Endpoint endpoint;
  endpoint.host_ = aText.substr(0, colon);
  const auto* first = aText.data() + colon + 1;
  const auto* last = aText.data() + aText.size();
  const auto parsed = std::from_chars(first, last, endpoint.port_);
  boost::system::error_code error;
  asio::ip::make_address(endpoint.host_, error);
  if (parsed.ec != std::errc() || parsed.ptr != last || error) {
    return absl::InvalidArgumentError("'" + aText + "' is no IP:PORT");
  }
  return endpoint;
}

auto Fetch(Endpoint aEndpoint,
           HttpMethod aMethod,
           std::string aPath,
           std::string aBody,
           Duration aTimeout) -> asio::awaitable<absl::StatusOr<HttpReply>>
{
  constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
  boost::system::error_code badAddress;
  const auto address = asio::ip::make_address(aEndpoint.host_, badAddress);
  if (badAddress) {
    co_return absl::InvalidArgumentError("bad address " + aEndpoint.host_);
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aTimeout);
  const auto [connectError] = co_await stream.async_connect(
    asio::ip::tcp::endpoint(address, aEndpoint.port_), kToken);
  if (connectError) {
    co_return absl::UnavailableError("connect: " + connectError.message());
  }
  stream.socket().set_option(asio::ip::tcp::no_delay(true));
  const auto verb =
    aMethod == HttpMethod::kGet ? http::verb::get : http::verb::post;
  http::request<http::string_body> request(verb, aPath, kHttpVersion);
  request.set(http::field::host, aEndpoint.host_);
  request.set(http::field::connection, "close");
  request.body() = std::move(aBody);
  request.prepare_payload();
  const auto [writeError, written] =
    co_await http::async_write(stream, request, kToken);
  if (writeError) {
    co_return Failure(writeError, "write");
  }
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  const auto headError =
    co_await ReadAnswerHead(&stream, &buffer, &parser, kMaxReplyBytes);
  if (headError) {
    co_return Failure(headError, "read");
  }
  const auto [readError, read] =
    co_await http::async_read(stream, buffer, *parser, kToken);
  if (readError) {
    co_return Failure(readError, "read");
  }
  auto message = parser->release();
  HttpReply reply;
  reply.status_ = static_cast<int>(message.result_int());
  reply.body_ = std::move(message.body());
  co_return reply;
}

auto FetchBlocking(const Endpoint& aEndpoint,
                   HttpMethod aMethod,
                   const std::string& aPath,
                   const std::string& aBody,
                   Duration aTimeout) -> absl::StatusOr<HttpReply>
{
  asio::io_context context(1);
  absl::StatusOr<HttpReply> reply = absl::UnknownError("not run");
  asio::co_spawn(
    context, Fetch(aEndpoint, aMethod, aPath, aBody, aTimeout),
    [&](const std::exception_ptr&, absl::StatusOr<HttpReply> aReply) {
      reply = std::move(aReply);
    });
  context.run();
  return reply;
}

} // namespace burdockring
