#ifndef BURDOCKRING_PROCESS_FORWARDING_PLACEMENT_H
#define BURDOCKRING_PROCESS_FORWARDING_PLACEMENT_H

#include "process/forwarding/policy.h"
#include "process/forwarding/reading_pace.h"
#include "process/forwarding/target_directory.h"
#include "process/forwarding/target_load.h"
#include "request/request_facts.h"
#include "version/route_table.h"

#include <optional>
#include <vector>

namespace burdockring {

/// A request as the choice of its target sees it.
struct WorkItem
{
  RequestId id_ = 0;
  AccountId account_;
  ServiceId service_;
  Instant arrival_{};
  Duration latencyObjective_{};
  Instant deadline_{};
  /// Whether the request is a stream that has begun and goes on.
  bool isContinuation_ = false;
  int promptTokens_ = 0;
  int outputTokens_ = 0;
  std::vector<PromptPart> parts_;
  /// Targets that this request was sent to before.
  std::vector<TargetId> triedTargets_;
};

/// A listed target and what is known of its load.
struct UsableTarget
{
  const ListedTarget* listed_ = nullptr;
  TargetLoad* load_ = nullptr;
};

/// What a target must offer for a request to start there.
struct SelectionLimits
{
  /// Most that may wait ahead of the request.
  Duration maxBacklog_{};
  /// Longest time to the first event; none for a prompt that takes longer to
  /// read than its aim allows. Not asked of an engine before which nothing
  /// waits, as the request could not be served sooner.
  std::optional<Duration> maxWait_;
  /// Part of the target's slots that may be in use.
  double maxSlotUtilization_ = 1.0;
  /// The shortest aim of the service's streams, which other limits are parts
  /// of.
  Duration minLatencyObjective_{};
  /// How the service's targets read.
  PrefillEstimator prefill_;
};

/// Where a request would go and what it would find there.
struct Candidate
{
  TargetId target_;
  /// Expected time to the first event.
  Duration wait_{};
  /// What waits ahead of the request at the target.
  Duration backlog_{};
  /// The wait, and what else speaks against the target.
  Duration cost_{};
  LoadAmounts adds_;
  /// Where the target copies the shared beginning from, rather than read it.
  std::optional<TargetId> copyFrom_;
  bool hasSlot_ = false;
  /// Whether the target is within the limits.
  bool isWithinLimits_ = false;
};

/// Chooses targets.
///
/// Engines: a request goes where its first event comes soonest, where reading a
/// shared beginning again that another engine keeps counts as further delay.
/// The rendezvous choices of the last shared part take it in their order, as
/// far as they have room. An engine with its slots or memory full, or with too
/// much to read, takes none.
///
/// Plain services: the target with the fewest requests, near ones first.
///
/// A target that lately failed is avoided while there is another; where all
/// failed, the one whose avoidance ends first is tried.
///
/// Load pattern: hundreds of prompts a second, half of whose tokens are shared
/// by some; long prompts ahead of short ones on the same engine.
class TargetSelector
{
  /// What a target in another zone counts as later.
  static constexpr Duration kRemoteZonePenalty = 10ms;
  /// What a shared token counts for that is read again though kept elsewhere,
  /// as a multiple of the time that it takes.
  static constexpr double kRecomputeCost = 3.6;
  /// Rendezvous choices that a shared beginning goes to, in this order as far
  /// as they have room, so that all routers agree on the next one.
  static constexpr std::size_t kPreferredEngines = 2;
  /// Part of an engine's memory that running requests may fill.
  static constexpr double kMaxMemoryFraction = 0.8;

  /// Time to set up a copy from another engine.
  static constexpr Duration kCopySetupTime = 5ms;
  /// What a copied token counts for beside its time, as a multiple of the time
  /// that reading it takes.
  static constexpr double kCopyCost = 0.36;
  /// Beginnings of fewer tokens are read sooner than copied.
  static constexpr int kMinCopyTokens = 100;

  ZoneId homeZone_;
  ForwardingPolicy policy_;

  /// An engine that keeps some of a shared beginning.
  struct CopySource
  {
    TargetId target_;
    int cachedTokens_ = 0;
  };

  /// Engines that keep most of the request's shared beginning, best first.
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
  /// The limits where a beginning is heavy, by the target's place among its
  /// keepers.
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
  TargetSelector(ZoneId aHome, const ForwardingPolicy& aPolicy);

  /// The best target, or nothing where none may be used.
  [[nodiscard]] auto Select(const WorkItem& aItem,
                            const RoutedService& aService,
                            const std::vector<UsableTarget>& aTargets,
                            const SelectionLimits& aLimits,
                            Instant aNow) const -> std::optional<Candidate>;
};

/// Prompt tokens beyond the shared beginning.
auto UnsharedTokens(const WorkItem& aItem) -> int;

} // namespace burdockring

#endif
