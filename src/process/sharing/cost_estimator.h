#ifndef BURDOCKRING_PROCESS_SHARING_COST_ESTIMATOR_H
#define BURDOCKRING_PROCESS_SHARING_COST_ESTIMATOR_H

#include "base/ids.h"

#include <map>
#include <optional>

namespace burdockring {

/// Estimates what a request will cost, in tokens. Hints are rough and may be
/// wrong on purpose: they count only until anything has ended, and within
/// narrow bounds.
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
  /// Takes the cost of a request that ended.
  auto AddCostSample(AccountId aAccount, double aTokens) -> void;
};

} // namespace burdockring

#endif
