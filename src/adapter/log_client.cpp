#include "adapter/log_client.h"

#include "absl/status/status.h"

#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

using nlohmann::json;

constexpr Duration kReadSlack = 1s;
constexpr int kOk = 200;

auto ReadPath(LogOffset aFrom, Duration aWait) -> std::string
{
  const auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(aWait).count();
  return "/v1/read?from=" + std::to_string(aFrom) +
         "&wait_ms=" + std::to_string(millis);
}

auto ParseOffset(const absl::StatusOr<HttpReply>& aReply)
  -> absl::StatusOr<LogOffset>
{
  if (!aReply.ok()) {
    return aReply.status();
  }
  if (aReply->status_ != kOk) {
    return absl::UnavailableError("log refused the append");
  }
  const auto body = json::parse(aReply->body_, nullptr, false);
  if (!body.is_object() || !body.contains("offset") ||
      !body["offset"].is_number_integer()) {
    return absl::AbortedError("garbled reply of the log");
  }
  return body["offset"].get<LogOffset>();
}

auto ParseBatch(const absl::StatusOr<HttpReply>& aReply)
  -> absl::StatusOr<LogBatch>
{
  if (!aReply.ok()) {
    return aReply.status();
  }
  if (aReply->status_ != kOk) {
    return absl::UnavailableError("log refused the read");
  }
  LogBatch batch;
  try {
    const auto body = json::parse(aReply->body_);
    batch.first_ = body.at("first").get<LogOffset>();
    batch.next_ = body.at("next").get<LogOffset>();
    batch.end_ = body.at("end").get<LogOffset>();
    for (const auto& row : body.at("records")) {
      batch.entries_.push_back({ row.at("offset").get<LogOffset>(),
                                 row.at("payload").get<std::string>() });
    }
  } catch (const json::exception& error) {
    return absl::AbortedError(error.what());
  }
  return batch;
}

} // namespace

LogClient::LogClient(Endpoint aEndpoint)
  : endpoint_(std::move(aEndpoint))
{
}

auto LogClient::Append(std::string aPayload, Duration aTimeout) const
  -> boost::asio::awaitable<absl::StatusOr<LogOffset>>
{
  const auto reply = co_await Fetch(endpoint_, HttpMethod::kPost, "/v1/append",
                                    std::move(aPayload), aTimeout);
  co_return ParseOffset(reply);
}

auto LogClient::Read(LogOffset aFrom, Duration aWait) const
  -> boost::asio::awaitable<absl::StatusOr<LogBatch>>
{
  auto path = ReadPath(aFrom, aWait);
  const auto reply =
    co_await Fetch(endpoint_, HttpMethod::kGet, std::move(path), std::string(),
                   aWait + kReadSlack);
  co_return ParseBatch(reply);
}

auto LogClient::AppendBlocking(const std::string& aPayload,
                               Duration aTimeout) const
  -> absl::StatusOr<LogOffset>
{
  return ParseOffset(FetchBlocking(endpoint_, HttpMethod::kPost, "/v1/append",
                                   aPayload, aTimeout));
}

auto LogClient::ReadBlocking(LogOffset aFrom, Duration aWait) const
  -> absl::StatusOr<LogBatch>
{
  return ParseBatch(FetchBlocking(endpoint_, HttpMethod::kGet,
                                  ReadPath(aFrom, aWait), {},
                                  aWait + kReadSlack));
}

} // namespace burdockring
