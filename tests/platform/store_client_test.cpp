#include "platform/store_client.h"

#include "standin/scripted_target.h"
#include "support/broken_answers.h"

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace burdockring {
namespace {

namespace asio = boost::asio;

/// A client before a store that answers by a script.
class StoreClientTest : public testing::Test
{
protected:
  ScriptedTarget store_{ 0 };
  asio::io_context context_{ 1 };
  StoreClient client_{ &context_, { "127.0.0.1", store_.Port() } };

  auto SetAnswer(const ScriptedAnswer& aAnswer) -> void
  {
    store_.SetScript([=](const std::string&) { return aAnswer; });
  }

  template<typename Result>
  auto Await(asio::awaitable<Result> aCall, Result aResult) -> Result
  {
    asio::co_spawn(context_, std::move(aCall),
                   [&](const std::exception_ptr&, Result aValue) {
                     aResult = std::move(aValue);
                   });
    context_.run();
    context_.restart();
    return aResult;
  }

  auto Append() -> absl::Status
  {
    return Await(client_.Append("topic", { "key", "value" }), absl::OkStatus());
  }

  auto Read() -> absl::Status
  {
    return Await(client_.Read("topic", 0, 0ms),
                 absl::StatusOr<RecordBatch>(RecordBatch()))
      .status();
  }
};

class BrokenStoreAnswerTest
  : public StoreClientTest
  , public testing::WithParamInterface<BrokenAnswer>
{
};

// Guards against an append that may have taken effect and is taken for one that
// failed, or that was done.
TEST_P(BrokenStoreAnswerTest, LeavesTheCallsOutcomeUnknown)
{
  SetAnswer({ GetParam().bytes_ });
  const auto appended = Append();
  EXPECT_TRUE(absl::IsUnknown(appended)) << appended;
  const auto read = Read();
  EXPECT_TRUE(absl::IsUnknown(read)) << read;
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  BrokenStoreAnswerTest,
  testing::ValuesIn(AllBrokenAnswers("Store-Era: 1\r\n")),
  [](const testing::TestParamInfo<BrokenAnswer>& aInfo) {
    return aInfo.param.name_;
  });

TEST_F(StoreClientTest, ResetEndsNoAnswerWithoutALength)
{
  const std::string head = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n";
  for (const std::size_t size : { 500, 512, 1024, 1536, 8192, 65536 }) {
    ScriptedAnswer answer{ head + std::string(size - head.size(), ' ') };
    answer.reset_ = true;
    SetAnswer(answer);
    EXPECT_TRUE(absl::IsUnknown(Append())) << size;
    EXPECT_TRUE(absl::IsUnknown(Read())) << size;
  }
}

TEST_F(StoreClientTest, InterimHeadsPrecedeTheAnswer)
{
  SetAnswer({ "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\n"
              "Content-Length: 2\r\n\r\n{}" });
  EXPECT_TRUE(Append().ok());
}

// Guards against an answer behind an answer that the next call takes for its
// own, with the first or after it.
TEST_F(StoreClientTest, NextCallGetsNoRestOfAnAnswer)
{
  const std::string done = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  constexpr Duration kPause = 20ms;
  ScriptedAnswer late{ done, false, { done }, kPause };
  for (const auto& answer : { ScriptedAnswer{ done + done }, late }) {
    SetAnswer(answer);
    EXPECT_TRUE(Append().ok());
    std::this_thread::sleep_for(5 * kPause);
    SetAnswer({ "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" });
    EXPECT_TRUE(absl::IsUnavailable(Append()));
  }
}

} // namespace
} // namespace burdockring
