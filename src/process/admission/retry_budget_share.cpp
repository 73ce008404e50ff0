#include "process/admission/retry_budget_share.h"

#include <algorithm>

namespace burdockring {

auto RetryBudgetShare::DropOldSteps(Instant aNow, Duration aWindow) -> void
{
  const auto oldest = (aNow - aWindow) / kStep - 1;
  steps_.erase(steps_.begin(), steps_.lower_bound(oldest));
}

auto RetryBudgetShare::CountRequest(Instant aNow) -> void
{
  ++steps_[aNow / kStep].requests_;
  if (steps_.size() > kMaxSteps) {
    steps_.erase(steps_.begin());
  }
}

auto RetryBudgetShare::TrySpend(const RetryBudgetLimits& aBounds,
                                int aRouters,
                                Instant aNow) -> bool
{
  DropOldSteps(aNow, aBounds.window_);
  Counts sum;
  for (const auto& step : steps_) {
    sum.requests_ += step.second.requests_;
    sum.retries_ += step.second.retries_;
  }
  const double allowed =
    kUsableFraction * (aBounds.ratio_ * static_cast<double>(sum.requests_) +
                       aBounds.slack_ / std::max(1, aRouters));
  if (static_cast<double>(sum.retries_ + 1) > allowed) {
    return false;
  }
  ++steps_[aNow / kStep].retries_;
  return true;
}

} // namespace burdockring
