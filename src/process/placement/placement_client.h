#ifndef BURDOCKRING_PROCESS_PLACEMENT_PLACEMENT_CLIENT_H
#define BURDOCKRING_PROCESS_PLACEMENT_PLACEMENT_CLIENT_H

#include "process/forwarding/event_log.h"
#include "process/membership/peer_table.h"
#include "process/placement/dispatcher.h"
#include "process/placement/placement_wire.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace burdockring {

/// Counts since the process started.
struct PlacementCounters
{
  std::int64_t sentToLeads_ = 0;
  /// Requests to leads that were not answered in time.
  std::int64_t unanswered_ = 0;
  /// Requests placed by this router because no lead was available.
  std::int64_t placedLocally_ = 0;
  /// Notes to leads that carried a target's load.
  std::int64_t loadsSent_ = 0;
};

/// Obtains placements for this router's requests. If this router is a lead of
/// its zone, its own dispatcher places them. Otherwise it sends the request to
/// a lead by datagram and reports the progress of each run to that lead. The
/// lead's view of an engine's load is then only one intra-zone message old, and
/// the number of messages grows with requests rather than with routers.
///
/// Placements by a lead only balance load; safety never depends on them. A lead
/// that does not answer is avoided for some time. If no lead answers, this
/// router places the request itself with the limited load information that it
/// has.
///
/// Load pattern: hundreds of routers with occasional requests each.
class PlacementClient
{
  /// A lead of the same zone normally answers within 1 to 2 ms. The timeout
  /// allows for an event loop iteration under load and is short compared to the
  /// shortest latency objectives.
  static constexpr Duration kAnswerTimeout = 25ms;
  /// Time that a lead may take to answer beyond the wait deadline of a request
  /// that it has queued.
  static constexpr Duration kDecisionMargin = 60ms;
  /// How often a lead is sent the list of all its runs.
  static constexpr Duration kRunListInterval = 1s;
  /// How long a lead that did not answer is avoided; doubles with each
  /// consecutive failure.
  static constexpr Duration kInitialAvoidance = 250ms;
  static constexpr int kMaxDoublings = 3;
  /// Runs listed in one message, so that it fits a datagram.
  static constexpr std::size_t kMaxListedRuns = 1500;
  /// A target's load that is older is not passed on. The next note follows
  /// within a few milliseconds, except after a head without an event.
  static constexpr Duration kMaxLoadAge = 50ms;

  struct PendingRequest
  {
    std::int64_t number_ = 0;
    WorkItem item_;
    RouterId lead_;
    Instant answerDeadline_{};
    /// Whether the lead has confirmed that it queued the request.
    bool isQueuedByLead_ = false;
    std::vector<RouterId> triedLeads_;
  };

  struct Run
  {
    std::int64_t number_ = 0;
    RouterId lead_;
    TargetId target_;
    LoadAmounts addedLoad_;
    bool hasFirstEvent_ = false;
    /// What the target reported with its response, for the next note.
    std::optional<ReportedLoad> load_ = {};
    Instant loadAt_{};
  };

  struct LeadState
  {
    int failures_ = 0;
    Instant avoidedUntil_{};
    /// When the last run list was sent, and whether the lead has runs.
    Instant runListSentAt_{};
    bool hasRuns_ = false;
  };

  Dispatcher* dispatcher_;
  const PeerTable* peers_;
  EventLog* log_;
  std::int64_t nextNumber_ = 1;
  std::map<RequestId, PendingRequest> pending_;
  /// Pending requests by the number used in messages.
  std::map<std::int64_t, RequestId> requestsByNumber_;
  std::map<RequestId, Run> runs_;
  std::map<RouterId, LeadState> leads_;
  std::vector<DispatchDecision> decisions_;
  PlacementOutbox outbox_;
  PlacementCounters counters_;
  LoadNoteFilter loadFilter_;
  Instant lastTick_{};

  /// The lead to ask; empty if this router should place the request itself.
  [[nodiscard]] auto PickLead(const std::vector<RouterId>& aTriedLeads,
                              Instant aNow) const -> std::optional<RouterId>;
  auto Place(WorkItem aItem, std::vector<RouterId> aTriedLeads, Instant aNow)
    -> void;
  /// Removes the pending request and tells its lead that it is cancelled.
  auto CancelPending(RequestId aRequest) -> std::optional<PendingRequest>;
  auto OnAnswer(RouterId aFrom, const wire::PlaceAnswer& aAnswer, Instant aNow)
    -> void;
  /// Adds the target's load to a note about the run if it tells something new.
  auto AttachLoad(Run* aRun, wire::RunNote* aNote, Instant aNow) -> void;
  auto HandleAnswerTimeouts(Instant aNow) -> void;
  /// Assigns the runs of leads that are no longer live to another lead.
  auto ReassignRuns(Instant aNow) -> void;
  auto SendDueRunLists(Instant aNow) -> void;
  auto SendRunList(RouterId aLead, Instant aNow) -> void;

public:
  PlacementClient(Dispatcher* aDispatcher,
                  const PeerTable* aPeers,
                  EventLog* aLog);

  /// Accepts a request; the decision may follow later.
  auto Submit(WorkItem aItem, Instant aNow) -> void;
  /// Drops the pending request.
  auto Withdraw(RequestId aRequest) -> void;
  /// The first event of the run was received.
  auto OnFirstEvent(RequestId aRequest, Instant aNow) -> void;
  auto OnRunEnd(RequestId aRequest, RunOutcome aOutcome, Instant aNow) -> void;
  /// The run's target reported its load. It goes to the lead with the next note
  /// about the run.
  auto OnTargetLoad(RequestId aRequest, const ReportedLoad& aLoad, Instant aNow)
    -> void;
  /// The run's target asked for no requests for the duration aPause.
  auto OnTargetPause(RequestId aRequest, Duration aPause) -> void;
  /// Handles a message from a lead.
  auto OnMessage(RouterId aFrom, const wire::Placement& aMessage, Instant aNow)
    -> void;
  auto Tick(Instant aNow) -> void;
  /// When Tick is next due; empty if nothing is pending.
  [[nodiscard]] auto NextWake() const -> std::optional<Instant>;

  auto TakeDecisions() -> std::vector<DispatchDecision>;
  auto TakeMessages() -> PlacementOutbox;
  /// The lead that placed or queued the request; empty if this router did.
  [[nodiscard]] auto LeadOf(RequestId aRequest) const
    -> std::optional<RouterId>;
  [[nodiscard]] auto Counters() const -> const PlacementCounters&;
};

} // namespace burdockring

#endif
