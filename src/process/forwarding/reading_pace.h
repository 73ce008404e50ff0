#ifndef BURDOCKRING_PROCESS_FORWARDING_READING_PACE_H
#define BURDOCKRING_PROCESS_FORWARDING_READING_PACE_H

#include "base/time.h"

#include <optional>

namespace burdockring {

/// How soon first events of one service's engines come: the time to read a
/// prompt token beside the tokens that are generated, and the time that a first
/// event takes beside the reading. The first starts from what the pool is said
/// to give; both are then medians of what first events show.
///
/// The median, as many samples are off: some prompts were kept after all, and
/// some engines were busy with work that is not known of.
///
/// Load pattern: engines of any speed. Wrong where two kinds of engines in one
/// service differ by far; those are told apart by TargetLoad.
class PrefillEstimator
{
  /// Where nothing is known: reading of engines of a middle size.
  static constexpr double kDefaultMsPerToken = 1.0 / 36.0;
  /// How far a sample moves the estimate.
  static constexpr double kStepFraction = 0.03;
  /// Bounds of the estimate, in milliseconds for a token: of engines that read
  /// 500 tokens in a millisecond, and 2.
  static constexpr double kMinMsPerToken = 0.002;
  static constexpr double kMaxMsPerToken = 0.5;
  /// The start of the median of what stands to be read, in tokens.
  static constexpr double kDefaultMedianTokens = 2000;

  /// Time of a first event beside the reading where nothing is known, and its
  /// bounds, in milliseconds.
  static constexpr double kDefaultOverheadMs = 25;
  static constexpr double kMinOverheadMs = 2;
  static constexpr double kMaxOverheadMs = 1000;

  double initialMsPerToken_ = kDefaultMsPerToken;
  double msPerToken_ = kDefaultMsPerToken;
  double overheadMs_ = kDefaultOverheadMs;
  /// Long reading tells the time of a token, short reading that of the first
  /// event; this parts them.
  double medianTokens_ = kDefaultMedianTokens;

  static auto StepTowards(double aSample, double* aEstimate) -> void;

public:
  /// The engines together give so many tokens a second, read or generated;
  /// a changed number of engines keeps what was learned.
  auto SetInitialRate(double aTokensPerSecond, int aEngines) -> void;
  /// A first event came so long after its request was sent, behind so many
  /// tokens to read, its own among them. Gives the time for a token that it
  /// shows, in milliseconds, where much had to be read.
  auto AddSample(int aTokens, Duration aTime) -> std::optional<double>;
  /// Time to read a token, in milliseconds.
  [[nodiscard]] auto MsPerToken() const -> double;
  /// Time from a request's sending to its first event beside the reading.
  [[nodiscard]] auto FirstEventOverhead() const -> Duration;
  [[nodiscard]] auto PrefillDuration(double aTokens) const -> Duration;
};

} // namespace burdockring

#endif
