#include "process/admission/admission.h"

#include <array>
#include <cstddef>

namespace burdockring {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/// Retry-After where any other router can serve the request.
constexpr Duration kOtherRouterRetryAfter = 50ms;

constexpr std::array kAdmissionTable{
  AdmissionRow{ AdmissionResult::kAdmitted, "taken", 0, 0us },
  AdmissionRow{ AdmissionResult::kNoConfiguration, "no_configuration",
                kUnavailable, kDefaultRetryAfter },
  AdmissionRow{ AdmissionResult::kStaleConfiguration, "stale_configuration",
                kUnavailable, kDefaultRetryAfter },
  AdmissionRow{ AdmissionResult::kNoRoute, "no_route", kNotFound, 0us },
  AdmissionRow{ AdmissionResult::kUnknownKey, "unknown_key", kUnauthorized,
                0us },
  AdmissionRow{ AdmissionResult::kQuarantined, "quarantined", kUnavailable,
                0us },
  AdmissionRow{ AdmissionResult::kOverloaded, "overloaded", kUnavailable,
                kOtherRouterRetryAfter },
  AdmissionRow{ AdmissionResult::kStopping, "stopping", kUnavailable,
                kOtherRouterRetryAfter },
};

} // namespace

auto AdmissionRowOf(AdmissionResult aResult) -> const AdmissionRow&
{
  return kAdmissionTable.at(static_cast<std::size_t>(aResult));
}

} // namespace burdockring
