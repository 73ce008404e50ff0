#ifndef BURDOCKRING_PROCESS_PLACEMENT_PREFILL_ESTIMATOR_H
#define BURDOCKRING_PROCESS_PLACEMENT_PREFILL_ESTIMATOR_H

#include "base/time.h"

#include <optional>

namespace burdockring {

/// Estimates the time to the first event of one service's engines from two
/// values: the prefill time per prompt token, measured while the engines also
/// generate tokens, and a constant overhead per request. The first starts at
/// the configured rate of the pool. Both then track medians of the observed
/// first events.
///
/// Medians are used because many samples are outliers: some prompts were cached
/// after all, and some engines were busy with work unknown to the router.
///
/// Load pattern: engines of any speed. Inaccurate if a service has two kinds of
/// engines with very different speeds; TargetLoad tells those apart.
class PrefillEstimator
{
  /// Default without a configured rate: the prefill speed of engines of medium
  /// size.
  static constexpr double kDefaultMsPerToken = 1.0 / 36.0;
  /// Relative step of an estimate per sample.
  static constexpr double kStepFraction = 0.03;
  /// Bounds of the estimate, in milliseconds per token: from engines that
  /// prefill 500 tokens per millisecond to engines that prefill 2.
  static constexpr double kMinMsPerToken = 0.002;
  static constexpr double kMaxMsPerToken = 0.5;
  /// Initial value of the median number of tokens to prefill.
  static constexpr double kDefaultMedianTokens = 2000;

  /// Default and bounds of the overhead of a first event, in milliseconds.
  static constexpr double kDefaultOverheadMs = 25;
  static constexpr double kMinOverheadMs = 2;
  static constexpr double kMaxOverheadMs = 1000;

  double initialMsPerToken_ = kDefaultMsPerToken;
  double msPerToken_ = kDefaultMsPerToken;
  double overheadMs_ = kDefaultOverheadMs;
  /// Samples above the median number of tokens update the time per token, those
  /// below it update the overhead.
  double medianTokens_ = kDefaultMedianTokens;

  static auto StepTowards(double aSample, double* aEstimate) -> void;

public:
  /// Sets the configured rate of all engines together, in tokens per second,
  /// prefilled or generated. A changed number of engines keeps the learned
  /// correction.
  auto SetInitialRate(double aTokensPerSecond, int aEngines) -> void;
  /// Records that a first event came aTime after its request was sent, with
  /// aTokens to prefill including its own. Returns the time per token that the
  /// sample shows, in milliseconds, if the prefill was long enough to tell.
  auto AddSample(int aTokens, Duration aTime) -> std::optional<double>;
  /// Estimated prefill time per token, in milliseconds.
  [[nodiscard]] auto MsPerToken() const -> double;
  /// Estimated time from sending a request to its first event, without the
  /// prefill.
  [[nodiscard]] auto FirstEventOverhead() const -> Duration;
  [[nodiscard]] auto PrefillDuration(double aTokens) const -> Duration;
};

} // namespace burdockring

#endif
