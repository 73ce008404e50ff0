#ifndef BURDOCKRING_PROCESS_SHARING_COST_ESTIMATOR_H
#define BURDOCKRING_PROCESS_SHARING_COST_ESTIMATOR_H

#include "base/ids.h"

#include <map>
#include <optional>

namespace burdockring {

/// Estimates the cost of a request in tokens: the account's moving average, or
/// else that of all accounts. Client hints are rough and may be deliberately
/// wrong, so they are used only until the first request has ended and are
/// clamped to a narrow range.
class CostEstimator
{
  static constexpr double kDefaultTokens = 256.0;
  static constexpr double kMinHintTokens = 64.0;
  static constexpr double kMaxHintTokens = 512.0;
  static constexpr double kSmoothingFactor = 0.2;

  std::map<AccountId, double> meanByAccount_;
  std::optional<double> mean_;

public:
  [[nodiscard]] auto Estimate(AccountId aAccount,
                              std::optional<double> aHintTokens) const
    -> double;
  /// Adds the cost of a request that ended to the averages.
  auto AddCostSample(AccountId aAccount, double aTokens) -> void;
};

} // namespace burdockring

#endif
