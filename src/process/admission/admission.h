#ifndef BURDOCKRING_PROCESS_ADMISSION_ADMISSION_H
#define BURDOCKRING_PROCESS_ADMISSION_ADMISSION_H

#include "base/time.h"

#include <string_view>

namespace burdockring {

/// Which requests a router accepts during shutdown. Requests that may not
/// complete before the process exits are rejected.
enum class AdmissionMode
{
  kAll,
  kNoStreams,
  kNone,
};

/// Result of the checks that a request passes before it is queued.
enum class AdmissionResult
{
  kAdmitted,
  kNoConfiguration,
  /// The configuration is too old to reject a key or report a missing route.
  kStaleConfiguration,
  kNoRoute,
  kUnknownKey,
  /// A part of the prompt crashes targets.
  kQuarantined,
  /// This router's CPU is overloaded.
  kOverloaded,
  kStopping,
};

/// Retry-After where no better estimate is known.
constexpr Duration kDefaultRetryAfter = 700ms;

/// Name, status and Retry-After of a rejection on arrival.
struct AdmissionRow
{
  AdmissionResult result_;
  std::string_view name_;
  int status_;
  Duration retryAfter_;
};

auto AdmissionRowOf(AdmissionResult aResult) -> const AdmissionRow&;

} // namespace burdockring

#endif
