#ifndef BURDOCKRING_REQUEST_RETRY_BUDGET_H
#define BURDOCKRING_REQUEST_RETRY_BUDGET_H

namespace burdockring {

/// Bounds retries to a fixed share of first attempts, so that an outage can't
/// multiply the load on what is left.
class RetryBudget
{
  static constexpr double kRetriesPerFirstAttempt = 0.1;
  static constexpr double kMaxAvailableRetries = 20.0;

  double availableRetries_ = kMaxAvailableRetries;

public:
  /// Counts a first attempt, which earns a share of a retry.
  auto CountRequest() -> void;
  /// Takes one retry; false where the budget is spent.
  auto TrySpend() -> bool;
  [[nodiscard]] auto AvailableRetries() const -> double;
};

} // namespace burdockring

#endif
