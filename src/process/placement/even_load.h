#ifndef BURDOCKRING_PROCESS_PLACEMENT_EVEN_LOAD_H
#define BURDOCKRING_PROCESS_PLACEMENT_EVEN_LOAD_H

#include "base/time.h"

#include <cstddef>

namespace burdockring {

/// What a router does not know of the load of a service's engines at this
/// moment.
struct UnseenLoad
{
  /// Age of what is known of the other routers' requests.
  Duration age_{};
  /// Work that the others have probably placed at an average engine since.
  Duration expected_{};
  /// Work of an average request.
  Duration perRequest_{};
};

/// The part of aUnseen that remains for an engine that itself reported its load
/// aReportAge ago.
auto SinceReport(const UnseenLoad& aUnseen, Duration aReportAge) -> UnseenLoad;

/// Estimated backlog of an engine now, given this router's own work there and
/// that of other routers as of aAge ago: the engine has worked on both in the
/// meantime, but this router knows only of its own work how much is done.
auto BacklogNow(Duration aOwn, Duration aOthers, Duration aAge) -> Duration;

/// By how much two engines' costs must differ for the difference to mean
/// anything, at most aLimit. The number of requests that others place at one
/// engine in a short time varies about as much as its square root, so that an
/// uncertainty remains where less than one is expected.
auto CostUncertainty(const UnseenLoad& aUnseen, Duration aLimit) -> Duration;

/// Position of a router among those that place requests at a target, from 0
/// (first) to below 1. The indices are those in lists that all routers order in
/// the same way: each router is the first at equally many targets, and at each
/// target the positions are evenly spaced. Random positions gave two routers up
/// to twice the wait in the model, as one was the first at more targets.
auto TurnAt(std::size_t aTarget, std::size_t aRouter, std::size_t aRouters)
  -> double;

/// Added to the cost of an engine so that routers that choose with the same
/// outdated load at the same moment choose different engines among those that
/// are equally good as far as they know.
///
/// Load pattern: hundreds of prompts a second, placed by up to a dozen routers
/// whose knowledge of each other's placements is older than a prompt takes to
/// prefill.
auto TurnPenalty(Duration aUncertainty, double aTurn) -> Duration;

} // namespace burdockring

#endif
