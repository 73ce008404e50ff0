#ifndef BURDOCKRING_PROCESS_PLACEMENT_DISPATCHER_H
#define BURDOCKRING_PROCESS_PLACEMENT_DISPATCHER_H

#include "process/admission/account_shares.h"
#include "process/placement/prompt_pacer.h"
#include "process/placement/report_delta.h"
#include "process/placement/target_directory.h"
#include "process/placement/target_load.h"
#include "process/placement/target_selector.h"
#include "process/quarantine/part_ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockring {

/// Why a request is rejected.
enum class RejectReason
{
  kNoTarget,
  kNoFreeSlot,
  kExpectedLate,
  kOverShare,
  /// All targets asked for no requests for some time.
  kTargetsPaused,
};

auto RejectReasonName(RejectReason aReason) -> std::string_view;

/// Decision to send the request to a target now.
struct StartDecision
{
  RequestId request_ = 0;
  TargetId target_;
  Duration expectedWait_{};
  /// Engine from which the target copies the KV cache of the shared prefix.
  std::optional<TargetId> copyFrom_;
  /// Load that the run adds to the target.
  LoadAmounts addedLoad_;
  /// Standing of the account against its share.
  ShareStanding standing_ = ShareStanding::kGuaranteed;
};

/// Decision to reject the request.
struct RejectDecision
{
  RequestId request_ = 0;
  RejectReason reason_ = RejectReason::kNoFreeSlot;
  Duration retryAfter_{};
  Duration expectedWait_{};
  /// Standing of the account against its share.
  ShareStanding standing_ = ShareStanding::kGuaranteed;
  /// Lead router that took the decision; empty if this router did.
  std::optional<RouterId> decidedBy_;
};

using DispatchDecision = std::variant<StartDecision, RejectDecision>;

/// How a run at a target ended. The values are sent over the wire.
enum class RunOutcome
{
  kCompleted = 0,
  /// The target responded with an application error.
  kTargetError = 1,
  /// The target did not run it.
  kRefused = 2,
  /// The target or the connection to it failed.
  kFailed = 3,
  /// The caller disconnected or the request timed out.
  kCancelled = 4,
};

constexpr int kRunOutcomeCount = 5;

/// Estimates on which placement at a service's engines is based.
struct EngineEstimate
{
  ServiceId service_;
  double msPerToken_ = 0;
  Duration firstEventTime_{};
};

/// Figures on which the pacing of prompts for a service with a gap limit is
/// based.
struct PacingEstimate
{
  ServiceId service_;
  Duration limit_{};
  /// How long an engine may read in any span as long as the limit; zero if the
  /// engines are too slow for the limit and are not paced.
  Duration allowance_{};
  /// Reading time of a token at an engine of usual speed, in milliseconds.
  double msPerToken_ = 0;
};

/// Decides which request starts, waits or is rejected, and on which target it
/// runs. Performs no I/O: takes requests and run events, returns decisions.
///
/// A request starts at once if its first event is expected on time. If its
/// account is beyond its share, it starts only on an engine that would be on
/// time by a wide margin. A request that cannot start waits for capacity for a
/// small fraction of its latency objective. It is rejected with a retry delay
/// when that time has passed, or at once if no capacity can become free by
/// then.
///
/// Load pattern: arrivals of up to three times the capacity of the engines, in
/// waves and bursts, with one account far above its usual rate.
class Dispatcher
{
public:
  /// Called with the shared parts of the run's prompt.
  using WholeHandler = std::function<void(const PartIds& aParts, Instant aNow)>;

private:
  /// Longest wait of a continued stream.
  static constexpr Duration kContinuationMaxWait = 200ms;
  /// Fraction of the latency objective within which the first event must be
  /// expected.
  static constexpr double kOnTimeFraction = 0.9;
  /// The shortest latency objective if no stream sets one, and the upper bound
  /// of the objective from which limits are derived. A request that waits
  /// longer is better queued here than on an engine, as its order can still
  /// change.
  static constexpr Duration kDefaultLatencyObjective = 500ms;
  static constexpr Duration kMaxLatencyObjective = 500ms;
  /// Fraction of a target's slots that accounts beyond their share may use:
  /// normally, and under pressure, i.e. while requests of accounts within their
  /// share are rejected.
  static constexpr double kBeyondShareSlotFraction = 0.85;
  static constexpr double kPressureSlotFraction = 0.6;
  /// How long the pressure limit applies after such a rejection.
  static constexpr Duration kPressureDuration = 1s;
  /// Upper bound of the retry delay.
  static constexpr Duration kMaxRetryAfter = 4s;
  /// How often waiting requests are retried although no change is known.
  static constexpr Duration kFullScanInterval = 25ms;
  /// How long before the end of its wait a prompt that was held must start, so
  /// that a scan comes in between.
  static constexpr Duration kPacingStep = 2 * kFullScanInterval;
  /// Consecutive waiting requests that find no capacity before the scan stops.
  /// The remaining ones come later in the order of shares, and each attempt
  /// evaluates every target.
  static constexpr int kMaxConsecutiveMisses = 12;
  /// Cached prompt parts that one report lists. The rest is omitted, which
  /// costs only a copy that finds no source.
  static constexpr std::size_t kMaxReportedReads = 500;

  struct Run
  {
    TargetId target_;
    ServiceId service_;
    LoadAmounts addedLoad_;
    Instant started_{};
    int prefillTokensAhead_ = 0;
    /// Account that is charged for the run, and its tokens.
    AccountId account_;
    std::int64_t chargedTokens_ = 0;
    /// Shared parts of the prompt.
    PartIds parts_;
    bool hasFirstEvent_ = false;
    /// Whether its stream has a limit of the gap between two events.
    bool hasGapLimit_ = false;
    /// Whether no prompt of another router was waiting when it started.
    bool isBehindOwnOnly_ = false;
  };

  struct WaitingRequest
  {
    WorkItem item_;
    Instant waitDeadline_{};
    /// Tokens charged to the account when the queue was last sorted.
    std::int64_t chargedTokens_ = 0;
  };

  TargetDirectory* directory_;
  ForwardingPolicy policy_;
  TargetSelector targetSelector_;
  /// Prefill speed of each service's engines.
  std::map<ServiceId, PrefillEstimator> prefillEstimators_;
  TargetLoadTable loads_;
  PromptPacer pacer_;
  PacingCounters pacingCounters_;
  /// Waiting requests that could have started but for their engine's streams.
  std::set<RequestId> heldRequests_;
  /// Whether a service in the table limits the gaps of its streams.
  bool hasGapLimits_ = false;
  AccountShares shares_;
  RouteTablePointer table_;
  std::vector<WaitingRequest> waiting_;
  std::map<RequestId, Run> runs_;
  std::vector<DispatchDecision> decisions_;
  ReportDelta delta_;
  /// Prompt parts that targets have cached since the last report to the peers.
  std::vector<wire::PartRead> partReads_;
  WholeHandler onWhole_;
  std::mt19937 random_;
  /// Until when accounts beyond their share get the pressure limits, because of
  /// rejections by this router and by its peers.
  Instant ownPressureUntil_{};
  Instant peerPressureUntil_{};
  std::int64_t targetsVersion_ = 0;
  std::map<ServiceId, std::vector<UsableTarget>> targets_;
  /// Whether capacity may have become free since the queue was last scanned.
  bool capacityMayHaveFreed_ = false;
  Instant lastFullScan_{};
  /// Whether the local load has changed since the last report.
  bool loadChanged_ = false;
  std::int64_t decisionCount_ = 0;

  auto TargetsOf(ServiceId aService) -> const std::vector<UsableTarget>&;
  /// Sorts by the tokens charged to the account, least first.
  auto SortWaiting(Instant aNow) -> void;
  /// Longest remaining wait for a first event on time; empty if even an idle
  /// engine would be late.
  auto MaxOnTimeWait(const WorkItem& aItem, Instant aNow)
    -> std::optional<Duration>;
  /// Limits that a target must meet for the request, given its account's
  /// standing.
  auto LimitsFor(const WorkItem& aItem,
                 const RoutedService& aService,
                 ShareStanding aStanding,
                 Instant aNow) -> SelectionLimits;
  /// Whether a request for the same service is waiting whose account was
  /// charged fewer tokens.
  auto HasHigherPriorityWaiters(const WorkItem& aItem, Instant aNow) -> bool;
  /// The standing of the request's account against its share of the pool. Plain
  /// services have no shares.
  auto StandingOf(const WorkItem& aItem,
                  const RoutedService& aService,
                  Instant aNow) -> ShareStanding;
  /// Updates the prefill speed of the engine from the time of a first event.
  auto LearnPrefillSpeed(const Run& aRun, Instant aNow) -> void;
  auto OnSaturated(Instant aNow) -> void;
  /// The latency objective from which the service's limits are derived.
  [[nodiscard]] static auto MinLatencyObjective(const RoutedService& aService)
    -> Duration;
  /// Lower bound of the retry delay.
  [[nodiscard]] auto MinRetryAfter(const WorkItem& aItem) const -> Duration;
  auto TryStart(const WorkItem& aItem, Instant aNow, RejectDecision* aRejection)
    -> bool;
  /// The engine for a prompt that may start at aCandidate: one with room where
  /// the service limits the gaps of streams, else aCandidate. Empty if the
  /// prompt should wait for room, for which there is time.
  auto Pace(const WorkItem& aItem,
            const RoutedService& aService,
            SelectionLimits aLimits,
            const Candidate& aCandidate,
            Instant aNow) -> std::optional<Candidate>;
  /// Whether the request only waits for room beside streams and has to start
  /// now: pacing must not cause a rejection.
  [[nodiscard]] auto MustStart(const WorkItem& aItem, Instant aNow) const
    -> bool;
  /// The gap limit of the engine's service; zero if there is none.
  [[nodiscard]] auto GapLimitAt(TargetId aTarget) const -> Duration;
  /// Prompt tokens of peers at the engines of these rows, in order.
  auto PeerPrompts(const std::vector<wire::TargetUse>& aRows)
    -> std::vector<int>;
  /// Counts the prompts that peers sent since their tokens were aBefore.
  auto PacePeerPrompts(const std::vector<wire::TargetUse>& aRows,
                       const std::vector<int>& aBefore,
                       Instant aNow) -> void;
  auto Start(const WorkItem& aItem,
             const Candidate& aCandidate,
             const RoutedService& aService,
             ShareStanding aStanding,
             Instant aNow) -> void;
  /// Whether accounts within their share were recently rejected.
  [[nodiscard]] auto IsUnderPressure(Instant aNow) const -> bool;
  auto Reject(const WorkItem& aItem, RejectDecision aRejection, Instant aNow)
    -> void;
  /// Time until the first paused target of a service accepts requests again;
  /// zero if one is not paused.
  auto MinRemainingPause(ServiceId aService, Instant aNow) -> Duration;
  auto ChooseRetryAfter(const WorkItem& aItem, Instant aNow) -> Duration;
  /// Whether all targets stay paused beyond aWaitDeadline.
  [[nodiscard]] static auto PauseOutlastsWait(const RejectDecision& aRejection,
                                              Instant aWaitDeadline,
                                              Instant aNow) -> bool;
  [[nodiscard]] static auto ChargedTokens(const WorkItem& aItem)
    -> std::int64_t;

public:
  Dispatcher(TargetDirectory* aDirectory,
             ZoneId aHome,
             std::uint32_t aSeed,
             const ForwardingPolicy& aPolicy = {});

  /// Sets the function that is called when the answer of a run is whole.
  auto SetWholeHandler(WholeHandler aHandler) -> void;
  /// When a request that finds no capacity is rejected.
  [[nodiscard]] auto WaitDeadline(const WorkItem& aItem) const -> Instant;

  auto SetTable(RouteTablePointer aTable) -> void;
  /// Accepts a request; decides at once or in a later RetryWaiting.
  auto Submit(WorkItem aItem, Instant aNow) -> void;
  /// Drops the waiting request.
  auto Withdraw(RequestId aRequest) -> void;
  /// The first event of the run was received.
  auto OnFirstEvent(RequestId aRequest, Instant aNow) -> void;
  auto OnRunEnd(RequestId aRequest, RunOutcome aOutcome, Instant aNow) -> void;
  /// A gap between two events of a stream of this router was observed.
  auto LearnEventGap(ServiceId aService, Duration aGap) -> void;
  /// Takes over a run that another router placed.
  auto AdoptRun(RequestId aRequest,
                TargetId aTarget,
                const LoadAmounts& aAdds,
                bool aHasFirstEvent) -> void;
  /// Sends no requests to the target until aUntil.
  auto PauseTarget(TargetId aTarget, Instant aUntil) -> void;
  /// Retries waiting requests and rejects those whose wait has expired.
  auto RetryWaiting(Instant aNow) -> void;
  auto TakeDecisions() -> std::vector<DispatchDecision>;

  auto OnPeerReport(RouterId aPeer,
                    const wire::LoadReport& aReport,
                    Instant aNow) -> void;
  /// The changes since the last report, or the full load if aFull, as for a
  /// peer that has no report yet.
  auto MakeReport(bool aFull, Instant aNow) -> wire::LoadReport;
  /// Whether runs have changed since the last report.
  [[nodiscard]] auto HasLoadChanged() const -> bool;
  auto Tick(Instant aNow) -> void;

  [[nodiscard]] auto WaitingCount() const -> std::size_t;
  [[nodiscard]] auto RunningCount() const -> std::size_t;
  [[nodiscard]] auto Loads() const -> const TargetLoadTable&;
  [[nodiscard]] auto EngineEstimates() const -> std::vector<EngineEstimate>;
  [[nodiscard]] auto PacingEstimates() const -> std::vector<PacingEstimate>;
  [[nodiscard]] auto Pacing() const -> const PacingCounters&;
  [[nodiscard]] auto ShareLevels() const -> const AccountShares::Levels&;
  /// Requests started or rejected since the process started.
  [[nodiscard]] auto DecisionCount() const -> std::int64_t;
};

} // namespace burdockring

#endif
