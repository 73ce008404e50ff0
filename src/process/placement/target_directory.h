#ifndef BURDOCKRING_PROCESS_PLACEMENT_TARGET_DIRECTORY_H
#define BURDOCKRING_PROCESS_PLACEMENT_TARGET_DIRECTORY_H

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdockring {

/// A target as described by its registration.
struct RegisteredTarget
{
  /// Identifies this incarnation. A restarted target has another id.
  TargetId id_;
  /// The instance name that the target answers to.
  std::string instance_;
  ServiceId service_;
  ZoneId zone_;
  std::string host_;
  std::uint16_t port_ = 0;
  int slots_ = 1;
  bool leaving_ = false;
  /// How much longer the target was cold when it wrote the registration; unset
  /// if it did not say.
  std::optional<Duration> coldLeft_;
  /// When this router received that.
  Instant registeredAt_{};
  /// Identifies the address. A target that restarts there has another id, but
  /// its rate limits go on. Set by the directory.
  TargetId addressId_;

  /// Until when the target is cold by its own word.
  [[nodiscard]] auto ColdUntil() const -> Instant
  {
    return registeredAt_ + coldLeft_.value_or(0us);
  }
};

/// A change to the targets that requests may be sent to.
struct DirectoryChange
{
  TargetId target_;
  std::string instance_;
  /// "added", "leaving", "gone" or "kept_out".
  std::string_view change_;
};

/// The registered targets, by registration key.
///
/// Registrations may expire while the store of the list is away, although their
/// targets are alive. One that is missing after such an outage is dropped only
/// after kReregistrationGracePeriod, within which a live target registers
/// again.
///
/// Whether the store is away is not known from one failed read: it may serve
/// all routers but one. It counts as away where no router that this one hears
/// of has read the list for as long as a registration takes to expire.
///
/// The list of a store restored from an older copy may show registrations that
/// have ended since. Incarnations known to be gone stay so until they register
/// again.
class TargetDirectory
{
  /// Live targets register again within two seconds.
  static constexpr Duration kReregistrationGracePeriod = 2s;
  static constexpr Duration kDefaultMinExpiringOutage = 1800ms;

  struct Entry
  {
    RegisteredTarget target_;
    /// Whether the registration ended, perhaps only because the store was away.
    bool isExpired_ = false;
    /// Whether it is known only from a snapshot, which may be of an older copy.
    bool isFromSnapshot_ = false;
  };

  /// Maximum number of ids in each of leavingIds_ and goneIds_. A full set is
  /// cleared.
  static constexpr std::size_t kMaxRememberedTargets = 16'384;

  std::map<std::string, Entry> entries_;
  std::map<TargetId, std::string> keysById_;
  /// Incarnations that announced that they leave. They are never usable again.
  std::set<TargetId> leavingIds_;
  /// Incarnations whose registration ended.
  std::set<TargetId> goneIds_;
  /// Whether the next snapshot may be of an older copy of the store.
  bool nextSnapshotMayBeStale_ = false;
  std::vector<DirectoryChange> changes_;
  /// Zones whose targets get no requests.
  std::set<ZoneId> drainedZones_;
  /// Shortest outage in which a registration of a live target may expire.
  Duration minExpiringOutage_ = kDefaultMinExpiringOutage;
  /// The last successful read of the list by any router.
  std::optional<Instant> lastRead_;
  /// Whether a read of any router has failed since.
  bool hasFailedRead_ = false;
  /// Until when expired registrations are kept.
  Instant graceUntil_{};
  std::int64_t version_ = 1;

  auto RecordChange(const RegisteredTarget& aTarget, std::string_view aChange)
    -> void;
  auto Erase(std::map<std::string, Entry>::iterator aEntry) -> void;
  static auto RememberId(std::set<TargetId>* aTargets, TargetId aTarget)
    -> bool;
  auto PutRegistration(const std::string& aKey,
                       RegisteredTarget aTarget,
                       bool aIsFromSnapshot) -> void;

public:
  /// Adds or updates a registration that was just written.
  auto Put(const std::string& aKey, RegisteredTarget aTarget) -> void;
  auto Remove(const std::string& aKey, Instant aNow) -> void;
  /// Applies a snapshot of the list and removes entries that it lacks.
  auto Replace(
    const std::vector<std::pair<std::string, RegisteredTarget>>& aSnapshot,
    Instant aNow) -> void;
  /// Applies a part of a snapshot whose rest can't be read. Entries that it
  /// lacks are dropped unless they register again within
  /// kReregistrationGracePeriod.
  auto ReplaceInPart(
    const std::vector<std::pair<std::string, RegisteredTarget>>& aPart,
    Instant aNow) -> void;
  /// The target announced to this router or to a peer that it leaves. Returns
  /// whether that was not known before.
  auto MarkLeaving(TargetId aTarget) -> bool;
  /// The store was restored from an older copy: the next snapshot may show
  /// targets that are gone, and lack live ones until they register again.
  auto OnStoreRestored(Instant aNow) -> void;
  /// Incarnations known to be gone, for routers that know only the older copy.
  [[nodiscard]] auto GoneTargets() const -> const std::set<TargetId>&;
  /// A peer knew that the target was gone before the store was restored. Drops
  /// the target if it is known only from a snapshot.
  auto MarkGone(TargetId aTarget) -> void;
  /// Begins or ends the drain of a zone.
  auto SetZoneDrained(ZoneId aZone, bool aDrained) -> void;
  [[nodiscard]] auto IsZoneDrained(ZoneId aZone) const -> bool;
  /// Sets how long an outage lasts at least in which registrations of live
  /// targets expire.
  auto SetMinExpiringOutage(Duration aOutage) -> void;
  /// A read of the list, by this router or a peer, succeeded or failed.
  auto OnListRead(bool aSuccess, Instant aNow) -> void;
  /// Drops expired entries when the grace period has ended.
  auto Tick(Instant aNow) -> void;

  /// The target, or null if it is no longer registered.
  [[nodiscard]] auto Find(TargetId aTarget) const -> const RegisteredTarget*;
  /// Targets of a service that requests may be sent to, ordered by key.
  [[nodiscard]] auto Usable(ServiceId aService) const
    -> std::vector<const RegisteredTarget*>;
  /// Targets of a service that are not leaving, including those of drained
  /// zones.
  [[nodiscard]] auto RegisteredCount(ServiceId aService) const -> int;
  /// Targets of a zone, including those that are leaving.
  [[nodiscard]] auto InZone(ZoneId aZone) const
    -> std::vector<const RegisteredTarget*>;
  [[nodiscard]] auto Size() const -> std::size_t;
  /// Changes whenever the result of Usable() may change.
  [[nodiscard]] auto Version() const -> std::int64_t;
  auto TakeChanges() -> std::vector<DirectoryChange>;
};

} // namespace burdockring

#endif
