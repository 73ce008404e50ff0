#include "support/broken_answers.h"
#include "support/forward_process.h"

namespace burdockring {
namespace {

/// Targets whose answers are none in HTTP/1, on connections that stay open.
class BrokenAnswerForwardTest
  : public ForwardProcess
  , public testing::WithParamInterface<BrokenAnswer>
{
protected:
  static constexpr auto kFields =
    "X-Deadline-Ms: 3000\r\nAuthorization: Token k1\r\n";

  auto BreakAnswers() -> void
  {
    SetScripts(
      [](const std::string&) { return ScriptedAnswer{ GetParam().bytes_ }; });
  }

  auto MendAnswers() -> void
  {
    SetScripts([](const std::string& aRequest) {
      return ScriptedAnswer{ Good(aRequest, "whole") };
    });
  }
};

// Callers got such answers as they were, or with a body that was not the
// target's.
TEST_P(BrokenAnswerForwardTest, DoesNotReachCallers)
{
  BreakAnswers();
  for (const auto* path : { "/once/x", "/talk/x", "/safe/x" }) {
    const auto answer = Ask(path, "body", kFields);
    EXPECT_EQ(Status(answer), "502") << path << "\n" << answer;
    EXPECT_EQ(answer.find("wrong"), std::string::npos) << path;
    EXPECT_EQ(RawField(answer, "X-Response-Stamp"), "") << path;
  }
}

// The rest of such an answer must not be read as the next request's.
TEST_P(BrokenAnswerForwardTest, LeavesNothingForTheNextRequest)
{
  MendAnswers();
  EXPECT_EQ(Status(Ask("/safe/x", "body", kFields)), "200");
  BreakAnswers();
  EXPECT_EQ(Status(Ask("/once/x", "body", kFields)), "502");
  MendAnswers();
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(Ask("/safe/x", "body", kFields).ends_with("\r\n\r\nwhole"));
  }
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  BrokenAnswerForwardTest,
  testing::ValuesIn(AllBrokenAnswers("X-Attempt-Id: a1\r\n"
                                     "X-Response-Stamp: sig\r\n")),
  [](const testing::TestParamInfo<BrokenAnswer>& aInfo) {
    return aInfo.param.name_;
  });

/// Bytes of which a part is sound, and what a caller of unsafe work is told.
struct HalfBrokenAnswer
{
  const char* name_;
  std::string bytes_;
  /// Whether the connection is reset behind them.
  bool isReset_;
  const char* status_;
};

auto operator<<(std::ostream& aStream, const HalfBrokenAnswer& aCase)
  -> std::ostream&
{
  return aStream << aCase.name_;
}

class HalfBrokenAnswerTest
  : public ForwardProcess
  , public testing::WithParamInterface<HalfBrokenAnswer>
{
};

// A refusal counts once its head is whole and sound, and never before.
TEST_P(HalfBrokenAnswerTest, PromisesOnlyWhatASoundHeadSays)
{
  SetScripts([](const std::string&) {
    ScriptedAnswer answer{ GetParam().bytes_ };
    answer.reset_ = GetParam().isReset_;
    return answer;
  });
  const auto answer = Ask("/once/x", "body", "X-Deadline-Ms: 3000\r\n");
  EXPECT_EQ(Status(answer), GetParam().status_) << answer;
  EXPECT_EQ(answer.find("wrong"), std::string::npos) << answer;
}

const std::string kRefusal = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                             "X-Attempt-Id: a1\r\n";
const std::string kLength = "Content-Length: 5\r\n\r\n";
const std::string kSound = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                           "X-Response-Stamp: sig\r\n" +
                           kLength + "wrong";

INSTANTIATE_TEST_SUITE_P(
  Answers,
  HalfBrokenAnswerTest,
  testing::Values(
    HalfBrokenAnswer{ "RefusalCutInItsBody", kRefusal + kLength + "wr", true,
                      "503" },
    HalfBrokenAnswer{ "RefusalWithoutALengthCut", kRefusal + "\r\nwr", true,
                      "503" },
    HalfBrokenAnswer{ "RefusalCutInItsHead", kRefusal, true, "502" },
    HalfBrokenAnswer{ "RefusalOfNoStatus",
                      "HTTP/1.1 600 Full\r\nX-Not-Executed: 1\r\n"
                      "X-Attempt-Id: a1\r\n" +
                        kLength + "wrong",
                      false, "502" },
    HalfBrokenAnswer{ "RefusalInUnknownCoding",
                      kRefusal + "Transfer-Encoding: gzip\r\n\r\nwrong", true,
                      "502" },
    HalfBrokenAnswer{ "RefusalInAnInterimHead",
                      "HTTP/1.1 103 Early\r\nX-Not-Executed: 1\r\n\r\n", true,
                      "502" },
    HalfBrokenAnswer{ "RefusalBehindABrokenInterimHead",
                      "HTTP/1.1 100 On\r\nX Y: z\r\n\r\n" + kRefusal + kLength +
                        "wrong",
                      false, "502" },
    HalfBrokenAnswer{ "AnswerBehindABrokenInterimHead",
                      "HTTP/1.1 100 On\r\nX\x01Y: z\r\n\r\n" + kSound, false,
                      "502" },
    HalfBrokenAnswer{ "AnswerBehindAnInterimBody",
                      "HTTP/1.1 100 On\r\n" + kLength + "wrong" + kSound, false,
                      "502" },
    HalfBrokenAnswer{ "AnswerBehindAnInterimHeadInUnknownCoding",
                      "HTTP/1.1 103 Early\r\nTransfer-Encoding: gzip\r\n\r\n" +
                        kSound,
                      false, "502" },
    HalfBrokenAnswer{ "AnswerBehindASwitchOfProtocols",
                      "HTTP/1.1 101 Switch\r\n\r\n" + kSound, false, "502" }),
  [](const testing::TestParamInfo<HalfBrokenAnswer>& aInfo) {
    return std::string(aInfo.param.name_);
  });

} // namespace
} // namespace burdockring
