// What a router costs beside a relay that only copies bytes: one caller on a
// kept connection, the real program as a process of its own, all on loopback.
// Each benchmark's own argument tells the way: 0 the relay, 1 the router,
// 2 straight to the target. Neither relay nor router is timed by itself: what
// counts is the caller's time, and the ratio of the two.
#include "main/process_fleet.h"

#include <benchmark/benchmark.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>

namespace burdockring {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint16_t kBasePort = 27'000;
constexpr std::uint16_t kRelayPort = 27'900;
constexpr int kEvents = 500;
constexpr std::size_t kRelayBytes = 16'384;
constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

/// A relay of messages by Beast without any decision: each message is read
/// whole, or a stream piece by piece, and written on as it came.
class BareRelay
{
  asio::io_context context_{ 1 };
  tcp::acceptor acceptor_;
  std::uint16_t target_;
  std::thread thread_;

  auto Serve(tcp::socket aCaller) -> asio::awaitable<void>
  {
    beast::flat_buffer fromCaller;
    for (;;) {
      http::request_parser<http::string_body> request;
      const auto [readError, readBytes] =
        co_await http::async_read(aCaller, fromCaller, request, kToken);
      if (readError) {
        co_return;
      }
      tcp::socket target(context_);
      const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), target_);
      const auto [connectError] =
        co_await target.async_connect(endpoint, kToken);
      if (connectError) {
        co_return;
      }
      boost::system::error_code ignored;
      target.set_option(tcp::no_delay(true), ignored);
      const auto [writeError, written] =
        co_await http::async_write(target, request.get(), kToken);
      if (writeError) {
        co_return;
      }
      const bool goesOn = co_await CopyAnswer(&target, &aCaller);
      if (!goesOn) {
        co_return;
      }
    }
  }

  /// Passes a whole answer on, or a stream piece by piece; gives whether the
  /// caller's connection may be kept.
  static auto CopyAnswer(tcp::socket* aTarget, tcp::socket* aCaller)
    -> asio::awaitable<bool>
  {
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    const auto [headError, headBytes] =
      co_await http::async_read_header(*aTarget, buffer, parser, kToken);
    if (headError) {
      co_return false;
    }
    if (parser.content_length()) {
      const auto [error, bytes] =
        co_await http::async_read(*aTarget, buffer, parser, kToken);
      const auto [sendError, sent] =
        co_await http::async_write(*aCaller, parser.get(), kToken);
      co_return !error && !sendError;
    }
    http::response<http::empty_body> head(parser.get().base());
    head.keep_alive(false);
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(*aCaller, serializer, kToken);
    for (;;) {
      const auto [sendError, sent] =
        co_await asio::async_write(*aCaller, buffer.data(), kToken);
      buffer.consume(sent);
      const auto [error, count] =
        co_await aTarget->async_read_some(buffer.prepare(kRelayBytes), kToken);
      if (error || sendError) {
        co_return false;
      }
      buffer.commit(count);
    }
  }

  auto Accept() -> asio::awaitable<void>
  {
    for (;;) {
      auto [error, socket] = co_await acceptor_.async_accept(kToken);
      if (error) {
        co_return;
      }
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
    }
  }

public:
  BareRelay(std::uint16_t aPort, std::uint16_t aTarget)
    : acceptor_(context_)
    , target_(aTarget)
  {
    if (!OpenAcceptor(&acceptor_, { "127.0.0.1", aPort }).ok()) {
      throw std::runtime_error("the relay's port is taken");
    }
    asio::co_spawn(context_, Accept(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
  }

  ~BareRelay()
  {
    context_.stop();
    thread_.join();
  }
};

/// One router, one target and the relay, for all benchmarks.
struct Bench
{
  std::unique_ptr<ProcessFleet> fleet_;
  std::unique_ptr<BareRelay> relay_;

  Bench()
  {
    ProcessFleetOptions options;
    options.program_ = BURDOCKRING_PROGRAM;
    options.folder_ =
      std::filesystem::temp_directory_path().string() + "/burdockring-bench";
    options.basePort_ = kBasePort;
    options.routers_ = 1;
    options.targets_ = 1;
    options.events_ = kEvents;
    options.eventInterval_ = 0us;
    std::filesystem::create_directories(options.folder_);
    fleet_ = std::make_unique<ProcessFleet>(options);
    const auto status = fleet_->Start();
    if (!status.ok()) {
      throw std::runtime_error(std::string(status.message()));
    }
    relay_ = std::make_unique<BareRelay>(kRelayPort, fleet_->TargetPort(0));
  }

  [[nodiscard]] auto PortOf(std::int64_t aWay) const -> std::uint16_t
  {
    switch (aWay) {
      case 0:
        return kRelayPort;
      case 1:
        return fleet_->CallerPort(0);
      default:
        return fleet_->TargetPort(0);
    }
  }
};

auto TheBench() -> Bench&
{
  static Bench bench;
  return bench;
}

/// A caller's connection, opened anew where an answer ends with it.
class Caller
{
  asio::io_context context_;
  std::optional<tcp::socket> socket_;
  std::uint16_t port_;

public:
  explicit Caller(std::uint16_t aPort)
    : port_(aPort)
  {
  }

  /// The length of the answer's body; 0 where it is not whole.
  auto Ask(const std::string& aBytes) -> std::size_t
  {
    if (!socket_) {
      socket_.emplace(context_);
      socket_->connect({ asio::ip::address_v4::loopback(), port_ });
      socket_->set_option(tcp::no_delay(true));
    }
    boost::system::error_code error;
    asio::write(*socket_, asio::buffer(aBytes), error);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    http::read(*socket_, buffer, parser, error);
    const bool whole = !error && parser.get().result_int() == 200;
    const auto length = whole ? parser.get().body().size() : 0;
    if (!whole || !parser.get().keep_alive()) {
      socket_.reset();
    }
    return length;
  }
};

auto BenchRoute(benchmark::State& aState, const std::string& aRoute) -> void
{
  Caller caller(TheBench().PortOf(aState.range(0)));
  int number = 0;
  for (auto _ : aState) {
    const auto id = fmt::format("b{}-{}", aState.range(0), ++number);
    const auto length =
      caller.Ask(CallerRequestBytes(aRoute, id, "k1", "body"));
    if (length == 0) {
      aState.SkipWithError("an answer was not whole");
      break;
    }
  }
}

/// A plain request and its answer.
auto BenchPlainRequest(benchmark::State& aState) -> void
{
  BenchRoute(aState, "safe");
}
BENCHMARK(BenchPlainRequest)->Arg(0)->Arg(1)->Arg(2)->UseRealTime();

/// A stream of kEvents events; items are events.
auto BenchStream(benchmark::State& aState) -> void
{
  BenchRoute(aState, "talk");
  aState.SetItemsProcessed(aState.iterations() * kEvents);
}
BENCHMARK(BenchStream)->Arg(0)->Arg(1)->UseRealTime();

} // namespace
} // namespace burdockring

BENCHMARK_MAIN();
