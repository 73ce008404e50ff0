#ifndef BURDOCKRING_PROCESS_FORWARDING_FORWARDING_NODE_H
#define BURDOCKRING_PROCESS_FORWARDING_FORWARDING_NODE_H

#include "process/forwarding/belief_log.h"
#include "process/forwarding/config_in_force.h"
#include "process/forwarding/dispatcher.h"
#include "process/forwarding/event_log.h"
#include "process/forwarding/forwarding_effects.h"
#include "process/forwarding/own_capacity.h"
#include "process/forwarding/peer_exchange.h"
#include "process/forwarding/placement_client.h"
#include "process/forwarding/placement_server.h"
#include "process/forwarding/policy.h"
#include "process/forwarding/retry_allowance.h"
#include "process/forwarding/store_epoch.h"
#include "process/forwarding/target_directory.h"
#include "request/request_facts.h"
#include "request/request_machine.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdockring {

/// Bounds that a deployment sets.
struct ForwardingOptions
{
  /// A key is judged only by a configuration that was the newest so lately.
  Duration keyFreshness_ = 5s;
  RetryBudgetLimits retries_;
  /// What the process was started with; later settings don't change it.
  ForwardingPolicy policy_;
};

/// A request as it was read from its caller.
struct ForwardArrival
{
  RequestId id_ = 0;
  std::string host_;
  /// Path and query.
  std::string target_;
  RequestFacts facts_;
  /// When it was read.
  Instant received_{};
};

/// How far an attempt got before it broke.
enum class AttemptStage
{
  /// No byte was written.
  kUnsent,
  /// The request may have reached the target.
  kSent,
  /// The target's answer has begun.
  kAnswering,
};

/// Which requests a router that stops still takes on: what might not end before
/// the process does is turned away.
enum class Intake
{
  kAll,
  kNoStreams,
  kNone,
};

/// What becomes of a request before it is queued.
enum class ArrivalVerdict
{
  kTaken,
  kNoConfiguration,
  /// The configuration is too old to judge keys or missing routes by.
  kStale,
  kNoRoute,
  kUnknownKey,
  /// This router's processor does not keep up.
  kOverloaded,
  kStopping,
};

/// Counts since the process started.
struct ForwardingCounters
{
  std::int64_t arrived_ = 0;
  std::int64_t whole_ = 0;
  std::int64_t turnedAway_ = 0;
  std::int64_t unknown_ = 0;
  std::int64_t cancelled_ = 0;
  std::int64_t retries_ = 0;
  std::int64_t resumes_ = 0;
  /// Requests whose target copies their beginning from another.
  std::int64_t copies_ = 0;
  std::int64_t staleKeys_ = 0;
  /// Turned away as this router's own processor does not keep up.
  std::int64_t overloads_ = 0;
  /// Placements at a target that this router knows to take nothing.
  std::int64_t misplaced_ = 0;
};

/// All decisions of a router that passes requests on whole: which route and
/// account, when and where to send, what to do when an attempt fails, and what
/// the caller may be told. Without I/O: calls come in with the time, effects go
/// out. Instants are readings of BootNow.
class ForwardingNode
{
  struct Request
  {
    ForwardArrival arrival_;
    RouteTablePointer table_;
    const RouteObject* route_ = nullptr;
    WorkItem item_;
    std::string account_;
    RequestMachine machine_;
    Instant deadline_{};
    int attempt_ = 0;
    /// The target of the last attempt.
    TargetId target_;
    /// Whether an attempt is under way.
    bool attempting_ = false;
    /// Attempts that may have reached a target.
    int sentAttempts_ = 0;
    int unsentFailures_ = 0;
    /// Placements that were given back, as this router knew better.
    int misplaced_ = 0;
    bool answering_ = false;
    std::optional<std::uint64_t> lastEvent_;
  };

  ForwardingOptions options_;
  EventLog* log_;
  ConfigInForceState config_;
  TargetDirectory directory_;
  Dispatcher dispatcher_;
  std::map<RequestId, std::unique_ptr<Request>> requests_;
  std::set<std::pair<Instant, RequestId>> deadlines_;
  std::map<ServiceId, RetryBudgetShare> allowances_;
  ForwardingEffects effects_;
  PeerExchange peers_;
  PlacementClient placements_;
  PlacementServer placementServer_;
  BeliefLog beliefLog_;
  OverloadController capacity_;
  StoreEpoch storeEpoch_;
  /// Whether a list of the routers has come yet.
  bool knowsRouters_ = false;
  /// Until when peers are believed on which targets are gone.
  Instant learnsGoneUntil_{};
  ForwardingCounters counters_;
  bool stopping_ = false;
  Intake intake_ = Intake::kAll;

  auto Find(RequestId aRequest) -> Request*;
  auto Erase(const Request& aRequest) -> void;
  /// Finds the request's route and whether this router takes it on.
  auto CheckRoute(Request* aRequest) -> ArrivalVerdict;
  /// Finds the account, where the route needs a key.
  auto CheckKey(Request* aRequest) -> ArrivalVerdict;
  /// Whether the configuration is fresh enough to say what is not allowed.
  [[nodiscard]] auto IsFresh(const Request& aRequest) const -> bool;
  /// Takes one more send of the request from the fleet's allowance.
  auto SpendRetry(const Request& aRequest, Instant aNow) -> bool;
  auto RefuseArrival(Request* aRequest, ArrivalVerdict aVerdict, Instant aNow)
    -> void;
  auto FillItem(Request* aRequest) const -> void;
  [[nodiscard]] static auto ChooseService(const RouteObject& aRoute,
                                          const std::string& aAttemptId)
    -> ServiceId;
  auto Refuse(Request* aRequest,
              int aStatus,
              Duration aRetryAfter,
              std::string_view aCode) -> void;
  /// Ends a request; the status tells whether it surely did not run.
  auto End(Request* aRequest, Duration aRetryAfter, std::string_view aCode)
    -> int;
  /// Ends a request whose run is no longer possible or is not known.
  auto GiveUp(Request* aRequest, Duration aRetryAfter, std::string_view aCode)
    -> void;
  auto StopRun(Request* aRequest, Instant aNow) -> void;
  auto TryAgain(Request* aRequest, Instant aNow) -> void;
  auto TakeVerdicts(Instant aNow) -> void;
  auto Apply(const StartWork& aVerdict, Instant aNow) -> void;
  auto LogSent(const Request& aRequest,
               const StartWork& aVerdict,
               const ListedTarget& aTarget,
               Instant aNow) -> void;
  /// The name of a lead, or this router's own where none is given.
  [[nodiscard]] auto NameOfLead(std::optional<RouterId> aLead) const
    -> std::string_view;
  /// Whether this router itself heard that the target takes nothing now.
  [[nodiscard]] auto TakesNothing(TargetId aTarget, Instant aNow) const -> bool;
  /// Has a request placed anew whose target takes nothing.
  auto PlaceElsewhere(Request* aRequest, TargetId aTarget, Instant aNow)
    -> void;
  auto Apply(const RejectWork& aVerdict, Instant aNow) -> void;
  auto Expire(Instant aNow) -> void;
  auto LogChanges() -> void;
  /// Whether one of the routers entered itself before the store came back from
  /// an older copy.
  [[nodiscard]] auto ShowsOlderCopy(
    const std::vector<RouterAddress>& aRouters) const -> bool;

public:
  ForwardingNode(const ForwardingOptions& aOptions,
                 RouterAddress aSelf,
                 std::int64_t aIncarnation,
                 EventLog* aLog);

  auto SetOptions(const ForwardingOptions& aOptions) -> void;

  auto OnArrival(ForwardArrival aArrival, Instant aNow) -> void;
  /// The caller closed its connection.
  auto OnCallerGone(RequestId aRequest, Instant aNow) -> void;
  /// The attempt's first byte is about to be written.
  auto OnAttemptSent(RequestId aRequest, int aAttempt) -> void;
  /// The target's answer has begun to go to the caller.
  auto OnAnswerBegun(RequestId aRequest, int aAttempt, Instant aNow) -> void;
  /// A whole event went to the caller.
  auto OnEventForwarded(RequestId aRequest, std::uint64_t aEvent) -> void;
  /// The answer went to the caller whole; aSuccess: it was no error of the
  /// target.
  auto OnAnswerWhole(RequestId aRequest,
                     int aAttempt,
                     bool aSuccess,
                     Instant aNow) -> void;
  /// The attempt's target said something of itself.
  auto OnTargetNotice(RequestId aRequest,
                      int aAttempt,
                      const TargetNotice& aNotice,
                      Instant aNow) -> void;
  /// The target said that it did not run the request.
  auto OnAttemptRefused(RequestId aRequest, int aAttempt, Instant aNow) -> void;
  auto OnAttemptFailed(RequestId aRequest,
                       int aAttempt,
                       AttemptStage aStage,
                       std::string_view aCause,
                       Instant aNow) -> void;

  /// A configuration came from the store, where it was the newest at aAsOf, or
  /// from a peer, if aAsOf is zero.
  auto OnConfiguration(RouteTablePointer aTable,
                       std::string aText,
                       Instant aAsOf) -> void;
  auto OnConfigurationConfirmed(Instant aAsOf) -> void;
  /// The epoch of the store that an answer or a peer's news belongs to.
  auto OnStoreEpoch(std::optional<std::int64_t> aEpoch, Instant aNow)
    -> EpochOrder;
  auto Directory() -> TargetDirectory&;
  auto OnRouters(const std::vector<RouterAddress>& aRouters, Instant aNow)
    -> void;
  auto OnPeer(const wire::Envelope& aEnvelope, Instant aNow) -> void;
  /// Time until this router should read a list itself; zero: now.
  auto TimeToRead(SharedList aList, bool aFirst, Instant aNow) -> Duration;
  /// An own read of a list has ended; its news is for the routers near by.
  auto OnListRead(SharedList aList,
                  bool aSuccess,
                  std::optional<wire::ListNews> aNews,
                  Instant aNow) -> void;

  /// The timer of a Tick ran so late.
  auto NoteLateness(Duration aLateness, Instant aNow) -> void;
  /// Time has passed; call at least as often as NextWake says.
  auto Tick(Instant aNow) -> void;
  /// When Tick has something to do.
  [[nodiscard]] auto NextWake(Instant aNow) const -> Instant;
  auto Stop() -> void;
  /// Which requests are taken on from now on.
  auto SetIntake(Intake aIntake) -> void;

  auto TakeEffects() -> ForwardingEffects;

  /// Whether a balancer should send new connections here.
  [[nodiscard]] auto IsReady() const -> bool;
  [[nodiscard]] auto IsStopping() const -> bool;
  /// Whether this router's own processor does not keep up.
  [[nodiscard]] auto IsOverloaded() const -> bool;
  [[nodiscard]] auto RequestCount() const -> std::size_t;
  [[nodiscard]] auto Table() const -> const RouteTablePointer&;
  [[nodiscard]] auto ConfigAge(Instant aNow) const -> Duration;
  [[nodiscard]] auto Counters() const -> const ForwardingCounters&;
  [[nodiscard]] auto Work() const -> const Dispatcher&;
  [[nodiscard]] auto Placements() const -> const PlacementClient&;
  [[nodiscard]] auto PlacementsForOthers() const -> const PlacementServer&;
  [[nodiscard]] auto Peers() const -> const PeerTable&;
  [[nodiscard]] auto AccountOf(RequestId aRequest) const -> std::string_view;
  [[nodiscard]] auto RouteOf(RequestId aRequest) const -> const RouteObject*;
};

} // namespace burdockring

#endif
