#include "process/sharing/zone_client.h"

#include <algorithm>

namespace burdockring {
namespace {

constexpr std::size_t kMaxSentReports = 64;

/// An estimate is resent when it differs from the last one sent by more than
/// one part in this many.
constexpr ServiceAmount kEstimateChangeDivisor = 8;

} // namespace

auto ZoneClient::IsAvoided(TargetId aTarget,
                           const HeldSlots& aSlots,
                           Instant aNow) const -> bool
{
  return leaving_.contains(aTarget) || aNow < aSlots.avoidUntil_;
}

auto ZoneClient::ReturnAvoided(Instant aNow) -> void
{
  for (auto& entry : slots_) {
    auto& slots = entry.second;
    if (slots.held_ > slots.busy_ && IsAvoided(entry.first, slots, aNow)) {
      slots.held_ = slots.busy_;
      isUrgentReportDue_ = true;
    }
  }
}

auto ZoneClient::ReturnTimedOutIdle(Instant aNow) -> void
{
  const auto timeout =
    isHomeZone_ ? options_->homeIdleTimeout_ : options_->spillIdleTimeout_;
  for (auto& entry : slots_) {
    auto& slots = entry.second;
    if (slots.held_ > slots.busy_ && aNow - slots.idleSince_ > timeout) {
      slots.held_ = slots.busy_;
      isUrgentReportDue_ = isUrgentReportDue_ || !isHomeZone_;
    }
  }
}

auto ZoneClient::HasUrgentDemand(const std::map<AccountId, int>& aDemand) const
  -> bool
{
  for (const auto& entry : aDemand) {
    const auto found = accounts_.find(entry.first);
    const auto reported =
      found == accounts_.end() ? 0 : found->second.reportedWaiting_;
    if (reported * 2 < entry.second) {
      return true;
    }
  }
  if (!isContended_) {
    return false;
  }
  return std::any_of(accounts_.begin(), accounts_.end(),
                     [&](const auto& aEntry) {
                       return aEntry.second.reportedWaiting_ > 0 &&
                              !aDemand.contains(aEntry.first);
                     });
}

auto ZoneClient::IsReportDue(Instant aNow,
                             const std::map<AccountId, int>& aDemand) const
  -> bool
{
  const auto elapsed = aNow - lastSent_;
  if (isUrgentReportDue_ || HasUrgentDemand(aDemand)) {
    return true;
  }
  if (elapsed < options_->maxReportInterval_) {
    return false;
  }
  if (!aDemand.empty() || Held() > 0 || !targetStats_.empty()) {
    return true;
  }
  return std::any_of(accounts_.begin(), accounts_.end(),
                     [](const auto& aEntry) {
                       return aEntry.second.unreported_ != 0 ||
                              aEntry.second.reportedWaiting_ != 0;
                     });
}

auto ZoneClient::IsEstimateChanged(const AccountState& aState,
                                   ServiceAmount aEstimate) -> bool
{
  return !aState.isInitialTagSent_ ||
         std::abs(aEstimate - aState.sentEstimate_) * kEstimateChangeDivisor >
           aState.sentEstimate_;
}

auto ZoneClient::Resynchronize() -> void
{
  grantsSeen_ = 0;
  isFullReportDue_ = true;
  isUrgentReportDue_ = true;
  for (auto& entry : accounts_) {
    entry.second.isInitialTagSent_ = false;
  }
}

auto ZoneClient::FillDemand(
  bool aIsPeriodic,
  const std::map<AccountId, int>& aDemand,
  const std::map<AccountId, ServiceAmount>& aEstimates,
  wire::DemandReport* aReport) -> void
{
  for (const auto& entry : aDemand) {
    auto inserted = accounts_.try_emplace(entry.first);
    if (inserted.second) {
      inserted.first->second.reportedTag_ = floor_;
    }
  }
  for (auto& entry : accounts_) {
    auto& state = entry.second;
    const auto demand = aDemand.find(entry.first);
    const auto waiting = demand == aDemand.end() ? 0 : demand->second;
    const auto minCharge =
      aReport->full || aIsPeriodic ? 1 : options_->urgentCharge_;
    const bool isChanged = std::abs(state.unreported_) >= minCharge ||
                           (state.reportedWaiting_ > 0) != (waiting > 0) ||
                           (aIsPeriodic && state.reportedWaiting_ != waiting) ||
                           state.reportedWaiting_ * 2 < waiting;
    if (!isChanged &&
        !(aReport->full && (waiting > 0 || state.charged_ != 0))) {
      continue;
    }
    wire::DemandRow row;
    row.account = entry.first.value_;
    row.waiting = waiting;
    row.charged = state.charged_;
    if (!state.isInitialTagSent_) {
      row.__set_tag(state.reportedTag_ + state.unreported_);
    }
    const auto estimate = aEstimates.find(entry.first);
    if (estimate != aEstimates.end() &&
        IsEstimateChanged(state, estimate->second)) {
      state.sentEstimate_ = estimate->second;
      row.__set_estimate(static_cast<std::int32_t>(estimate->second));
    }
    state.isInitialTagSent_ = true;
    aReport->demand.push_back(row);
    state.reportedTag_ += state.unreported_;
    state.unreported_ = 0;
    state.reportedWaiting_ = waiting;
    state.isTagKnown_ = state.isTagKnown_ && waiting > 0;
  }
}

auto ZoneClient::FillSlots(Instant aNow, wire::DemandReport* aReport) -> void
{
  for (const auto& entry : slots_) {
    const auto& slots = entry.second;
    if (slots.held_ == 0) {
      continue;
    }
    wire::HeldRow row;
    row.target = entry.first.value_;
    row.held = slots.held_;
    row.idle = slots.held_ - slots.busy_;
    aReport->held.push_back(row);
  }
  std::erase_if(slots_, [&](const auto& aEntry) {
    return aEntry.second.held_ == 0 && aEntry.second.avoidUntil_ < aNow;
  });
  for (const auto& entry : targetStats_) {
    wire::TargetObservation row;
    row.target = entry.first.value_;
    row.ended = entry.second.ended_;
    row.failed = entry.second.failed_;
    row.refused = entry.second.refused_;
    row.microsPerToken =
      static_cast<std::int32_t>(entry.second.timePerToken_.count());
    aReport->observations.push_back(row);
  }
  targetStats_.clear();
}

ZoneClient::ZoneClient(const SharingOptions* aOptions,
                       ServiceId aService,
                       ZoneId aZone,
                       bool aIsHomeZone)
  : options_(aOptions)
  , service_(aService)
  , zone_(aZone)
  , isHomeZone_(aIsHomeZone)
{
}

auto ZoneClient::SetScheduler(std::optional<RouterId> aScheduler,
                              std::int64_t aIncarnation) -> void
{
  if (scheduler_ == aScheduler && schedulerIncarnation_ == aIncarnation) {
    return;
  }
  scheduler_ = aScheduler;
  schedulerIncarnation_ = aIncarnation;
  sentReports_.clear();
  Resynchronize();
}

auto ZoneClient::SetLeaving(const std::set<TargetId>& aLeaving) -> void
{
  leaving_ = aLeaving;
}

auto ZoneClient::OnGrants(RouterId aFrom,
                          const wire::GrantBatch& aBatch,
                          Instant aNow) -> bool
{
  if (scheduler_ != aFrom) {
    return false;
  }
  if (aBatch.epoch != schedulerEpoch_) {
    // The scheduler has a new record of this router, without earlier reports.
    schedulerEpoch_ = aBatch.epoch;
    Resynchronize();
  }
  if (aBatch.sequence <= grantsSeen_) {
    return false;
  }
  if (aBatch.sequence != grantsSeen_ + 1) {
    isFullReportDue_ = true;
    isUrgentReportDue_ = true;
  }
  grantsSeen_ = aBatch.sequence;
  while (!sentReports_.empty() &&
         sentReports_.front().sequence_ <= aBatch.reportSeen) {
    leaseEnd_ =
      std::max(leaseEnd_, sentReports_.front().sentAt_ + options_->lease_);
    sentReports_.pop_front();
  }
  floor_ = aBatch.floor;
  isContended_ = aBatch.contended;
  isFullReportDue_ = isFullReportDue_ || aBatch.wantFull;
  isUrgentReportDue_ = isUrgentReportDue_ || aBatch.wantFull;
  for (const auto& row : aBatch.tags) {
    auto& account = accounts_[AccountId{ row.account }];
    account.reportedTag_ = row.tag;
    account.isTagKnown_ = true;
  }
  for (const auto& row : aBatch.grants) {
    auto& slots = slots_[TargetId{ row.target }];
    if (slots.held_ == slots.busy_) {
      slots.idleSince_ = aNow;
    }
    slots.held_ += row.count;
    auto& account = accounts_[AccountId{ row.account }];
    credits_[AccountId{ row.account }] += row.count;
    account.reportedWaiting_ =
      std::max(0, account.reportedWaiting_ - row.count);
  }
  return true;
}

auto ZoneClient::Tick(Instant aNow) -> void
{
  if (!IsLeaseValid(aNow)) {
    for (auto& entry : slots_) {
      entry.second.held_ = entry.second.busy_;
    }
  }
  ReturnAvoided(aNow);
  ReturnTimedOutIdle(aNow);
}

auto ZoneClient::IsLeaseValid(Instant aNow) const -> bool
{
  return aNow < leaseEnd_;
}

auto ZoneClient::Idle(Instant aNow) const -> int
{
  if (!IsLeaseValid(aNow)) {
    return 0;
  }
  int idle = 0;
  for (const auto& entry : slots_) {
    if (!IsAvoided(entry.first, entry.second, aNow)) {
      idle += entry.second.held_ - entry.second.busy_;
    }
  }
  return idle;
}

auto ZoneClient::Held() const -> int
{
  int held = 0;
  for (const auto& entry : slots_) {
    held += entry.second.held_;
  }
  return held;
}

auto ZoneClient::Busy() const -> int
{
  int busy = 0;
  for (const auto& entry : slots_) {
    busy += entry.second.busy_;
  }
  return busy;
}

auto ZoneClient::Tag(AccountId aAccount) const -> ServiceAmount
{
  const auto found = accounts_.find(aAccount);
  if (found == accounts_.end()) {
    return floor_;
  }
  // A tag received before the account became idle may be below the floor.
  return std::max(floor_,
                  found->second.reportedTag_ + found->second.unreported_);
}

auto ZoneClient::KnowsTag(AccountId aAccount) const -> bool
{
  const auto found = accounts_.find(aAccount);
  return found != accounts_.end() && found->second.isTagKnown_;
}

auto ZoneClient::Floor() const -> ServiceAmount
{
  return floor_;
}

auto ZoneClient::IsContended() const -> bool
{
  return isContended_;
}

auto ZoneClient::Scheduler() const -> std::optional<RouterId>
{
  return scheduler_;
}

auto ZoneClient::HasCredit(AccountId aAccount) const -> bool
{
  return credits_.contains(aAccount);
}

auto ZoneClient::TakeSlot(AccountId aAccount, Instant aNow)
  -> std::optional<TargetId>
{
  auto best = slots_.end();
  int bestIdle = 0;
  for (auto entry = slots_.begin(); entry != slots_.end(); ++entry) {
    const auto idle = entry->second.held_ - entry->second.busy_;
    if (idle > bestIdle && !IsAvoided(entry->first, entry->second, aNow)) {
      best = entry;
      bestIdle = idle;
    }
  }
  if (best == slots_.end()) {
    return std::nullopt;
  }
  ++best->second.busy_;
  const auto credit = credits_.find(aAccount);
  if (credit != credits_.end() && --credit->second == 0) {
    credits_.erase(credit);
  }
  return best->first;
}

auto ZoneClient::ReleaseSlot(TargetId aTarget, Instant aNow) -> void
{
  const auto found = slots_.find(aTarget);
  if (found == slots_.end() || found->second.busy_ == 0) {
    return;
  }
  auto& slots = found->second;
  --slots.busy_;
  slots.idleSince_ = aNow;
  if (!IsLeaseValid(aNow)) {
    slots.held_ = slots.busy_;
  }
  ReturnAvoided(aNow);
}

auto ZoneClient::ReturnIdle() -> void
{
  for (auto& entry : slots_) {
    if (entry.second.held_ > entry.second.busy_) {
      entry.second.held_ = entry.second.busy_;
      isUrgentReportDue_ = true;
    }
  }
}

auto ZoneClient::ClearCredits() -> void
{
  credits_.clear();
}

auto ZoneClient::Avoid(TargetId aTarget, Instant aUntil) -> void
{
  slots_[aTarget].avoidUntil_ = aUntil;
}

auto ZoneClient::Charge(AccountId aAccount, ServiceAmount aAmount) -> void
{
  auto inserted = accounts_.try_emplace(aAccount);
  if (inserted.second) {
    inserted.first->second.reportedTag_ = floor_;
  }
  inserted.first->second.unreported_ += aAmount;
  inserted.first->second.charged_ += aAmount;
}

auto ZoneClient::Observe(TargetId aTarget, const TargetStats& aStats) -> void
{
  auto& stats = targetStats_[aTarget];
  stats.ended_ += aStats.ended_;
  stats.failed_ += aStats.failed_;
  stats.refused_ += aStats.refused_;
  if (aStats.timePerToken_ > 0us) {
    stats.timePerToken_ = aStats.timePerToken_;
  }
  isUrgentReportDue_ = isUrgentReportDue_ || aStats.failed_ > 0;
}

auto ZoneClient::MayReport(Instant aNow) const -> bool
{
  return scheduler_.has_value() &&
         (reportSequence_ == 0 ||
          aNow - lastSent_ >= options_->minReportInterval_);
}

auto ZoneClient::BuildReport(
  Instant aNow,
  const std::map<AccountId, int>& aDemand,
  const std::map<AccountId, ServiceAmount>& aEstimates)
  -> std::optional<wire::DemandReport>
{
  if (!MayReport(aNow) || !IsReportDue(aNow, aDemand)) {
    return std::nullopt;
  }
  wire::DemandReport report;
  report.serviceId = service_.value_;
  report.zone = zone_.value_;
  report.sequence = ++reportSequence_;
  report.full =
    isFullReportDue_ || aNow - lastFullReport_ >= options_->fullReportInterval_;
  report.grantsSeen = grantsSeen_;
  report.epoch = schedulerEpoch_;
  const bool isPeriodic =
    aNow - lastPeriodicReport_ >= options_->maxReportInterval_;
  lastPeriodicReport_ = isPeriodic ? aNow : lastPeriodicReport_;
  FillDemand(isPeriodic, aDemand, aEstimates, &report);
  FillSlots(aNow, &report);
  if (report.full) {
    lastFullReport_ = aNow;
  }
  isFullReportDue_ = false;
  isUrgentReportDue_ = false;
  lastSent_ = aNow;
  sentReports_.push_back({ reportSequence_, aNow });
  if (sentReports_.size() > kMaxSentReports) {
    sentReports_.pop_front();
  }
  return report;
}

} // namespace burdockring
