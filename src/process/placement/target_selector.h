#ifndef BURDOCKRING_PROCESS_PLACEMENT_TARGET_SELECTOR_H
#define BURDOCKRING_PROCESS_PLACEMENT_TARGET_SELECTOR_H

#include "process/placement/policy.h"
#include "process/placement/prefill_estimator.h"
#include "process/placement/prompt_pacer.h"
#include "process/placement/target_directory.h"
#include "process/placement/target_load.h"
#include "request/request_metadata.h"
#include "version/route_table.h"

#include <optional>
#include <vector>

namespace burdockring {

/// The facts about a request that target selection needs.
struct WorkItem
{
  RequestId id_ = 0;
  AccountId account_;
  ServiceId service_;
  Instant arrival_{};
  Duration latencyObjective_{};
  /// Longest gap between two events with which a stream is on time; zero if it
  /// has no limit.
  Duration maxEventGap_{};
  Instant deadline_{};
  /// Whether the request resumes a stream that has already begun.
  bool isContinuation_ = false;
  int promptTokens_ = 0;
  int outputTokens_ = 0;
  std::vector<PromptPart> parts_;
  /// Targets that this request has already been sent to.
  std::vector<TargetId> triedTargets_;
};

/// A listed target with its known load.
struct UsableTarget
{
  const RegisteredTarget* listed_ = nullptr;
  TargetLoad* load_ = nullptr;
};

/// Limits that a target must be within for a request to start there.
struct SelectionLimits
{
  /// Longest backlog ahead of the request.
  Duration maxBacklog_{};
  /// Longest expected time to the first event. Unset for a prompt whose prefill
  /// takes longer than its latency objective allows. Not applied to an engine
  /// without a backlog, as no other would serve the request sooner.
  std::optional<Duration> maxWait_;
  /// Fraction of the target's slots that may be in use.
  double maxSlotUtilization_ = 1.0;
  /// Shortest latency objective among the service's streams. Other limits are
  /// fractions of it.
  Duration minLatencyObjective_{};
  /// Prefill speed of the service's targets.
  PrefillEstimator prefill_;
  /// Set if only engines with room for the prompt may be used.
  std::optional<PromptPacing> pacing_;
};

/// An evaluated target for a request.
struct Candidate
{
  TargetId target_;
  /// Expected time to the first event.
  Duration wait_{};
  /// Prefill backlog ahead of the request at the target.
  Duration backlog_{};
  /// The wait plus penalties; the lowest cost wins.
  Duration cost_{};
  LoadAmounts addedLoad_;
  /// Engine that the target copies the cached prefix from instead of computing
  /// it.
  std::optional<TargetId> copyFrom_;
  bool hasSlot_ = false;
  bool isWithinLimits_ = false;
};

/// Selects targets for requests.
///
/// Engines: a request goes to the engine with the earliest expected first
/// event. Prefilling a shared prefix again that another engine has cached
/// counts as additional delay. The engines ranked highest by rendezvous hashing
/// of the last shared part are preferred in rank order, as far as they have
/// capacity. An engine whose slots or memory are full, or whose prefill backlog
/// is too long, takes no requests.
///
/// Plain services: the target with the fewest requests, preferably in the own
/// zone.
///
/// A target that failed recently is avoided while there is another. If all have
/// failed, the one whose avoidance ends first is tried.
///
/// Load pattern: hundreds of prompts a second, half of whose tokens are shared
/// by some; long prompts ahead of short ones on the same engine.
class TargetSelector
{
  /// Added to the cost of a target in another zone.
  static constexpr Duration kRemoteZonePenalty = 10ms;
  /// Cost of prefilling a shared token that another engine has cached, as a
  /// multiple of its prefill time.
  static constexpr double kRecomputeCost = 3.6;
  /// Cost of reading beyond the allowance of an engine's streams, as a multiple
  /// of its time. Each stream there may be late by it, so it outweighs the time
  /// to read the whole prompt elsewhere.
  static constexpr int kExcessCost = 20;
  /// Number of engines preferred for a shared prefix. They are used in rank
  /// order as far as they have capacity, so that all routers agree on the next
  /// one.
  static constexpr std::size_t kPreferredEngines = 2;
  /// Fraction of an engine's memory that running requests may fill.
  static constexpr double kMaxMemoryFraction = 0.8;

  /// Time to set up a cache copy from another engine.
  static constexpr Duration kCopySetupTime = 5ms;
  /// Additional cost of a copied token, as a multiple of its prefill time.
  static constexpr double kCopyCost = 0.36;
  /// Prefixes with fewer tokens are prefilled faster than copied.
  static constexpr int kMinCopyTokens = 100;

  ZoneId homeZone_;
  ForwardingPolicy policy_;

  /// An engine that has cached part of a shared prefix.
  struct CopySource
  {
    TargetId target_;
    int cachedTokens_ = 0;
  };

  /// Engines that have cached the request's shared prefix, the longest cached
  /// part first.
  [[nodiscard]] static auto FindCopySources(
    const WorkItem& aItem,
    const std::vector<UsableTarget>& aTargets,
    Instant aNow) -> std::vector<CopySource>;
  auto EvaluateEngine(const WorkItem& aItem,
                      const RoutedService& aService,
                      const UsableTarget& aTarget,
                      std::size_t aRank,
                      const std::vector<CopySource>& aSources,
                      const SelectionLimits& aLimits,
                      Instant aNow) const -> Candidate;
  /// Limits for requests with a long prefix, depending on whether the target is
  /// one of its preferred engines.
  [[nodiscard]] auto LongPrefixLimits(SelectionLimits aLimits,
                                      bool aIsPreferred) const
    -> SelectionLimits;
  [[nodiscard]] auto SelectEngine(const WorkItem& aItem,
                                  const RoutedService& aService,
                                  const std::vector<UsableTarget>& aTargets,
                                  const SelectionLimits& aLimits,
                                  Instant aNow) const
    -> std::optional<Candidate>;
  [[nodiscard]] auto SelectPlain(const WorkItem& aItem,
                                 const std::vector<UsableTarget>& aTargets,
                                 Instant aNow) const
    -> std::optional<Candidate>;

public:
  TargetSelector(ZoneId aHomeZone, const ForwardingPolicy& aPolicy);

  /// The best target, or nothing if none may be used. The result may exceed the
  /// limits; see Candidate::isWithinLimits_.
  [[nodiscard]] auto Select(const WorkItem& aItem,
                            const RoutedService& aService,
                            const std::vector<UsableTarget>& aTargets,
                            const SelectionLimits& aLimits,
                            Instant aNow) const -> std::optional<Candidate>;
};

/// Prompt tokens after the shared prefix, at least 1.
auto UnsharedTokens(const WorkItem& aItem) -> int;

} // namespace burdockring

#endif
