#include "main/load_driver.h"

#include "adapter/read_answer.h"
#include "connection/http_server.h"
#include "connection/stream_line.h"
#include "process/claims/claim_key.h"
#include "standin/engine_standin.h"

#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr Duration kCallerTimeout = 60s;
constexpr int kMaxTokenFactor = 4;

auto MillisSince(Clock::time_point aStart) -> double
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aStart)
    .count();
}

auto MakePost(const LoadOptions& aOptions,
              const LoadAccount& aAccount,
              const std::string& aBody,
              const std::string& aKey) -> http::request<http::string_body>
{
  http::request<http::string_body> request(http::verb::post,
                                           "/v1/" + aOptions.service_, 11);
  request.set(http::field::host, "burdockring");
  request.set(http::field::connection, "close");
  request.set(http::field::authorization, "Bearer " + aAccount.token_);
  request.set(http::field::accept, "application/x-ndjson");
  if (!aKey.empty()) {
    request.set("Idempotency-Key", aKey);
  }
  request.body() = aBody;
  request.prepare_payload();
  return request;
}

/// Whether a streamed body is the whole answer to the prompt.
auto IsWholeAnswer(const std::string& aBody,
                   const std::string& aPrompt,
                   int aTokens) -> bool
{
  int next = 0;
  bool ended = false;
  const std::vector<std::string> lines =
    absl::StrSplit(aBody, '\n', absl::SkipEmpty());
  for (const auto& raw : lines) {
    const auto line = json::parse(raw, nullptr, false);
    if (!line.is_object() || ended) {
      return false;
    }
    if (line.value("end", false)) {
      ended = line.value("tokens", -1) == next;
      continue;
    }
    if (line.value("index", -1) != next ||
        line.value("text", "") != StandinToken(aPrompt, next)) {
      return false;
    }
    ++next;
  }
  return ended && next == aTokens;
}

auto IsOwnEcho(const std::string& aBody, const std::string& aSent) -> bool
{
  const auto reply = json::parse(aBody, nullptr, false);
  return reply.is_object() && reply.value("echo", "") == aSent;
}

auto CountRefusal(const HttpReply& aReply, LoadResult* aResult) -> void
{
  const auto body = json::parse(aReply.body_, nullptr, false);
  const auto run = body.is_object() && body.contains("error")
                     ? body["error"].value("run", "")
                     : "";
  ++(run == "not_run" ? aResult->notRun_ : aResult->unknown_);
}

} // namespace

auto LoadDriver::TakeReply(const std::string& aAccount,
                           const HttpReply& aReply,
                           const std::string& aPrompt,
                           int aTokens) -> void
{
  auto& result = results_[aAccount];
  if (aReply.status_ != 200) {
    CountRefusal(aReply, &result);
    return;
  }
  const bool engine = options_.kind_ == ServiceKind::kEngine;
  const bool whole = engine ? IsWholeAnswer(aReply.body_, aPrompt, aTokens)
                            : IsOwnEcho(aReply.body_, aPrompt);
  ++(whole ? result.whole_ : result.wrong_);
  result.tokens_ += whole ? aTokens : 0;
}

auto LoadDriver::SendOne(std::size_t aAccount,
                         std::size_t aRouter,
                         int aTokens,
                         std::string aPrompt,
                         std::string aKey) -> asio::awaitable<void>
{
  const auto& account = options_.accounts_[aAccount];
  auto& result = results_[account.name_];
  const auto start = Clock::now();
  beast::tcp_stream stream(*context_);
  beast::error_code error = asio::error::not_connected;
  for (std::size_t i = 0; i < options_.routers_.size() && error; ++i) {
    const auto& router =
      options_.routers_[(aRouter + i) % options_.routers_.size()];
    stream.expires_after(kCallerTimeout);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(router.host_),
                                           router.port_);
    const auto [connectError] = co_await stream.async_connect(endpoint, kToken);
    error = connectError;
  }
  if (error) {
    ++result.unreached_;
    --open_;
    co_return;
  }
  std::string body = aPrompt;
  if (options_.kind_ == ServiceKind::kEngine) {
    json document;
    document["prompt"] = aPrompt;
    document["max_tokens"] = aTokens;
    body = document.dump();
  }
  const auto request = MakePost(options_, account, body, aKey);
  const auto [writeError, written] =
    co_await http::async_write(stream, request, kToken);
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  const auto headError =
    co_await ReadAnswerHead(&stream, &buffer, &parser, boost::none);
  beast::error_code readError = writeError ? writeError : headError;
  if (!readError) {
    result.firstTokenMs_.push_back(MillisSince(start));
    const auto [bodyError, bodyBytes] =
      co_await http::async_read(stream, buffer, *parser, kToken);
    readError = bodyError;
  }
  if (readError) {
    ++result.wrong_;
  } else {
    auto reply = parser->release();
    TakeReply(account.name_,
              { static_cast<int>(reply.result_int()), reply.body() }, aPrompt,
              aTokens);
    result.totalMs_.push_back(MillisSince(start));
  }
  --open_;
}

auto LoadDriver::Pace(std::function<void(double)> aProgress)
  -> asio::awaitable<void>
{
  asio::steady_timer timer(*context_);
  const auto start = Clock::now();
  const auto count =
    static_cast<std::int64_t>(options_.rate_ * options_.seconds_);
  std::exponential_distribution<double> gap(options_.rate_);
  std::exponential_distribution<double> cost(1.0 / options_.meanTokens_);
  double at = 0;
  for (std::int64_t i = 0; i < count; ++i) {
    at += gap(random_);
    timer.expires_at(start + std::chrono::duration_cast<Duration>(
                               std::chrono::duration<double>(at)));
    co_await timer.async_wait(kToken);
    const auto account = random_() % options_.accounts_.size();
    const auto router = random_() % options_.routers_.size();
    const auto tokens = std::clamp(static_cast<int>(cost(random_)) + 1, 1,
                                   options_.meanTokens_ * kMaxTokenFactor);
    const auto now = std::chrono::duration_cast<WallTime>(
      std::chrono::system_clock::now().time_since_epoch());
    auto key = options_.keyed_ ? MakeUuid7(now, random_(), random_()) : "";
    auto prompt = "prompt " + std::to_string(i);
    ++results_[options_.accounts_[account].name_].sent_;
    ++open_;
    asio::co_spawn(
      *context_,
      SendOne(account, router, tokens, std::move(prompt), std::move(key)),
      asio::detached);
    if (i % std::max<std::int64_t>(1, count / 10) == 0) {
      aProgress(at);
    }
  }
}

LoadDriver::LoadDriver(LoadOptions aOptions, asio::io_context* aContext)
  : options_(std::move(aOptions))
  , context_(aContext)
  , random_(options_.seed_)
{
}

auto LoadDriver::Start(std::function<void(double)> aProgress) -> void
{
  asio::co_spawn(*context_, Pace(std::move(aProgress)), asio::detached);
}

auto LoadDriver::Results() const -> const std::map<std::string, LoadResult>&
{
  return results_;
}

auto LoadDriver::Total() const -> LoadResult
{
  LoadResult total;
  for (const auto& entry : results_) {
    const auto& result = entry.second;
    total.sent_ += result.sent_;
    total.whole_ += result.whole_;
    total.notRun_ += result.notRun_;
    total.unknown_ += result.unknown_;
    total.unreached_ += result.unreached_;
    total.wrong_ += result.wrong_;
    total.tokens_ += result.tokens_;
    total.firstTokenMs_.insert(total.firstTokenMs_.end(),
                               result.firstTokenMs_.begin(),
                               result.firstTokenMs_.end());
    total.totalMs_.insert(total.totalMs_.end(), result.totalMs_.begin(),
                          result.totalMs_.end());
  }
  return total;
}

auto Percentile(std::vector<double> aValues, double aPercent) -> double
{
  if (aValues.empty()) {
    return 0;
  }
  const auto place = static_cast<std::size_t>(
    aPercent / 100.0 * static_cast<double>(aValues.size() - 1));
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>(place);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

auto LoadTable(const LoadDriver& aDriver) -> std::string
{
  auto text =
    absl::StrFormat("%-14s %7s %7s %7s %7s %6s %8s %9s %9s %9s\n", "account",
                    "sent", "whole", "not_run", "unknown", "wrong", "tokens",
                    "first p50", "total p50", "total p99");
  const auto add = [&](const std::string& aName, const LoadResult& aResult) {
    text += absl::StrFormat(
      "%-14s %7d %7d %7d %7d %6d %8d %9.1f %9.1f %9.1f\n", aName, aResult.sent_,
      aResult.whole_, aResult.notRun_ + aResult.unreached_, aResult.unknown_,
      aResult.wrong_, aResult.tokens_, Percentile(aResult.firstTokenMs_, 50),
      Percentile(aResult.totalMs_, 50), Percentile(aResult.totalMs_, 99));
  };
  for (const auto& entry : aDriver.Results()) {
    add(entry.first, entry.second);
  }
  add("all", aDriver.Total());
  return text;
}

auto LoadJson(const LoadDriver& aDriver) -> std::string
{
  const auto row = [](const LoadResult& aResult) {
    return json{
      { "sent", aResult.sent_ },
      { "whole", aResult.whole_ },
      { "not_run", aResult.notRun_ },
      { "unknown", aResult.unknown_ },
      { "unreached", aResult.unreached_ },
      { "wrong", aResult.wrong_ },
      { "tokens", aResult.tokens_ },
      { "first_token_ms_p50", Percentile(aResult.firstTokenMs_, 50) },
      { "first_token_ms_p95", Percentile(aResult.firstTokenMs_, 95) },
      { "total_ms_p50", Percentile(aResult.totalMs_, 50) },
      { "total_ms_p99", Percentile(aResult.totalMs_, 99) }
    };
  };
  json report;
  for (const auto& entry : aDriver.Results()) {
    report["accounts"][entry.first] = row(entry.second);
  }
  report["all"] = row(aDriver.Total());
  return report.dump(2) + '\n';
}

auto LoadPlot(const LoadDriver& aDriver) -> std::string
{
  constexpr double kWidth = 720;
  constexpr double kRow = 22;
  constexpr double kLeft = 130;
  double longest = 1;
  for (const auto& entry : aDriver.Results()) {
    longest = std::max(longest, Percentile(entry.second.totalMs_, 99));
  }
  const auto height = kRow * static_cast<double>(aDriver.Results().size() + 2);
  auto svg = absl::StrFormat(
    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
    "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"12\">\n"
    "<text x=\"4\" y=\"15\">total time by client account: p50 (dark) and p99 "
    "(light), scale ends at %.0f ms</text>\n",
    kWidth, height, longest);
  double y = kRow;
  for (const auto& entry : aDriver.Results()) {
    const auto scale = (kWidth - kLeft - 10) / longest;
    const auto& times = entry.second.totalMs_;
    svg += absl::StrFormat(
      "<text x=\"4\" y=\"%.0f\">%s</text>"
      "<rect x=\"%.0f\" y=\"%.0f\" width=\"%.1f\" height=\"14\" "
      "fill=\"#a8c5da\"/>"
      "<rect x=\"%.0f\" y=\"%.0f\" width=\"%.1f\" height=\"14\" "
      "fill=\"#33658a\"/>\n",
      y + 12, entry.first, kLeft, y, Percentile(times, 99) * scale, kLeft, y,
      Percentile(times, 50) * scale);
    y += kRow;
  }
  return svg + "</svg>\n";
}

auto AccountsOf(const ConfigSet& aSet, const std::string& aTokenPrefix)
  -> std::vector<LoadAccount>
{
  std::vector<LoadAccount> accounts;
  for (const auto& entry : aSet.accounts_) {
    const auto& account = entry.second;
    accounts.push_back(
      { account.name_, aTokenPrefix + account.name_, account.weight_ });
  }
  std::sort(accounts.begin(), accounts.end(),
            [](const LoadAccount& aLeft, const LoadAccount& aRight) {
              return aLeft.name_ < aRight.name_;
            });
  return accounts;
}

} // namespace burdockring
