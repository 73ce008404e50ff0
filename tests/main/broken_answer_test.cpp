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

} // namespace
} // namespace burdockring
