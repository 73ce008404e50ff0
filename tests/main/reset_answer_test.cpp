#include "support/stream_answers.h"

#include <fmt/format.h>

namespace burdockring {
namespace {

/// A route, and the part of an answer that comes before the reset.
struct ResetAnswer
{
  const char* name_;
  const char* path_;
  std::string part_;
};

auto operator<<(std::ostream& aStream, const ResetAnswer& aCase)
  -> std::ostream&
{
  return aStream << aCase.name_;
}

const std::string kPlainHead = "HTTP/1.1 200 OK\r\n" + kSigned + "\r\n";

/// Targets that answer without a length while the request is still written, and
/// reset the connection at once.
class ResetAnswerTest
  : public ForwardProcess
  , public testing::WithParamInterface<ResetAnswer>
{
protected:
  static constexpr std::size_t kUploadBytes = 3'900'000;
  static constexpr int kCallers = 8;

  auto SetUp() -> void override
  {
    bodyBytes_ = 2 * kUploadBytes;
    ForwardProcess::SetUp();
    first_.AnswerAtHeads();
    second_.AnswerAtHeads();
    SetScripts([](const std::string&) {
      ScriptedAnswer answer{ GetParam().part_ };
      answer.reset_ = true;
      return answer;
    });
  }

  static auto IsComplete(const std::string& aAnswer) -> bool
  {
    const auto length = RawField(aAnswer, "Content-Length");
    const auto body = aAnswer.find("\r\n\r\n");
    return length.empty() ? aAnswer.ends_with("\r\n0\r\n\r\n")
                          : body + 4 + std::stoul(length) == aAnswer.size();
  }
};

// Callers got the part as a complete answer: 7 or 8 of 8.
TEST_P(ResetAnswerTest, IsNoCompleteAnswer)
{
  const std::string upload(kUploadBytes, 'u');
  for (int i = 0; i < kCallers; ++i) {
    const auto answer =
      Ask(GetParam().path_, upload, "Authorization: Token k1\r\n");
    EXPECT_FALSE(Status(answer) == "200" && IsComplete(answer)) << i;
  }
}

INSTANTIATE_TEST_SUITE_P(
  Routes,
  ResetAnswerTest,
  testing::Values(
    ResetAnswer{ "Unsafe", "/once/x", kPlainHead + std::string(500, 'a') },
    ResetAnswer{ "Safe", "/safe/x", kPlainHead + std::string(500, 'a') },
    ResetAnswer{ "StreamBetweenEvents", "/talk/x",
                 kUnframedStream + kFirstEvent + kSecondEvent },
    ResetAnswer{ "LongerThanIsBuffered", "/once/x",
                 kPlainHead + std::string(600'000, 'a') }),
  [](const testing::TestParamInfo<ResetAnswer>& aInfo) {
    return std::string(aInfo.param.name_);
  });

} // namespace
} // namespace burdockring
