#ifndef BURDOCKRING_PROCESS_PEERS_ACTIVE_CONFIG_H
#define BURDOCKRING_PROCESS_PEERS_ACTIVE_CONFIG_H

#include "base/time.h"
#include "version/route_table.h"

#include <string>

namespace burdockring {

/// The configuration that a router applies, and the time as of which it was
/// last confirmed to be the newest. Its version only rises. The confirmation
/// time rises whenever the store, or a peer with the same version, confirms it.
///
/// A store restored from an older copy may lack newer versions, which nobody
/// can know of until they are written again. Until then its reads confirm
/// nothing, so checks of keys fail closed.
class ActiveConfig
{
  /// Earlier than any instant that a router's clock may show.
  static constexpr Instant kNeverConfirmed = -24h;

  RouteTablePointer table_ = RouteTableBuilder(0).Build();
  std::string text_;
  Instant confirmedAt_ = kNeverConfirmed;
  /// The last version read from the store in its current epoch.
  std::int64_t storeVersion_ = 0;
  /// Store reads that began before this confirm nothing.
  Instant storeTrustedFrom_{};

public:
  /// Applies a version read from the store if it is newer than the active one.
  /// Returns whether it was.
  auto UpdateFromStore(RouteTablePointer aTable,
                       std::string aText,
                       Instant aConfirmedAt) -> bool;
  /// Applies a version received from a peer if it is newer. The peer's
  /// confirmation of it arrives separately, through Confirm().
  auto UpdateFromPeer(RouteTablePointer aTable, std::string aText) -> bool;
  /// At aConfirmedAt the store had no version newer than the last one read from
  /// it.
  auto ConfirmFromStore(Instant aConfirmedAt) -> void;
  /// A peer confirmed that the active version was still the newest at
  /// aConfirmedAt.
  auto Confirm(Instant aConfirmedAt) -> void;
  /// The store was restored from an older copy, so earlier reads say nothing
  /// about its present content.
  auto OnStoreRestored() -> void;
  /// Store reads that began before aUntil confirm nothing, as lost versions may
  /// not have been written again by then.
  auto DistrustStoreUntil(Instant aUntil) -> void;

  [[nodiscard]] auto Table() const -> const RouteTablePointer&;
  [[nodiscard]] auto Text() const -> const std::string&;
  [[nodiscard]] auto ConfirmedAt() const -> Instant;
  [[nodiscard]] auto IsKnown() const -> bool;
  /// Whether keys may be checked against the active version for a request
  /// received at aReceived: the version was confirmed less than aMaxAge before.
  [[nodiscard]] auto IsFresh(Instant aReceived, Duration aMaxAge) const -> bool;
};

} // namespace burdockring

#endif
