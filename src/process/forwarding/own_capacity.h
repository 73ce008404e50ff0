#ifndef BURDOCKRING_PROCESS_FORWARDING_OWN_CAPACITY_H
#define BURDOCKRING_PROCESS_FORWARDING_OWN_CAPACITY_H

#include "base/time.h"
#include "process/forwarding/policy.h"

#include <cstddef>
#include <optional>

namespace burdockring {

/// Knows whether this router's own processor keeps up, and how many requests it
/// should have open while it doesn't.
///
/// What it goes by is how late the router's own timer runs: work that waits for
/// the processor makes it late. A router that has been late for some time
/// bounds its open requests, fewer while it stays late and more once it keeps
/// up, and refuses the rest at once, so that what it took on is not late as
/// well. It also asks for no new connections for a while, since another router
/// can serve them, but never for long, as the others may be no better off.
///
/// One long pause is no overload: a process that was stopped goes on at once.
///
/// Load pattern: callers of one account, on connections that all lead to the
/// smallest router, send many times what it can pass on.
class OverloadController
{
public:
  /// A timer that is later than this, so many times in a row, shows overload.
  static constexpr Duration kLateThreshold = 40ms;
  static constexpr int kLateCount = 3;
  /// How long the timer must run on time before overload has ended.
  static constexpr Duration kRecoveryTime = 1s;
  /// How often the bound is changed, and by which factors.
  static constexpr Duration kAdjustInterval = 100ms;
  static constexpr double kDecreaseFactor = 0.85;
  static constexpr double kIncreaseFactor = 1.03;
  static constexpr double kMinOpenLimit = 4;
  /// Overload ends only where the bound is so far above the open requests, so
  /// that a flood that goes on is not let in again.
  static constexpr double kRecoveryHeadroom = 1.5;
  /// Longest time without new connections, and the time with them that follows.
  /// The balancer needs two answers, a second apart, to stop.
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

  auto Adjust(bool aLate, std::size_t aOpen, Instant aNow) -> void;
  auto Close(Instant aNow) -> void;
  auto Reopen(Instant aNow) -> void;

public:
  explicit OverloadController(const ForwardingPolicy& aPolicy = {});

  /// The timer ran so late, with so many requests open.
  auto Note(Duration aLateness, std::size_t aOpen, Instant aNow) -> void;
  /// Whether one more request may be taken with so many open.
  [[nodiscard]] auto Allows(std::size_t aOpen) const -> bool;
  [[nodiscard]] auto IsOverloaded() const -> bool;
  /// Whether the balancer should send new connections here.
  [[nodiscard]] auto AcceptsConnections() const -> bool;
};

} // namespace burdockring

#endif
