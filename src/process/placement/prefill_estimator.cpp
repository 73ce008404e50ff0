#include "process/placement/prefill_estimator.h"

#include <algorithm>

namespace burdockring {
namespace {

constexpr double kMsPerSecond = 1000.0;

auto ToMs(Duration aTime) -> double
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

auto PrefillEstimator::SetInitialRate(double aTokensPerSecond, int aEngines)
  -> void
{
  if (aTokensPerSecond <= 0 || aEngines <= 0) {
    return;
  }
  const double initial = std::clamp(kMsPerSecond * aEngines / aTokensPerSecond,
                                    kMinMsPerToken, kMaxMsPerToken);
  const double correction = msPerToken_ / initialMsPerToken_;
  initialMsPerToken_ = initial;
  msPerToken_ = initial * correction;
}

auto PrefillEstimator::StepTowards(double aSample, double* aEstimate) -> void
{
  *aEstimate *= aSample > *aEstimate ? 1 + kStepFraction : 1 - kStepFraction;
}

auto PrefillEstimator::AddSample(int aTokens, Duration aTime)
  -> std::optional<double>
{
  const bool isLongPrefill = aTokens > medianTokens_;
  StepTowards(aTokens, &medianTokens_);
  if (!isLongPrefill) {
    StepTowards(ToMs(aTime) - aTokens * msPerToken_, &overheadMs_);
    overheadMs_ = std::clamp(overheadMs_, kMinOverheadMs, kMaxOverheadMs);
    return std::nullopt;
  }
  const double sample = std::max(0.0, ToMs(aTime) - overheadMs_) / aTokens;
  StepTowards(sample, &msPerToken_);
  msPerToken_ = std::clamp(msPerToken_, kMinMsPerToken, kMaxMsPerToken);
  return sample;
}

auto PrefillEstimator::MsPerToken() const -> double
{
  return msPerToken_;
}

auto PrefillEstimator::FirstEventOverhead() const -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(overheadMs_));
}

auto PrefillEstimator::PrefillDuration(double aTokens) const -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aTokens * msPerToken_));
}

} // namespace burdockring
