#ifndef BURDOCKRING_PROCESS_PLACEMENT_PROMPT_PACER_H
#define BURDOCKRING_PROCESS_PLACEMENT_PROMPT_PACER_H

#include "base/ids.h"
#include "base/time.h"
#include "process/placement/target_load.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace burdockring {

/// Decides how much prompt work an engine gets per time while it runs streams
/// whose route limits the gap between two events.
///
/// An engine reads prompts in chunks between the tokens of its running
/// requests. An event takes its usual time plus the reading in between. So that
/// no gap exceeds the limit, the engine may read for at most the limit less
/// the usual gap in any span as long as the limit. The reading is scheduled
/// virtually, as if the engine read its prompts one after the other; a prompt
/// has room if the span that ends with it stays within that allowance.
///
/// The usual gap, i.e. without reading, is learned for each service as a low
/// quantile of the gaps of this router's own streams. Until then nothing is
/// paced. The time to read a token is learned from the time
/// from one first event of an engine to the next while it reads; unlike the
/// time from sending a prompt, it includes no waiting. Until then it is the
/// estimate of TargetLoad.
///
/// Load pattern: long prompts that keep arriving at engines that also run long
/// streams.
class PromptPacer
{
  /// Quantile of the observed gaps that is the usual gap. Low, as most gaps of
  /// a loaded engine include some reading.
  static constexpr double kUsualQuantile = 0.25;
  /// Relative step of the estimate per sample.
  static constexpr double kStepFraction = 0.03;
  /// Samples before the usual gap is used.
  static constexpr int kMinGapSamples = 20;
  /// Weight of older samples of the reading speed per new sample, and samples
  /// before the speed is used. Single samples scatter by the length of a step.
  static constexpr double kSpeedDecay = 0.98;
  static constexpr int kMinSpeedSamples = 20;
  /// Weight of one prompt in the share of prompts without room, and the share
  /// from which prompts are placed as without pacing.
  static constexpr double kRoomWeight = 0.02;
  static constexpr double kOverloadShare = 0.5;

  /// When an engine reads a prompt, in virtual time.
  struct Reading
  {
    Instant begin_{};
    Instant end_{};
  };

  struct Engine
  {
    /// In order, without overlap.
    std::deque<Reading> readings_;
    /// Runs with a gap limit that this router placed there.
    int limitedRuns_ = 0;
    /// When the first event of a prompt was last observed, and when another
    /// router was last known to have sent a prompt.
    std::optional<Instant> lastFirstEvent_;
    std::optional<Instant> lastPeerPrompt_;
  };

  /// Decaying sums of the time that engines took to read, and of the tokens.
  struct Speed
  {
    double ms_ = 0;
    double tokens_ = 0;
    int samples_ = 0;
  };

  std::map<TargetId, Engine> engines_;
  /// Estimate of the gap between two events without reading.
  struct UsualGap
  {
    double ms_ = 0;
    int samples_ = 0;
  };

  std::map<ServiceId, UsualGap> usualGaps_;
  std::map<ServiceId, Speed> speeds_;
  /// Share of recent prompts of each service for which no engine had room.
  std::map<ServiceId, double> withoutRoom_;

  /// Empty until it is learned.
  [[nodiscard]] auto LearnedGap(ServiceId aService) const
    -> std::optional<Duration>;

public:
  /// Records that a gap between two events of a stream was observed.
  auto LearnGap(ServiceId aService, Duration aLimit, Duration aGap) -> void;
  /// The first event of a prompt of aTokens came. It was sent at aSent, when no
  /// prompt of another router was waiting there; the speed is not learned
  /// beside other routers' prompts, as it is not known when those were read.
  auto OnFirstEvent(ServiceId aService,
                    TargetId aEngine,
                    int aTokens,
                    Instant aSent,
                    Instant aNow) -> void;
  /// Time that the engine takes to read the tokens.
  [[nodiscard]] auto ReadingTime(ServiceId aService,
                                 const TargetLoad& aLoad,
                                 int aTokens) const -> Duration;
  /// How long an engine may read in any span as long as aLimit. Empty if even
  /// an engine that reads nothing exceeds the limit, so that pacing is useless,
  /// or if the usual gap is not known yet.
  [[nodiscard]] auto Allowance(ServiceId aService, Duration aLimit) const
    -> std::optional<Duration>;

  /// Records whether an engine had room for a prompt when it was started.
  auto RecordRoom(ServiceId aService, bool aHadRoom) -> void;
  /// Whether prompts exceed what the engines can read within the limit. Holding
  /// prompts would then only delay them.
  [[nodiscard]] auto IsOverloaded(ServiceId aService) const -> bool;
  /// A run with a gap limit started or ended at the engine.
  auto OnLimitedRunStart(TargetId aEngine) -> void;
  auto OnLimitedRunEnd(TargetId aEngine) -> void;
  [[nodiscard]] auto LimitedRuns(TargetId aEngine) const -> int;
  /// A prompt was sent to the engine that takes aReading to read, after
  /// aBacklog, as far as is known. Readings that ended longer than aLimit ago
  /// are forgotten.
  auto OnPromptSent(TargetId aEngine,
                    Duration aReading,
                    Duration aBacklog,
                    Duration aLimit,
                    Instant aNow) -> void;
  /// The engine has read all prompts that are known.
  auto OnBacklogRead(TargetId aEngine, Instant aNow) -> void;
  /// Another router sent a prompt to the engine.
  auto OnPeerPrompt(TargetId aEngine, Instant aNow) -> void;
  /// By how much the engine would read for longer than aAllowance in the span
  /// as long as aLimit that ends with another prompt of aReading, after
  /// aBacklog; zero if it has room.
  [[nodiscard]] auto Excess(TargetId aEngine,
                            Duration aReading,
                            Duration aBacklog,
                            Duration aAllowance,
                            Duration aLimit,
                            Instant aNow) const -> Duration;
  /// Removes engines without limited runs for which aIsListed returns false.
  auto RemoveUnless(const std::function<bool(TargetId)>& aIsListed) -> void;
};

/// The pacing that applies to the selection of an engine for one prompt.
struct PromptPacing
{
  const PromptPacer* pacer_ = nullptr;
  ServiceId service_;
  Duration allowance_{};
  Duration limit_{};

  /// Most tokens of the prompt that an engine may have to read: those at the
  /// engine that would be chosen without pacing. Reading more, as an engine
  /// without the shared prefix has to, takes room from other prompts; under
  /// load that makes more streams late than pacing saves.
  int maxTokens_ = 0;
  /// Whether an engine without room may be used, where its excess adds to its
  /// cost.
  bool allowsExcess_ = false;

  /// By how much a prompt of aTokens would exceed the allowance of the engine;
  /// zero while it runs no stream with a limit. Other routers' runs may have
  /// one.
  [[nodiscard]] auto Excess(TargetId aEngine,
                            const TargetLoad& aLoad,
                            int aTokens,
                            Instant aNow) const -> Duration;
};

/// Counts of prompts to engines with a gap limit, since the process started.
struct PacingCounters
{
  /// Sent to an engine with room instead of the one that would otherwise have
  /// been chosen.
  std::int64_t shifted_ = 0;
  /// Times that a prompt waited because no engine had room.
  std::int64_t held_ = 0;
  /// Sent to an engine without room, as no other had room in time.
  std::int64_t withoutRoom_ = 0;
};

} // namespace burdockring

#endif
