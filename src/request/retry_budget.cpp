#include "request/retry_budget.h"

#include <algorithm>

namespace burdockring {

auto RetryBudget::CountRequest() -> void
{
  availableRetries_ =
    std::min(kMaxAvailableRetries, availableRetries_ + kRetriesPerFirstAttempt);
}

auto RetryBudget::TrySpend() -> bool
{
  if (availableRetries_ < 1.0) {
    return false;
  }
  availableRetries_ -= 1.0;
  return true;
}

auto RetryBudget::AvailableRetries() const -> double
{
  return availableRetries_;
}

} // namespace burdockring
