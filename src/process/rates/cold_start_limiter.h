#ifndef BURDOCKRING_PROCESS_RATES_COLD_START_LIMITER_H
#define BURDOCKRING_PROCESS_RATES_COLD_START_LIMITER_H

#include "base/ids.h"
#include "base/time.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace burdockring {

/// How many requests all routers together may send to a cold target in any
/// window of one second.
struct ColdStartLimits
{
  /// Multiple of the rate that the target's service declares.
  double burstFactor_ = 1.0;
  /// Requests on top of that.
  double slack_ = 0;
};

/// The limit for a target that tolerates aRequestsPerSecond while it is cold.
auto MaxColdRequests(const ColdStartLimits& aLimits, double aRequestsPerSecond)
  -> int;

/// This router's share of the fleet-wide rate limit of cold targets.
///
/// The limit must hold while routers are partitioned, killed or paused, so no
/// message grants a permit. The placers are the routers that rank first by the
/// list of routers, whether they are alive or not: every router computes the
/// same ones. The limit of a target is divided among them in the order of a
/// rendezvous hash; all other routers may send it nothing. A part of the limit
/// stays unused, for the time in which routers know different lists: a router
/// that is added or removed changes the shares by one or two requests. For the
/// same reason a share that grows by a change of the list does so only later.
///
/// Targets are known by their address here, as one that restarts there is
/// another target to the router and the same one to the limit.
///
/// The window is longer than the second that counts, as a request may be
/// delayed between its placement and its arrival. A router that has just
/// started uses no share for a window, as it does not know what it sent before.
///
/// Load pattern: a whole zone of targets returns cold under full load, with the
/// fleet partitioned and routers restarting.
class ColdStartLimiter
{
public:
  /// One second, and the longest time from a placement until its request is
  /// written: an answer of a lead, and a new connection.
  static constexpr Duration kWindow = 1500ms;
  /// Fraction of the limit that is divided among the placers.
  static constexpr double kUsedFraction = 0.7;
  /// Time in which all routers know a changed list.
  static constexpr Duration kListSettleTime = 5s;

private:
  RouterId self_;
  std::optional<Instant> startedAt_;
  std::vector<RouterId> placers_;
  /// The placers before the last change, and when it was.
  std::vector<RouterId> formerPlacers_;
  Instant changedAt_{};
  struct KnownShare
  {
    int maxRequests_ = 0;
    int share_ = 0;
    int formerShare_ = 0;
  };

  /// Shares that were computed since the last change.
  mutable std::map<TargetId, KnownShare> shares_;
  /// Times of the requests placed within the window, by target.
  std::map<TargetId, std::deque<Instant>> placed_;

  [[nodiscard]] auto ShareAmong(const std::vector<RouterId>& aPlacers,
                                TargetId aTarget,
                                int aMaxRequests) const -> int;

public:
  explicit ColdStartLimiter(RouterId aSelf);

  /// The routers that rank first by the list of routers, in any order.
  auto SetPlacers(std::vector<RouterId> aPlacers, Instant aNow) -> void;
  /// Requests that this router may place on the target within the window, if
  /// all routers together may send aMaxRequests in a second.
  [[nodiscard]] auto Share(TargetId aTarget,
                           int aMaxRequests,
                           Instant aNow) const -> int;
  /// When this router may place a request on the target; empty if it has no
  /// share.
  [[nodiscard]] auto NextAllowed(TargetId aTarget,
                                 int aMaxRequests,
                                 Instant aNow) const -> std::optional<Instant>;
  /// Records a request that was placed on a target, cold or not.
  auto OnPlaced(TargetId aTarget, Instant aNow) -> void;
  auto Tick(Instant aNow) -> void;
};

} // namespace burdockring

#endif
