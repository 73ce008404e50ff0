#ifndef BURDOCKRING_PROCESS_ADMISSION_OVERLOAD_CONTROLLER_H
#define BURDOCKRING_PROCESS_ADMISSION_OVERLOAD_CONTROLLER_H

#include "base/time.h"
#include "process/placement/policy.h"

#include <cstddef>
#include <optional>

namespace burdockring {

/// Detects overload of this router's own processor and limits the number of
/// open requests while it lasts.
///
/// The signal is the lateness of the router's own timer: work that waits for
/// the processor delays it. A router whose timer has been late several times in
/// a row limits its open requests, lowers the limit while it stays late, raises
/// it once it keeps up, and rejects the excess immediately so that accepted
/// requests are not late as well. It also asks the balancer for no new
/// connections, since another router can serve them, but only for a limited
/// time, as the other routers may be no better off.
///
/// One long pause is not overload: a process that was stopped resumes at once.
///
/// Load pattern: callers of one account, on connections that all lead to the
/// smallest router, send many times what it can forward.
class OverloadController
{
public:
  /// The router is overloaded if its timer is later than kLateThreshold
  /// kLateCount times in a row.
  static constexpr Duration kLateThreshold = 40ms;
  static constexpr int kLateCount = 3;
  /// How long the timer must run on time before the overload ends.
  static constexpr Duration kRecoveryTime = 1s;
  /// Interval and factors by which the limit is adjusted.
  static constexpr Duration kAdjustInterval = 100ms;
  static constexpr double kDecreaseFactor = 0.85;
  static constexpr double kIncreaseFactor = 1.03;
  static constexpr double kMinOpenLimit = 4;
  /// The overload ends only once the limit is at least this multiple of the
  /// open requests, so that a flood that goes on is not let in again.
  static constexpr double kRecoveryHeadroom = 1.5;
  /// Longest time without new connections, and the minimum time with them that
  /// follows. The balancer needs two answers, a second apart, to stop sending
  /// connections.
  static constexpr Duration kMaxClosedTime = 4s;
  static constexpr Duration kMinOpenTime = 4s;

private:
  ForwardingPolicy policy_;
  int consecutiveLate_ = 0;
  bool overloaded_ = false;
  Instant lastLate_{};
  Instant lastAdjusted_{};
  double openLimit_ = 0;
  std::optional<Instant> closedAt_;
  std::optional<Instant> reopenedAt_;

  auto Adjust(bool aLate, std::size_t aOpenRequests, Instant aNow) -> void;
  auto Close(Instant aNow) -> void;
  auto Reopen(Instant aNow) -> void;

public:
  explicit OverloadController(const ForwardingPolicy& aPolicy = {});

  /// Called on each tick of the timer with its lateness and the number of open
  /// requests.
  auto Note(Duration aLateness, std::size_t aOpenRequests, Instant aNow)
    -> void;
  /// Whether one more request may be accepted while aOpenRequests are open.
  [[nodiscard]] auto Allows(std::size_t aOpenRequests) const -> bool;
  [[nodiscard]] auto IsOverloaded() const -> bool;
  /// Whether the balancer should send new connections to this router.
  [[nodiscard]] auto AcceptsConnections() const -> bool;
};

} // namespace burdockring

#endif
