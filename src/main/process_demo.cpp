#include "main/process_demo.h"

#include "main/load_driver.h"

#include "absl/status/statusor.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <fmt/format.h>
#include <optional>
#include <thread>

namespace burdockring {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

constexpr std::array kRoutes{ "safe", "once", "talk" };
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr Duration kThinkTime = 10ms;
constexpr Duration kStoreAway = 1s;
/// Parts of the time at which the troubles come.
constexpr double kStoreAt = 0.2;
constexpr double kStopAt = 0.4;
constexpr double kKillAt = 0.7;

struct Reply
{
  /// Zero: the connection ended without a whole answer.
  int status_ = 0;
  std::string body_;
};

/// A caller's kept connection, opened at the next router when one breaks, as a
/// balancer would.
class DemoCaller
{
  ProcessFleet* fleet_;
  int router_;
  asio::io_context context_;
  std::optional<asio::ip::tcp::socket> socket_;

  auto Open() -> bool
  {
    const int count = fleet_->Options().routers_;
    for (int i = 0; i < count; ++i, router_ = (router_ + 1) % count) {
      socket_.emplace(context_);
      boost::system::error_code error;
      socket_->connect(
        { asio::ip::address_v4::loopback(), fleet_->CallerPort(router_) },
        error);
      if (!error && fleet_->IsReady(router_)) {
        return true;
      }
    }
    socket_.reset();
    return false;
  }

public:
  DemoCaller(ProcessFleet* aFleet, int aRouter)
    : fleet_(aFleet)
    , router_(aRouter % aFleet->Options().routers_)
  {
  }

  auto Ask(const std::string& aBytes) -> std::optional<Reply>
  {
    if (!socket_ && !Open()) {
      return std::nullopt;
    }
    boost::system::error_code error;
    asio::write(*socket_, asio::buffer(aBytes), error);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!error) {
      http::read(*socket_, buffer, parser, error);
    }
    if (error) {
      socket_.reset();
      return Reply{};
    }
    const auto message = parser.release();
    if (!message.keep_alive()) {
      socket_.reset();
    }
    return Reply{ static_cast<int>(message.result_int()), message.body() };
  }
};

/// Sends the requests of one caller until the time is over.
class CallerRun
{
  ProcessFleet* fleet_;
  int number_;
  std::map<std::string, RouteOutcome> outcomes_;

  auto Judge(const std::string& aRoute,
             const std::string& aId,
             const std::optional<Reply>& aReply) -> void
  {
    auto& outcome = outcomes_[aRoute];
    if (!aReply) {
      return;
    }
    ++outcome.sent_;
    const int runs = fleet_->RunsOf(aId);
    const bool isOnce = aRoute == "once";
    outcome.untrue_ += isOnce && runs > 1 ? 1 : 0;
    if (aReply->status_ == kOk) {
      const bool whole =
        aReply->body_ == fleet_->WholeBody(aId, aRoute == "talk");
      ++(whole ? outcome.whole_ : outcome.wrong_);
    } else if (aReply->status_ == kUnavailable) {
      ++outcome.notRun_;
      outcome.untrue_ += isOnce && runs > 0 ? 1 : 0;
    } else {
      ++outcome.unknown_;
    }
  }

public:
  CallerRun(ProcessFleet* aFleet, int aNumber)
    : fleet_(aFleet)
    , number_(aNumber)
  {
  }

  auto Run(const std::atomic<bool>& aStop) -> void
  {
    DemoCaller caller(fleet_, number_);
    for (int i = 0; !aStop; ++i) {
      const std::string route =
        kRoutes.at(static_cast<std::size_t>(i) % kRoutes.size());
      const auto id = fmt::format("a{}-{}", number_, i);
      const auto start = Clock::now();
      const auto reply =
        caller.Ask(CallerRequestBytes(route, id, "k1", "body"));
      Judge(route, id, reply);
      const std::chrono::duration<double, std::milli> took =
        Clock::now() - start;
      if (reply && reply->status_ == kOk) {
        outcomes_[route].totalMs_.push_back(took.count());
      }
      std::this_thread::sleep_for(kThinkTime);
    }
  }

  auto AddTo(ProcessDemoResult* aResult) const -> void
  {
    for (const auto& [route, own] : outcomes_) {
      auto& sum = aResult->routes_[route];
      sum.sent_ += own.sent_;
      sum.whole_ += own.whole_;
      sum.notRun_ += own.notRun_;
      sum.unknown_ += own.unknown_;
      sum.wrong_ += own.wrong_;
      sum.untrue_ += own.untrue_;
      sum.totalMs_.insert(sum.totalMs_.end(), own.totalMs_.begin(),
                          own.totalMs_.end());
    }
  }
};

auto SleepUntil(Clock::time_point aStart, double aSeconds) -> void
{
  std::this_thread::sleep_until(aStart +
                                std::chrono::duration_cast<Clock::duration>(
                                  std::chrono::duration<double>(aSeconds)));
}

auto WaitForEnd(ChildProcess* aProcess) -> void
{
  while (aProcess->IsRunning()) {
    std::this_thread::sleep_for(kThinkTime);
  }
}

auto PlayTroubles(ProcessFleet* aFleet, double aSeconds) -> absl::Status
{
  const auto start = Clock::now();
  SleepUntil(start, aSeconds * kStoreAt);
  fmt::print("the store goes away for a second\n");
  aFleet->Store().SetFault(StoreFault::kDown);
  std::this_thread::sleep_for(kStoreAway);
  aFleet->Store().SetFault(StoreFault::kNone);
  SleepUntil(start, aSeconds * kStopAt);
  fmt::print("router r0 is told to stop, and started again\n");
  aFleet->Router(0).Signal(SIGTERM);
  WaitForEnd(&aFleet->Router(0));
  auto status = aFleet->StartRouter(0);
  SleepUntil(start, aSeconds * kKillAt);
  fmt::print("router r1 is killed, and started again\n");
  aFleet->Router(1).Signal(SIGKILL);
  status.Update(aFleet->StartRouter(1));
  SleepUntil(start, aSeconds);
  return status;
}

} // namespace

auto ProcessDemoResult::KeepsPromises() const -> bool
{
  std::int64_t whole = 0;
  for (const auto& entry : routes_) {
    if (entry.second.wrong_ + entry.second.untrue_ > 0) {
      return false;
    }
    whole += entry.second.whole_;
  }
  return whole > 0;
}

auto ProcessDemoResult::ToText() const -> std::string
{
  auto text = fmt::format("{:<8}{:>8}{:>8}{:>9}{:>9}{:>7}{:>8}{:>10}{:>10}\n",
                          "route", "sent", "whole", "not run", "unknown",
                          "wrong", "untrue", "p50 ms", "p99 ms");
  for (const auto& [route, outcome] : routes_) {
    text += fmt::format(
      "{:<8}{:>8}{:>8}{:>9}{:>9}{:>7}{:>8}{:>10.1f}{:>10.1f}\n", route,
      outcome.sent_, outcome.whole_, outcome.notRun_, outcome.unknown_,
      outcome.wrong_, outcome.untrue_, Percentile(outcome.totalMs_, 50),
      Percentile(outcome.totalMs_, 99));
  }
  return text;
}

auto PlayProcessDemo(const ProcessDemoOptions& aOptions)
  -> absl::StatusOr<ProcessDemoResult>
{
  ProcessFleet fleet(aOptions.fleet_);
  auto status = fleet.Start();
  if (!status.ok()) {
    return status;
  }
  std::atomic<bool> stop{ false };
  std::vector<CallerRun> runs;
  for (int i = 0; i < aOptions.callers_; ++i) {
    runs.emplace_back(&fleet, i);
  }
  std::vector<std::thread> threads;
  threads.reserve(runs.size());
  for (auto& run : runs) {
    threads.emplace_back([&run, &stop] { run.Run(stop); });
  }
  status = PlayTroubles(&fleet, aOptions.seconds_);
  stop = true;
  for (auto& thread : threads) {
    thread.join();
  }
  if (!status.ok()) {
    return status;
  }
  ProcessDemoResult result;
  for (const auto& run : runs) {
    run.AddTo(&result);
  }
  return result;
}

} // namespace burdockring
