#include "support/forward_process.h"

#include <fmt/format.h>

namespace burdockring {
namespace {

/// A target's own answer, whose status tells the caller that nothing ran.
struct DenyingAnswer
{
  const char* name_;
  int status_;
  /// Interim heads before it, and its further fields.
  std::string before_;
  std::string fields_;
  std::size_t bodyBytes_;
};

auto operator<<(std::ostream& aStream, const DenyingAnswer& aCase)
  -> std::ostream&
{
  return aStream << aCase.name_;
}

auto AnswerBytes(const DenyingAnswer& aAnswer, const std::string& aRequest)
  -> std::string
{
  return fmt::format("{}HTTP/1.1 {} No\r\nX-Attempt-Id: {}\r\n"
                     "X-Response-Stamp: sig\r\n{}Content-Length: {}\r\n\r\n{}",
                     aAnswer.before_, aAnswer.status_, RequestIdOf(aRequest),
                     aAnswer.fields_, aAnswer.bodyBytes_,
                     std::string(aAnswer.bodyBytes_, 'x'));
}

/// Targets that run each request and deny it.
class WithheldAnswerTest
  : public ForwardProcess
  , public testing::WithParamInterface<DenyingAnswer>
{
protected:
  /// A stream that must not be resumed.
  static constexpr auto kUnresumableRoute = "say";

  auto SetUp() -> void override
  {
    attemptsOfUnsafe_ = 3;
    ForwardProcess::SetUp();
    SetScripts([](const std::string& aRequest) {
      return ScriptedAnswer{ AnswerBytes(GetParam(), aRequest) };
    });
  }

  auto ExtendConfiguration(StandinConfiguration* aConfiguration)
    -> void override
  {
    StandinRoute route{ kUnresumableRoute, RouteKind::kStream, true, 3 };
    route.resumable_ = false;
    aConfiguration->routes_.push_back(route);
  }
};

// Callers took the target's status for a promise and sent work that had run
// once more.
TEST_P(WithheldAnswerTest, DoesNotPromiseThatUnsafeWorkDidNotRun)
{
  const auto answer = Ask("/once/x");
  EXPECT_EQ(Status(answer), "502");
  EXPECT_EQ(answer.find("X-Response-Stamp"), std::string::npos) << answer;
  EXPECT_EQ(RawField(answer, "Retry-After"), "");
  EXPECT_NE(answer.find("target_error"), std::string::npos) << answer;
  EXPECT_EQ(Seen().size(), 1U);
}

TEST_P(WithheldAnswerTest, DoesNotPromiseThatAStreamDidNotRun)
{
  EXPECT_EQ(Status(Ask("/say/x")), "502");
  EXPECT_EQ(Seen().size(), 1U);
}

TEST_P(WithheldAnswerTest, ReachesCallersOfRequestsThatMayRunAgain)
{
  for (const auto* path : { "/safe/x", "/talk/x" }) {
    const auto answer = Ask(path, "body", "Authorization: Token k1\r\n");
    EXPECT_EQ(Status(answer), std::to_string(GetParam().status_)) << path;
    EXPECT_EQ(RawField(answer, "X-Response-Stamp"), "sig") << path;
  }
}

INSTANTIATE_TEST_SUITE_P(
  Statuses,
  WithheldAnswerTest,
  testing::Values(DenyingAnswer{ "RequestTimeout", 408, "", "", 4 },
                  DenyingAnswer{ "TooManyRequests", 429, "", "", 4 },
                  DenyingAnswer{ "Unavailable", 503, "", "", 4 },
                  DenyingAnswer{ "WithRetryAfter", 503, "",
                                 "Retry-After: 0.01\r\n", 4 },
                  DenyingAnswer{ "AfterInterimHead", 503,
                                 "HTTP/1.1 102 Wait\r\n\r\n", "", 4 },
                  DenyingAnswer{ "WithLongBody", 503, "", "", 200'000 }),
  [](const testing::TestParamInfo<DenyingAnswer>& aInfo) {
    return std::string(aInfo.param.name_);
  });

class StatedRefusalTest : public ForwardProcess
{
};

// A refusal that the target states still reaches callers as one.
TEST_F(StatedRefusalTest, IsAPromiseForUnsafeWork)
{
  SetScripts([](const std::string& aRequest) {
    return ScriptedAnswer{ NotRunAnswer(RequestIdOf(aRequest)) };
  });
  EXPECT_EQ(Status(Ask("/once/x")), "503");
}

// A misdirected request did not run, whatever else the answer lacks.
TEST_F(StatedRefusalTest, MisdirectedRequestDidNotRun)
{
  SetScripts([](const std::string& aRequest) {
    return ScriptedAnswer{ fmt::format(
      "HTTP/1.1 421 No\r\nX-Attempt-Id: {}\r\nX-Response-Stamp: sig\r\n"
      "Content-Length: 0\r\n\r\n",
      RequestIdOf(aRequest)) };
  });
  EXPECT_EQ(Status(Ask("/once/x")), "503");
}

// Other errors of a target promise nothing and are passed on as they are.
TEST_F(StatedRefusalTest, OtherErrorsPassUnchanged)
{
  SetScripts([](const std::string& aRequest) {
    return ScriptedAnswer{ fmt::format(
      "HTTP/1.1 500 Oops\r\nX-Attempt-Id: {}\r\nX-Response-Stamp: sig\r\n"
      "Content-Length: 4\r\n\r\noops",
      RequestIdOf(aRequest)) };
  });
  const auto answer = Ask("/once/x");
  EXPECT_EQ(Status(answer), "500");
  EXPECT_EQ(RawField(answer, "X-Response-Stamp"), "sig");
}

} // namespace
} // namespace burdockring
