#include "connection/message_reader.h"

#include "support/broken_answers.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

constexpr std::uint32_t kHeaderLimit = 4096;
constexpr std::uint64_t kBodyLimit = 100;

/// Puts the bytes in pieces of this size until there is an error or an end.
auto PutInPieces(AnswerReader* aReader,
                 const std::string& aBytes,
                 std::size_t aPiece) -> boost::beast::error_code
{
  std::string buffer;
  for (std::size_t at = 0; at < aBytes.size() && !aReader->is_done();
       at += aPiece) {
    buffer += aBytes.substr(at, aPiece);
    if (const auto error = aReader->Put(&buffer)) {
      return error;
    }
  }
  return {};
}

class BrokenAnswerTest : public testing::TestWithParam<BrokenAnswer>
{
};

// Guards against answers that reach callers though they are none, with a wrong
// status, line of the head or body.
TEST_P(BrokenAnswerTest, IsAnErrorBeforeTheConnectionEnds)
{
  const auto& bytes = GetParam().bytes_;
  for (const auto piece :
       { bytes.size(), std::size_t{ 7 }, std::size_t{ 1 } }) {
    AnswerReader reader(kHeaderLimit, kBodyLimit);
    EXPECT_TRUE(PutInPieces(&reader, bytes, piece)) << piece;
  }
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  BrokenAnswerTest,
  testing::ValuesIn(AllBrokenAnswers("X-Any: thing\r\n")),
  [](const testing::TestParamInfo<BrokenAnswer>& aInfo) {
    return aInfo.param.name_;
  });

struct SoundAnswer
{
  const char* name_;
  std::string bytes_;
};

auto operator<<(std::ostream& aStream, const SoundAnswer& aAnswer)
  -> std::ostream&
{
  return aStream << aAnswer.name_;
}

class SoundAnswerTest : public testing::TestWithParam<SoundAnswer>
{
};

// Guards against checks that refuse unusual answers, which are allowed.
TEST_P(SoundAnswerTest, IsRead)
{
  const auto& bytes = GetParam().bytes_;
  for (const auto piece :
       { bytes.size(), std::size_t{ 7 }, std::size_t{ 1 } }) {
    AnswerReader reader(kHeaderLimit, kBodyLimit);
    EXPECT_FALSE(PutInPieces(&reader, bytes, piece)) << piece;
    EXPECT_FALSE(reader.PutEnd());
    EXPECT_TRUE(reader.is_done());
    EXPECT_EQ(reader.TakeBody(), "whole");
  }
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  SoundAnswerTest,
  testing::Values(
    SoundAnswer{ "Usual", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" },
    SoundAnswer{ "WithoutReason",
                 "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole" },
    SoundAnswer{ "UnusualStatus",
                 "HTTP/1.1 599 Odd\r\nContent-Length: 5\r\n\r\nwhole" },
    SoundAnswer{ "WithoutLength", "HTTP/1.1 200 OK\r\n\r\nwhole" },
    SoundAnswer{ "OlderVersion", "HTTP/1.0 200 OK\r\n\r\nwhole" },
    SoundAnswer{ "SameLengthTwice", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                    "Content-Length: 5\r\n\r\nwhole" },
    SoundAnswer{ "Chunks",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n" },
    SoundAnswer{ "ChunksInCapitals",
                 "HTTP/1.1 200 OK\r\ntransfer-encoding:\tChunked \r\n\r\n"
                 "5\r\nwhole\r\n0\r\n\r\n" },
    SoundAnswer{ "ChunksWithExtensionAndTrailer",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "5;a=b\r\nwhole\r\n000;c\r\nX: y\r\n\r\n" },
    SoundAnswer{ "HighBytesInValue",
                 "HTTP/1.1 200 OK\r\nX: \x80\xff\r\nContent-Length: 5\r\n\r\n"
                 "whole" },
    SoundAnswer{ "EmptyValue",
                 "HTTP/1.1 200 OK\r\nX:\r\nContent-Length: 5\r\n\r\nwhole" }),
  [](const testing::TestParamInfo<SoundAnswer>& aInfo) {
    return std::string(aInfo.param.name_);
  });

} // namespace
} // namespace burdockring
