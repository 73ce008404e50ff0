#ifndef BURDOCKRING_PROCESS_FORWARDING_CONFIG_IN_FORCE_H
#define BURDOCKRING_PROCESS_FORWARDING_CONFIG_IN_FORCE_H

#include "base/time.h"
#include "version/route_table.h"

#include <string>

namespace burdockring {

/// The configuration that a router goes by and since when it may be outdated.
/// The version only rises. What is known holds as of a time, which rises with
/// each confirmation by the store or by a peer that knows the same version.
///
/// A store that came back from an older copy may lack newer versions, of which
/// nobody can know while they are not written again. Its word confirms nothing
/// until then, so keys fail closed.
class ConfigInForceState
{
  /// Before any instant that a router's clock may show.
  static constexpr Instant kNever = -24h;

  RouteTablePointer table_ = RouteTableBuilder(0).Build();
  std::string text_;
  Instant asOf_ = kNever;
  /// The last version that was read at the store in its present epoch.
  std::int64_t storeVersion_ = 0;
  /// Reads at the store that began before confirm nothing.
  Instant storeHeldUntil_{};

public:
  /// Takes a version that was read at the store; true where it is newer than
  /// the one in force.
  auto OfferFromStore(RouteTablePointer aTable,
                      std::string aText,
                      Instant aAsOf) -> bool;
  /// Takes a version from a peer, whose own word on its age comes by Confirm.
  auto OfferFromPeer(RouteTablePointer aTable, std::string aText) -> bool;
  /// The store had nothing newer at aAsOf than the last version read there.
  auto ConfirmFromStore(Instant aAsOf) -> void;
  /// The version in force was still the newest at aAsOf, by a peer's word.
  auto Confirm(Instant aAsOf) -> void;
  /// The store is back from an older copy of itself; what was read there before
  /// says nothing of what it has now.
  auto OnStoreRestored() -> void;
  /// Reads at the store that began before aUntil confirm nothing: what was lost
  /// may not have been written again by then.
  auto HoldStore(Instant aUntil) -> void;

  [[nodiscard]] auto Table() const -> const RouteTablePointer&;
  [[nodiscard]] auto Text() const -> const std::string&;
  [[nodiscard]] auto AsOf() const -> Instant;
  [[nodiscard]] auto IsKnown() const -> bool;
  /// Whether keys may be judged for a request that was read at aReceived: the
  /// version was the newest less than aBound before.
  [[nodiscard]] auto IsFresh(Instant aReceived, Duration aBound) const -> bool;
};

} // namespace burdockring

#endif
