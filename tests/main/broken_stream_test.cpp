#include "support/stream_answers.h"

namespace burdockring {
namespace {

using BrokenStreamTest = StreamAnswerTest;

TEST_F(BrokenStreamTest, UnframedStreamThatEndsInsideAnEventGoesOnElsewhere)
{
  SetAnswers({ kUnframedStream + kFirstEvent + kCut, true },
             { kUnframedStream + kSecondEvent, true });
  const auto answer = Ask("/talk/x");
  EXPECT_TRUE(Has(answer, kFirstEvent));
  EXPECT_TRUE(Has(answer, kSecondEvent));
  EXPECT_FALSE(Has(answer, "id: 2\nda\r"));
  EXPECT_TRUE(IsComplete(answer));
}

TEST_F(BrokenStreamTest, UnframedStreamThatAlwaysEndsInsideAnEventIsNotComplete)
{
  SetScripts([](const std::string&) {
    return ScriptedAnswer{ kUnframedStream + kFirstEvent + kCut, true };
  });
  EXPECT_FALSE(IsComplete(Ask("/talk/x")));
}

TEST_F(BrokenStreamTest, FramedStreamThatEndsInsideAnEventIsNotComplete)
{
  SetScripts([](const std::string&) {
    return ScriptedAnswer{ kChunkedStream + "f\r\n" + kFirstEvent +
                             "\r\n8\r\n" + kCut + "\r\n0\r\n\r\n",
                           false };
  });
  EXPECT_FALSE(IsComplete(Ask("/talk/x")));
}

TEST_F(BrokenStreamTest, UnframedAnswerComesWhole)
{
  SetScripts([](const std::string&) {
    return ScriptedAnswer{ "HTTP/1.1 200 OK\r\n" + kSigned + "\r\nall of it",
                           true };
  });
  const auto answer = Ask("/once/x");
  EXPECT_EQ(Status(answer), "200");
  EXPECT_TRUE(answer.ends_with("\r\n\r\nall of it"));
}

} // namespace
} // namespace burdockring
