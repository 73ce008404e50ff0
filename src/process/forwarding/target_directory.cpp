#include "process/forwarding/target_directory.h"

#include <set>
#include <utility>

namespace burdockring {

auto TargetDirectory::Note(const ListedTarget& aTarget,
                           std::string_view aChange) -> void
{
  ++version_;
  changes_.push_back({ aTarget.id_, aTarget.instance_, aChange });
}

auto TargetDirectory::Erase(std::map<std::string, Entry>::iterator aEntry)
  -> void
{
  const auto& target = aEntry->second.target_;
  Note(target, "gone");
  Remember(target.leaving_ ? &left_ : &gone_, target.id_);
  keys_.erase(target.id_);
  entries_.erase(aEntry);
}

auto TargetDirectory::Remember(std::set<TargetId>* aTargets, TargetId aTarget)
  -> bool
{
  if (aTargets->size() >= kMaxLeft) {
    aTargets->clear();
  }
  return aTargets->insert(aTarget).second;
}

auto TargetDirectory::Put(const std::string& aKey, ListedTarget aTarget) -> void
{
  // An incarnation whose registration lapsed has registered again.
  gone_.erase(aTarget.id_);
  PutEntry(aKey, std::move(aTarget), false);
}

auto TargetDirectory::PutEntry(const std::string& aKey,
                               ListedTarget aTarget,
                               bool aIsFromList) -> void
{
  const auto found = entries_.find(aKey);
  if (found != entries_.end() && found->second.target_.id_ != aTarget.id_) {
    Erase(found);
  }
  aTarget.leaving_ = aTarget.leaving_ || left_.contains(aTarget.id_);
  const auto inserted = entries_.try_emplace(aKey);
  auto& entry = inserted.first->second;
  const bool left = aTarget.leaving_ && !entry.target_.leaving_;
  if (inserted.second) {
    Note(aTarget, aTarget.leaving_ ? "leaving" : "added");
  } else if (left) {
    Note(aTarget, "leaving");
  }
  // A target that said it leaves does not come back under the same id.
  aTarget.leaving_ = aTarget.leaving_ || entry.target_.leaving_;
  entry.goneAt_.reset();
  entry.isFromList_ = aIsFromList;
  keys_[aTarget.id_] = aKey;
  entry.target_ = std::move(aTarget);
}

auto TargetDirectory::Remove(const std::string& aKey, Instant aNow) -> void
{
  const auto found = entries_.find(aKey);
  if (found == entries_.end()) {
    return;
  }
  const bool lapsed =
    awaySince_ || (backSince_ && aNow - *backSince_ < kLapseGrace);
  if (!lapsed || found->second.target_.leaving_) {
    Erase(found);
    return;
  }
  if (!found->second.goneAt_) {
    found->second.goneAt_ = backSince_.value_or(aNow) + kLapseGrace;
  }
}

auto TargetDirectory::Replace(
  const std::vector<std::pair<std::string, ListedTarget>>& aAll, Instant aNow)
  -> void
{
  const bool distrusts = std::exchange(distrustsList_, false);
  std::set<std::string> listed;
  for (const auto& item : aAll) {
    const auto& target = item.second;
    const bool hadEnded =
      gone_.contains(target.id_) || left_.contains(target.id_);
    if (distrusts && hadEnded && !keys_.contains(target.id_)) {
      Note(target, "kept_out");
      continue;
    }
    listed.insert(item.first);
    gone_.erase(target.id_);
    PutEntry(item.first, target, true);
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

auto TargetDirectory::MarkLeaving(TargetId aTarget) -> bool
{
  if (!Remember(&left_, aTarget)) {
    return false;
  }
  const auto key = keys_.find(aTarget);
  if (key == keys_.end()) {
    return true;
  }
  auto& target = entries_.at(key->second).target_;
  const bool isNews = !target.leaving_;
  target.leaving_ = true;
  if (isNews) {
    Note(target, "leaving");
  }
  return isNews;
}

auto TargetDirectory::OnStoreRestored(Instant aNow) -> void
{
  distrustsList_ = true;
  awaySince_.reset();
  backSince_ = aNow;
}

auto TargetDirectory::Gone() const -> const std::set<TargetId>&
{
  return gone_;
}

auto TargetDirectory::MarkGone(TargetId aTarget) -> void
{
  const auto key = keys_.find(aTarget);
  const auto entry =
    key == keys_.end() ? entries_.end() : entries_.find(key->second);
  if (entry == entries_.end()) {
    Remember(&gone_, aTarget);
  } else if (entry->second.isFromList_) {
    Erase(entry);
  }
}

auto TargetDirectory::SetReachable(bool aReachable, Instant aNow) -> void
{
  if (!aReachable) {
    if (!awaySince_) {
      awaySince_ = aNow;
    }
    return;
  }
  if (awaySince_) {
    awaySince_.reset();
    backSince_ = aNow;
  }
}

auto TargetDirectory::Tick(Instant aNow) -> void
{
  if (awaySince_) {
    return;
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto next = std::next(entry);
    if (entry->second.goneAt_ && aNow >= *entry->second.goneAt_) {
      Erase(entry);
    }
    entry = next;
  }
}

auto TargetDirectory::Find(TargetId aTarget) const -> const ListedTarget*
{
  const auto key = keys_.find(aTarget);
  return key == keys_.end() ? nullptr : &entries_.at(key->second).target_;
}

auto TargetDirectory::Usable(ServiceId aService) const
  -> std::vector<const ListedTarget*>
{
  std::vector<const ListedTarget*> usable;
  for (const auto& entry : entries_) {
    const auto& target = entry.second.target_;
    if (target.service_ == aService && !target.leaving_) {
      usable.push_back(&target);
    }
  }
  return usable;
}

auto TargetDirectory::Size() const -> std::size_t
{
  return entries_.size();
}

auto TargetDirectory::IsReachable() const -> bool
{
  return !awaySince_;
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
