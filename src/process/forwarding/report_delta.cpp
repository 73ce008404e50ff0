#include "process/forwarding/report_delta.h"

#include <cstdlib>
#include <utility>

namespace burdockring {

auto ReportDelta::HasMoved(const wire::AccountUse& aTold,
                           const wire::AccountUse& aNew) -> bool
{
  const auto moved = [](std::int64_t aFrom, std::int64_t aTo) {
    const auto least = std::max(kLeastTokens, aFrom / kAccountParts);
    return std::abs(aTo - aFrom) >= least || (aTo == 0 && aFrom != 0);
  };
  return moved(aTold.askedTokens, aNew.askedTokens) ||
         moved(aTold.givenTokens, aNew.givenTokens);
}

auto ReportDelta::ReduceTargets(wire::LoadReport* aReport) -> void
{
  std::vector<wire::TargetUse> changes;
  auto told = std::exchange(targets_, {});
  for (const auto& row : aReport->targets) {
    const auto before = told.find(row.target);
    if (before == told.end() || !(before->second == row)) {
      changes.push_back(row);
    }
    if (before != told.end()) {
      told.erase(before);
    }
    targets_[row.target] = row;
  }
  // Nothing runs any more at those that are left.
  for (const auto& entry : told) {
    wire::TargetUse none;
    none.target = entry.first;
    changes.push_back(none);
  }
  aReport->targets = std::move(changes);
}

auto ReportDelta::ReduceAccounts(wire::LoadReport* aReport) -> void
{
  std::vector<wire::AccountUse> changes;
  for (const auto& row : aReport->accounts) {
    const auto inserted = accounts_.try_emplace(row.account, row);
    if (inserted.second || HasMoved(inserted.first->second, row)) {
      inserted.first->second = row;
      changes.push_back(row);
    }
  }
  aReport->accounts = std::move(changes);
}

auto ReportDelta::ForceWhole() -> void
{
  wholeIsDue_ = true;
}

auto ReportDelta::Reduce(wire::LoadReport* aReport, Instant aNow) -> void
{
  if (!wholeIsDue_ && aNow - lastWhole_ < kWholeInterval) {
    aReport->partial = true;
    ReduceTargets(aReport);
    ReduceAccounts(aReport);
    return;
  }
  wholeIsDue_ = false;
  lastWhole_ = aNow;
  targets_.clear();
  accounts_.clear();
  for (const auto& row : aReport->targets) {
    targets_[row.target] = row;
  }
  for (const auto& row : aReport->accounts) {
    accounts_[row.account] = row;
  }
}

} // namespace burdockring
