#ifndef BURDOCKRING_PROCESS_FORWARDING_FORWARDING_NODE_H
#define BURDOCKRING_PROCESS_FORWARDING_FORWARDING_NODE_H

#include "process/admission/admission.h"
#include "process/admission/overload_controller.h"
#include "process/admission/retry_budget_share.h"
#include "process/forwarding/event_log.h"
#include "process/forwarding/forwarding_effects.h"
#include "process/peers/active_config.h"
#include "process/peers/peer_exchange.h"
#include "process/peers/store_epoch_tracker.h"
#include "process/placement/dispatcher.h"
#include "process/placement/placement_client.h"
#include "process/placement/placement_server.h"
#include "process/placement/placement_state_log.h"
#include "process/placement/policy.h"
#include "process/placement/target_directory.h"
#include "process/placement/zone_drains.h"
#include "process/quarantine/part_quarantine.h"
#include "request/event_gap_meter.h"
#include "request/request_metadata.h"
#include "request/request_state_machine.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdockring {

/// Limits set by the deployment.
struct ForwardingOptions
{
  /// Maximum age of the last confirmation of the configuration when it is used
  /// to check a key.
  Duration maxConfigAgeForKeys_ = 5s;
  RetryBudgetLimits retries_;
  /// Rate limit of all routers together for a cold target.
  ColdStartLimits coldStarts_;
  /// Shortest outage of the store in which registrations of live targets may
  /// expire.
  Duration minExpiringOutage_ = 1800ms;
  /// Fixed at process start; later settings don't change it.
  ForwardingPolicy policy_;
};

/// A request as read from the caller.
struct IncomingRequest
{
  RequestId id_ = 0;
  std::string host_;
  /// Path and query.
  std::string target_;
  RequestMetadata facts_;
  /// When it was read.
  Instant received_{};
};

/// How far an attempt got before it failed.
enum class AttemptStage
{
  /// No byte was written.
  kUnsent,
  /// Nothing listens on the target's port. No byte was written.
  kConnectionRefused,
  /// The request may have reached the target.
  kSent,
  /// The target's response has started.
  kResponding,
  /// The request may have reached the target, and its VM acknowledges nothing
  /// any more: it or the path to it is gone since some time.
  kTimedOut,
  /// The target's response can't be used; the router closed the connection.
  kInvalidResponse,
};

/// Counts since the process started.
struct ForwardingCounters
{
  std::int64_t arrived_ = 0;
  std::int64_t whole_ = 0;
  std::int64_t rejected_ = 0;
  std::int64_t unknownOutcomes_ = 0;
  std::int64_t cancelled_ = 0;
  std::int64_t retries_ = 0;
  std::int64_t resumes_ = 0;
  /// Attempts that reached a target and broke before their answer began.
  std::int64_t lostBeforeAnswer_ = 0;
  /// Attempts that broke after their answer had begun.
  std::int64_t lostInAnswer_ = 0;
  /// Attempts that failed before a byte was written.
  std::int64_t unsentFailures_ = 0;
  /// Requests whose target copies their prefix from another target.
  std::int64_t copies_ = 0;
  std::int64_t staleKeyChecks_ = 0;
  /// Requests rejected because this router's CPU is overloaded.
  std::int64_t overloadRejections_ = 0;
  /// Placements on a target that this router knows to be unavailable.
  std::int64_t misplaced_ = 0;
  /// Answers of targets replaced by an error, as their status would have told
  /// the caller of a request that may have run that it did not.
  std::int64_t withheldAnswers_ = 0;
  /// Requests ended because a part of their prompt crashes targets.
  std::int64_t quarantinedRequests_ = 0;
};

/// Makes all decisions of a router that forwards requests: which route and
/// account apply, when and where to send, what to do when an attempt fails, and
/// which error the caller gets. Performs no I/O: events are passed in with the
/// current time and effects are returned. Instants are readings of BootNow.
class ForwardingNode
{
  struct Request
  {
    IncomingRequest arrival_;
    RouteTablePointer table_;
    const RouteObject* route_ = nullptr;
    WorkItem item_;
    std::string account_;
    RequestStateMachine machine_;
    Instant deadline_{};
    int attempt_ = 0;
    /// The target of the last attempt.
    TargetId target_;
    /// Whether an attempt is in progress.
    bool attemptActive_ = false;
    /// Whether the answer of the last attempt has begun.
    bool attemptBegan_ = false;
    /// When the last attempt's answer began, if it has: a stream with its first
    /// event, another answer with its head.
    std::optional<Instant> answerSince_;
    /// Whole events of the last attempt's stream.
    int answerEvents_ = 0;
    /// Attempts that a target lost before their answer began.
    int lostBeforeAnswer_ = 0;
    /// How far the answers had come that targets lost; empty where none had
    /// begun.
    std::vector<std::optional<LostAnswer>> lostAnswers_;
    /// Parts of the prompt that other requests may share.
    PartIds sharedParts_;
    /// Attempts that may have reached a target.
    int sentAttempts_ = 0;
    int unsentFailures_ = 0;
    /// Placements rejected because this router knew the target was unavailable.
    int misplaced_ = 0;
    bool responseStarted_ = false;
    std::optional<std::uint64_t> lastEvent_;
    EventGapMeter gaps_;
  };

  ForwardingOptions options_;
  EventLog* log_;
  ActiveConfig config_;
  TargetDirectory directory_;
  ZoneDrains drains_;
  Dispatcher dispatcher_;
  std::map<RequestId, std::unique_ptr<Request>> requests_;
  std::set<std::pair<Instant, RequestId>> deadlines_;
  std::map<ServiceId, RetryBudgetShare> retryBudgets_;
  ForwardingEffects effects_;
  PartQuarantine quarantine_;
  PeerExchange peers_;
  PlacementClient placements_;
  PlacementServer placementServer_;
  PlacementStateLog placementStateLog_;
  OverloadController overloadController_;
  StoreEpochTracker storeEpoch_;
  /// Whether a router list has been received.
  bool hasRouterList_ = false;
  /// Until when peers' reports of gone targets are accepted.
  Instant acceptGoneReportsUntil_{};
  ForwardingCounters counters_;
  bool stopping_ = false;
  AdmissionMode admissionMode_ = AdmissionMode::kAll;
  /// When the process exits, if it is known.
  std::optional<Instant> exitAt_;

  auto Find(RequestId aRequest) -> Request*;
  /// Instance name of the target, for log lines.
  [[nodiscard]] auto TargetName(TargetId aTarget) const -> std::string_view;
  auto Erase(const Request& aRequest) -> void;
  /// Reports the gaps between the events of a stream that ends.
  auto ReportEventGaps(const Request& aRequest) -> void;
  /// Finds the request's route and checks whether this router accepts it.
  auto CheckRoute(Request* aRequest) -> AdmissionResult;
  /// Finds the account if the route requires a key.
  auto CheckKey(Request* aRequest) -> AdmissionResult;
  /// How long the request may take.
  [[nodiscard]] static auto TimeLimit(const Request& aRequest) -> Duration;
  /// Whether the process may exit before the request is done.
  [[nodiscard]] auto MayOutlastProcess(const Request& aRequest) const -> bool;
  /// Whether the configuration is recent enough to reject a key or a route.
  [[nodiscard]] auto IsFresh(const Request& aRequest) const -> bool;
  /// Charges one retry of the request to the fleet's retry budget.
  auto TrySpendRetry(const Request& aRequest, Instant aNow) -> bool;
  auto RejectOnArrival(Request* aRequest,
                       AdmissionResult aDecision,
                       Instant aNow) -> void;
  auto FillWorkItem(Request* aRequest) const -> void;
  [[nodiscard]] static auto ChooseService(const RouteObject& aRoute,
                                          const std::string& aAttemptId)
    -> ServiceId;
  auto FailAndErase(Request* aRequest,
                    int aStatus,
                    Duration aRetryAfter,
                    std::string_view aCode) -> void;
  /// Ends a request and returns the status, which tells the caller whether the
  /// request certainly did not run.
  auto EndWithError(Request* aRequest,
                    Duration aRetryAfter,
                    std::string_view aCode) -> int;
  /// Ends a request that can't run any more or whose outcome is unknown, and
  /// logs it.
  auto GiveUp(Request* aRequest, Duration aRetryAfter, std::string_view aCode)
    -> void;
  auto CancelRun(Request* aRequest, Instant aNow) -> void;
  /// Whether no part of the request's prompt is in quarantine.
  auto IsAdmittedByQuarantine(const Request& aRequest, Instant aNow) -> bool;
  /// Ends the request because a part of its prompt is in quarantine.
  auto EndQuarantined(Request* aRequest, Instant aNow) -> void;
  /// Ends queued requests, and those sent whose answer has not begun, with
  /// parts that are in quarantine now.
  auto EnforceQuarantine(Instant aNow) -> void;
  /// Records what a failed attempt tells about the request and its target.
  auto RecordFailure(Request* aRequest, AttemptStage aStage, Instant aNow)
    -> void;
  /// How far the last attempt's answer has come; empty if it has not begun.
  [[nodiscard]] static auto AnswerSoFar(const Request& aRequest, Instant aNow)
    -> std::optional<LostAnswer>;
  /// Whether targets seem to be lost by the request itself.
  [[nodiscard]] auto MayCrashTargets(const Request& aRequest) const -> bool;
  /// Judges the evidence against parts of prompts, and has its results take
  /// effect.
  auto UpdateQuarantine(Instant aNow) -> void;
  /// Passes the progress of this router's answers to the quarantine.
  auto ObserveAnswers(Instant aNow) -> void;
  [[nodiscard]] auto MayRetry(Request* aRequest,
                              AttemptStage aStage,
                              Instant aNow) -> bool;
  auto Resubmit(Request* aRequest, Instant aNow) -> void;
  auto TakeDecisions(Instant aNow) -> void;
  auto Apply(const StartDecision& aDecision, Instant aNow) -> void;
  auto LogSent(const Request& aRequest,
               const StartDecision& aDecision,
               const RegisteredTarget& aTarget,
               Instant aNow) -> void;
  /// Name of the lead, or of this router if none is given.
  [[nodiscard]] auto LeadName(std::optional<RouterId> aLead) const
    -> std::string_view;
  /// Whether this router itself knows that the target accepts no requests now.
  [[nodiscard]] auto IsTargetUnavailable(TargetId aTarget, Instant aNow) const
    -> bool;
  /// Submits a request again whose selected target is unavailable.
  auto RequestNewPlacement(Request* aRequest, TargetId aTarget, Instant aNow)
    -> void;
  auto LogAttemptFailed(const Request& aRequest,
                        AttemptStage aStage,
                        std::string_view aCause,
                        bool aRetries,
                        Instant aNow) -> void;
  auto Apply(const RejectDecision& aDecision, Instant aNow) -> void;
  auto ExpireRequests(Instant aNow) -> void;
  auto LogTargetChanges() -> void;
  auto OnPeerDrains(const wire::ZoneDrainList& aList, Instant aNow) -> void;
  /// Has drains that began or ended take effect.
  auto ApplyDrainChanges(Instant aNow) -> void;
  /// Whether a router's entry is of an older store epoch: it was written before
  /// the store was restored from an older copy.
  [[nodiscard]] auto HasOlderStoreEpoch(
    const std::vector<RouterAddress>& aRouters) const -> bool;

public:
  ForwardingNode(const ForwardingOptions& aOptions,
                 RouterAddress aSelf,
                 std::int64_t aIncarnation,
                 EventLog* aLog);

  auto SetOptions(const ForwardingOptions& aOptions) -> void;

  auto OnArrival(IncomingRequest aArrival, Instant aNow) -> void;
  /// The caller closed its connection.
  auto OnCallerDisconnected(RequestId aRequest, Instant aNow) -> void;
  /// The attempt's first byte is about to be written.
  auto OnAttemptSent(RequestId aRequest, int aAttempt) -> void;
  /// The head of the target's response was received.
  auto OnResponseHead(RequestId aRequest, int aAttempt, Instant aNow) -> void;
  /// The first part of the target's response is being sent to the caller.
  auto OnResponseStarted(RequestId aRequest, int aAttempt, Instant aNow)
    -> void;
  /// A complete event was sent to the caller.
  auto OnEventForwarded(RequestId aRequest, std::uint64_t aEvent) -> void;
  /// Complete events, with or without ids, were sent to the caller.
  auto OnEventsForwarded(RequestId aRequest,
                         int aAttempt,
                         int aCount,
                         Instant aNow) -> void;
  /// The complete response was sent to the caller. aSuccess: it was not an
  /// error of the target.
  auto OnResponseComplete(RequestId aRequest,
                          int aAttempt,
                          bool aSuccess,
                          Instant aNow) -> void;
  /// The target answered with a status that denies a run, without stating that
  /// it did not run the request. The caller must not take it for a promise.
  auto OnResponseWithheld(RequestId aRequest,
                          int aAttempt,
                          int aStatus,
                          Instant aNow) -> void;
  /// The attempt's target announced that it is leaving or wants a pause.
  auto OnTargetNotice(RequestId aRequest,
                      int aAttempt,
                      const TargetNotice& aNotice,
                      Instant aNow) -> void;
  /// The target reported that it did not run the request.
  auto OnAttemptRefused(RequestId aRequest, int aAttempt, Instant aNow) -> void;
  auto OnAttemptFailed(RequestId aRequest,
                       int aAttempt,
                       AttemptStage aStage,
                       std::string_view aCause,
                       Instant aNow) -> void;

  /// A configuration was received from the store, where it was the newest at
  /// aAsOf, or from a peer if aAsOf is zero. With kMayBeReplaced it comes from
  /// the store and confirms nothing.
  auto OnConfiguration(RouteTablePointer aTable,
                       std::string aText,
                       Instant aAsOf) -> void;
  auto OnConfigurationConfirmed(Instant aAsOf) -> void;
  /// The store epoch that a response or a peer's update belongs to.
  auto OnStoreEpoch(std::optional<std::int64_t> aEpoch, Instant aNow)
    -> EpochOrder;
  /// Records of zone drains, all of them if aIsSnapshot, that were read from
  /// the store up to the offset.
  auto OnZoneDrains(const std::vector<ZoneDrainRecord>& aRecords,
                    bool aIsSnapshot,
                    std::int64_t aOffset,
                    Instant aNow) -> void;
  auto Directory() -> TargetDirectory&;
  /// A quarantine that was stored before this process started.
  auto OnStoredQuarantine(const StoredQuarantine& aQuarantine, Instant aNow)
    -> void;
  auto OnRouters(const std::vector<RouterAddress>& aRouters, Instant aNow)
    -> void;
  auto OnPeer(const wire::Envelope& aEnvelope, Instant aNow) -> void;
  /// Time until this router should read a list itself; zero: now.
  auto TimeToRead(SharedList aList, bool aIsFirstRead, Instant aNow)
    -> Duration;
  /// This router's own read of a list has ended. aNews is forwarded to other
  /// routers.
  auto OnListRead(SharedList aList,
                  bool aSuccess,
                  std::optional<wire::ListNews> aNews,
                  Instant aNow) -> void;

  /// Records how late the timer for a Tick fired.
  auto RecordTimerLateness(Duration aLateness, Instant aNow) -> void;
  /// Advances time; call at the latest when NextWake says.
  auto Tick(Instant aNow) -> void;
  /// When Tick must be called next.
  [[nodiscard]] auto NextWake(Instant aNow) const -> Instant;
  auto Stop() -> void;
  /// Sets which requests are accepted from now on.
  auto SetAdmissionMode(AdmissionMode aMode) -> void;
  /// The process exits at this time, complete answers or not: requests that may
  /// take longer are rejected.
  auto SetExit(Instant aAt) -> void;

  auto TakeEffects() -> ForwardingEffects;

  /// Whether a load balancer should send new connections here.
  [[nodiscard]] auto IsReady() const -> bool;
  [[nodiscard]] auto IsStopping() const -> bool;
  /// Whether this router's CPU is overloaded.
  [[nodiscard]] auto IsOverloaded() const -> bool;
  [[nodiscard]] auto RequestCount() const -> std::size_t;
  [[nodiscard]] auto Table() const -> const RouteTablePointer&;
  [[nodiscard]] auto ConfigAge(Instant aNow) const -> Duration;
  [[nodiscard]] auto Counters() const -> const ForwardingCounters&;
  [[nodiscard]] auto WorkDispatcher() const -> const Dispatcher&;
  [[nodiscard]] auto Placements() const -> const PlacementClient&;
  [[nodiscard]] auto PlacementsForOthers() const -> const PlacementServer&;
  [[nodiscard]] auto Peers() const -> const PeerTable&;
  [[nodiscard]] auto Quarantine() const -> const PartQuarantine&;
  [[nodiscard]] auto DrainedZoneCount() const -> std::size_t;
  [[nodiscard]] auto AccountOf(RequestId aRequest) const -> std::string_view;
  [[nodiscard]] auto RouteOf(RequestId aRequest) const -> const RouteObject*;
};

} // namespace burdockring

#endif
