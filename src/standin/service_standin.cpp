#include "standin/service_standin.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr auto kJsonType = "application/json";
constexpr int kRefusedStatus = 503;

auto Refuse(HttpResponder* aResponder, const char* aReason)
  -> asio::awaitable<void>
{
  auto fields = MakeFields("X-Not-Run", aReason);
  co_await aResponder->Whole(kRefusedStatus, kJsonType, "{}",
                             std::move(fields));
}

auto EchoBody(std::int64_t aRun, const std::string& aText) -> std::string
{
  const json body = { { "run", aRun }, { "echo", aText } };
  return body.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

} // namespace

auto ServiceStandin::Call(HttpRequest aRequest, HttpResponder* aResponder)
  -> asio::awaitable<void>
{
  const std::string key(aRequest["Idempotency-Key"]);
  const std::string id(aRequest["X-Request-Id"]);
  ++runs_;
  if (!key.empty()) {
    ++runsByKey_[key];
  }
  asio::steady_timer timer(*context_);
  timer.expires_after(callTime_ * std::max(1, faults_.Get(Fault::kSlow)));
  co_await timer.async_wait(kToken);
  if (faults_.Take(Fault::kSilent)) {
    timer.expires_after(1h);
    co_await timer.async_wait(kToken);
  }
  if (faults_.Take(Fault::kLoseReply)) {
    aResponder->Abort();
    co_return;
  }
  auto body = EchoBody(runs_, aRequest.body());
  auto fields = MakeFields("X-Request-Id", id);
  co_await aResponder->Whole(200, kJsonType, std::move(body),
                             std::move(fields));
}

auto ServiceStandin::RecordBody() const -> std::string
{
  int most = 0;
  for (const auto& entry : runsByKey_) {
    most = std::max(most, entry.second);
  }
  const json record = { { "runs", runs_ },
                        { "keys", runsByKey_.size() },
                        { "most_runs_of_a_key", most },
                        { "runs_by_key", runsByKey_ } };
  return record.dump() + '\n';
}

auto ServiceStandin::Handle(HttpRequest aRequest, HttpResponder* aResponder)
  -> asio::awaitable<void>
{
  if (const auto status = HandleFault(aRequest, &faults_)) {
    co_await aResponder->Whole(status->ok() ? 200 : 400, kJsonType,
                               std::string(status->message()), HttpFields());
    co_return;
  }
  if (PathOf(aRequest) == "/v1/record") {
    co_await aResponder->Whole(200, kJsonType, RecordBody(), HttpFields());
    co_return;
  }
  if (faults_.Get(Fault::kDown) != 0) {
    aResponder->Abort();
    co_return;
  }
  if (faults_.Get(Fault::kLeaving) != 0 || faults_.Take(Fault::kRefuse)) {
    const auto* reason = faults_.Get(Fault::kLeaving) != 0 ? "leaving" : "busy";
    co_await Refuse(aResponder, reason);
    co_return;
  }
  co_await Call(std::move(aRequest), aResponder);
}

ServiceStandin::ServiceStandin(asio::io_context* aContext, Duration aCallTime)
  : context_(aContext)
  , callTime_(aCallTime)
  , server_({ aContext },
            HttpLimits{},
            [this](HttpRequest aRequest, HttpResponder* aResponder) {
              return Handle(std::move(aRequest), aResponder);
            })
{
}

auto ServiceStandin::Listen(const Endpoint& aEndpoint) -> absl::Status
{
  return server_.Listen(aEndpoint);
}

} // namespace burdockring
