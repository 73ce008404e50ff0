#include "support/forward_process.h"

namespace burdockring {
namespace {

/// An earlier refusal that a target writes once more before its answer.
struct RepeatedRefusal
{
  const char* name_;
  std::string bytes_;
};

auto operator<<(std::ostream& aStream, const RepeatedRefusal& aCase)
  -> std::ostream&
{
  return aStream << aCase.name_;
}

class RepeatedRefusalTest
  : public ForwardProcess
  , public testing::WithParamInterface<RepeatedRefusal>
{
protected:
  static constexpr int kRequests = 12;

  static auto AskAs(const std::string& aId) -> std::string
  {
    return SendRaw(kCallerPort,
                   "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + aId +
                     "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  }
};

// The caller got 503 for a request that a target was running, or the request
// ran at another target as well.
TEST_P(RepeatedRefusalTest, OnAKeptConnectionIsNotTheNextRequestsAnswer)
{
  SetScripts([](const std::string& aRequest) {
    ScriptedAnswer answer{ Good(aRequest, "whole"), false };
    answer.beforeOnReuse_ = GetParam().bytes_;
    return answer;
  });
  int sent = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto status = Status(AskAs("r" + std::to_string(i)));
    const auto seen = Seen().size();
    // Without a target to send it to, a request is refused truly.
    EXPECT_LE(seen, 1U);
    EXPECT_TRUE(seen == 0 || status == "200" || status == "502") << status;
    sent += static_cast<int>(seen);
  }
  EXPECT_GE(sent, 2);
}

INSTANTIATE_TEST_SUITE_P(
  Copies,
  RepeatedRefusalTest,
  testing::Values(
    RepeatedRefusal{ "WithItsId",
                     "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                     "X-Attempt-Id: r0\r\nContent-Length: 0\r\n\r\n" },
    RepeatedRefusal{ "WithoutId", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                                  "Content-Length: 0\r\n\r\n" },
    RepeatedRefusal{ "OtherInstance",
                     "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n" },
    RepeatedRefusal{ "UnframedWithItsId",
                     "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                     "X-Attempt-Id: r0\r\n\r\n" },
    RepeatedRefusal{ "UnframedWithoutId",
                     "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n\r\n" }),
  [](const testing::TestParamInfo<RepeatedRefusal>& aInfo) {
    return std::string(aInfo.param.name_);
  });

} // namespace
} // namespace burdockring
