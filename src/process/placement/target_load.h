#ifndef BURDOCKRING_PROCESS_PLACEMENT_TARGET_LOAD_H
#define BURDOCKRING_PROCESS_PLACEMENT_TARGET_LOAD_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"
#include "process/placement/prefill_estimator.h"
#include "process/placement/reported_load.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace burdockring {

/// Work in progress at a target.
struct LoadAmounts
{
  /// Requests that were sent and have not ended.
  int running_ = 0;
  /// Prompt tokens of requests that have not had their first event.
  int prefillTokens_ = 0;
  /// Most tokens that the running requests may hold in memory.
  int memoryTokens_ = 0;

  auto operator+=(const LoadAmounts& aOther) -> LoadAmounts&;
  auto operator-=(const LoadAmounts& aOther) -> LoadAmounts&;
};

/// What this router knows about one target: its own load there, the load that
/// peers last reported, the prefill speed, the cached prompt parts, and recent
/// failures.
class TargetLoad
{
  /// A part counts as cached for this long after its last use.
  static constexpr Duration kPartLifetime = 20s;
  static constexpr std::size_t kMaxParts = 4096;
  /// Interval at which a part that stays in use is announced to the peers
  /// again.
  static constexpr Duration kReannounceInterval = 8s;
  static constexpr double kSmoothingFactor = 0.1;
  /// Bounds of the learned slowdown, relative to the service's prefill time.
  static constexpr double kMinSlowdown = 0.5;
  static constexpr double kMaxSlowdown = 8.0;
  /// Duration of avoidance after one failure. It doubles with each consecutive
  /// failure.
  static constexpr Duration kInitialAvoidance = 250ms;
  static constexpr int kMaxDoublings = 4;

  LoadAmounts local_;
  LoadAmounts peers_;
  /// What is known about one prompt part at this target.
  struct Part
  {
    /// When a request with this part was last sent to the target, if wasSent_.
    Instant sentAt_{};
    bool wasSent_ = false;
    /// When the target was last known to have cached it, if isCached_.
    Instant cachedAt_{};
    bool isCached_ = false;
    /// When the peers last learned of it, if isAnnounced_.
    Instant announcedAt_{};
    bool isAnnounced_ = false;
  };

  std::unordered_map<std::uint64_t, Part> parts_;
  /// Estimator of the service, or null if the service is unknown.
  const PrefillEstimator* prefill_ = nullptr;
  double slowdown_ = 1.0;
  int failures_ = 0;
  Instant avoidedUntil_{};
  Instant pausedUntil_{};
  /// What the target reported of itself.
  ReportedLoadState reported_;
  /// Prompt tokens of a request that waits at the target unknown to routers.
  double tokensPerUnknown_ = 0;

  auto DropExpiredParts(Instant aNow) -> void;

public:
  auto Add(const LoadAmounts& aAmounts) -> void;
  auto Remove(const LoadAmounts& aAmounts) -> void;
  /// Replaces aOld by aNew in the load that peers reported.
  auto ReplacePeerLoad(const LoadAmounts& aOld, const LoadAmounts& aNew)
    -> void;

  /// Records that a request with this part was sent to the target.
  auto OnPartSent(std::uint64_t aPart, Instant aNow) -> void;
  /// Whether a request with this part was recently sent to the target.
  [[nodiscard]] auto WasPartSent(std::uint64_t aPart, Instant aNow) const
    -> bool;
  /// Records that the target has cached this part. Returns whether to announce
  /// it to the peers, which is the case if this router observed it itself and
  /// it was not announced lately.
  auto OnPartCached(std::uint64_t aPart, bool aObservedLocally, Instant aNow)
    -> bool;
  /// Whether the target is known to have cached this part.
  [[nodiscard]] auto IsPartCached(std::uint64_t aPart, Instant aNow) const
    -> bool;

  /// Sets the estimator of the service. It must outlive this object.
  auto SetPrefillEstimator(const PrefillEstimator* aEstimator) -> void;
  /// Updates the slowdown from an observed prefill time, in milliseconds per
  /// token.
  auto LearnPrefillSpeed(double aSample) -> void;
  auto OnSuccess() -> void;
  /// Avoids the target for some time, doubled with each consecutive failure if
  /// aExponential.
  auto OnFailure(Instant aNow, bool aExponential = true) -> void;
  [[nodiscard]] auto IsAvoided(Instant aNow) const -> bool;
  [[nodiscard]] auto AvoidedUntil() const -> Instant;
  /// Called when the target asked for no requests until aUntil. Unlike a target
  /// that failed, it is not tried sooner.
  auto PauseUntil(Instant aUntil) -> void;
  [[nodiscard]] auto PausedUntil() const -> Instant;

  /// This router has sent a request to the target.
  auto OnSent(Instant aNow) -> void;
  /// The target reported its load; aMeanTokens are the prompt tokens of an
  /// average request. Returns whether that differs from what routers know.
  auto OnReport(const ReportedLoad& aLoad, double aMeanTokens, Instant aNow)
    -> bool;
  /// Age of the target's own report; the maximum if there is none.
  [[nodiscard]] auto ReportAge(Instant aNow) const -> Duration;

  [[nodiscard]] auto Local() const -> const LoadAmounts&;
  [[nodiscard]] auto Total() const -> LoadAmounts;
  /// Total(), corrected by what the target reported of itself.
  [[nodiscard]] auto Corrected(Instant aNow) const -> LoadAmounts;
  /// Time to prefill aTokens after the prompt tokens that are already pending
  /// at the target.
  [[nodiscard]] auto PrefillTime(int aTokens) const -> Duration;
  /// The same by Corrected() and the target's present slowness.
  [[nodiscard]] auto PrefillTime(int aTokens, Instant aNow) const -> Duration;
  /// The part of PrefillTime(0, aNow) that is this router's own work.
  [[nodiscard]] auto OwnPrefillTime(Instant aNow) const -> Duration;
  /// Prefill time of this target relative to the service's estimate.
  [[nodiscard]] auto Slowdown() const -> double;
};

/// Loads of all targets, including those reported by peers. The cost of
/// applying a report depends on its length, not on the number of peers.
class TargetLoadTable
{
  /// The load of a peer that has not reported for this long is dropped.
  static constexpr Duration kPeerTimeout = 1500ms;

  struct PeerUsage
  {
    Instant at_{};
    std::map<std::int32_t, wire::TargetUse> targets_;
  };

  std::map<TargetId, TargetLoad> loads_;
  std::map<RouterId, PeerUsage> peers_;

  /// Subtracts the load of a peer from that of the targets.
  auto RemovePeerLoad(const PeerUsage& aUsage) -> void;

public:
  auto At(TargetId aTarget) -> TargetLoad&;
  [[nodiscard]] auto Find(TargetId aTarget) const -> const TargetLoad*;
  /// What a peer last reported of a target.
  [[nodiscard]] auto PeerUse(RouterId aPeer, TargetId aTarget) const
    -> wire::TargetUse;
  /// Removes idle targets for which aIsListed returns false.
  auto RemoveUnless(const std::function<bool(TargetId)>& aIsListed) -> void;
  /// If aPartial, the rows update the previous report; otherwise they replace
  /// it.
  auto SetPeerUsage(RouterId aPeer,
                    const std::vector<wire::TargetUse>& aTargets,
                    bool aPartial,
                    Instant aNow) -> void;
  /// Drops the load of peers that have stopped reporting.
  auto Tick(Instant aNow) -> void;
  /// Load from this router's own requests, to report to the peers.
  [[nodiscard]] auto LocalUsage() const -> std::vector<wire::TargetUse>;
};

} // namespace burdockring

#endif
