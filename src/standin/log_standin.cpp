#include "standin/log_standin.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr auto kJsonType = "application/json";
constexpr std::int64_t kMaxRecordsPerRead = 512;
constexpr std::size_t kMaxBytesPerRead = 4U << 20U;
constexpr std::uint64_t kMaxPayloadBytes = 8U << 20U;

auto MakeLimits() -> HttpLimits
{
  HttpLimits limits;
  limits.bodyBytes_ = kMaxPayloadBytes;
  return limits;
}

auto RecordRow(std::int64_t aOffset, const std::string& aPayload) -> json
{
  return { { "offset", aOffset }, { "payload", aPayload } };
}

auto BatchBody(std::int64_t aFirst,
               std::int64_t aNext,
               std::int64_t aEnd,
               json aRecords) -> std::string
{
  const json body = { { "first", aFirst },
                      { "next", aNext },
                      { "end", aEnd },
                      { "records", std::move(aRecords) } };
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto OffsetBody(std::int64_t aOffset) -> std::string
{
  return json{ { "offset", aOffset } }.dump();
}

} // namespace

auto LogStandin::End() const -> std::int64_t
{
  return first_ + static_cast<std::int64_t>(payloads_.size());
}

auto LogStandin::Append(std::string aPayload, HttpResponder* aResponder)
  -> asio::awaitable<void>
{
  const auto offset = End();
  payloads_.push_back(std::move(aPayload));
  if (payloads_.size() > maxRecords_) {
    payloads_.pop_front();
    ++first_;
  }
  appended_.cancel();
  if (faults_.Take(Fault::kLoseReply)) {
    aResponder->Abort();
    co_return;
  }
  auto body = OffsetBody(offset);
  co_await aResponder->Whole(200, kJsonType, std::move(body), HttpFields());
}

auto LogStandin::Read(HttpRequest aRequest, HttpResponder* aResponder)
  -> asio::awaitable<void>
{
  const auto from = QueryNumber(aRequest, "from", 0);
  const auto wait = QueryNumber(aRequest, "wait_ms", 0);
  const auto deadline =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
  while (from >= End() && std::chrono::steady_clock::now() < deadline) {
    appended_.expires_at(deadline);
    co_await appended_.async_wait(kToken);
  }
  if (faults_.Get(Fault::kDown) != 0) {
    aResponder->Abort();
    co_return;
  }
  const auto start = std::clamp(from, first_, End());
  const auto most = std::min(End(), start + kMaxRecordsPerRead);
  auto records = json::array();
  std::size_t bytes = 0;
  auto next = start;
  for (; next < most && bytes < kMaxBytesPerRead; ++next) {
    const auto& payload = payloads_[static_cast<std::size_t>(next - first_)];
    records.push_back(RecordRow(next, payload));
    bytes += payload.size();
  }
  auto body = BatchBody(start, next, End(), std::move(records));
  co_await aResponder->Whole(200, kJsonType, std::move(body), HttpFields());
}

auto LogStandin::Handle(HttpRequest aRequest, HttpResponder* aResponder)
  -> asio::awaitable<void>
{
  if (const auto status = HandleFault(aRequest, &faults_)) {
    co_await aResponder->Whole(status->ok() ? 200 : 400, kJsonType,
                               std::string(status->message()), HttpFields());
    co_return;
  }
  if (faults_.Get(Fault::kDown) != 0) {
    aResponder->Abort();
    co_return;
  }
  if (faults_.Get(Fault::kSlow) > 0) {
    asio::steady_timer pause(*context_);
    pause.expires_after(std::chrono::milliseconds(faults_.Get(Fault::kSlow)));
    co_await pause.async_wait(kToken);
  }
  const auto path = PathOf(aRequest);
  if (path == "/v1/append") {
    co_await Append(std::move(aRequest.body()), aResponder);
  } else if (path == "/v1/read") {
    co_await Read(std::move(aRequest), aResponder);
  } else {
    co_await aResponder->Whole(404, kJsonType, ErrorBody("no_path", path),
                               HttpFields());
  }
}

LogStandin::LogStandin(asio::io_context* aContext, std::size_t aMaxRecords)
  : context_(aContext)
  , maxRecords_(aMaxRecords)
  , appended_(*aContext)
  , server_({ aContext },
            MakeLimits(),
            [this](HttpRequest aRequest, HttpResponder* aResponder) {
              return Handle(std::move(aRequest), aResponder);
            })
{
}

auto LogStandin::Listen(const Endpoint& aEndpoint) -> absl::Status
{
  return server_.Listen(aEndpoint);
}

} // namespace burdockring
