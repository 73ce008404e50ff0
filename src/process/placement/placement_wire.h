#ifndef BURDOCKRING_PROCESS_PLACEMENT_PLACEMENT_WIRE_H
#define BURDOCKRING_PROCESS_PLACEMENT_PLACEMENT_WIRE_H

#include "peer_types.h"
#include "process/placement/dispatcher.h"

#include <cstdint>
#include <map>
#include <optional>

namespace burdockring {

/// A lead's answer to a placement request. The values are sent over the wire.
enum class PlaceOutcome
{
  kQueued = 0,
  kStarted = 1,
  kRejected = 2,
};

/// Outgoing messages, one per router.
using PlacementOutbox = std::map<RouterId, wire::Placement>;

/// Encodes a placement request to a lead. aNumber is the sending router's
/// number for it.
auto EncodeAsk(const WorkItem& aItem, std::int64_t aNumber, Instant aNow)
  -> wire::PlaceAsk;

/// Decodes a placement request, which gets the local id aId; empty if it is
/// malformed.
auto DecodeAsk(const wire::PlaceAsk& aAsk, RequestId aId, Instant aNow)
  -> std::optional<WorkItem>;

auto EncodeAnswer(const DispatchDecision& aDecision, std::int64_t aNumber)
  -> wire::PlaceAnswer;

/// Decodes the decision about the request; empty if it is still queued or the
/// answer is malformed.
auto DecodeAnswer(const wire::PlaceAnswer& aAnswer, RequestId aRequest)
  -> std::optional<DispatchDecision>;

/// Note that the first event of a run was received.
auto MakeFirstEventNote(std::int64_t aNumber) -> wire::RunNote;
auto MakeOutcomeNote(std::int64_t aNumber, RunOutcome aOutcome)
  -> wire::RunNote;
auto EncodeLoad(const ReportedLoad& aLoad) -> wire::ReportedTargetLoad;
auto DecodeLoad(const wire::ReportedTargetLoad& aLoad) -> ReportedLoad;
/// Decodes how the run ended; empty if the note reports no end.
auto DecodeOutcome(const wire::RunNote& aNote) -> std::optional<RunOutcome>;

} // namespace burdockring

#endif
