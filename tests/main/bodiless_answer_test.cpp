#include "support/forward_process.h"

namespace burdockring {
namespace {

/// A request whose answer has no body by its method or status, whatever the
/// target's head says or its bytes are.
struct BodilessAnswer
{
  const char* name_;
  const char* method_;
  const char* path_;
  /// Status line and framing of the target's answer, and its bytes behind the
  /// head.
  std::string status_;
  std::string framing_;
  std::string bytes_;
  /// The length that the caller is told.
  std::string length_;
};

auto operator<<(std::ostream& aStream, const BodilessAnswer& aCase)
  -> std::ostream&
{
  return aStream << aCase.name_;
}

constexpr auto kFields = "Host: h\r\nX-Attempt-Id: a1\r\n"
                         "Authorization: Token k1\r\nX-Deadline-Ms: 3000\r\n";

class BodilessAnswerTest
  : public ForwardProcess
  , public testing::WithParamInterface<BodilessAnswer>
{
protected:
  /// Answers to the request of the case and to one behind it on the same
  /// connection.
  static auto AskTwice() -> std::string
  {
    const auto& bodiless = GetParam();
    return SendRaw(kCallerPort, std::string(bodiless.method_) + " " +
                                  bodiless.path_ + " HTTP/1.1\r\n" + kFields +
                                  "\r\nGET /safe/last HTTP/1.1" + "\r\n" +
                                  kFields + "Connection: close\r\n\r\n");
  }
};

// Bytes behind a head that ends its answer stand where callers, and the router,
// expect the next one.
TEST_P(BodilessAnswerTest, EndsWithItsHead)
{
  SetScripts([](const std::string& aRequest) {
    const auto& bodiless = GetParam();
    if (aRequest.starts_with("GET /safe/last")) {
      return ScriptedAnswer{ Good(aRequest, "last") };
    }
    return ScriptedAnswer{ "HTTP/1.1 " + bodiless.status_ +
                           "\r\nX-Attempt-Id: a1\r\nX-Response-Stamp: sig\r\n" +
                           bodiless.framing_ + "\r\n" + bodiless.bytes_ };
  });
  const auto answers = AskTwice();
  const auto behind = answers.find("\r\n\r\n") + 4;
  const auto head = answers.substr(0, behind);
  EXPECT_EQ(Status(head), GetParam().status_.substr(0, 3)) << answers;
  EXPECT_EQ(RawField(head, "Content-Length"), GetParam().length_) << answers;
  EXPECT_EQ(RawField(head, "Transfer-Encoding"), "") << answers;
  const auto next = answers.substr(behind);
  EXPECT_EQ(Status(next), "200") << answers;
  EXPECT_TRUE(next.ends_with("\r\n\r\nlast")) << answers;
}

const std::string kLength = "Content-Length: 5\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kChunks = "5\r\nwrong\r\n0\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
  Answers,
  BodilessAnswerTest,
  testing::Values(
    BodilessAnswer{ "HeadWithLength", "HEAD", "/safe/x", "200 OK", kLength, "",
                    "5" },
    BodilessAnswer{ "HeadWithListOfLengths", "HEAD", "/safe/x", "200 OK",
                    "Content-Length: 5, 5\r\n", "", "5" },
    BodilessAnswer{ "HeadWithChunks", "HEAD", "/safe/x", "200 OK", kChunked, "",
                    "" },
    BodilessAnswer{ "HeadWithoutLength", "HEAD", "/safe/x", "200 OK", "", "",
                    "" },
    BodilessAnswer{ "HeadOfAStream", "HEAD", "/talk/x", "200 OK",
                    "Content-Type: text/event-stream\r\n" + kChunked, "", "" },
    BodilessAnswer{ "HeadOfAFailure", "HEAD", "/safe/x", "500 No", kLength, "",
                    "5" },
    BodilessAnswer{ "HeadWithABody", "HEAD", "/safe/x", "200 OK", kLength,
                    "wrong", "5" },
    BodilessAnswer{ "HeadWithChunksOfABody", "HEAD", "/safe/x", "200 OK",
                    kChunked, kChunks, "" },
    BodilessAnswer{ "NoContent", "POST", "/once/x", "204 No", "", "", "" },
    BodilessAnswer{ "NoContentOfAStream", "POST", "/talk/x", "204 No", "", "",
                    "" },
    BodilessAnswer{ "NoContentWithABody", "POST", "/once/x", "204 No", kLength,
                    "wrong", "" },
    BodilessAnswer{ "NoContentWithChunksOfABody", "POST", "/talk/x", "204 No",
                    kChunked, kChunks, "" },
    BodilessAnswer{ "NotModified", "GET", "/safe/x", "304 Not", "", "", "" },
    BodilessAnswer{ "NotModifiedWithLength", "GET", "/safe/x", "304 Not",
                    kLength, "", "5" },
    BodilessAnswer{ "NotModifiedWithABody", "GET", "/talk/x", "304 Not",
                    kLength, "wrong", "5" }),
  [](const testing::TestParamInfo<BodilessAnswer>& aInfo) {
    return std::string(aInfo.param.name_);
  });

using HeadRequestTest = ForwardProcess;

// The router's own answers to HEAD have no body either.
TEST_F(HeadRequestTest, IsRefusedWithoutABody)
{
  for (const std::string path : { "/unknown/x", "/safe/x" }) {
    const auto answers =
      SendRaw(kCallerPort, "HEAD " + path +
                             " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n\r\n"
                             "GET /safe/last HTTP/1.1\r\n" +
                             kFields + "Connection: close\r\n\r\n");
    const auto next = answers.substr(answers.find("\r\n\r\n") + 4);
    EXPECT_TRUE(next.starts_with("HTTP/1.1 200")) << answers;
    EXPECT_TRUE(next.ends_with("\r\n\r\nwhole")) << answers;
  }
}

} // namespace
} // namespace burdockring
