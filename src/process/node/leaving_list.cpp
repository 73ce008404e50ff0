#include "process/node/leaving_list.h"

#include <utility>

namespace burdockring {
namespace {

/// A target that reported that it is leaving has ended within this time, or has
/// registered again.
constexpr Duration kReportedTimeout = 60s;

} // namespace

auto LeavingList::SetListed(const std::vector<TargetId>& aTargets) -> void
{
  listed_ = { aTargets.begin(), aTargets.end() };
}

auto LeavingList::AddReported(TargetId aTarget, Instant aNow) -> bool
{
  return reported_.try_emplace(aTarget, aNow).second;
}

auto LeavingList::Refresh(const ConfigSet& aSet, Instant aNow) -> bool
{
  std::erase_if(reported_, [&](const auto& aEntry) {
    return aNow - aEntry.second > kReportedTimeout;
  });
  auto all = listed_;
  for (const auto& entry : reported_) {
    all.insert(entry.first);
  }
  for (const auto& entry : aSet.targets_) {
    if (entry.second.leaving_) {
      all.insert(entry.first);
    }
  }
  if (all == all_) {
    return false;
  }
  all_ = std::move(all);
  return true;
}

auto LeavingList::All() const -> const std::set<TargetId>&
{
  return all_;
}

auto LeavingList::Reported() const -> const std::map<TargetId, Instant>&
{
  return reported_;
}

} // namespace burdockring
