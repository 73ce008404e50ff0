#ifndef BURDOCKRING_PROCESS_FORWARDING_RETRY_ALLOWANCE_H
#define BURDOCKRING_PROCESS_FORWARDING_RETRY_ALLOWANCE_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace burdockring {

/// What the whole fleet may send to a service beyond the first arrival of each
/// request, in any window.
struct RetryBudgetLimits
{
  /// Of the requests in the window.
  double ratio_ = 0.2;
  /// Besides, in requests.
  double slack_ = 0;
  Duration window_ = 10s;
};

/// One router's part of the fleet's retry budget for one service. The ratio
/// applies to its own requests; of the slack it takes an even part among all
/// routers that are listed, so that the parts add up to less than the whole
/// while routers come and go.
class RetryBudgetShare
{
  /// Part of the budget that is spent; the rest is for windows that don't fall
  /// on whole steps and for routers that came unnoticed.
  static constexpr double kUsableFraction = 0.75;
  static constexpr Duration kStep = 1s;
  /// Steps kept at most, whatever the window.
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
  /// Takes one repeat; false where the allowance is spent.
  auto TrySpend(const RetryBudgetLimits& aBounds, int aRouters, Instant aNow)
    -> bool;
};

} // namespace burdockring

#endif
