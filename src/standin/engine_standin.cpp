#include "standin/engine_standin.h"

#include "connection/stream_line.h"

#include "absl/strings/numbers.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace burdockring {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr auto kJsonType = "application/json";
constexpr int kRefusedStatus = 503;
constexpr auto kStreamType = "application/x-ndjson";
constexpr int kMaxTokens = 1'000'000;

auto Refuse(HttpResponder* aResponder, const char* aReason)
  -> asio::awaitable<void>
{
  auto fields = MakeFields("X-Not-Run", aReason);
  co_await aResponder->Whole(kRefusedStatus, kJsonType, "{}",
                             std::move(fields));
}

} // namespace

auto StandinToken(std::string_view aPrompt, int aIndex) -> std::string
{
  const auto hash =
    XXH32(aPrompt.data(), aPrompt.size(), static_cast<unsigned>(aIndex));
  return "t" + std::to_string(hash % 1000) + ' ';
}

auto EngineStandin::Pause(Duration aDuration) -> asio::awaitable<void>
{
  const auto factor = std::max(1, faults_.Get(Fault::kSlow));
  asio::steady_timer timer(*context_);
  timer.expires_after(aDuration * factor);
  co_await timer.async_wait(kToken);
}

auto EngineStandin::Stream(std::string aRequestId,
                           std::string aPrompt,
                           int aFrom,
                           int aTokens,
                           HttpResponder* aResponder) -> asio::awaitable<bool>
{
  co_await Pause(options_.timeToFirstToken_);
  StreamLine line;
  line.requestId_ = std::move(aRequestId);
  for (int index = aFrom; index < aTokens; ++index) {
    if (index == aTokens / 2 && faults_.Take(Fault::kSilent)) {
      co_await Pause(1h);
    }
    if (index == aTokens / 2 && faults_.Take(Fault::kCut)) {
      aResponder->Abort();
      co_return false;
    }
    line.index_ = index;
    line.text_ = StandinToken(aPrompt, index);
    const bool taken = co_await aResponder->Chunk(EngineLine(line));
    if (!taken) {
      co_return false;
    }
    ++tokens_;
    co_await Pause(options_.timePerToken_);
  }
  line.end_ = true;
  line.tokens_ = aTokens;
  co_await aResponder->Chunk(EngineLine(line));
  co_return co_await aResponder->EndChunks();
}

auto EngineStandin::Generate(HttpRequest aRequest, HttpResponder* aResponder)
  -> asio::awaitable<void>
{
  const auto body = json::parse(aRequest.body(), nullptr, false);
  const auto prompt = body.is_object() ? body.value("prompt", "") : "";
  const auto tokens = body.is_object() ? body.value("max_tokens", 16) : 16;
  int from = 0;
  const auto resume = aRequest["X-Resume-From"];
  if (!absl::SimpleAtoi(absl::string_view(resume.data(), resume.size()),
                        &from)) {
    from = 0;
  }
  ++started_;
  while (running_ >= options_.batch_) {
    co_await Pause(options_.timePerToken_);
  }
  ++running_;
  mostRunning_ = std::max(mostRunning_, running_);
  std::string id(aRequest["X-Request-Id"]);
  bool whole = co_await aResponder->BeginChunks(200, kStreamType, HttpFields());
  if (whole) {
    whole = co_await Stream(std::move(id), prompt, from,
                            std::clamp(tokens, 0, kMaxTokens), aResponder);
  }
  --running_;
  ++(whole ? finished_ : cancelled_);
}

auto EngineStandin::RecordBody() const -> std::string
{
  const json record = {
    { "started", started_ },     { "finished", finished_ },
    { "cancelled", cancelled_ }, { "tokens", tokens_ },
    { "running", running_ },     { "most_running", mostRunning_ }
  };
  return record.dump() + '\n';
}

auto EngineStandin::Handle(HttpRequest aRequest, HttpResponder* aResponder)
  -> asio::awaitable<void>
{
  if (const auto status = HandleFault(aRequest, &faults_)) {
    co_await aResponder->Whole(status->ok() ? 200 : 400, kJsonType,
                               std::string(status->message()), HttpFields());
    co_return;
  }
  const auto path = PathOf(aRequest);
  if (path == "/v1/record") {
    co_await aResponder->Whole(200, kJsonType, RecordBody(), HttpFields());
    co_return;
  }
  if (faults_.Get(Fault::kDown) != 0) {
    aResponder->Abort();
    co_return;
  }
  if (faults_.Get(Fault::kLeaving) != 0) {
    co_await Refuse(aResponder, "leaving");
    co_return;
  }
  if (faults_.Take(Fault::kRefuse)) {
    co_await Refuse(aResponder, "busy");
    co_return;
  }
  co_await Generate(std::move(aRequest), aResponder);
}

EngineStandin::EngineStandin(asio::io_context* aContext, EngineOptions aOptions)
  : context_(aContext)
  , options_(aOptions)
  , server_({ aContext },
            HttpLimits{},
            [this](HttpRequest aRequest, HttpResponder* aResponder) {
              return Handle(std::move(aRequest), aResponder);
            })
{
}

auto EngineStandin::Listen(const Endpoint& aEndpoint) -> absl::Status
{
  return server_.Listen(aEndpoint);
}

} // namespace burdockring
