#include "process/sharing/zone_scheduler.h"

#include <algorithm>

namespace burdockring {
namespace {

/// A report or exchange after a longer silence is treated as a rejoin.
constexpr Duration kRejoinSilence = 2s;

/// Number of router record epochs reserved for each scheduler epoch.
constexpr std::int64_t kMaxRouterEpochs = 1 << 20;

/// Maximum number of zones per round of exchanges.
constexpr std::size_t kZonesPerExchange = 3;

/// Approximate encoded size of an exchange and of each of its rows.
constexpr std::int64_t kExchangeBytes = 40;
constexpr std::int64_t kExchangeRowBytes = 17;

/// Interval between exchanges that include every account with charges.
constexpr Duration kFullExchangeInterval = 5s;

} // namespace

auto ZoneScheduler::Reorder(AccountId aId, Account* aAccount) -> void
{
  const auto key = aAccount->tag_ + aAccount->pendingCharge_;
  const bool hasUnmet = aAccount->unmet_ > 0;
  if (aAccount->isOrdered_ && (!hasUnmet || key != aAccount->orderKey_)) {
    accountsByTag_.erase({ aAccount->orderKey_, aId });
    aAccount->isOrdered_ = false;
  }
  if (hasUnmet && !aAccount->isOrdered_) {
    accountsByTag_.insert({ key, aId });
    aAccount->isOrdered_ = true;
    aAccount->orderKey_ = key;
  }
}

auto ZoneScheduler::IsWarmingUp(Instant aNow) const -> bool
{
  return aNow < warmUpEnd_;
}

auto ZoneScheduler::SetUnmet(AccountId aId,
                             Account* aAccount,
                             int aChange,
                             Instant aNow) -> void
{
  if (aChange == 0) {
    return;
  }
  const bool isReturning =
    aAccount->unmet_ == 0 && aChange > 0 &&
    aNow - aAccount->lastUnmetChange_ > options_->idleBeforeTagRaise_;
  // During warm-up the scheduler can't distinguish a returning account from one
  // whose tag is behind.
  if (isReturning && !IsWarmingUp(aNow)) {
    RaiseVirtualTime();
    aAccount->tag_ = std::max(aAccount->tag_, virtualTime_);
  }
  aAccount->unmet_ += aChange;
  aAccount->lastUnmetChange_ = aNow;
  Reorder(aId, aAccount);
}

auto ZoneScheduler::ApplyDemandRow(const wire::DemandRow& aRow,
                                   Router* aRouter,
                                   bool aClampTag,
                                   Instant aNow) -> void
{
  const AccountId id{ aRow.account };
  auto& account = accounts_[id];
  auto& demand = aRouter->demand_[id];
  if (!demand.hasBaseline_) {
    account.tag_ = std::max(account.tag_, aRow.__isset.tag ? aRow.tag : 0);
    demand.hasBaseline_ = true;
  } else {
    const auto delta = aRow.charged - demand.charged_;
    account.tag_ += delta;
    account.zoneCharged_ += delta;
    // The router already knows its own charges.
    const auto lastSent = aRouter->sentTags_.find(id);
    if (lastSent != aRouter->sentTags_.end()) {
      lastSent->second += delta;
    }
  }
  if (aClampTag) {
    ClampTag(&account);
  }
  demand.charged_ = aRow.charged;
  if (aRow.__isset.estimate) {
    demand.estimate_ = aRow.estimate;
  }
  const auto unmetBefore = std::max(0, demand.waiting_ - demand.granted_);
  demand.waiting_ = aRow.waiting;
  const auto unmetNow = std::max(0, demand.waiting_ - demand.granted_);
  if (aRow.waiting == 0) {
    aRouter->sentTags_.erase(id);
  }
  SetUnmet(id, &account, unmetNow - unmetBefore, aNow);
  Reorder(id, &account);
}

auto ZoneScheduler::ReleaseSentBatch(Router* aRouter, const SentBatch& aBatch)
  -> void
{
  for (std::size_t i = 0; i < aBatch.rows_.size(); ++i) {
    const auto& row = aBatch.rows_[i];
    const AccountId id{ row.account };
    auto& account = accounts_[id];
    account.pendingCharge_ -= aBatch.charges_[i];
    Reorder(id, &account);
    targets_.AddUsed(TargetId{ row.target }, -row.count);
    auto& demand = aRouter->demand_[id];
    demand.granted_ -= row.count;
    // The report's rows give the requests still waiting; until they are
    // applied, granted requests count as no longer waiting.
    demand.waiting_ = std::max(0, demand.waiting_ - row.count);
  }
}

auto ZoneScheduler::Acknowledge(Router* aRouter, int aGrantsSeen) -> void
{
  auto& batches = aRouter->unacknowledged_;
  while (!batches.empty() && batches.front().sequence_ <= aGrantsSeen) {
    ReleaseSentBatch(aRouter, batches.front());
    batches.pop_front();
  }
}

auto ZoneScheduler::ClearMissingRows(const wire::DemandReport& aReport,
                                     Router* aRouter,
                                     Instant aNow) -> void
{
  std::set<AccountId> present;
  for (const auto& row : aReport.demand) {
    present.insert(AccountId{ row.account });
  }
  for (auto& entry : aRouter->demand_) {
    auto& demand = entry.second;
    if (present.contains(entry.first)) {
      continue;
    }
    SetUnmet(entry.first, &accounts_[entry.first],
             -std::max(0, demand.waiting_ - demand.granted_), aNow);
    demand.waiting_ = 0;
  }
}

auto ZoneScheduler::ReplaceHeld(const wire::DemandReport& aReport,
                                Router* aRouter) -> void
{
  for (const auto& entry : aRouter->held_) {
    targets_.AddUsed(entry.first, -entry.second);
  }
  aRouter->held_.clear();
  aRouter->idle_ = 0;
  for (const auto& row : aReport.held) {
    const TargetId target{ row.target };
    aRouter->held_[target] = row.held;
    aRouter->idle_ += row.idle;
    targets_.AddUsed(target, row.held);
  }
}

auto ZoneScheduler::Observe(const wire::DemandReport& aReport, Instant aNow)
  -> void
{
  for (const auto& row : aReport.observations) {
    targets_.Observe(
      TargetId{ row.target },
      { row.ended, row.failed, row.refused, Duration(row.microsPerToken) },
      aNow);
  }
}

auto ZoneScheduler::ClampTag(Account* aAccount) -> void
{
  aAccount->tag_ =
    std::min(aAccount->tag_, virtualTime_ + options_->maxTagExcess_);
}

auto ZoneScheduler::RaiseVirtualTime() -> void
{
  const auto lowest = LowestAccount();
  if (lowest != accounts_.end()) {
    virtualTime_ = std::max(virtualTime_, lowest->second.tag_);
  }
}

auto ZoneScheduler::LowestAccount() -> std::map<AccountId, Account>::iterator
{
  return accountsByTag_.empty()
           ? accounts_.end()
           : accounts_.find(accountsByTag_.begin()->account_);
}

auto ZoneScheduler::ChooseRouter(AccountId aAccount) -> Router*
{
  Router* best = nullptr;
  int bestUnmet = 0;
  for (auto& entry : routers_) {
    const auto found = entry.second.demand_.find(aAccount);
    if (found == entry.second.demand_.end()) {
      continue;
    }
    const auto unmet = found->second.waiting_ - found->second.granted_;
    if (unmet > bestUnmet) {
      best = &entry.second;
      bestUnmet = unmet;
    }
  }
  return best;
}

auto ZoneScheduler::Grant(AccountId aId,
                          Account* aAccount,
                          TargetId aTarget,
                          Instant aNow) -> bool
{
  auto* router = ChooseRouter(aId);
  if (router == nullptr) {
    aAccount->unmet_ = 0;
    Reorder(aId, aAccount);
    return false;
  }
  auto& demand = router->demand_[aId];
  ++demand.granted_;
  aAccount->pendingCharge_ += demand.estimate_;
  SetUnmet(aId, aAccount, -1, aNow);
  targets_.AddUsed(aTarget, 1);
  auto& rows = router->newGrants_;
  const auto same =
    std::find_if(rows.begin(), rows.end(), [&](const auto& aRow) {
      return aRow.target == aTarget.value_ && aRow.account == aId.value_;
    });
  if (same != rows.end()) {
    ++same->count;
    router->newCharges_[static_cast<std::size_t>(same - rows.begin())] +=
      demand.estimate_;
    return true;
  }
  wire::GrantRow row;
  row.target = aTarget.value_;
  row.count = 1;
  row.account = aId.value_;
  rows.push_back(row);
  router->newCharges_.push_back(demand.estimate_);
  return true;
}

auto ZoneScheduler::RemoveRouter(RouterId aRouter, Instant aNow) -> void
{
  const auto found = routers_.find(aRouter);
  if (found == routers_.end()) {
    return;
  }
  auto& router = found->second;
  router.unacknowledged_.push_back(
    { 0, std::move(router.newGrants_), std::move(router.newCharges_) });
  ReplaceHeld({}, &router);
  for (const auto& entry : router.demand_) {
    SetUnmet(entry.first, &accounts_[entry.first],
             -std::max(0, entry.second.waiting_ - entry.second.granted_), aNow);
  }
  for (const auto& batch : router.unacknowledged_) {
    ReleaseSentBatch(&router, batch);
  }
  routers_.erase(found);
}

auto ZoneScheduler::ExpireRouters(Instant aNow) -> void
{
  std::vector<RouterId> expired;
  for (const auto& entry : routers_) {
    if (aNow - entry.second.lastHeard_ >
        options_->lease_ + options_->leaseMargin_) {
      expired.push_back(entry.first);
    }
  }
  for (const auto router : expired) {
    RemoveRouter(router, aNow);
  }
}

auto ZoneScheduler::IsBatchDue(const Router& aRouter, Instant aNow) const
  -> bool
{
  if (!aRouter.newGrants_.empty() || aRouter.wantFull_) {
    return true;
  }
  if (isContended_ && !aRouter.sentContended_ && aRouter.idle_ > 0) {
    return true;
  }
  return aRouter.replyDue_ &&
         aNow - aRouter.lastSent_ >= options_->maxReportInterval_ * 3 / 4;
}

auto ZoneScheduler::BuildExchange(ZoneId aReceiver, Instant aNow)
  -> std::optional<wire::ZoneExchange>
{
  auto& receiver = receivers_[aReceiver];
  wire::ZoneExchange exchange;
  exchange.serviceId = service_.value_;
  exchange.zone = zone_.value_;
  exchange.epoch = epoch_;
  exchange.virtualTime = virtualTime_;
  exchange.full = aNow - receiver.lastFullExchange_ >= kFullExchangeInterval;
  if (exchange.full) {
    receiver.lastFullExchange_ = aNow;
  }
  for (const auto& entry : accounts_) {
    const auto charged = entry.second.zoneCharged_;
    auto& lastSent = receiver.sentCharges_[entry.first];
    if (lastSent == charged && !(exchange.full && charged != 0)) {
      continue;
    }
    lastSent = charged;
    wire::ExchangeRow row;
    row.account = entry.first.value_;
    row.charged = charged;
    row.tag = entry.second.tag_;
    exchange.rows.push_back(row);
  }
  if (exchange.rows.empty() && !exchange.full) {
    return std::nullopt;
  }
  return exchange;
}

auto ZoneScheduler::BuildBatch(Router* aRouter, Instant aNow)
  -> wire::GrantBatch
{
  wire::GrantBatch batch;
  batch.serviceId = service_.value_;
  batch.zone = zone_.value_;
  batch.sequence = ++aRouter->grantSequence_;
  batch.floor = Floor();
  batch.contended = isContended_;
  batch.wantFull = aRouter->wantFull_;
  batch.reportSeen = aRouter->reportSeen_;
  batch.epoch = aRouter->epoch_;
  batch.grants = aRouter->newGrants_;
  const auto resolution = options_->reuseSlack_ / 4;
  for (const auto& entry : aRouter->demand_) {
    if (entry.second.waiting_ == 0) {
      continue;
    }
    const auto tag = accounts_[entry.first].tag_;
    const auto lastSent = aRouter->sentTags_.find(entry.first);
    if (lastSent != aRouter->sentTags_.end() &&
        std::abs(tag - lastSent->second) <= resolution) {
      continue;
    }
    wire::TagRow row;
    row.account = entry.first.value_;
    row.tag = tag;
    batch.tags.push_back(row);
    aRouter->sentTags_[entry.first] = tag;
  }
  if (!aRouter->newGrants_.empty()) {
    aRouter->unacknowledged_.push_back({ batch.sequence,
                                         std::move(aRouter->newGrants_),
                                         std::move(aRouter->newCharges_) });
    aRouter->newGrants_.clear();
    aRouter->newCharges_.clear();
  }
  aRouter->sentContended_ = isContended_;
  aRouter->wantFull_ = false;
  aRouter->replyDue_ = false;
  aRouter->lastSent_ = aNow;
  return batch;
}

ZoneScheduler::ZoneScheduler(const SharingOptions* aOptions,
                             ServiceId aService,
                             ZoneId aZone,
                             Instant aNow)
  : options_(aOptions)
  , service_(aService)
  , zone_(aZone)
  , warmUpEnd_(aNow + aOptions->lease_ + aOptions->leaseMargin_)
  , epoch_(std::chrono::duration_cast<std::chrono::milliseconds>(aNow).count())
{
}

auto ZoneScheduler::Configure(const ConfigSet& aSet) -> void
{
  targets_.Configure(aSet, service_, zone_);
  std::set<ZoneId> zones;
  for (const auto& entry : aSet.targets_) {
    if (entry.second.service_ == service_ && entry.second.zone_ != zone_) {
      zones.insert(entry.second.zone_);
    }
  }
  otherZones_ = { zones.begin(), zones.end() };
}

auto ZoneScheduler::SetLeaving(const std::set<TargetId>& aLeaving) -> void
{
  targets_.SetLeaving(aLeaving);
}

auto ZoneScheduler::OnReport(RouterId aFrom,
                             std::int64_t aIncarnation,
                             const wire::DemandReport& aReport,
                             Instant aNow) -> void
{
  auto known = routers_.find(aFrom);
  if (known != routers_.end() && known->second.incarnation_ != aIncarnation) {
    RemoveRouter(aFrom, aNow);
    known = routers_.end();
  }
  if (known != routers_.end() &&
      aReport.sequence <= known->second.reportSeen_) {
    return;
  }
  auto& router = routers_[aFrom];
  if (known == routers_.end()) {
    router.epoch_ = epoch_ * kMaxRouterEpochs + nextRouterEpoch_++;
  }
  const bool isInSequence =
    aReport.full ||
    (router.isInSequence_ && aReport.sequence == router.reportSeen_ + 1);
  const bool isRejoin =
    known != routers_.end() && aNow - router.lastHeard_ > kRejoinSilence;
  router.incarnation_ = aIncarnation;
  router.reportSeen_ = aReport.sequence;
  router.isInSequence_ = isInSequence;
  router.wantFull_ = router.wantFull_ || !isInSequence;
  router.lastHeard_ = aNow;
  router.replyDue_ = true;
  if (aReport.epoch == router.epoch_) {
    Acknowledge(&router, aReport.grantsSeen);
  }
  if (aReport.full) {
    ClearMissingRows(aReport, &router, aNow);
  }
  for (const auto& row : aReport.demand) {
    ApplyDemandRow(row, &router, isRejoin, aNow);
  }
  ReplaceHeld(aReport, &router);
  if (router.idle_ > 0) {
    router.sentContended_ = false;
  }
  Observe(aReport, aNow);
}

auto ZoneScheduler::OnExchange(std::int64_t aIncarnation,
                               const wire::ZoneExchange& aExchange,
                               Instant aNow) -> void
{
  auto& source = exchangeSources_[ZoneId{ aExchange.zone }];
  const bool same =
    source.incarnation_ == aIncarnation && source.epoch_ == aExchange.epoch;
  if (!same) {
    source.charged_.clear();
    source.incarnation_ = aIncarnation;
    source.epoch_ = aExchange.epoch;
  }
  const bool isRejoin = aNow - source.lastHeard_ > kRejoinSilence;
  source.lastHeard_ = aNow;
  virtualTime_ = std::max(virtualTime_, aExchange.virtualTime);
  for (const auto& row : aExchange.rows) {
    const AccountId id{ row.account };
    auto& account = accounts_[id];
    const auto inserted = source.charged_.emplace(id, row.charged);
    if (inserted.second) {
      account.tag_ = std::max(account.tag_, row.tag);
    } else {
      account.tag_ += row.charged - inserted.first->second;
      inserted.first->second = row.charged;
    }
    if (isRejoin) {
      ClampTag(&account);
    }
    Reorder(id, &account);
  }
}

auto ZoneScheduler::Forget(RouterId aRouter, Instant aNow) -> void
{
  RemoveRouter(aRouter, aNow);
}

auto ZoneScheduler::Schedule(Instant aNow) -> void
{
  ExpireRouters(aNow);
  targets_.AdaptLimits(aNow);
  isContended_ = false;
  if (IsWarmingUp(aNow)) {
    return;
  }
  RaiseVirtualTime();
  for (auto lowest = LowestAccount(); lowest != accounts_.end();
       lowest = LowestAccount()) {
    const auto target = targets_.ChooseFree(aNow);
    if (!target) {
      isContended_ = true;
      return;
    }
    Grant(lowest->first, &lowest->second, *target, aNow);
  }
}

auto ZoneScheduler::TakeBatches(Instant aNow) -> std::vector<AddressedGrants>
{
  std::vector<AddressedGrants> batches;
  for (auto& entry : routers_) {
    if (IsBatchDue(entry.second, aNow)) {
      batches.push_back({ entry.first, BuildBatch(&entry.second, aNow) });
    }
  }
  return batches;
}

auto ZoneScheduler::TakeExchanges(Instant aNow)
  -> std::vector<AddressedExchange>
{
  std::vector<AddressedExchange> exchanges;
  if (aNow < nextExchange_ || otherZones_.empty()) {
    return exchanges;
  }
  const auto count = std::min(otherZones_.size(), kZonesPerExchange);
  std::int64_t bytes = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const auto zone = otherZones_[nextReceiver_++ % otherZones_.size()];
    if (auto exchange = BuildExchange(zone, aNow)) {
      bytes +=
        kExchangeBytes +
        static_cast<std::int64_t>(exchange->rows.size()) * kExchangeRowBytes;
      exchanges.push_back({ zone, std::move(*exchange) });
    }
  }
  const auto interval =
    Duration(std::chrono::seconds(bytes)) / options_->exchangeBytesPerSecond_;
  nextExchange_ = aNow + std::max(options_->exchangeInterval_, interval);
  return exchanges;
}

auto ZoneScheduler::Targets() const -> const TargetSlots&
{
  return targets_;
}

auto ZoneScheduler::Tag(AccountId aAccount) const -> ServiceAmount
{
  const auto found = accounts_.find(aAccount);
  return found == accounts_.end() ? virtualTime_ : found->second.tag_;
}

auto ZoneScheduler::Unmet() const -> int
{
  int unmet = 0;
  for (const auto& entry : accounts_) {
    unmet += entry.second.unmet_;
  }
  return unmet;
}

auto ZoneScheduler::Floor() const -> ServiceAmount
{
  return accountsByTag_.empty()
           ? virtualTime_
           : accounts_.at(accountsByTag_.begin()->account_).tag_;
}

auto ZoneScheduler::IsContended() const -> bool
{
  return isContended_;
}

} // namespace burdockring
