#ifndef BURDOCKRING_PROCESS_FORWARDING_TARGET_LOAD_H
#define BURDOCKRING_PROCESS_FORWARDING_TARGET_LOAD_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"
#include "process/forwarding/reading_pace.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace burdockring {

/// Work that stands at a target.
struct LoadAmounts
{
  /// Requests that were sent and have not ended.
  int running_ = 0;
  /// Prompt tokens sent whose request has not had its first event.
  int prefillTokens_ = 0;
  /// Tokens that the running requests may come to hold in memory.
  int memoryTokens_ = 0;

  auto operator+=(const LoadAmounts& aOther) -> LoadAmounts&;
  auto operator-=(const LoadAmounts& aOther) -> LoadAmounts&;
};

/// What this router knows of one target's load: its own work there, that of
/// its peers as they last told, how fast the target reads prompts, which prompt
/// parts it keeps, and whether it lately failed.
class TargetLoad
{
  /// A part counts as kept for so long after its last use here.
  static constexpr Duration kPartLifetime = 20s;
  static constexpr std::size_t kMaxParts = 4096;
  /// Peers are told again of a part that goes on being used.
  static constexpr Duration kReannounceInterval = 8s;
  static constexpr double kSmoothingFactor = 0.1;
  /// Bounds of what is learned, as multiples of the service's pace.
  static constexpr double kMinSlowdown = 0.5;
  static constexpr double kMaxSlowdown = 8.0;
  /// How long a target that failed once is avoided, doubling with each failure
  /// in a row.
  static constexpr Duration kInitialAvoidance = 250ms;
  static constexpr int kMaxDoublings = 4;

  LoadAmounts local_;
  LoadAmounts peers_;
  /// A part of prompts, as far as it is known here.
  struct Part
  {
    /// When a request with it was last sent here, if one was.
    Instant sentAt_{};
    bool wasSent_ = false;
    /// When the target was last known to have read it, if it has.
    Instant cachedAt_{};
    bool isCached_ = false;
    /// When the peers were last told so.
    Instant announcedAt_{};
    bool isAnnounced_ = false;
  };

  std::unordered_map<std::uint64_t, Part> parts_;
  /// That of the service, or null where it isn't known.
  const PrefillEstimator* prefill_ = nullptr;
  double slowdown_ = 1.0;
  int failures_ = 0;
  Instant avoidedUntil_{};
  Instant pausedUntil_{};

  auto DropExpiredParts(Instant aNow) -> void;

public:
  auto Add(const LoadAmounts& aAmounts) -> void;
  auto Remove(const LoadAmounts& aAmounts) -> void;
  /// Takes up what a peer's work here has changed by.
  auto ReplacePeerLoad(const LoadAmounts& aOld, const LoadAmounts& aNew)
    -> void;

  /// A request with this part was sent here.
  auto OnPartSent(std::uint64_t aPart, Instant aNow) -> void;
  /// Whether a request with this part was lately sent here.
  [[nodiscard]] auto WasPartSent(std::uint64_t aPart, Instant aNow) const
    -> bool;
  /// The target has read this part. Gives whether the peers should be told,
  /// where this router saw it itself.
  auto OnPartCached(std::uint64_t aPart, bool aObservedLocally, Instant aNow)
    -> bool;
  /// Whether the target is known to have read this part.
  [[nodiscard]] auto IsPartCached(std::uint64_t aPart, Instant aNow) const
    -> bool;

  /// How the service's targets read; it must outlive the load.
  auto SetPrefillEstimator(const PrefillEstimator* aEstimator) -> void;
  /// Learns from what a first event showed, in milliseconds for a token.
  auto LearnPrefillSpeed(double aSample) -> void;
  auto OnSuccess() -> void;
  /// Avoids the target, for longer with each failure in a row if aExponential.
  auto OnFailure(Instant aNow, bool aExponential = true) -> void;
  [[nodiscard]] auto IsAvoided(Instant aNow) const -> bool;
  [[nodiscard]] auto AvoidedUntil() const -> Instant;
  /// The target asked for no requests until then; unlike one that failed it is
  /// not tried sooner.
  auto PauseUntil(Instant aUntil) -> void;
  [[nodiscard]] auto PausedUntil() const -> Instant;

  [[nodiscard]] auto Local() const -> const LoadAmounts&;
  [[nodiscard]] auto Total() const -> LoadAmounts;
  /// Time to read so many prompt tokens behind those that stand here.
  [[nodiscard]] auto PrefillTime(int aTokens) const -> Duration;
  /// How much slower than usual the target reads prompts.
  [[nodiscard]] auto Slowdown() const -> double;
};

/// Loads of all targets, with the peers' reports of them. A report costs by its
/// own length, not by the number of peers.
class TargetLoadTable
{
  /// A peer that was silent for so long is left out.
  static constexpr Duration kPeerTimeout = 1500ms;

  struct PeerUsage
  {
    Instant at_{};
    std::map<std::int32_t, wire::TargetUse> targets_;
  };

  std::map<TargetId, TargetLoad> loads_;
  std::map<RouterId, PeerUsage> peers_;

  /// Takes a peer's work out of the loads.
  auto RemovePeerLoad(const PeerUsage& aUsage) -> void;

public:
  auto At(TargetId aTarget) -> TargetLoad&;
  [[nodiscard]] auto Find(TargetId aTarget) const -> const TargetLoad*;
  /// Drops the loads that aIsListed denies and that nothing runs at.
  auto RemoveUnless(const std::function<bool(TargetId)>& aIsListed) -> void;
  /// Partial: the rows change what the peer told before.
  auto SetPeerUsage(RouterId aPeer,
                    const std::vector<wire::TargetUse>& aTargets,
                    bool aPartial,
                    Instant aNow) -> void;
  /// Leaves out peers that fell silent.
  auto Tick(Instant aNow) -> void;
  /// This router's own work, for the peers.
  [[nodiscard]] auto LocalUsage() const -> std::vector<wire::TargetUse>;
};

} // namespace burdockring

#endif
