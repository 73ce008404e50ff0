#ifndef BURDOCKRING_PROCESS_FORWARDING_TARGET_DIRECTORY_H
#define BURDOCKRING_PROCESS_FORWARDING_TARGET_DIRECTORY_H

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

/// A target as it registered itself.
struct ListedTarget
{
  /// Names this incarnation; another start of the target has another id.
  TargetId id_;
  /// The name that the target answers to.
  std::string instance_;
  ServiceId service_;
  ZoneId zone_;
  std::string host_;
  std::uint16_t port_ = 0;
  int slots_ = 1;
  bool leaving_ = false;
};

/// What happened to the targets that may be given work.
struct DirectoryChange
{
  TargetId target_;
  std::string instance_;
  /// "added", "leaving", "gone" or "kept_out".
  std::string_view change_;
};

/// The targets that registered themselves, by registration key.
///
/// Registrations may lapse while the list is out of reach, although their
/// targets live. One that is missing when the list is back counts as gone only
/// after kLapseGrace, within which a living target registers again.
///
/// A list from a store that came back from an older copy may show registrations
/// that had ended since. Incarnations that are known to be gone stay so until
/// one of them registers again.
class TargetDirectory
{
  /// Registrations of living targets are back within two seconds.
  static constexpr Duration kLapseGrace = 2s;

  struct Entry
  {
    ListedTarget target_;
    /// When a lapsed registration counts as gone.
    std::optional<Instant> goneAt_;
    /// Whether it is known only from a whole list, which may be an older copy.
    bool isFromList_ = false;
  };

  /// Incarnations that are remembered to have left, or to be gone.
  static constexpr std::size_t kMaxLeft = 16'384;

  std::map<std::string, Entry> entries_;
  std::map<TargetId, std::string> keys_;
  /// Incarnations that said they leave; none of them comes back.
  std::set<TargetId> left_;
  /// Incarnations whose registration ended.
  std::set<TargetId> gone_;
  /// Whether the next whole list may come from an older copy of the store.
  bool distrustsList_ = false;
  std::vector<DirectoryChange> changes_;
  std::optional<Instant> awaySince_;
  std::optional<Instant> backSince_;
  std::int64_t version_ = 1;

  auto Note(const ListedTarget& aTarget, std::string_view aChange) -> void;
  auto Erase(std::map<std::string, Entry>::iterator aEntry) -> void;
  static auto Remember(std::set<TargetId>* aTargets, TargetId aTarget) -> bool;
  auto PutEntry(const std::string& aKey, ListedTarget aTarget, bool aIsFromList)
    -> void;

public:
  /// Takes a registration that was written just now.
  auto Put(const std::string& aKey, ListedTarget aTarget) -> void;
  auto Remove(const std::string& aKey, Instant aNow) -> void;
  /// Takes the whole list: entries that it lacks are removed.
  auto Replace(const std::vector<std::pair<std::string, ListedTarget>>& aAll,
               Instant aNow) -> void;
  /// The target said itself, or told a peer, that it leaves. Gives whether that
  /// was news.
  auto MarkLeaving(TargetId aTarget) -> bool;
  /// The store came back from an older copy: the next whole list may show
  /// targets that are gone, and lack some that live until they register again.
  auto OnStoreRestored(Instant aNow) -> void;
  /// Incarnations that are known to be gone, for routers that know only the
  /// older copy.
  [[nodiscard]] auto Gone() const -> const std::set<TargetId>&;
  /// A peer knew the target to be gone before the store's return. What this
  /// router has from a list only, it drops.
  auto MarkGone(TargetId aTarget) -> void;
  /// The list is out of reach, or in reach again.
  auto SetReachable(bool aReachable, Instant aNow) -> void;
  /// Drops lapsed entries whose grace has ended.
  auto Tick(Instant aNow) -> void;

  /// The target, or null where it isn't listed any more.
  [[nodiscard]] auto Find(TargetId aTarget) const -> const ListedTarget*;
  /// Listed targets of a service that may be given work, in order of key.
  [[nodiscard]] auto Usable(ServiceId aService) const
    -> std::vector<const ListedTarget*>;
  [[nodiscard]] auto Size() const -> std::size_t;
  [[nodiscard]] auto IsReachable() const -> bool;
  /// Changes whenever Usable may.
  [[nodiscard]] auto Version() const -> std::int64_t;
  auto TakeChanges() -> std::vector<DirectoryChange>;
};

} // namespace burdockring

#endif
