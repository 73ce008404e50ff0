#include "process/sharing/service_pool.h"

#include <algorithm>

namespace burdockring {
namespace {

/// Maximum number of zones besides the home zone that get a router's demand.
constexpr std::size_t kMaxSpillZones = 3;

} // namespace

auto ServicePool::ChooseReportedZones() -> void
{
  std::vector<ZoneId> zones = Zones();
  const auto score = [&](ZoneId aZone) {
    return RendezvousScore(localRouter_.value_, aZone.value_, service_.value_);
  };
  std::sort(zones.begin(), zones.end(), [&](ZoneId aLeft, ZoneId aRight) {
    return score(aLeft) > score(aRight);
  });
  reportedZones_.clear();
  for (const auto zone : zones) {
    if (zone != homeZone_ && reportedZones_.size() < kMaxSpillZones) {
      reportedZones_.insert(zone);
    }
  }
  reportedZones_.insert(homeZone_);
}

auto ServicePool::DemandFor(ZoneId aZone, Instant aNow) const
  -> std::map<AccountId, int>
{
  if (!reportedZones_.contains(aZone)) {
    return {};
  }
  const bool first = aZone == homeZone_ || !zones_.contains(homeZone_);
  const auto latestArrival = first ? aNow : aNow - options_->spillDelay_;
  std::map<AccountId, int> demand;
  for (const auto account : queue_.WaitingAccounts()) {
    const auto waiting = queue_.WaitingArrivedBy(account, latestArrival);
    if (waiting > 0) {
      demand[account] = waiting;
    }
  }
  return demand;
}

auto ServicePool::Estimates(const std::map<AccountId, int>& aDemand) const
  -> std::map<AccountId, ServiceAmount>
{
  std::map<AccountId, ServiceAmount> estimates;
  for (const auto& entry : aDemand) {
    estimates[entry.first] =
      NormalizeByWeight(estimator_.Estimate(entry.first, std::nullopt),
                        set_->Weight(entry.first));
  }
  return estimates;
}

auto ServicePool::ChooseAccount(const ZoneClient& aClient) const
  -> std::optional<AccountId>
{
  std::optional<AccountId> best;
  ServiceAmount bestTag = 0;
  for (const auto account : queue_.WaitingAccounts()) {
    if (aClient.HasCredit(account)) {
      return account;
    }
    if (aClient.IsContended() && !aClient.KnowsTag(account)) {
      continue;
    }
    const auto tag = aClient.Tag(account);
    if (!best || tag < bestTag) {
      best = account;
      bestTag = tag;
    }
  }
  const bool isAllowed = !aClient.IsContended() ||
                         bestTag <= aClient.Floor() + options_->reuseSlack_;
  return isAllowed ? best : std::nullopt;
}

auto ServicePool::DispatchFrom(ZoneId aZone,
                               ZoneClient* aClient,
                               Instant aNow,
                               std::vector<DispatchOrder>* aOrders) -> void
{
  while (aClient->Idle(aNow) > 0 && !queue_.IsEmpty()) {
    const auto account = ChooseAccount(*aClient);
    if (!account) {
      break;
    }
    const auto target = aClient->TakeSlot(*account, aNow);
    const auto request = queue_.Pop(*account, aNow);
    const auto hint = tokenHints_.extract(request->id_);
    const auto tokens = estimator_.Estimate(
      *account, hint ? std::optional(hint.mapped()) : std::nullopt);
    aClient->Charge(*account,
                    NormalizeByWeight(tokens, set_->Weight(*account)));
    aOrders->push_back({ request->id_, *account, aZone, *target, tokens });
  }
  if (aClient->IsContended() && aClient->Idle(aNow) > 0) {
    aClient->ReturnIdle();
  }
  // A credit belongs to the slot granted with it, which by now is either in use
  // or returned.
  aClient->ClearCredits();
}

ServicePool::ServicePool(const SharingOptions* aOptions,
                         ServiceId aService,
                         ZoneId aHomeZone,
                         RouterId aLocalRouter)
  : options_(aOptions)
  , service_(aService)
  , homeZone_(aHomeZone)
  , localRouter_(aLocalRouter)
{
}

auto ServicePool::Configure(ConfigSetPointer aSet) -> void
{
  set_ = std::move(aSet);
  std::set<ZoneId> serviceZones;
  for (const auto& entry : set_->targets_) {
    if (entry.second.service_ == service_) {
      serviceZones.insert(entry.second.zone_);
    }
  }
  std::erase_if(zones_, [&](const auto& aEntry) {
    return !serviceZones.contains(aEntry.first) && aEntry.second.Busy() == 0;
  });
  for (const auto zone : serviceZones) {
    auto inserted =
      zones_.try_emplace(zone, options_, service_, zone, zone == homeZone_);
    inserted.first->second.SetLeaving(leaving_);
  }
  ChooseReportedZones();
}

auto ServicePool::SetLeaving(const std::set<TargetId>& aLeaving) -> void
{
  leaving_ = aLeaving;
  for (auto& entry : zones_) {
    entry.second.SetLeaving(aLeaving);
  }
}

auto ServicePool::SetScheduler(ZoneId aZone,
                               std::optional<RouterId> aScheduler,
                               std::int64_t aIncarnation) -> void
{
  const auto found = zones_.find(aZone);
  if (found != zones_.end()) {
    found->second.SetScheduler(aScheduler, aIncarnation);
  }
}

auto ServicePool::Zones() const -> std::vector<ZoneId>
{
  std::vector<ZoneId> zones;
  for (const auto& entry : zones_) {
    zones.push_back(entry.first);
  }
  return zones;
}

auto ServicePool::Push(AccountId aAccount,
                       const WaitingRequest& aRequest,
                       std::optional<double> aHintTokens) -> void
{
  queue_.Push(aAccount, aRequest);
  if (aHintTokens) {
    tokenHints_[aRequest.id_] = *aHintTokens;
  }
}

auto ServicePool::PushFront(AccountId aAccount, const WaitingRequest& aRequest)
  -> void
{
  queue_.PushFront(aAccount, aRequest);
}

auto ServicePool::Remove(RequestId aRequest) -> bool
{
  tokenHints_.erase(aRequest);
  return queue_.Remove(aRequest);
}

auto ServicePool::PopExpired(Instant aNow) -> std::vector<RequestId>
{
  const auto expired = queue_.PopExpired(aNow);
  for (const auto request : expired) {
    tokenHints_.erase(request);
  }
  return expired;
}

auto ServicePool::OnGrants(RouterId aFrom,
                           const wire::GrantBatch& aBatch,
                           Instant aNow) -> void
{
  const auto found = zones_.find(ZoneId{ aBatch.zone });
  if (found != zones_.end()) {
    found->second.OnGrants(aFrom, aBatch, aNow);
  }
}

auto ServicePool::Tick(Instant aNow) -> void
{
  for (auto& entry : zones_) {
    entry.second.Tick(aNow);
  }
}

auto ServicePool::Dispatch(Instant aNow) -> std::vector<DispatchOrder>
{
  std::vector<DispatchOrder> orders;
  const auto home = zones_.find(homeZone_);
  if (home != zones_.end()) {
    DispatchFrom(homeZone_, &home->second, aNow, &orders);
  }
  for (auto& entry : zones_) {
    if (entry.first != homeZone_) {
      DispatchFrom(entry.first, &entry.second, aNow, &orders);
    }
  }
  return orders;
}

auto ServicePool::Charge(ZoneId aZone, AccountId aAccount, double aTokens)
  -> void
{
  const auto found = zones_.find(aZone);
  if (found != zones_.end()) {
    found->second.Charge(aAccount,
                         NormalizeByWeight(aTokens, set_->Weight(aAccount)));
  }
}

auto ServicePool::EndAttempt(ZoneId aZone,
                             TargetId aTarget,
                             const TargetStats& aStats,
                             Instant aNow) -> void
{
  const auto found = zones_.find(aZone);
  if (found == zones_.end()) {
    return;
  }
  auto& client = found->second;
  if (aStats.failed_ > 0 || aStats.refused_ > 0) {
    client.Avoid(aTarget, aNow + options_->targetPenalty_);
  }
  client.Observe(aTarget, aStats);
  client.ReleaseSlot(aTarget, aNow);
}

auto ServicePool::AddCostSample(AccountId aAccount, double aTokens) -> void
{
  estimator_.AddCostSample(aAccount, aTokens);
}

auto ServicePool::TakeReports(Instant aNow) -> std::vector<AddressedReport>
{
  std::vector<AddressedReport> reports;
  for (auto& entry : zones_) {
    if (!entry.second.MayReport(aNow)) {
      continue;
    }
    const auto demand = DemandFor(entry.first, aNow);
    auto report = entry.second.BuildReport(aNow, demand, Estimates(demand));
    if (report) {
      reports.push_back({ *entry.second.Scheduler(), std::move(*report) });
    }
  }
  return reports;
}

auto ServicePool::Waiting(AccountId aAccount) const -> int
{
  return queue_.Waiting(aAccount);
}

auto ServicePool::TotalWaiting() const -> int
{
  return queue_.Size();
}

auto ServicePool::Busy() const -> int
{
  int busy = 0;
  for (const auto& entry : zones_) {
    busy += entry.second.Busy();
  }
  return busy;
}

auto ServicePool::Held() const -> int
{
  int held = 0;
  for (const auto& entry : zones_) {
    held += entry.second.Held();
  }
  return held;
}

} // namespace burdockring
