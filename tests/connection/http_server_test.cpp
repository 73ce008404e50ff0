#include "connection/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <chrono>
#include <gtest/gtest.h>
#include <thread>

namespace burdockring {
namespace {

namespace asio = boost::asio;

constexpr int kCloses = 20'000;

auto AnswerNothing(HttpRequest /*aRequest*/, HttpResponder* /*aResponder*/)
  -> asio::awaitable<void>
{
  co_return;
}

/// Another time between opening and closing in each round.
auto WaitShortly(int aRound) -> void
{
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::nanoseconds(aRound * 7 % 30'000);
  while (std::chrono::steady_clock::now() < end) {
  }
}

TEST(HttpServerTest, ClosingFromAnotherThreadNeverMeetsTheAccept)
{
  asio::io_context context(1);
  auto guard = asio::make_work_guard(context);
  std::thread traffic([&] { context.run(); });
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (int i = 0; i < kCloses; ++i) {
    servers.push_back(std::make_unique<HttpServer>(
      std::vector<asio::io_context*>{ &context }, HttpLimits{}, AnswerNothing));
    ASSERT_TRUE(servers.back()->Listen({ "127.0.0.1", 0 }).ok());
    WaitShortly(i);
    servers.back()->Close();
  }
  guard.reset();
  traffic.join();
  EXPECT_EQ(servers.back()->OpenConnections(), 0);
}

} // namespace
} // namespace burdockring
