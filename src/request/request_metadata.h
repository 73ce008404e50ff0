#ifndef BURDOCKRING_REQUEST_REQUEST_METADATA_H
#define BURDOCKRING_REQUEST_REQUEST_METADATA_H

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockring {

/// A part of a prompt that requests may share. An engine caches a part only
/// together with all parts before it.
struct PromptPart
{
  std::uint64_t id_ = 0;
  int tokens_ = 0;
};

/// Request metadata decoded from the caller's header fields.
struct RequestMetadata
{
  /// The caller's id of this attempt, which every log line carries.
  std::string attemptId_;
  /// API key of a client account, or empty.
  std::string key_;
  /// Remaining time that the caller waits, if given.
  std::optional<Duration> patience_;
  int promptTokens_ = 0;
  int maxOutputTokens_ = 0;
  /// The caller's estimate of the output length; often far off.
  std::optional<int> outputTokensHint_;
  std::vector<PromptPart> parts_;
  /// The last event that the caller has received.
  std::optional<std::uint64_t> lastEvent_;
};

/// State of a target that it reports along with a response.
struct TargetNotice
{
  /// Whether the target is shutting down and must get no more requests.
  bool isLeaving_ = false;
  /// How long the target asks this router to send no requests; zero if it
  /// accepts them.
  Duration pauseDuration_{};
};

/// Response metadata decoded from the target's header fields.
struct ResponseMetadata
{
  /// Id of the attempt that the response belongs to, or empty.
  std::string attemptId_;
  /// Whether the response carries the target's signature.
  bool isSigned_ = false;
  /// Whether the target reports that it did not run the request.
  bool notRun_ = false;
  /// Whether the address now belongs to another target.
  bool isFromOtherTarget_ = false;
  /// Whether the status tells a caller that the request did not run.
  bool impliesNotRun_ = false;
  /// Whether the body has a content encoding, which targets never use.
  bool isEncoded_ = false;
  TargetNotice notice_;
};

} // namespace burdockring

#endif
