#ifndef BURDOCKRING_TESTS_SUPPORT_BROKEN_ANSWERS_H
#define BURDOCKRING_TESTS_SUPPORT_BROKEN_ANSWERS_H

#include <initializer_list>
#include <ostream>
#include <string>
#include <vector>

namespace burdockring {

/// Bytes that are no answer in HTTP/1, though they look like one.
struct BrokenAnswer
{
  std::string name_;
  std::string bytes_;
};

inline auto operator<<(std::ostream& aStream, const BrokenAnswer& aAnswer)
  -> std::ostream&
{
  return aStream << aAnswer.name_;
}

using BrokenAnswers = std::vector<BrokenAnswer>;

/// Statuses that RFC 9110 gives no meaning, and a switch of protocols that
/// nobody asked for. aFields stand in each head.
inline auto BrokenStatuses(const std::string& aFields) -> BrokenAnswers
{
  BrokenAnswers answers;
  for (const std::string status : { "000", "001", "099", "101", "600", "700",
                                    "999", "20", "2000", "2x0", "-20" }) {
    answers.push_back({ "Status" +
                          std::string(status[0] == '-' ? "Minus" : "") +
                          status.substr(status[0] == '-' ? 1 : 0),
                        "HTTP/1.1 " + status + " OK\r\n" + aFields +
                          "Content-Length: 5\r\n\r\nwrong" });
  }
  return answers;
}

/// Transfer codings that the router does not know, or that leave the end of
/// the body open.
inline auto BrokenCodings(const std::string& aFields) -> BrokenAnswers
{
  const std::string chunks = "5\r\nwrong\r\n0\r\n\r\n";
  const auto answer = [&](const std::string& aName, const std::string& aCodings,
                          const std::string& aBody) {
    return BrokenAnswer{ aName, "HTTP/1.1 200 OK\r\n" + aFields + aCodings +
                                  "\r\n" + aBody };
  };
  const std::string name = "Transfer-Encoding: ";
  return {
    answer("Gzip", name + "gzip\r\n", "wrong"),
    answer("GzipInChunks", name + "gzip, chunked\r\n", chunks),
    answer("GzipInChunksByTwoFields", name + "gzip\r\n" + name + "chunked\r\n",
           chunks),
    answer("ChunksInGzip", name + "chunked, gzip\r\n", chunks),
    answer("ChunksInGzipByTwoFields", name + "chunked\r\n" + name + "gzip\r\n",
           chunks),
    answer("ChunksInChunks", name + "chunked, chunked\r\n", chunks),
    answer("ChunksInChunksByTwoFields",
           name + "chunked\r\n" + name + "chunked\r\n", chunks),
    answer("Identity", name + "identity\r\n", "wrong"),
    answer("IdentityAndLength", name + "identity\r\nContent-Length: 5\r\n",
           "wrong"),
    answer("LengthAndGzip", "Content-Length: 5\r\n" + name + "gzip\r\n",
           "wrong"),
    answer("UnknownCoding", name + "x-other\r\n", "wrong"),
    answer("NoCoding", name + "\r\n", "wrong"),
    answer("ChunksWithParameter", name + "chunked;q=1\r\n", chunks),
    answer("LengthAndChunks", "Content-Length: 5\r\n" + name + "chunked\r\n",
           chunks),
    answer("ChunksAndLength", name + "chunked\r\nContent-Length: 5\r\n",
           chunks),
  };
}

/// Lines of a head that are no fields, each in the middle and last.
inline auto BrokenFields(const std::string& aFields) -> BrokenAnswers
{
  struct Line
  {
    const char* name_;
    std::string line_;
  };
  using namespace std::string_literals;
  const std::vector<Line> lines{
    { "BlankInName", "X Y: z"s },
    { "BlankBehindName", "XY : z"s },
    { "BlankBeforeName", " X: z"s },
    { "TabInName", "X\tY: z"s },
    { "ControlInName", "X\x01Y: z"s },
    { "NulInName", "X\0Y: z"s },
    { "DeleteInName", "X\x7fY: z"s },
    { "HighByteInName", "X\x80Y: z"s },
    { "ParenthesisInName", "X(Y: z"s },
    { "ReturnInName", "X\rY: z"s },
    { "NewlineInName", "X\nY: z"s },
    { "EmptyName", ": z"s },
    { "NoColon", "XY"s },
    { "ControlInValue", "X: y\x01z"s },
    { "NulInValue", "X: y\0z"s },
    { "DeleteInValue", "X: y\x7fz"s },
    { "ReturnInValue", "X: y\rz"s },
    { "NewlineInValue", "X: y\nz"s },
  };
  const std::string length = "Content-Length: 5\r\n";
  BrokenAnswers answers;
  for (const auto& line : lines) {
    // A line that begins with a blank continues the field before it.
    if (line.line_[0] == ' ') {
      answers.push_back({ std::string(line.name_) + "First",
                          "HTTP/1.1 200 OK\r\n" + line.line_ + "\r\n" +
                            aFields + length + "\r\nwrong" });
      continue;
    }
    answers.push_back({ std::string(line.name_) + "Within",
                        "HTTP/1.1 200 OK\r\n" + aFields + line.line_ + "\r\n" +
                          length + "\r\nwrong" });
    answers.push_back({ std::string(line.name_) + "Last",
                        "HTTP/1.1 200 OK\r\n" + aFields + length + line.line_ +
                          "\r\n\r\nwrong" });
  }
  answers.push_back({ "ControlInReason", "HTTP/1.1 200 O\x01K\r\n" + aFields +
                                           length + "\r\nwrong" });
  answers.push_back(
    { "Version", "HTTP/2.0 200 OK\r\n" + aFields + length + "\r\nwrong" });
  return answers;
}

/// Lengths, and sizes of chunks, that are none.
inline auto BrokenLengths(const std::string& aFields) -> BrokenAnswers
{
  BrokenAnswers answers;
  const auto add = [&](const std::string& aName, const std::string& aLengths) {
    answers.push_back(
      { aName, "HTTP/1.1 200 OK\r\n" + aFields + aLengths + "\r\nwrong" });
  };
  const std::string name = "Content-Length: ";
  add("SignedLength", name + "+5\r\n");
  add("NegativeLength", name + "-5\r\n");
  add("HexadecimalLength", name + "0x5\r\n");
  add("TooLargeLength", name + "99999999999999999999\r\n");
  add("EmptyLength", name + "\r\n");
  add("TwoLengths", name + "5\r\n" + name + "6\r\n");
  add("ListOfLengths", name + "5, 6\r\n");
  add("TwoNumbers", name + "5 5\r\n");
  const auto addChunks = [&](const std::string& aName,
                             const std::string& aBody) {
    answers.push_back({ aName, "HTTP/1.1 200 OK\r\n" + aFields +
                                 "Transfer-Encoding: chunked\r\n\r\n" +
                                 aBody });
  };
  addChunks("SizeIsNoNumber", "g\r\nwrong\r\n0\r\n\r\n");
  addChunks("NegativeSize", "-5\r\nwrong\r\n0\r\n\r\n");
  addChunks("TooLargeSize", "fffffffffffffffff\r\nwrong\r\n0\r\n\r\n");
  addChunks("TooSmallSize", "3\r\nwrong\r\n0\r\n\r\n");
  addChunks("ExtensionWithoutSemicolon", "5 a=b\r\nwrong\r\n0\r\n\r\n");
  addChunks("BrokenTrailer", "5\r\nwrong\r\n0\r\nX Y: z\r\n\r\n");
  return answers;
}

/// All of these.
inline auto AllBrokenAnswers(const std::string& aFields) -> BrokenAnswers
{
  BrokenAnswers all;
  for (const auto& part : { BrokenStatuses(aFields), BrokenCodings(aFields),
                            BrokenFields(aFields), BrokenLengths(aFields) }) {
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

} // namespace burdockring

#endif
