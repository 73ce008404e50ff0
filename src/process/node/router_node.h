#ifndef BURDOCKRING_PROCESS_NODE_ROUTER_NODE_H
#define BURDOCKRING_PROCESS_NODE_ROUTER_NODE_H

#include "process/claims/claim_coordinator.h"
#include "process/membership/peer_table.h"
#include "process/node/leaving_list.h"
#include "process/node/node_effects.h"
#include "process/node/node_events.h"
#include "process/node/request_table.h"
#include "process/node/scheduler_set.h"
#include "process/sharing/service_pool.h"
#include "request/retry_budget.h"
#include "version/config_replica.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdockring {

struct NodeOptions
{
  SharingOptions sharing_;
  ClaimOptions claims_;
  /// Interval at which the active configuration is written to the log again.
  Duration snapshotInterval_ = 60s;
};

/// Clock readings at the time of an event.
struct NodeTime
{
  Instant now_{};
  WallTime wall_{};
};

/// Counters since process start.
struct NodeCounters
{
  std::int64_t accepted_ = 0;
  std::int64_t whole_ = 0;
  std::int64_t notRun_ = 0;
  std::int64_t unknown_ = 0;
  std::int64_t retries_ = 0;
  std::int64_t malformedRecords_ = 0;
  std::int64_t peerMessagesIn_ = 0;
  std::int64_t peerMessagesOut_ = 0;
};

/// Decision logic of one router without I/O: handles typed events, given with
/// their time, and returns typed effects. It starts no threads, opens no
/// sockets and reads no clock, so the same events always produce the same
/// effects.
class RouterNode
{
  NodeOptions options_;
  std::int64_t incarnation_;
  PeerTable peers_;
  SchedulerSet schedulers_;
  ConfigReplica config_;
  ClaimCoordinator claims_;
  RequestTable requests_;
  std::map<ServiceId, ServicePool> pools_;
  std::map<ServiceId, RetryBudget> budgets_;
  LeavingList leaving_;
  std::deque<wire::Envelope> loopback_;
  NodeCounters counters_;
  NodeEffects effects_;
  NodeTime time_;
  Instant lastTick_{};
  Instant lastSnapshot_{};
  Instant lastConfigRequest_{};
  bool stopping_ = false;

  auto On(const TickEvent& aEvent) -> void;
  auto On(const RequestArrived& aEvent) -> void;
  auto On(const CallerGone& aEvent) -> void;
  auto On(const AttemptSent& aEvent) -> void;
  auto On(const AttemptProgress& aEvent) -> void;
  auto On(const AttemptEnded& aEvent) -> void;
  auto On(const AttemptRefused& aEvent) -> void;
  auto On(const AttemptFailed& aEvent) -> void;
  auto On(const PeerReceived& aEvent) -> void;
  auto On(const AppendReplied& aEvent) -> void;
  auto On(const LogRead& aEvent) -> void;
  auto On(const VmListRead& aEvent) -> void;
  auto On(const StopRequested& aEvent) -> void;

  auto OnEnvelope(const wire::Envelope& aEnvelope) -> void;
  auto OnConfigOffer(const wire::ConfigOffer& aOffer) -> void;
  auto ApplyRecord(LogOffset aOffset, const LogRecord& aRecord) -> void;
  auto ApplyConfig() -> void;
  auto AddLeavingTarget(TargetId aTarget) -> void;
  auto RefreshLeaving() -> void;
  auto RefreshSchedulers() -> void;
  auto ReportPeerChanges() -> void;
  auto SendHeartbeats() -> void;
  auto RequestNewerConfig() -> void;
  auto WriteSnapshot() -> void;
  auto ProcessPending() -> void;
  auto ApplyClaimVerdicts() -> void;
  auto ExpireQueues() -> void;
  auto DispatchAll() -> void;
  auto RunSchedulers() -> void;
  auto SendReports() -> void;
  auto DeliverLoopback() -> bool;
  auto Send(RouterId aRouter, wire::Envelope aEnvelope) -> void;

  auto Enqueue(RequestRecord* aRecord, bool aAtFront) -> void;
  auto StartAttemptOn(const DispatchOrder& aOrder) -> void;
  auto EndAttempt(RequestRecord* aRecord, const TargetStats& aSighting) -> void;
  auto RetryOrGiveUp(RequestRecord* aRecord, ResponseCode aCode, bool aSent)
    -> void;
  auto GiveUp(RequestRecord* aRecord, ResponseCode aCode) -> void;
  auto Finish(RequestRecord* aRecord, const Response& aResponse) -> void;
  [[nodiscard]] auto CheckAdmission(const RequestArrived& aEvent)
    -> ResponseCode;
  [[nodiscard]] auto RetryAfter(ServiceId aService) const -> Duration;
  auto CountResponse(RunState aState) -> void;
  auto GetPool(ServiceId aService) -> ServicePool&;

public:
  RouterNode(const NodeOptions& aOptions,
             RouterAddress aSelf,
             std::int64_t aIncarnation);

  /// Handles one event and returns the effects for the caller to carry out.
  auto Handle(const NodeEvent& aEvent, NodeTime aTime) -> NodeEffects;

  /// Whether a load balancer should send requests to this router.
  [[nodiscard]] auto IsReady() const -> bool;
  [[nodiscard]] auto IsStopping() const -> bool;
  /// Whether the router is stopping and has no unfinished requests.
  [[nodiscard]] auto IsDrained() const -> bool;
  [[nodiscard]] auto IsLogUsable() const -> bool;
  [[nodiscard]] auto Config() const -> const ConfigReplica&;
  [[nodiscard]] auto Peers() const -> const PeerTable&;
  [[nodiscard]] auto Pools() const -> const std::map<ServiceId, ServicePool>&;
  [[nodiscard]] auto Counters() const -> const NodeCounters&;
  [[nodiscard]] auto LeavingTargets() const -> const std::set<TargetId>&;
  [[nodiscard]] auto Claims() const -> const ClaimCoordinator&;
  [[nodiscard]] auto RequestCount() const -> std::size_t;
  /// The scheduler that this router runs for a zone and service, or null.
  [[nodiscard]] auto Scheduler(ZoneId aZone, ServiceId aService) const
    -> const ZoneScheduler*;
};

} // namespace burdockring

#endif
