#ifndef BURDOCKRING_PROCESS_FORWARDING_PLACEMENT_WIRE_H
#define BURDOCKRING_PROCESS_FORWARDING_PLACEMENT_WIRE_H

#include "peer_types.h"
#include "process/forwarding/dispatcher.h"

#include <cstdint>
#include <map>
#include <optional>

namespace burdockring {

/// What a lead says of a request that it was asked to place. The numbers go
/// over the wire.
enum class PlaceOutcome
{
  kWaits = 0,
  kStarts = 1,
  kRejected = 2,
};

/// Messages to other routers, one for each.
using PlacementOutbox = std::map<RouterId, wire::Placement>;

/// The request as a lead is asked to place it, under the asking router's
/// number.
auto EncodeAsk(const WorkItem& aItem, std::int64_t aNumber, Instant aNow)
  -> wire::PlaceAsk;

/// The request of an ask, under this router's own number; nothing where the
/// ask does not hold together.
auto DecodeAsk(const wire::PlaceAsk& aAsk, RequestId aId, Instant aNow)
  -> std::optional<WorkItem>;

auto EncodeVerdict(const DispatchVerdict& aVerdict, std::int64_t aNumber)
  -> wire::PlaceAnswer;

/// The verdict of an answer on the request; nothing where it still waits or the
/// answer does not hold together.
auto DecodeVerdict(const wire::PlaceAnswer& aAnswer, RequestId aRequest)
  -> std::optional<DispatchVerdict>;

/// The first event has come.
auto BegunNote(std::int64_t aNumber) -> wire::RunNote;
auto EndNote(std::int64_t aNumber, RunEnd aEnd) -> wire::RunNote;
/// How the run ended by its note; nothing where it has begun only.
auto EndOf(const wire::RunNote& aNote) -> std::optional<RunEnd>;

} // namespace burdockring

#endif
