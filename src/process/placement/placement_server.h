#ifndef BURDOCKRING_PROCESS_PLACEMENT_PLACEMENT_SERVER_H
#define BURDOCKRING_PROCESS_PLACEMENT_PLACEMENT_SERVER_H

#include "process/placement/dispatcher.h"
#include "process/placement/placement_wire.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace burdockring {

/// Places requests of the zone's other routers with this router's dispatcher,
/// and tracks their runs until the owning router reports their outcome.
///
/// Lost messages are tolerated: each router sends a list of all its runs once a
/// second, and a run missing from the list has ended. A router that falls
/// silent is assumed to have no runs. A newly started lead learns existing runs
/// from the same lists.
class PlacementServer
{
  /// First local id of other routers' requests; above the ids of requests from
  /// this router's own callers.
  static constexpr RequestId kFirstRemoteId = RequestId{ 1 } << 62U;
  /// Routers with runs here send their run list once a second.
  static constexpr Duration kClientTimeout = 2500ms;
  /// A run started this recently may be missing from a list that its router
  /// sent before it received the decision.
  static constexpr Duration kRunListGracePeriod = 300ms;

  struct Client
  {
    std::int64_t incarnation_ = 0;
    Instant lastHeardAt_{};
    /// Local ids of the client's requests by the client's numbers.
    std::map<std::int64_t, RequestId> requests_;
  };

  struct RemoteRequest
  {
    RouterId client_;
    std::int64_t number_ = 0;
    TargetId target_;
    bool isRunning_ = false;
    /// When it was added or, once running, when it started.
    Instant startedAt_{};
  };

  Dispatcher* dispatcher_;
  RequestId nextId_ = kFirstRemoteId;
  std::map<RouterId, Client> clients_;
  std::map<RequestId, RemoteRequest> remoteRequests_;
  /// New requests without a decision, whose routers are to be told that they
  /// are queued.
  std::set<RequestId> undecided_;
  PlacementOutbox outbox_;
  std::int64_t acceptedCount_ = 0;
  std::int64_t malformedCount_ = 0;

  auto HandleAsk(RouterId aFrom, const wire::PlaceAsk& aAsk, Instant aNow)
    -> void;
  auto HandleRunNote(RouterId aFrom, const wire::RunNote& aNote, Instant aNow)
    -> void;
  auto HandleRunList(RouterId aFrom,
                     const wire::Placement& aMessage,
                     Instant aNow) -> void;
  auto AddRemoteRequest(RouterId aFrom, std::int64_t aNumber, Instant aNow)
    -> RequestId;
  auto EndRemoteRequest(RequestId aRequest, RunOutcome aOutcome, Instant aNow)
    -> void;
  auto DropClient(RouterId aRouter, Instant aNow) -> void;

public:
  explicit PlacementServer(Dispatcher* aDispatcher);

  auto OnMessage(RouterId aFrom,
                 std::int64_t aIncarnation,
                 const wire::Placement& aMessage,
                 Instant aNow) -> void;
  /// Handles a decision of the dispatcher; returns false if it is about a
  /// request of this router's own callers.
  auto HandleDecision(const DispatchDecision& aDecision, Instant aNow) -> bool;
  /// Drops the runs of routers that fell silent.
  auto Tick(Instant aNow) -> void;
  auto TakeMessages() -> PlacementOutbox;

  /// Accepted and malformed requests of other routers.
  [[nodiscard]] auto AcceptedCount() const -> std::int64_t;
  [[nodiscard]] auto MalformedCount() const -> std::int64_t;
  /// Waiting and running requests of other routers.
  [[nodiscard]] auto RemoteRequestCount() const -> std::size_t;
};

} // namespace burdockring

#endif
