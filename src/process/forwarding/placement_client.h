#ifndef BURDOCKRING_PROCESS_FORWARDING_PLACEMENT_CLIENT_H
#define BURDOCKRING_PROCESS_FORWARDING_PLACEMENT_CLIENT_H

#include "process/forwarding/dispatcher.h"
#include "process/forwarding/event_log.h"
#include "process/forwarding/placement_wire.h"
#include "process/membership/peer_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace burdockring {

/// Counts since the process started.
struct PlacementCounters
{
  std::int64_t asked_ = 0;
  /// Asks that a lead did not answer in time.
  std::int64_t unanswered_ = 0;
  /// Requests that were placed here as no lead could be asked.
  std::int64_t placedAlone_ = 0;
};

/// Has this router's own requests placed: by its own dispatcher where it is a
/// lead of its zone, and else by a lead, which it asks by datagram and tells
/// what becomes of each run. So what is known of an engine's load is as old as
/// a message within the zone, and messages grow with requests and not with the
/// number of routers.
///
/// A lead's word is advice about load and never a condition of safety. One that
/// does not answer is passed by for a while; where none answers this router
/// places by itself, by the little that it knows.
///
/// Load pattern: hundreds of routers that each have a request now and then.
class PlacementClient
{
  /// A lead of the same zone answers within a millisecond or two; this leaves
  /// it the time of a turn of its loop under load, and is short against the
  /// shortest aims.
  static constexpr Duration kAnswerTimeout = 25ms;
  /// What a lead that lets a request wait may take beyond the time after which
  /// the request is turned away.
  static constexpr Duration kVerdictMargin = 60ms;
  /// How often a lead is told of all the runs that it should know.
  static constexpr Duration kRunsInterval = 1s;
  /// How long a lead that did not answer is passed by, doubling with each time
  /// in a row.
  static constexpr Duration kInitialAvoidance = 250ms;
  static constexpr int kMaxDoublings = 3;
  /// Runs that one message tells of, so that it fits a datagram.
  static constexpr std::size_t kMaxRunsTold = 1500;

  struct Ask
  {
    std::int64_t number_ = 0;
    WorkItem item_;
    RouterId lead_;
    Instant answerBy_{};
    /// Whether the lead has said that the request waits.
    bool waits_ = false;
    std::vector<RouterId> asked_;
  };

  struct Run
  {
    std::int64_t number_ = 0;
    RouterId lead_;
    TargetId target_;
    LoadAmounts addedLoad_;
    bool begun_ = false;
  };

  struct Lead
  {
    int failures_ = 0;
    Instant avoidedUntil_{};
    /// When it was last told of all runs, and whether there were any.
    Instant toldAt_{};
    bool hasRuns_ = false;
  };

  Dispatcher* dispatcher_;
  const PeerTable* peers_;
  EventLog* log_;
  std::int64_t nextNumber_ = 1;
  std::map<RequestId, Ask> asks_;
  /// Requests of the asks, by number.
  std::map<std::int64_t, RequestId> numbers_;
  std::map<RequestId, Run> runs_;
  std::map<RouterId, Lead> leads_;
  std::vector<DispatchVerdict> verdicts_;
  PlacementOutbox outbox_;
  PlacementCounters counters_;
  Instant lastTick_{};

  /// The lead to ask, or nothing where this router should place itself.
  [[nodiscard]] auto PickLead(const std::vector<RouterId>& aAsked,
                              Instant aNow) const -> std::optional<RouterId>;
  auto Place(WorkItem aItem, std::vector<RouterId> aAsked, Instant aNow)
    -> void;
  /// Ends the ask; its lead forgets the request.
  auto TakeBack(RequestId aRequest) -> std::optional<Ask>;
  auto OnAnswer(RouterId aFrom, const wire::PlaceAnswer& aAnswer, Instant aNow)
    -> void;
  auto CheckAnswers(Instant aNow) -> void;
  /// Finds another lead for the runs of those that are lost.
  auto MoveRuns(Instant aNow) -> void;
  auto TellRuns(Instant aNow) -> void;
  auto TellAllRuns(RouterId aLead, Instant aNow) -> void;

public:
  PlacementClient(Dispatcher* aDispatcher,
                  const PeerTable* aPeers,
                  EventLog* aLog);

  /// Takes a request; its verdict comes at once or later.
  auto Submit(WorkItem aItem, Instant aNow) -> void;
  /// The request needs no verdict any more.
  auto Withdraw(RequestId aRequest) -> void;
  /// The first event of a run came.
  auto OnFirstEvent(RequestId aRequest, Instant aNow) -> void;
  auto OnRunEnd(RequestId aRequest, RunEnd aEnd, Instant aNow) -> void;
  /// The run's target wants nothing for so long.
  auto OnRest(RequestId aRequest, Duration aRest) -> void;
  /// A lead's message.
  auto OnMessage(RouterId aFrom, const wire::Placement& aMessage, Instant aNow)
    -> void;
  auto Tick(Instant aNow) -> void;
  /// When Tick has something to do, if it has.
  [[nodiscard]] auto NextWake() const -> std::optional<Instant>;

  auto TakeVerdicts() -> std::vector<DispatchVerdict>;
  auto TakeMessages() -> PlacementOutbox;
  /// The lead that has placed or holds the request; nothing for this router
  /// itself.
  [[nodiscard]] auto LeadOf(RequestId aRequest) const
    -> std::optional<RouterId>;
  [[nodiscard]] auto Counters() const -> const PlacementCounters&;
};

} // namespace burdockring

#endif
