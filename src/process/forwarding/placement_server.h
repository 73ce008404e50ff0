#ifndef BURDOCKRING_PROCESS_FORWARDING_PLACEMENT_SERVER_H
#define BURDOCKRING_PROCESS_FORWARDING_PLACEMENT_SERVER_H

#include "process/forwarding/dispatcher.h"
#include "process/forwarding/placement_wire.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace burdockring {

/// Places requests of the zone's other routers in this router's dispatcher, and
/// keeps their runs there until their router tells how they ended.
///
/// A message that is lost costs little: each router tells all its runs once a
/// second, and what it leaves out has ended; one that falls silent has none any
/// more. A lead that knows nothing yet learns the runs from the same lists.
class PlacementServer
{
  /// Own numbers of other routers' requests, above all those of the callers of
  /// this router.
  static constexpr RequestId kFirstId = RequestId{ 1 } << 62U;
  /// A router with runs here tells of them once a second.
  static constexpr Duration kClientLife = 2500ms;
  /// A run that was granted so lately may be missing from a list that its
  /// router sent before it knew.
  static constexpr Duration kGrantTime = 300ms;

  struct Client
  {
    std::int64_t incarnation_ = 0;
    Instant heardAt_{};
    /// Own numbers of its requests, by its own numbers.
    std::map<std::int64_t, RequestId> requests_;
  };

  struct Held
  {
    RouterId client_;
    std::int64_t number_ = 0;
    TargetId target_;
    bool runs_ = false;
    Instant since_{};
  };

  Dispatcher* dispatcher_;
  RequestId nextId_ = kFirstId;
  std::map<RouterId, Client> clients_;
  std::map<RequestId, Held> held_;
  /// Asks that have no verdict yet, whose routers are to know that they wait.
  std::set<RequestId> unanswered_;
  PlacementOutbox outbox_;
  std::int64_t asks_ = 0;
  std::int64_t skipped_ = 0;

  auto TakeAsk(RouterId aFrom, const wire::PlaceAsk& aAsk, Instant aNow)
    -> void;
  auto TakeNote(RouterId aFrom, const wire::RunNote& aNote, Instant aNow)
    -> void;
  auto TakeRuns(RouterId aFrom, const wire::Placement& aMessage, Instant aNow)
    -> void;
  auto Hold(RouterId aFrom, std::int64_t aNumber, Instant aNow) -> RequestId;
  auto End(RequestId aRequest, RunEnd aEnd, Instant aNow) -> void;
  auto DropClient(RouterId aRouter, Instant aNow) -> void;

public:
  explicit PlacementServer(Dispatcher* aDispatcher);

  auto OnMessage(RouterId aFrom,
                 std::int64_t aIncarnation,
                 const wire::Placement& aMessage,
                 Instant aNow) -> void;
  /// Takes a verdict of the dispatcher; false where it is on a request of this
  /// router's own callers.
  auto TakeVerdict(const DispatchVerdict& aVerdict, Instant aNow) -> bool;
  /// Forgets routers that fell silent.
  auto Tick(Instant aNow) -> void;
  auto TakeMessages() -> PlacementOutbox;

  /// Requests of other routers that were taken, and those that made no sense.
  [[nodiscard]] auto AskCount() const -> std::int64_t;
  [[nodiscard]] auto SkippedCount() const -> std::int64_t;
  /// Requests of other routers that wait or run.
  [[nodiscard]] auto HeldCount() const -> std::size_t;
};

} // namespace burdockring

#endif
