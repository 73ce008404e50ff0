#ifndef BURDOCKRING_PROCESS_PLACEMENT_COLD_TARGETS_H
#define BURDOCKRING_PROCESS_PLACEMENT_COLD_TARGETS_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"

#include <cstddef>
#include <map>
#include <optional>

namespace burdockring {

/// Which targets are cold, or may be.
///
/// A target is cold for some time after it starts, and its registration says
/// for how long. The registration is late, so a target that can't be reached or
/// breaks off requests also counts as cold: it may have restarted. It stays so
/// until the time to warm up has passed since the first success after that.
///
/// Routers tell each other which targets they consider cold, as each sees only
/// its own requests. A router that has just started knows nothing: all targets
/// count as cold until a peer has sent its whole list, or for as long as a
/// target may stay cold.
///
/// Load pattern: the targets of a zone vanish for some seconds and return cold,
/// all at once, without new registrations.
class ColdTargets
{
public:
  /// How long a target counts as cold without a success. A router that may send
  /// it nothing would not see one.
  static constexpr Duration kMaxUnverified = 60s;
  /// Targets that one list names; of more, a part is left out.
  static constexpr std::size_t kMaxListed = 2000;
  /// A router that was suspended for this long may have missed that targets
  /// turned cold.
  static constexpr Duration kMaxGap = 500ms;

private:
  struct State
  {
    Instant coldUntil_{};
    /// When the target may have restarted, until a success verifies it.
    std::optional<Instant> unverifiedSince_;
  };

  std::map<TargetId, State> states_;
  /// Until when this router does not know which targets are cold. Unset before
  /// the first call of Start().
  std::optional<Instant> uninformedUntil_;
  Instant lastObserved_{};

public:
  /// Call with each tick and before each selection, and first when it is known
  /// how long targets stay cold at most: a long gap shows that the router was
  /// suspended.
  auto Observe(Duration aLongestWarmUp, Instant aNow) -> void;
  /// Whether all targets count as cold, as this router has just started.
  [[nodiscard]] auto IsUninformed(Instant aNow) const -> bool;
  /// What the peers need to know. aWarmUp(TargetId) returns how long a target
  /// stays cold after a start.
  template<typename WarmUp>
  [[nodiscard]] auto List(Instant aNow, WarmUp aWarmUp) const
    -> wire::ColdTargetList
  {
    wire::ColdTargetList list;
    list.complete = !IsUninformed(aNow);
    for (const auto& [target, state] : states_) {
      if (!IsCold(state, aNow)) {
        continue;
      }
      // A target that is not verified has yet to warm up.
      const Duration left = state.unverifiedSince_
                              ? aWarmUp(target)
                              : Duration(state.coldUntil_ - aNow);
      if (!AppendRow(target, left, &list)) {
        list.complete = false;
        break;
      }
    }
    return list;
  }
  /// aLongestWarmUp bounds what a peer may claim.
  auto OnPeerList(const wire::ColdTargetList& aList,
                  Duration aLongestWarmUp,
                  Instant aNow) -> void;
  auto MarkColdUntil(TargetId aTarget, Instant aUntil) -> void;
  /// The target could not be reached, or broke off a request.
  auto OnTargetLost(TargetId aTarget, Instant aNow) -> void;
  /// The target answered a request that was placed at aPlacedAt. aWarmUp: how
  /// long it stays cold after a start.
  auto OnSuccess(TargetId aTarget,
                 Instant aPlacedAt,
                 Duration aWarmUp,
                 Instant aNow) -> void;
  /// Forgets targets that are warm.
  auto DropWarm(Instant aNow) -> void;

  [[nodiscard]] auto IsCold(TargetId aTarget, Instant aNow) const -> bool;
  [[nodiscard]] auto Count(Instant aNow) const -> std::size_t;

private:
  /// Returns whether there was room.
  static auto AppendRow(TargetId aTarget,
                        Duration aLeft,
                        wire::ColdTargetList* aList) -> bool;
  [[nodiscard]] static auto IsCold(const State& aState, Instant aNow) -> bool;
};

} // namespace burdockring

#endif
