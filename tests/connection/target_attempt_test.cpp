#include "connection/target_attempt.h"

#include "standin/scripted_target.h"
#include "support/broken_answers.h"

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

namespace burdockring {
namespace {

namespace asio = boost::asio;

const std::string kRequestId = "r-1";
const std::string kIdField = "X-Request-Id: " + kRequestId + "\r\n";

class TargetAttemptTest : public testing::Test
{
protected:
  ScriptedTarget target_{ 0 };
  asio::io_context context_{ 1 };

  auto SetAnswer(const ScriptedAnswer& aAnswer) -> void
  {
    target_.SetScript([=](const std::string&) { return aAnswer; });
  }

  /// Result of an attempt at a target of this kind.
  auto Try(ServiceKind aKind) -> AttemptResult
  {
    AttemptRequest request;
    request.requestId_ = kRequestId;
    request.body_ = "body";
    request.start_.kind_ = aKind;
    request.start_.host_ = "127.0.0.1";
    request.start_.port_ = target_.Port();
    request.start_.progressTimeout_ = 2s;
    AttemptCallbacks callbacks;
    callbacks.onSending_ = [] {};
    callbacks.onToken_ = [](const StreamLine&) -> asio::awaitable<bool> {
      co_return true;
    };
    const auto attempt =
      std::make_shared<TargetAttempt>(context_.get_executor());
    AttemptResult result;
    asio::co_spawn(context_,
                   attempt->Run(std::move(request), std::move(callbacks)),
                   [&](const std::exception_ptr&, AttemptResult aResult) {
                     result = std::move(aResult);
                   });
    context_.run();
    context_.restart();
    return result;
  }

  /// The lines of an engine's whole answer.
  static auto Lines() -> std::string
  {
    StreamLine token;
    token.requestId_ = kRequestId;
    token.text_ = "a";
    StreamLine end;
    end.requestId_ = kRequestId;
    end.end_ = true;
    end.tokens_ = 1;
    return EngineLine(token) + EngineLine(end);
  }
};

class BrokenAttemptTest
  : public TargetAttemptTest
  , public testing::WithParamInterface<BrokenAnswer>
{
};

// Guards against answers that are none and pass for the target's.
TEST_P(BrokenAttemptTest, IsNoAnswer)
{
  SetAnswer({ GetParam().bytes_ });
  for (const auto kind : { ServiceKind::kPlain, ServiceKind::kEngine }) {
    EXPECT_EQ(Try(kind).end_, AttemptEnd::kBroken);
  }
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         BrokenAttemptTest,
                         testing::ValuesIn(AllBrokenAnswers(kIdField)),
                         [](const testing::TestParamInfo<BrokenAnswer>& aInfo) {
                           return aInfo.param.name_;
                         });

// The same for an engine's lines, which end by their own mark.
TEST_F(TargetAttemptTest, LinesUnderABrokenHeadAreNoAnswer)
{
  for (const std::string status : { "000", "099", "600", "999" }) {
    SetAnswer({ "HTTP/1.1 " + status + " OK\r\n\r\n" + Lines(), true });
    EXPECT_EQ(Try(ServiceKind::kEngine).end_, AttemptEnd::kBroken) << status;
  }
  SetAnswer(
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + Lines(), true });
  EXPECT_EQ(Try(ServiceKind::kEngine).end_, AttemptEnd::kBroken);
  SetAnswer({ "HTTP/1.1 200 OK\r\n\r\n" + Lines(), true });
  EXPECT_EQ(Try(ServiceKind::kEngine).end_, AttemptEnd::kWhole);
}

TEST_F(TargetAttemptTest, ResetEndsNoAnswerWithoutALength)
{
  const std::string head = "HTTP/1.1 200 OK\r\n" + kIdField + "\r\n";
  for (const std::size_t size : { 500, 512, 1024, 1536, 8192, 65536 }) {
    ScriptedAnswer answer{ head + std::string(size - head.size(), 'a') };
    answer.reset_ = true;
    SetAnswer(answer);
    for (const auto kind : { ServiceKind::kPlain, ServiceKind::kEngine }) {
      EXPECT_EQ(Try(kind).end_, AttemptEnd::kBroken) << size;
    }
  }
}

// The caller got 200 for what the target had answered as a failure.
TEST_F(TargetAttemptTest, LinesUnderAFailureAreNoSuccess)
{
  for (const std::string status : { "204", "301", "400", "500", "503" }) {
    SetAnswer({ "HTTP/1.1 " + status + " No\r\n\r\n" + Lines(), true });
    EXPECT_EQ(Try(ServiceKind::kEngine).end_, AttemptEnd::kBroken) << status;
  }
}

// An interim head passed for the whole answer, or for a broken one.
TEST_F(TargetAttemptTest, InterimHeadsPrecedeTheAnswer)
{
  const std::string interim = "HTTP/1.1 102 Wait\r\n" + kIdField + "\r\n";
  SetAnswer({ interim + interim + "HTTP/1.1 200 OK\r\n" + kIdField +
              "Content-Length: 5\r\n\r\nwhole" });
  const auto plain = Try(ServiceKind::kPlain);
  EXPECT_EQ(plain.end_, AttemptEnd::kWhole);
  EXPECT_EQ(plain.status_, 200);
  EXPECT_EQ(plain.body_, "whole");
  SetAnswer({ interim + "HTTP/1.1 200 OK\r\n\r\n" + Lines(), true });
  EXPECT_EQ(Try(ServiceKind::kEngine).end_, AttemptEnd::kWhole);
}

} // namespace
} // namespace burdockring
