#include "process/sharing/cost_estimator.h"

#include <algorithm>

namespace burdockring {

auto CostEstimator::Estimate(AccountId aAccount,
                             std::optional<double> aHintTokens) const -> double
{
  const auto found = meanByAccount_.find(aAccount);
  if (found != meanByAccount_.end()) {
    return found->second;
  }
  if (mean_) {
    return *mean_;
  }
  return std::clamp(aHintTokens.value_or(kDefaultTokens), kMinHintTokens,
                    kMaxHintTokens);
}

auto CostEstimator::AddCostSample(AccountId aAccount, double aTokens) -> void
{
  mean_ = mean_.value_or(aTokens);
  *mean_ += kSmoothingFactor * (aTokens - *mean_);
  const auto inserted = meanByAccount_.emplace(aAccount, aTokens);
  if (!inserted.second) {
    auto& mean = inserted.first->second;
    mean += kSmoothingFactor * (aTokens - mean);
  }
}

} // namespace burdockring
