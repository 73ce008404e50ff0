#ifndef BURDOCKRING_REQUEST_ANSWER_H
#define BURDOCKRING_REQUEST_ANSWER_H

#include "base/time.h"

#include <string>
#include <string_view>

namespace burdockring {

/// What a caller is told of its request's run.
enum class RunState
{
  kWhole,
  kNotRun,
  kUnknown,
  kRunning,
};

/// The printed word, as "not_run".
auto RunStateName(RunState aState) -> std::string_view;

/// Stable reasons of an answer that is not whole.
enum class ResponseCode
{
  kNone,
  kBadRequest,
  kUnauthorized,
  kUnknownService,
  kQueueFull,
  kQueueTimeout,
  kNoCapacity,
  kStopping,
  kNotReady,
  kKeyTooOld,
  kKeyMalformed,
  kLogUnavailable,
  kKeyRunning,
  kKeyOutcomeUnknown,
  kTargetLost,
  kTargetSilent,
  kAttemptsExhausted,
  kCallerGone,
};

/// One row of the table of answers.
struct ResponseRow
{
  ResponseCode code_;
  std::string_view name_;
  int httpStatus_;
  RunState runState_;
};

/// The row of a code: its printed name, HTTP status and run state.
auto FindResponseRow(ResponseCode aCode) -> const ResponseRow&;

/// The last word on a request.
struct Response
{
  RunState runState_ = RunState::kWhole;
  ResponseCode code_ = ResponseCode::kNone;
  /// When to come back; zero says that coming back is of no use.
  Duration retryAfter_{};
  /// For a repeat of a finished keyed request: what the first run gave.
  int replayedStatus_ = 0;
  std::string replayedBody_;
};

/// An answer with the code's own run state.
auto MakeResponse(ResponseCode aCode, Duration aRetryAfter) -> Response;

} // namespace burdockring

#endif
