#include "process/placement/report_delta.h"

#include <cstdlib>
#include <utility>

namespace burdockring {

auto ReportDelta::HasChangedEnough(const wire::AccountUse& aSent,
                                   const wire::AccountUse& aNew) -> bool
{
  const auto changedEnough = [](std::int64_t aFrom, std::int64_t aTo) {
    const auto threshold =
      std::max(kMinAccountChange, aFrom / kAccountChangeDivisor);
    return std::abs(aTo - aFrom) >= threshold || (aTo == 0 && aFrom != 0);
  };
  return changedEnough(aSent.askedTokens, aNew.askedTokens) ||
         changedEnough(aSent.givenTokens, aNew.givenTokens);
}

auto ReportDelta::RemoveUnchangedTargets(wire::LoadReport* aReport) -> void
{
  std::vector<wire::TargetUse> changes;
  auto previous = std::exchange(sentTargets_, {});
  for (const auto& row : aReport->targets) {
    const auto before = previous.find(row.target);
    if (before == previous.end() || !(before->second == row)) {
      changes.push_back(row);
    }
    if (before != previous.end()) {
      previous.erase(before);
    }
    sentTargets_[row.target] = row;
  }
  // Nothing is running any more at the targets that remain.
  for (const auto& entry : previous) {
    wire::TargetUse idle;
    idle.target = entry.first;
    changes.push_back(idle);
  }
  aReport->targets = std::move(changes);
}

auto ReportDelta::RemoveUnchangedAccounts(wire::LoadReport* aReport) -> void
{
  std::vector<wire::AccountUse> changes;
  for (const auto& row : aReport->accounts) {
    const auto inserted = sentAccounts_.try_emplace(row.account, row);
    if (inserted.second || HasChangedEnough(inserted.first->second, row)) {
      inserted.first->second = row;
      changes.push_back(row);
    }
  }
  aReport->accounts = std::move(changes);
}

auto ReportDelta::ForceFullReport() -> void
{
  fullReportDue_ = true;
}

auto ReportDelta::Reduce(wire::LoadReport* aReport, Instant aNow) -> void
{
  if (!fullReportDue_ && aNow - lastFullReport_ < kFullReportInterval) {
    aReport->partial = true;
    RemoveUnchangedTargets(aReport);
    RemoveUnchangedAccounts(aReport);
    return;
  }
  fullReportDue_ = false;
  lastFullReport_ = aNow;
  sentTargets_.clear();
  sentAccounts_.clear();
  for (const auto& row : aReport->targets) {
    sentTargets_[row.target] = row;
  }
  for (const auto& row : aReport->accounts) {
    sentAccounts_[row.account] = row;
  }
}

} // namespace burdockring
