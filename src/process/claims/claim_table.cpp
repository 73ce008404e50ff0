#include "process/claims/claim_table.h"

namespace burdockring {

auto ClaimTable::Apply(const ClaimRecord& aClaim) -> void
{
  auto& entry = entries_[aClaim.key_];
  entry.keyMillis_ = aClaim.keyMillis_;
  if (entry.state_ != ClaimState::kFree ||
      entry.released_.contains(aClaim.attempt_)) {
    return;
  }
  entry.state_ = ClaimState::kOwned;
  entry.owner_ = aClaim.attempt_;
}

auto ClaimTable::Apply(const OutcomeRecord& aOutcome) -> void
{
  const auto found = entries_.find(aOutcome.key_);
  if (found == entries_.end()) {
    return;
  }
  auto& entry = found->second;
  if (entry.state_ != ClaimState::kOwned || entry.owner_ != aOutcome.attempt_) {
    return;
  }
  switch (aOutcome.kind_) {
    case OutcomeKind::kDone:
      entry.state_ = ClaimState::kDone;
      break;
    case OutcomeKind::kUnknown:
      entry.state_ = ClaimState::kUnknown;
      break;
    case OutcomeKind::kNotRun:
      entry.state_ = ClaimState::kFree;
      entry.released_.insert(aOutcome.attempt_);
      break;
  }
  entry.status_ = aOutcome.status_;
  entry.body_ = aOutcome.body_;
}

auto ClaimTable::Expire(WallTime aBefore) -> void
{
  std::erase_if(entries_, [&](const auto& aEntry) {
    return aEntry.second.keyMillis_ < aBefore.count();
  });
}

auto ClaimTable::Find(const std::string& aKey) const -> const ClaimEntry*
{
  const auto found = entries_.find(aKey);
  return found == entries_.end() ? nullptr : &found->second;
}

auto ClaimTable::Size() const -> std::size_t
{
  return entries_.size();
}

} // namespace burdockring
