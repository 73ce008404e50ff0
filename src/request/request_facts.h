#ifndef BURDOCKRING_REQUEST_REQUEST_FACTS_H
#define BURDOCKRING_REQUEST_REQUEST_FACTS_H

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockring {

/// A part of a prompt that requests may share; a part is kept at an engine
/// only behind all parts before it.
struct PromptPart
{
  std::uint64_t id_ = 0;
  int tokens_ = 0;
};

/// What a caller says of its request, decoded from its header.
struct RequestMetadata
{
  /// The caller's id of this attempt; the id in every log line.
  std::string attemptId_;
  /// Key of a client account, or empty.
  std::string key_;
  /// How long the caller waits from now on, if it says so.
  std::optional<Duration> patience_;
  int promptTokens_ = 0;
  int maxOutputTokens_ = 0;
  /// The caller's estimate of the output; often far off.
  std::optional<int> outputTokensHint_;
  std::vector<PromptPart> parts_;
  /// The last event that the caller already has.
  std::optional<std::uint64_t> lastEvent_;
};

/// What a target says of itself beside an answer.
struct TargetNotice
{
  /// Whether it is about to leave, and should get nothing more.
  bool isLeaving_ = false;
  /// How long it wants no requests from this router; zero: it takes them.
  Duration pauseDuration_{};
};

/// What a target says in the header of an answer.
struct ResponseMetadata
{
  /// The request that the answer belongs to, or empty.
  std::string attemptId_;
  /// Whether the answer bears the target's signature.
  bool isSigned_ = false;
  /// Whether the target says that it did not run the request.
  bool notRun_ = false;
  /// Whether another target has the address now.
  bool isFromOtherTarget_ = false;
  /// Whether the body is encoded, which no target does.
  bool isEncoded_ = false;
  TargetNotice notice_;
};

} // namespace burdockring

#endif
