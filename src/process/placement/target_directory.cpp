#include "process/placement/target_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace burdockring {
namespace {

/// A registration that is repeated with less time left, but later than that,
/// tells nothing new.
constexpr Duration kColdTolerance = 300ms;

} // namespace

auto TargetDirectory::RecordChange(const RegisteredTarget& aTarget,
                                   std::string_view aChange) -> void
{
  ++version_;
  changes_.push_back({ aTarget.id_, aTarget.instance_, aChange });
}

auto TargetDirectory::Erase(std::map<std::string, Entry>::iterator aEntry)
  -> void
{
  const auto& target = aEntry->second.target_;
  RecordChange(target, "gone");
  RememberId(target.leaving_ ? &leavingIds_ : &goneIds_, target.id_);
  keysById_.erase(target.id_);
  entries_.erase(aEntry);
}

auto TargetDirectory::RememberId(std::set<TargetId>* aTargets, TargetId aTarget)
  -> bool
{
  if (aTargets->size() >= kMaxRememberedTargets) {
    aTargets->clear();
  }
  return aTargets->insert(aTarget).second;
}

auto TargetDirectory::Put(const std::string& aKey, RegisteredTarget aTarget)
  -> void
{
  // An incarnation whose registration had expired registered again.
  goneIds_.erase(aTarget.id_);
  PutRegistration(aKey, std::move(aTarget), false);
}

auto TargetDirectory::PutRegistration(const std::string& aKey,
                                      RegisteredTarget aTarget,
                                      bool aIsFromSnapshot) -> void
{
  const auto found = entries_.find(aKey);
  if (found != entries_.end() && found->second.target_.id_ != aTarget.id_) {
    Erase(found);
  }
  aTarget.leaving_ = aTarget.leaving_ || leavingIds_.contains(aTarget.id_);
  const auto inserted = entries_.try_emplace(aKey);
  auto& entry = inserted.first->second;
  const bool startsLeaving = aTarget.leaving_ && !entry.target_.leaving_;
  if (!aTarget.coldLeft_ && entry.target_.id_ == aTarget.id_) {
    // A target that does not say how long it is cold has its warm-up from when
    // it was first seen.
    aTarget.registeredAt_ = entry.target_.registeredAt_;
  }
  if (aTarget.coldLeft_.value_or(0us) > 0us &&
      aTarget.ColdUntil() > entry.target_.ColdUntil() + kColdTolerance) {
    ++version_;
  }
  aTarget.addressId_ =
    MakeId<TargetId>(aTarget.host_ + ':' + std::to_string(aTarget.port_));
  if (inserted.second) {
    RecordChange(aTarget, aTarget.leaving_ ? "leaving" : "added");
  } else if (startsLeaving) {
    RecordChange(aTarget, "leaving");
  }
  // A target that announced leaving is not usable again under the same id.
  aTarget.leaving_ = aTarget.leaving_ || entry.target_.leaving_;
  entry.isExpired_ = false;
  entry.isFromSnapshot_ = aIsFromSnapshot;
  keysById_[aTarget.id_] = aKey;
  entry.target_ = std::move(aTarget);
}

auto TargetDirectory::Remove(const std::string& aKey, Instant aNow) -> void
{
  const auto found = entries_.find(aKey);
  if (found == entries_.end()) {
    return;
  }
  const bool mayReregister = hasFailedRead_ || aNow < graceUntil_;
  if (!mayReregister || found->second.target_.leaving_) {
    Erase(found);
    return;
  }
  found->second.isExpired_ = true;
}

auto TargetDirectory::Replace(
  const std::vector<std::pair<std::string, RegisteredTarget>>& aSnapshot,
  Instant aNow) -> void
{
  const bool mayBeStale = std::exchange(nextSnapshotMayBeStale_, false);
  std::set<std::string> listed;
  for (const auto& item : aSnapshot) {
    const auto& target = item.second;
    const bool isKnownEnded =
      goneIds_.contains(target.id_) || leavingIds_.contains(target.id_);
    if (mayBeStale && isKnownEnded && !keysById_.contains(target.id_)) {
      RecordChange(target, "kept_out");
      continue;
    }
    listed.insert(item.first);
    goneIds_.erase(target.id_);
    PutRegistration(item.first, target, true);
  }
  std::vector<std::string> missing;
  for (const auto& entry : entries_) {
    if (!listed.contains(entry.first)) {
      missing.push_back(entry.first);
    }
  }
  for (const auto& key : missing) {
    Remove(key, aNow);
  }
}

auto TargetDirectory::ReplaceInPart(
  const std::vector<std::pair<std::string, RegisteredTarget>>& aPart,
  Instant aNow) -> void
{
  graceUntil_ = std::max(graceUntil_, aNow + kReregistrationGracePeriod);
  const bool mayBeStale = nextSnapshotMayBeStale_;
  Replace(aPart, aNow);
  // The next snapshot shows what this one lacks for the first time.
  nextSnapshotMayBeStale_ = mayBeStale;
}

auto TargetDirectory::MarkLeaving(TargetId aTarget) -> bool
{
  if (!RememberId(&leavingIds_, aTarget)) {
    return false;
  }
  const auto key = keysById_.find(aTarget);
  if (key == keysById_.end()) {
    return true;
  }
  auto& target = entries_.at(key->second).target_;
  const bool isNews = !target.leaving_;
  target.leaving_ = true;
  if (isNews) {
    RecordChange(target, "leaving");
  }
  return isNews;
}

auto TargetDirectory::OnStoreRestored(Instant aNow) -> void
{
  nextSnapshotMayBeStale_ = true;
  lastRead_ = aNow;
  hasFailedRead_ = false;
  graceUntil_ = aNow + kReregistrationGracePeriod;
}

auto TargetDirectory::GoneTargets() const -> const std::set<TargetId>&
{
  return goneIds_;
}

auto TargetDirectory::MarkGone(TargetId aTarget) -> void
{
  const auto key = keysById_.find(aTarget);
  const auto entry =
    key == keysById_.end() ? entries_.end() : entries_.find(key->second);
  if (entry == entries_.end()) {
    RememberId(&goneIds_, aTarget);
  } else if (entry->second.isFromSnapshot_) {
    Erase(entry);
  }
}

auto TargetDirectory::SetZoneDrained(ZoneId aZone, bool aDrained) -> void
{
  const bool isChange = aDrained ? drainedZones_.insert(aZone).second
                                 : drainedZones_.erase(aZone) > 0;
  version_ += isChange ? 1 : 0;
}

auto TargetDirectory::IsZoneDrained(ZoneId aZone) const -> bool
{
  return drainedZones_.contains(aZone);
}

auto TargetDirectory::SetMinExpiringOutage(Duration aOutage) -> void
{
  minExpiringOutage_ = aOutage;
}

auto TargetDirectory::OnListRead(bool aSuccess, Instant aNow) -> void
{
  if (!aSuccess) {
    hasFailedRead_ = true;
    return;
  }
  const bool wasAway = std::exchange(hasFailedRead_, false) &&
                       (!lastRead_ || aNow - *lastRead_ >= minExpiringOutage_);
  if (wasAway) {
    graceUntil_ = aNow + kReregistrationGracePeriod;
  }
  lastRead_ = aNow;
}

auto TargetDirectory::Tick(Instant aNow) -> void
{
  if (hasFailedRead_ || aNow < graceUntil_) {
    return;
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto next = std::next(entry);
    if (entry->second.isExpired_) {
      Erase(entry);
    }
    entry = next;
  }
}

auto TargetDirectory::Find(TargetId aTarget) const -> const RegisteredTarget*
{
  const auto key = keysById_.find(aTarget);
  return key == keysById_.end() ? nullptr : &entries_.at(key->second).target_;
}

auto TargetDirectory::Usable(ServiceId aService) const
  -> std::vector<const RegisteredTarget*>
{
  std::vector<const RegisteredTarget*> usable;
  for (const auto& entry : entries_) {
    const auto& target = entry.second.target_;
    if (target.service_ == aService && !target.leaving_ &&
        !IsZoneDrained(target.zone_)) {
      usable.push_back(&target);
    }
  }
  return usable;
}

auto TargetDirectory::RegisteredCount(ServiceId aService) const -> int
{
  return static_cast<int>(
    std::count_if(entries_.begin(), entries_.end(), [&](const auto& aEntry) {
      const auto& target = aEntry.second.target_;
      return target.service_ == aService && !target.leaving_;
    }));
}

auto TargetDirectory::InZone(ZoneId aZone) const
  -> std::vector<const RegisteredTarget*>
{
  std::vector<const RegisteredTarget*> targets;
  for (const auto& entry : entries_) {
    if (entry.second.target_.zone_ == aZone) {
      targets.push_back(&entry.second.target_);
    }
  }
  return targets;
}

auto TargetDirectory::Size() const -> std::size_t
{
  return entries_.size();
}

auto TargetDirectory::Version() const -> std::int64_t
{
  return version_;
}

auto TargetDirectory::TakeChanges() -> std::vector<DirectoryChange>
{
  return std::exchange(changes_, {});
}

} // namespace burdockring
