#ifndef BURDOCKRING_PROCESS_ADMISSION_RETRY_BUDGET_SHARE_H
#define BURDOCKRING_PROCESS_ADMISSION_RETRY_BUDGET_SHARE_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace burdockring {

/// Retry budget of the whole fleet for one service: the attempts allowed in any
/// window beyond the first attempt of each request.
struct RetryBudgetLimits
{
  /// Retries per request in the window.
  double ratio_ = 0.2;
  /// Additional retries per window, independent of the number of requests.
  double slack_ = 0;
  Duration window_ = 10s;
};

/// This router's share of the fleet's retry budget for one service. The ratio
/// applies to the router's own requests. The slack is divided evenly among all
/// listed routers, so that the shares add up to less than the whole budget
/// while routers join and leave.
class RetryBudgetShare
{
  /// Fraction of the budget that is used. The rest covers windows that are not
  /// aligned with whole steps, and routers that joined unnoticed.
  static constexpr double kUsableFraction = 0.75;
  static constexpr Duration kStep = 1s;
  /// Upper bound on stored steps, whatever the window.
  static constexpr std::size_t kMaxSteps = 120;

  struct Counts
  {
    std::int64_t requests_ = 0;
    std::int64_t retries_ = 0;
  };

  std::map<std::int64_t, Counts> steps_;

  auto DropOldSteps(Instant aNow, Duration aWindow) -> void;

public:
  auto CountRequest(Instant aNow) -> void;
  /// Takes one retry out of the budget; returns false if the budget is spent.
  auto TrySpend(const RetryBudgetLimits& aBounds, int aRouters, Instant aNow)
    -> bool;
};

} // namespace burdockring

#endif
