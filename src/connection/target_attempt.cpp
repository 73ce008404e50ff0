#include "connection/target_attempt.h"

#include "adapter/read_answer.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace burdockring {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr int kHttpVersion = 11;
constexpr int kOk = 200;
constexpr int kRefusedStatus = 503;
constexpr Duration kConnectTimeout = 2s;
constexpr std::size_t kReadBytes = 8192;
constexpr std::size_t kMaxLineBytes = 64U << 10U;
constexpr std::uint64_t kMaxPlainBytes = 16U << 20U;

/// A target that has run nothing says so in this field.
constexpr auto kNotRunField = "X-Not-Run";
constexpr auto kRequestIdField = "X-Request-Id";

/// Builds results outside of coroutines: braces after co_return trip the
/// compiler.
auto MakeResult(AttemptEnd aEnd, int aStatus, int aTokens, std::string aBody)
  -> AttemptResult
{
  AttemptResult result;
  result.end_ = aEnd;
  result.status_ = aStatus;
  result.tokens_ = aTokens;
  result.body_ = std::move(aBody);
  return result;
}

template<typename Fields>
auto CheckRefusal(int aStatus, const Fields& aFields)
  -> std::optional<AttemptResult>
{
  const auto reason = aFields[kNotRunField];
  if (aStatus != kRefusedStatus || reason.empty()) {
    return std::nullopt;
  }
  const auto end =
    reason == "leaving" ? AttemptEnd::kRefusedLeaving : AttemptEnd::kRefused;
  return AttemptResult{ end, aStatus, 0, {} };
}

auto MakeRequest(AttemptRequest* aRequest) -> http::request<http::string_body>
{
  const auto& start = aRequest->start_;
  const auto* path =
    start.kind_ == ServiceKind::kEngine ? "/v1/generate" : "/v1/call";
  http::request<http::string_body> request(http::verb::post, path,
                                           kHttpVersion);
  request.set(http::field::host, start.host_);
  request.set(http::field::connection, "close");
  request.set(kRequestIdField, aRequest->requestId_);
  if (start.resumeFrom_ > 0) {
    request.set("X-Resume-From", std::to_string(start.resumeFrom_));
  }
  if (!aRequest->key_.empty()) {
    request.set("Idempotency-Key", aRequest->key_);
  }
  request.body() = aRequest->body_;
  request.prepare_payload();
  return request;
}

/// Takes whole lines off the front of a growing text.
auto TakeLine(std::string* aText) -> std::optional<std::string>
{
  const auto end = aText->find('\n');
  if (end == std::string::npos) {
    return std::nullopt;
  }
  auto line = aText->substr(0, end);
  aText->erase(0, end + 1);
  return line;
}

} // namespace

auto TargetAttempt::Failure(const boost::system::error_code& aError) const
  -> AttemptResult
{
  if (cancelled_) {
    return { AttemptEnd::kCancelled, 0, 0, {} };
  }
  const bool silent = aError == beast::error::timeout;
  return { silent ? AttemptEnd::kSilent : AttemptEnd::kBroken, 0, 0, {} };
}

auto TargetAttempt::Broken() const -> AttemptResult
{
  return Failure(boost::system::error_code());
}

auto TargetAttempt::ReadEngine(AttemptRequest* aRequest,
                               AttemptCallbacks* aCallbacks)
  -> asio::awaitable<AttemptResult>
{
  const auto& start = aRequest->start_;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::buffer_body>> newParser;
  stream_.expires_after(start.progressTimeout_);
  const auto headError =
    co_await ReadAnswerHead(&stream_, &buffer, &newParser, boost::none);
  if (headError) {
    co_return Failure(headError);
  }
  auto& parser = *newParser;
  const auto status = static_cast<int>(parser.get().result_int());
  if (auto refusal = CheckRefusal(status, parser.get())) {
    co_return *refusal;
  }
  if (status != kOk) {
    co_return Broken();
  }
  int next = start.resumeFrom_;
  std::string text;
  std::array<char, kReadBytes> bytes{};
  while (!parser.is_done()) {
    parser.get().body().data = bytes.data();
    parser.get().body().size = bytes.size();
    stream_.expires_after(start.progressTimeout_);
    const auto [error, count] =
      co_await http::async_read_some(stream_, buffer, parser, kToken);
    if (error && error != http::error::need_buffer) {
      co_return Failure(error);
    }
    text.append(bytes.data(), bytes.size() - parser.get().body().size);
    if (text.size() > kMaxLineBytes) {
      co_return Broken();
    }
    while (const auto raw = TakeLine(&text)) {
      auto line = ParseStreamLine(*raw);
      if (!line.ok() || line->requestId_ != aRequest->requestId_) {
        co_return Broken();
      }
      if (line->end_) {
        const bool whole = line->tokens_ == next;
        co_return MakeResult(whole ? AttemptEnd::kWhole : AttemptEnd::kBroken,
                             status, next, std::string());
      }
      if (line->index_ != next) {
        co_return Broken();
      }
      ++next;
      const bool taken = co_await aCallbacks->onToken_(std::move(*line));
      if (!taken || cancelled_) {
        co_return MakeResult(AttemptEnd::kCancelled, status, next,
                             std::string());
      }
    }
  }
  co_return Broken();
}

auto TargetAttempt::ReadPlain(AttemptRequest* aRequest)
  -> asio::awaitable<AttemptResult>
{
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  stream_.expires_after(aRequest->start_.progressTimeout_);
  const auto headError =
    co_await ReadAnswerHead(&stream_, &buffer, &parser, kMaxPlainBytes);
  if (headError) {
    co_return Failure(headError);
  }
  const auto [error, bytes] =
    co_await http::async_read(stream_, buffer, *parser, kToken);
  if (error) {
    co_return Failure(error);
  }
  auto response = parser->release();
  const auto status = static_cast<int>(response.result_int());
  if (auto refusal = CheckRefusal(status, response)) {
    co_return *refusal;
  }
  if (response[kRequestIdField] != aRequest->requestId_) {
    co_return Broken();
  }
  co_return MakeResult(AttemptEnd::kWhole, status, 1,
                       std::move(response.body()));
}

TargetAttempt::TargetAttempt(asio::any_io_executor aExecutor)
  : stream_(std::move(aExecutor))
{
}

auto TargetAttempt::Run(AttemptRequest aRequest, AttemptCallbacks aCallbacks)
  -> asio::awaitable<AttemptResult>
{
  const auto self = shared_from_this();
  boost::system::error_code badAddress;
  const auto address =
    asio::ip::make_address(aRequest.start_.host_, badAddress);
  if (badAddress || cancelled_) {
    co_return Failure(badAddress);
  }
  stream_.expires_after(kConnectTimeout);
  const auto [connectError] = co_await stream_.async_connect(
    tcp::endpoint(address, aRequest.start_.port_), kToken);
  if (connectError || cancelled_) {
    co_return Failure(connectError);
  }
  boost::system::error_code ignored;
  stream_.socket().set_option(tcp::no_delay(true), ignored);
  auto request = MakeRequest(&aRequest);
  aCallbacks.onSending_();
  stream_.expires_after(aRequest.start_.progressTimeout_);
  const auto [writeError, written] =
    co_await http::async_write(stream_, request, kToken);
  if (writeError) {
    co_return Failure(writeError);
  }
  AttemptResult result;
  if (aRequest.start_.kind_ == ServiceKind::kEngine) {
    result = co_await ReadEngine(&aRequest, &aCallbacks);
  } else {
    result = co_await ReadPlain(&aRequest);
  }
  stream_.close();
  co_return result;
}

auto TargetAttempt::Cancel() -> void
{
  cancelled_ = true;
  stream_.close();
}

} // namespace burdockring
