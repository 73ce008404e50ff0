#include "request/response.h"

#include <array>

namespace burdockring {
namespace {

struct RunStateRow
{
  RunState state_;
  std::string_view name_;
};

constexpr std::array kRunStateTable{
  RunStateRow{ RunState::kWhole, "whole" },
  RunStateRow{ RunState::kNotRun, "not_run" },
  RunStateRow{ RunState::kUnknown, "unknown" },
  RunStateRow{ RunState::kRunning, "running" },
};

constexpr auto kNotRun = RunState::kNotRun;
constexpr auto kUnknown = RunState::kUnknown;

constexpr std::array kResponseTable{
  ResponseRow{ ResponseCode::kNone, "none", 200, RunState::kWhole },
  ResponseRow{ ResponseCode::kBadRequest, "bad_request", 400, kNotRun },
  ResponseRow{ ResponseCode::kUnauthorized, "unauthorized", 401, kNotRun },
  ResponseRow{ ResponseCode::kUnknownService, "unknown_service", 404, kNotRun },
  ResponseRow{ ResponseCode::kQueueFull, "queue_full", 429, kNotRun },
  ResponseRow{ ResponseCode::kQueueTimeout, "queue_timeout", 503, kNotRun },
  ResponseRow{ ResponseCode::kNoCapacity, "no_capacity", 503, kNotRun },
  ResponseRow{ ResponseCode::kStopping, "stopping", 503, kNotRun },
  ResponseRow{ ResponseCode::kNotReady, "not_ready", 503, kNotRun },
  ResponseRow{ ResponseCode::kKeyTooOld, "key_too_old", 409, kNotRun },
  ResponseRow{ ResponseCode::kKeyMalformed, "key_malformed", 400, kNotRun },
  ResponseRow{ ResponseCode::kLogUnavailable, "log_unavailable", 503, kNotRun },
  ResponseRow{ ResponseCode::kKeyRunning, "key_running", 409,
               RunState::kRunning },
  ResponseRow{ ResponseCode::kKeyOutcomeUnknown, "key_outcome_unknown", 409,
               kUnknown },
  ResponseRow{ ResponseCode::kTargetLost, "target_lost", 502, kUnknown },
  ResponseRow{ ResponseCode::kTargetSilent, "target_silent", 504, kUnknown },
  ResponseRow{ ResponseCode::kAttemptsExhausted, "attempts_exhausted", 502,
               kUnknown },
  ResponseRow{ ResponseCode::kCallerGone, "caller_gone", 499, kUnknown },
};

} // namespace

auto RunStateName(RunState aState) -> std::string_view
{
  for (const auto& row : kRunStateTable) {
    if (row.state_ == aState) {
      return row.name_;
    }
  }
  return "unknown";
}

auto FindResponseRow(ResponseCode aCode) -> const ResponseRow&
{
  for (const auto& row : kResponseTable) {
    if (row.code_ == aCode) {
      return row;
    }
  }
  return kResponseTable.front();
}

auto MakeResponse(ResponseCode aCode, Duration aRetryAfter) -> Response
{
  return { FindResponseRow(aCode).runState_, aCode, aRetryAfter, 0, {} };
}

} // namespace burdockring
