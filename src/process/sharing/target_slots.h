#ifndef BURDOCKRING_PROCESS_SHARING_TARGET_SLOTS_H
#define BURDOCKRING_PROCESS_SHARING_TARGET_SLOTS_H

#include "base/ids.h"
#include "base/time.h"
#include "version/config_set.h"

#include <map>
#include <optional>
#include <set>

namespace burdockring {

/// A router's observations of one target since its last report.
struct TargetStats
{
  int ended_ = 0;
  int failed_ = 0;
  int refused_ = 0;
  /// Mean time between tokens of the ended attempts, or zero if unknown.
  Duration timePerToken_{};
};

/// Adaptive concurrency limits for the targets of one service in one zone. The
/// configured limit is the upper bound. A target's limit shrinks when it is
/// slow compared with its peers or refuses requests, and recovers in steps. A
/// target that fails repeatedly is ejected and probed with one request; at most
/// half of the targets are ejected at a time.
class TargetSlots
{
  static constexpr int kFailuresToEject = 3;
  static constexpr Duration kEjectionTime = 2s;
  static constexpr Duration kAdaptInterval = 1s;
  static constexpr double kSlowFactor = 2.0;
  static constexpr double kShrinkFactor = 0.7;
  static constexpr double kGrowthStep = 1.0;
  static constexpr double kSmoothingFactor = 0.3;

  struct Target
  {
    int configured_ = 0;
    double limit_ = 0;
    int used_ = 0;
    int consecutiveFailures_ = 0;
    bool isEjected_ = false;
    bool refused_ = false;
    Instant probeAt_{};
    Duration timePerToken_{};
  };

  std::map<TargetId, Target> targets_;
  std::set<TargetId> leaving_;
  Instant lastAdapted_{};

  [[nodiscard]] auto LimitOf(TargetId aId,
                             const Target& aTarget,
                             Instant aNow) const -> int;
  [[nodiscard]] auto MedianTimePerToken() const -> Duration;
  [[nodiscard]] auto EjectedCount() const -> int;
  auto AddFailures(Target* aTarget, int aCount, Instant aNow) -> void;

public:
  /// Applies a configuration, keeping the state of targets that stay. A changed
  /// slot count resets the limit of its target.
  auto Configure(const ConfigSet& aSet, ServiceId aService, ZoneId aZone)
    -> void;
  auto SetLeaving(const std::set<TargetId>& aLeaving) -> void;
  auto SetUsed(const std::map<TargetId, int>& aUsed) -> void;
  auto AddUsed(TargetId aTarget, int aCount) -> void;
  auto Observe(TargetId aTarget, const TargetStats& aStats, Instant aNow)
    -> void;
  /// Adjusts the limits. May be called at any rate; has an effect at most once
  /// per kAdaptInterval.
  auto AdaptLimits(Instant aNow) -> void;

  /// The target with the largest free fraction of its limit, if any is free.
  [[nodiscard]] auto ChooseFree(Instant aNow) const -> std::optional<TargetId>;
  [[nodiscard]] auto Limit(TargetId aTarget, Instant aNow) const -> int;
  [[nodiscard]] auto Used(TargetId aTarget) const -> int;
  [[nodiscard]] auto IsEjected(TargetId aTarget) const -> bool;
  [[nodiscard]] auto TotalLimit(Instant aNow) const -> int;
  [[nodiscard]] auto TotalFree(Instant aNow) const -> int;
};

} // namespace burdockring

#endif
