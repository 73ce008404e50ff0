#include "support/stream_answers.h"

#include <vector>

namespace burdockring {
namespace {

/// A stream that ends before the length that it names.
const std::string kCutByLength =
  "HTTP/1.1 200 OK\r\n" + kSigned +
  "Content-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\n";

/// A second target's answer after the first one's stream broke off.
struct BadContinuation
{
  const char* name_;
  std::string bytes_;
};

auto operator<<(std::ostream& aStream, const BadContinuation& aCase)
  -> std::ostream&
{
  return aStream << aCase.name_;
}

class StreamContinuationTest
  : public StreamAnswerTest
  , public testing::WithParamInterface<BadContinuation>
{
};

// The second target's answer came out in the middle of the caller's stream.
TEST_P(StreamContinuationTest, NeverReachesTheCallersStream)
{
  SetAnswers({ kCutByLength + kFirstEvent + kCut, true },
             { GetParam().bytes_, true });
  const auto answer = Ask("/talk/x");
  EXPECT_TRUE(Has(answer, kFirstEvent));
  EXPECT_FALSE(IsComplete(answer));
  EXPECT_FALSE(Has(answer, "wrong"));
  EXPECT_EQ(answer.find("HTTP/1.1"), answer.rfind("HTTP/1.1"));
  EXPECT_EQ(answer.find(kFirstEvent), answer.rfind(kFirstEvent));
}

auto BadContinuations() -> std::vector<BadContinuation>
{
  const std::string length = "Content-Length: 7\r\n\r\nwrong\n\n";
  return {
    { "Error", "HTTP/1.1 500 No\r\n" + kSigned + length },
    { "UnsignedError", "HTTP/1.1 500 No\r\n" + length },
    { "ErrorAsStream", "HTTP/1.1 500 No\r\n" + kSigned +
                         "Content-Type: text/event-stream\r\n" + length },
    { "UnframedError",
      "HTTP/1.1 502 No\r\n" + kSigned + "\r\nid: 2\ndata: wrong\n\n" },
    { "Refusal",
      "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + kSigned + length },
    { "SuccessThatIsNoStream", "HTTP/1.1 200 OK\r\n" + kSigned +
                                 "Content-Type: application/json\r\n" +
                                 length },
    { "StreamFromItsStart",
      kUnframedStream + kFirstEvent + "id: 2\ndata: wrong\n\n" },
    { "HeadBehindAPartOfAnEvent",
      kUnframedStream + kCut + "HTTP/1.1 500 No\r\n\r\nwrong" },
    { "NoAnswer", "wrong\n\n" },
  };
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  StreamContinuationTest,
  testing::ValuesIn(BadContinuations()),
  [](const testing::TestParamInfo<BadContinuation>& aInfo) {
    return std::string(aInfo.param.name_);
  });

} // namespace
} // namespace burdockring
