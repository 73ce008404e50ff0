#ifndef BURDOCKRING_TESTS_SUPPORT_STREAM_ANSWERS_H
#define BURDOCKRING_TESTS_SUPPORT_STREAM_ANSWERS_H

#include "support/forward_process.h"

#include <atomic>
#include <memory>
#include <string>

namespace burdockring {

inline const std::string kSigned =
  "X-Attempt-Id: a1\r\nX-Response-Stamp: sig\r\n";
inline const std::string kUnframedStream =
  "HTTP/1.1 200 OK\r\n" + kSigned + "Content-Type: text/event-stream\r\n\r\n";
inline const std::string kChunkedStream =
  "HTTP/1.1 200 OK\r\n" + kSigned +
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string kFirstEvent = "id: 1\ndata: a\n\n";
inline const std::string kCut = "id: 2\nda";
inline const std::string kSecondEvent = "id: 2\ndata: b\n\n";

/// Targets whose first answer of all differs from the others.
class StreamAnswerTest : public ForwardProcess
{
protected:
  /// The first answer of all is aFirst, all others aLater.
  auto SetAnswers(const ScriptedAnswer& aFirst, const ScriptedAnswer& aLater)
    -> void
  {
    auto calls = std::make_shared<std::atomic<int>>(0);
    SetScripts(
      [=](const std::string&) { return (*calls)++ == 0 ? aFirst : aLater; });
  }

  static auto IsComplete(const std::string& aAnswer) -> bool
  {
    return aAnswer.ends_with("\r\n0\r\n\r\n");
  }

  static auto Has(const std::string& aAnswer, const std::string& aText) -> bool
  {
    return aAnswer.find(aText) != std::string::npos;
  }
};

} // namespace burdockring

#endif
