#include "connection/message_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace burdockring {
namespace {

constexpr std::uint32_t kHeaderLimit = 4096;
constexpr std::uint64_t kBodyLimit = 100;

TEST(MessageReader, ReadsABodyInChunksAndLeavesWhatFollows)
{
  RequestReader reader(kHeaderLimit, kBodyLimit);
  std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /b";
  EXPECT_FALSE(reader.Put(&bytes));
  EXPECT_TRUE(reader.is_done());
  EXPECT_EQ(reader.TakeBody(), "abcde");
  EXPECT_EQ(bytes, "GET /b");
}

TEST(MessageReader, BothLengthsAreAnError)
{
  RequestReader reader(kHeaderLimit, kBodyLimit);
  std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  EXPECT_TRUE(reader.Put(&bytes));
}

TEST(MessageReader, BodyOverTheLimitIsAnError)
{
  RequestReader reader(kHeaderLimit, kBodyLimit);
  std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\n"
                      "Content-Length: 101\r\n\r\n";
  EXPECT_TRUE(reader.Put(&bytes));
}

TEST(MessageReader, AnswerWithoutLengthEndsWithItsConnection)
{
  AnswerReader reader(kHeaderLimit, kBodyLimit);
  std::string bytes = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc";
  EXPECT_FALSE(reader.Put(&bytes));
  EXPECT_FALSE(reader.is_done());
  EXPECT_FALSE(reader.PutEnd());
  EXPECT_EQ(reader.TakeBody(), "abc");
}

TEST(MessageReader, CutAnswerIsNotComplete)
{
  AnswerReader reader(kHeaderLimit, kBodyLimit);
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
  EXPECT_FALSE(reader.Put(&bytes));
  EXPECT_TRUE(reader.PutEnd());
}

constexpr FramingLimits kFraming{ .fields_ = 3,
                                  .chunkHeaderBytes_ = 50,
                                  .trailerBytes_ = 200,
                                  .framingSlack_ = 400,
                                  .framingRatio_ = 2 };

const std::string kChunkedHead = "POST /a HTTP/1.1\r\nHost: h\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

/// Puts the bytes in pieces of 16; the first error, and whether it is that of
/// a limit.
auto PutInPieces(const std::string& aBytes, bool* aIsOver)
  -> boost::beast::error_code
{
  RequestReader reader(kHeaderLimit, 100'000);
  reader.SetLimits(kFraming);
  std::string buffer;
  for (std::size_t at = 0; at < aBytes.size() && !reader.is_done(); at += 16) {
    buffer += aBytes.substr(at, 16);
    if (const auto error = reader.Put(&buffer)) {
      *aIsOver = reader.IsOverLimits();
      return error;
    }
  }
  return {};
}

auto Repeat(const std::string& aText, int aTimes) -> std::string
{
  std::string all;
  for (int i = 0; i < aTimes; ++i) {
    all += aText;
  }
  return all;
}

struct FramingCase
{
  const char* name_;
  std::string bytes_;
  bool isAccepted_;
};

auto operator<<(std::ostream& aStream, const FramingCase& aCase)
  -> std::ostream&
{
  return aStream << aCase.name_;
}

class FramingTest : public testing::TestWithParam<FramingCase>
{
};

// Guards against messages that take memory or time beyond their body's length.
TEST_P(FramingTest, IsLimited)
{
  bool isOver = false;
  const auto error = PutInPieces(GetParam().bytes_, &isOver);
  EXPECT_EQ(!error, GetParam().isAccepted_) << error.message();
  EXPECT_EQ(isOver, !GetParam().isAccepted_);
}

INSTANTIATE_TEST_SUITE_P(
  Messages,
  FramingTest,
  testing::Values(
    FramingCase{ "FewFields", "GET /a HTTP/1.1\r\nA: 1\r\nB: 2\r\nC: 3\r\n\r\n",
                 true },
    FramingCase{ "ManyFields",
                 "GET /a HTTP/1.1\r\n" + Repeat("A: 1\r\n", 4) + "\r\n",
                 false },
    FramingCase{ "Trailers", kChunkedHead + "1\r\nx\r\n0\r\nX: y\r\n\r\n",
                 true },
    FramingCase{ "EndlessTrailer",
                 kChunkedHead + "1\r\nx\r\n0\r\nX: " + std::string(300, 'y'),
                 false },
    FramingCase{ "EndlessTrailers",
                 kChunkedHead + "00\r\n" + Repeat("X: y\r\n", 60), false },
    FramingCase{ "Extension", kChunkedHead + "1;a=b\r\nx\r\n0\r\n\r\n", true },
    FramingCase{ "EndlessExtension",
                 kChunkedHead + "1;a=" + std::string(300, 'b'), false },
    FramingCase{ "LongExtension",
                 kChunkedHead + "1;a=" + std::string(60, 'b') + "\r\nx\r\n",
                 false },
    FramingCase{ "EndlessSize", kChunkedHead + std::string(300, '0'), false },
    FramingCase{ "FewSmallChunks",
                 kChunkedHead + Repeat("1\r\nx\r\n", 50) + "0\r\n\r\n", true },
    FramingCase{ "ManySmallChunks",
                 kChunkedHead + Repeat("1\r\nx\r\n", 1000) + "0\r\n\r\n",
                 false },
    FramingCase{ "ManyLargerChunks",
                 kChunkedHead + Repeat("4\r\nabcd\r\n", 1000) + "0\r\n\r\n",
                 true }),
  [](const testing::TestParamInfo<FramingCase>& aInfo) {
    return std::string(aInfo.param.name_);
  });

// Guards against fields that are not checked with the head, such as a key, but
// come into force behind the body.
TEST(MessageReader, TrailersAreNoHeaderFields)
{
  RequestReader reader(kHeaderLimit, kBodyLimit);
  auto bytes = kChunkedHead + "1\r\nx\r\n0\r\nX-Late: y\r\n\r\n";
  EXPECT_FALSE(reader.Put(&bytes));
  ASSERT_TRUE(reader.is_done());
  EXPECT_EQ(FindField(reader.Head().fields_, "X-Late"), nullptr);
}

TEST(MessageReader, BodyTakesNoMoreMemoryThanItsStatedLength)
{
  RequestReader reader(kHeaderLimit, 100'000);
  std::string bytes = "POST /a HTTP/1.1\r\nContent-Length: 90000\r\n\r\n";
  EXPECT_FALSE(reader.Put(&bytes));
  EXPECT_LT(reader.BodyMemory(), 100U);
  for (int i = 0; i < 89; ++i) {
    bytes = std::string(1000, 'x');
    const auto before = reader.BodyMemory();
    const auto growth = reader.BodyGrowth(1000);
    EXPECT_FALSE(reader.Put(&bytes));
    EXPECT_EQ(reader.BodyMemory(), before + growth);
    EXPECT_LE(reader.BodyMemory(), 90'000U);
  }
}

RC_GTEST_PROP(MessageReader, AnyCutGivesTheSameMessage, ())
{
  const std::string whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                            "X: y\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
  AnswerReader reader(kHeaderLimit, kBodyLimit);
  std::string buffer;
  std::string body;
  std::size_t at = 0;
  while (at < whole.size()) {
    const auto length = *rc::gen::inRange<std::size_t>(1, 40);
    buffer += whole.substr(at, length);
    at += length;
    RC_ASSERT(!reader.Put(&buffer));
    body += reader.TakeBody();
  }
  RC_ASSERT(reader.is_done());
  RC_ASSERT(body == "abcdefg");
}

} // namespace
} // namespace burdockring
