#ifndef BURDOCKRING_REQUEST_RETRY_BUDGET_H
#define BURDOCKRING_REQUEST_RETRY_BUDGET_H

namespace burdockring {

/// Limits retries to a fixed fraction of first attempts, so that an outage
/// cannot multiply the load on the remaining targets.
class RetryBudget
{
  static constexpr double kRetriesPerFirstAttempt = 0.1;
  static constexpr double kMaxAvailableRetries = 20.0;

  double availableRetries_ = kMaxAvailableRetries;

public:
  /// Counts a first attempt and adds its fraction of a retry to the budget.
  auto CountRequest() -> void;
  /// Takes one retry from the budget; returns false if it is exhausted.
  auto TrySpend() -> bool;
  [[nodiscard]] auto AvailableRetries() const -> double;
};

} // namespace burdockring

#endif
