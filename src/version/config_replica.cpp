#include "version/config_replica.h"

#include "version/config_reader.h"

#include <algorithm>
#include <array>

namespace burdockring {
namespace {

constexpr std::size_t kMaxHistory = 256;
constexpr std::size_t kMaxPending = 4096;

struct ResultRow
{
  ChangeResult result_;
  std::string_view name_;
};

constexpr std::array kResultTable{
  ResultRow{ ChangeResult::kAccepted, "accepted" },
  ResultRow{ ChangeResult::kConflict, "conflict" },
  ResultRow{ ChangeResult::kInvalid, "invalid" },
  ResultRow{ ChangeResult::kDuplicate, "duplicate" },
  ResultRow{ ChangeResult::kUndecided, "undecided" },
};

auto ReadSet(const std::string& aText) -> ConfigSetPointer
{
  FindingList findings;
  return ReadConfigSet({ { "log", aText } }, &findings);
}

} // namespace

auto ResultName(ChangeResult aResult) -> std::string_view
{
  for (const auto& row : kResultTable) {
    if (row.result_ == aResult) {
      return row.name_;
    }
  }
  return "undecided";
}

auto ConfigReplica::DecideChange(LogOffset aOffset, const ConfigChange& aChange)
  -> ChangeResult
{
  HistoryRow row{ aOffset,       aChange.changeId_, aChange.operator_,
                  aChange.base_, current_.version_, ChangeResult::kConflict };
  if (aChange.changeId_ == current_.changeId_) {
    row.result_ = ChangeResult::kDuplicate;
  } else if (aChange.base_ == current_.version_) {
    auto set = ReadSet(aChange.text_);
    row.result_ = set ? ChangeResult::kAccepted : ChangeResult::kInvalid;
    if (set) {
      row.version_ = aChange.base_ + 1;
      current_ = { row.version_, aChange.changeId_, aChange.text_,
                   std::move(set) };
    }
  }
  const auto result = row.result_;
  AddHistoryRow(std::move(row));
  return result;
}

auto ConfigReplica::SynchronizeTo(ConfigVersion aVersion, LogOffset aDecidedTo)
  -> bool
{
  const bool changed = aVersion.version_ != current_.version_;
  current_ = std::move(aVersion);
  decidedTo_ = std::max(decidedTo_, aDecidedTo);
  isSynchronized_ = coveredFrom_ <= aDecidedTo + 1;
  if (isSynchronized_) {
    decidedTo_ = aDecidedTo;
    DecidePending();
  }
  return changed;
}

auto ConfigReplica::DecidePending() -> void
{
  auto pending = std::exchange(pending_, {});
  for (const auto& item : pending) {
    if (item.offset_ > decidedTo_) {
      DecideChange(item.offset_, item.change_);
    }
  }
  decidedTo_ = std::max(decidedTo_, coveredTo_);
}

auto ConfigReplica::AddHistoryRow(HistoryRow aRow) -> void
{
  history_.push_back(std::move(aRow));
  if (history_.size() > kMaxHistory) {
    history_.pop_front();
  }
}

auto ConfigReplica::BeginRead(LogOffset aFirst) -> void
{
  if (aFirst <= coveredTo_ + 1 && coveredTo_ >= 0) {
    return;
  }
  coveredFrom_ = aFirst;
  pending_.clear();
  // At the start of the log the version is known to be 0.
  isSynchronized_ = aFirst <= decidedTo_ + 1;
}

auto ConfigReplica::EndRead(LogOffset aNext) -> void
{
  coveredTo_ = std::max(coveredTo_, aNext - 1);
  if (isSynchronized_) {
    decidedTo_ = std::max(decidedTo_, coveredTo_);
  }
}

auto ConfigReplica::Apply(LogOffset aOffset, const ConfigChange& aChange)
  -> ChangeResult
{
  coveredTo_ = std::max(coveredTo_, aOffset);
  if (!isSynchronized_) {
    pending_.push_back({ aOffset, aChange });
    if (pending_.size() > kMaxPending) {
      pending_.pop_front();
      coveredFrom_ = pending_.front().offset_;
    }
    return ChangeResult::kUndecided;
  }
  if (aOffset <= decidedTo_) {
    return ChangeResult::kDuplicate;
  }
  decidedTo_ = aOffset;
  return DecideChange(aOffset, aChange);
}

auto ConfigReplica::Apply(LogOffset aOffset, const ConfigSnapshot& aSnapshot)
  -> bool
{
  coveredTo_ = std::max(coveredTo_, aOffset);
  if (isSynchronized_ || aSnapshot.version_ < current_.version_) {
    return false;
  }
  auto set = ReadSet(aSnapshot.text_);
  if (!set || aSnapshot.decidedTo_ >= aOffset) {
    return false;
  }
  return SynchronizeTo({ aSnapshot.version_, aSnapshot.changeId_,
                         aSnapshot.text_, std::move(set) },
                       aSnapshot.decidedTo_);
}

auto ConfigReplica::ApplyPeerVersion(ConfigNumber aVersion,
                                     LogOffset aDecidedTo,
                                     const std::string& aChangeId,
                                     const std::string& aText) -> bool
{
  if (aVersion <= current_.version_) {
    return false;
  }
  if (isSynchronized_ && aDecidedTo <= decidedTo_) {
    return false;
  }
  auto set = ReadSet(aText);
  if (!set) {
    return false;
  }
  return SynchronizeTo({ aVersion, aChangeId, aText, std::move(set) },
                       aDecidedTo);
}

auto ConfigReplica::Current() const -> const ConfigVersion&
{
  return current_;
}

auto ConfigReplica::IsSynchronized() const -> bool
{
  return isSynchronized_;
}

auto ConfigReplica::DecidedTo() const -> LogOffset
{
  return decidedTo_;
}

auto ConfigReplica::History() const -> const std::deque<HistoryRow>&
{
  return history_;
}

} // namespace burdockring
