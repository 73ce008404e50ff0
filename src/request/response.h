#ifndef BURDOCKRING_REQUEST_RESPONSE_H
#define BURDOCKRING_REQUEST_RESPONSE_H

#include "base/time.h"

#include <string>
#include <string_view>

namespace burdockring {

/// Whether and how a request ran, as reported to its caller.
enum class RunState
{
  kWhole,
  kNotRun,
  kUnknown,
  kRunning,
};

/// The name used in responses and logs, such as "not_run".
auto RunStateName(RunState aState) -> std::string_view;

/// Reasons for an unsuccessful response. Their printed names are stable.
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

/// Properties of a response code.
struct ResponseRow
{
  ResponseCode code_;
  std::string_view name_;
  int httpStatus_;
  RunState runState_;
};

/// Returns the printed name, HTTP status and run state of a code.
auto FindResponseRow(ResponseCode aCode) -> const ResponseRow&;

/// The final response to a request.
struct Response
{
  RunState runState_ = RunState::kWhole;
  ResponseCode code_ = ResponseCode::kNone;
  /// Delay before a retry; zero means that a retry would not help.
  Duration retryAfter_{};
  /// Status and body of the first run, for a repeat of a finished request with
  /// the same idempotency key.
  int replayedStatus_ = 0;
  std::string replayedBody_;
};

/// Makes a response with the code's default run state.
auto MakeResponse(ResponseCode aCode, Duration aRetryAfter) -> Response;

} // namespace burdockring

#endif
