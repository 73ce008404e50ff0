#include "process/placement/dispatcher.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockring {
namespace {

struct ReasonRow
{
  RejectReason reason_;
  std::string_view name_;
};

constexpr std::array kReasonTable{
  ReasonRow{ RejectReason::kNoTarget, "no_target" },
  ReasonRow{ RejectReason::kNoFreeSlot, "no_room" },
  ReasonRow{ RejectReason::kExpectedLate, "late" },
  ReasonRow{ RejectReason::kOverShare, "over_share" },
  ReasonRow{ RejectReason::kTargetsPaused, "targets_resting" },
};

/// Weight of a generated token in an account's usage.
constexpr std::int64_t kOutputTokenWeight = 2;

} // namespace

auto RejectReasonName(RejectReason aReason) -> std::string_view
{
  return kReasonTable.at(static_cast<std::size_t>(aReason)).name_;
}

auto Dispatcher::TargetsOf(ServiceId aService)
  -> const std::vector<UsableTarget>&
{
  if (targetsVersion_ != directory_->Version()) {
    targets_.clear();
    loads_.RemoveUnless([this](TargetId aTarget) {
      return directory_->Find(aTarget) != nullptr;
    });
    targetsVersion_ = directory_->Version();
  }
  const auto found = targets_.find(aService);
  if (found != targets_.end()) {
    return found->second;
  }
  auto& targets = targets_[aService];
  auto& estimator = prefillEstimators_[aService];
  for (const auto* listed : directory_->Usable(aService)) {
    auto& load = loads_.At(listed->id_);
    load.SetPrefillEstimator(&estimator);
    targets.push_back({ listed, &load });
  }
  estimator.SetInitialRate(table_->TokensPerSecond(),
                           static_cast<int>(targets.size()));
  return targets;
}

auto Dispatcher::MaxOnTimeWait(const WorkItem& aItem, Instant aNow)
  -> std::optional<Duration>
{
  const auto onTime = ScaleDuration(aItem.latencyObjective_, kOnTimeFraction);
  const auto& estimator = prefillEstimators_[aItem.service_];
  // If even an idle engine would be late, serve the request late rather than
  // never.
  if (estimator.FirstEventOverhead() +
        estimator.PrefillDuration(UnsharedTokens(aItem)) >=
      onTime) {
    return std::nullopt;
  }
  return onTime - (aNow - aItem.arrival_);
}

auto Dispatcher::LimitsFor(const WorkItem& aItem,
                           const RoutedService& aService,
                           ShareStanding aStanding,
                           Instant aNow) -> SelectionLimits
{
  if (!aService.isEngine_) {
    return {};
  }
  const auto& engines = policy_.Engines();
  SelectionLimits limits;
  limits.minLatencyObjective_ = MinLatencyObjective(aService);
  limits.prefill_ = prefillEstimators_[aItem.service_];
  limits.maxBacklog_ =
    ScaleDuration(limits.minLatencyObjective_, engines.guaranteedBacklog_);
  if (!aItem.isContinuation_) {
    limits.maxWait_ = MaxOnTimeWait(aItem, aNow);
  }
  switch (aStanding) {
    case ShareStanding::kGuaranteed:
      break;
    case ShareStanding::kFair:
      limits.maxBacklog_ =
        ScaleDuration(limits.minLatencyObjective_, engines.fairBacklog_);
      break;
    case ShareStanding::kBeyondShare:
      limits.maxBacklog_ =
        ScaleDuration(limits.minLatencyObjective_,
                      IsUnderPressure(aNow) ? engines.pressureBacklog_
                                            : engines.beyondShareBacklog_);
      limits.maxSlotUtilization_ = IsUnderPressure(aNow)
                                     ? kPressureSlotFraction
                                     : kBeyondShareSlotFraction;
      break;
  }
  return limits;
}

auto Dispatcher::TryStart(const WorkItem& aItem,
                          Instant aNow,
                          RejectDecision* aRejection) -> bool
{
  const auto* service = table_->FindService(aItem.service_);
  if (service == nullptr) {
    aRejection->reason_ = RejectReason::kNoTarget;
    return false;
  }
  const auto& targets = TargetsOf(aItem.service_);
  const auto standing = StandingOf(aItem, *service, aNow);
  auto limits = LimitsFor(aItem, *service, standing, aNow);
  const auto spread = spread_.ContextFor(
    aItem.service_, targets.size(), limits.prefill_,
    ScaleDuration(limits.minLatencyObjective_, policy_.Engines().rankPenalty_),
    aNow);
  limits.spread_ = spread ? &*spread : nullptr;
  const auto candidate =
    targetSelector_.Select(aItem, *service, targets, limits, aNow);
  if (!candidate) {
    aRejection->expectedWait_ = MinRemainingPause(aItem.service_, aNow);
    aRejection->reason_ = aRejection->expectedWait_ > 0us
                            ? RejectReason::kTargetsPaused
                            : RejectReason::kNoTarget;
    return false;
  }
  if (candidate->isWithinLimits_) {
    Start(aItem, *candidate, *service, standing, aNow);
    return true;
  }
  const bool isBeyond = standing == ShareStanding::kBeyondShare;
  aRejection->reason_ = !candidate->hasSlot_ ? RejectReason::kNoFreeSlot
                        : isBeyond           ? RejectReason::kOverShare
                                             : RejectReason::kExpectedLate;
  aRejection->expectedWait_ = candidate->wait_;
  return false;
}

auto Dispatcher::StandingOf(const WorkItem& aItem,
                            const RoutedService& aService,
                            Instant aNow) -> ShareStanding
{
  if (!aService.isEngine_ || !policy_.IsEnabled(Mechanism::kShareLimits)) {
    return ShareStanding::kGuaranteed;
  }
  return shares_.StandingWith(aItem.account_, ChargedTokens(aItem), aNow);
}

auto Dispatcher::Start(const WorkItem& aItem,
                       const Candidate& aCandidate,
                       const RoutedService& aService,
                       ShareStanding aStanding,
                       Instant aNow) -> void
{
  auto& load = loads_.At(aCandidate.target_);
  Run run;
  run.target_ = aCandidate.target_;
  run.service_ = aItem.service_;
  run.addedLoad_ = aCandidate.addedLoad_;
  run.started_ = aNow;
  run.prefillTokensAhead_ =
    aCandidate.copyFrom_
      ? 0
      : load.Total().prefillTokens_ + aCandidate.addedLoad_.prefillTokens_;
  load.Add(run.addedLoad_);
  load.OnSent(aNow);
  spread_.OnPlaced(aItem.service_, run.addedLoad_.prefillTokens_);
  reportedLoads_.spreadStarts_ += aCandidate.isSpread_ ? 1 : 0;
  if (aService.isEngine_) {
    for (const auto& part : aItem.parts_) {
      load.OnPartSent(part.id_, aNow);
    }
    run.parts_ = SharedPartIds(aItem.parts_);
    run.account_ = aItem.account_;
    run.chargedTokens_ = ChargedTokens(aItem);
    shares_.Charge(run.account_, run.chargedTokens_, aNow);
  }
  runs_[aItem.id_] = run;
  loadChanged_ = true;
  ++decisionCount_;
  decisions_.emplace_back(StartDecision{ aItem.id_, aCandidate.target_,
                                         aCandidate.wait_, aCandidate.copyFrom_,
                                         aCandidate.addedLoad_, aStanding });
}

auto Dispatcher::MinRemainingPause(ServiceId aService, Instant aNow) -> Duration
{
  const auto& targets = TargetsOf(aService);
  Duration soonest = targets.empty() ? Duration(0) : Duration::max();
  for (const auto& target : targets) {
    const auto left = target.load_->PausedUntil() - aNow;
    soonest = std::min(soonest, std::max<Duration>(left, 0us));
  }
  return soonest;
}

auto Dispatcher::IsUnderPressure(Instant aNow) const -> bool
{
  return policy_.IsEnabled(Mechanism::kPressure) &&
         aNow < std::max(ownPressureUntil_, peerPressureUntil_);
}

auto Dispatcher::MinLatencyObjective(const RoutedService& aService) -> Duration
{
  return aService.minLatencyObjective_ > 0us
           ? std::min<Duration>(aService.minLatencyObjective_,
                                kMaxLatencyObjective)
           : Duration(kDefaultLatencyObjective);
}

auto Dispatcher::MinRetryAfter(const WorkItem& aItem) const -> Duration
{
  const auto* service = table_->FindService(aItem.service_);
  const Duration objective = service == nullptr ? kDefaultLatencyObjective
                                                : MinLatencyObjective(*service);
  return ScaleDuration(objective, policy_.Queue().minRetryAfterFraction_);
}

auto Dispatcher::OnSaturated(Instant aNow) -> void
{
  if (policy_.IsEnabled(Mechanism::kSaturation)) {
    shares_.OnSaturated(aNow);
  }
}

auto Dispatcher::Reject(const WorkItem& aItem,
                        RejectDecision aRejection,
                        Instant aNow) -> void
{
  aRejection.standing_ =
    shares_.StandingWith(aItem.account_, ChargedTokens(aItem), aNow);
  const bool isLowPriority =
    aItem.isContinuation_ || aRejection.reason_ == RejectReason::kOverShare ||
    aRejection.standing_ == ShareStanding::kBeyondShare;
  if (!isLowPriority) {
    ownPressureUntil_ = aNow + kPressureDuration;
    OnSaturated(aNow);
  }
  aRejection.retryAfter_ = ChooseRetryAfter(aItem, aNow);
  if (aRejection.reason_ == RejectReason::kTargetsPaused) {
    // Spread the retries after the end of the pause, as all callers would
    // otherwise return at once.
    aRejection.retryAfter_ += aRejection.expectedWait_ - MinRetryAfter(aItem);
  }
  ++decisionCount_;
  decisions_.emplace_back(aRejection);
}

auto Dispatcher::ChooseRetryAfter(const WorkItem& aItem, Instant aNow)
  -> Duration
{
  const auto first = std::min<Duration>(MinRetryAfter(aItem), kMaxRetryAfter);
  const auto latest =
    std::clamp<Duration>(ScaleDuration(aItem.deadline_ - aNow,
                                       policy_.Queue().maxRetryAfterFraction_),
                         first, kMaxRetryAfter);
  if (!policy_.IsEnabled(Mechanism::kRetryAfterSpread)) {
    return (first + latest) / 2;
  }
  std::uniform_int_distribution<std::int64_t> spread(first.count(),
                                                     latest.count());
  return Duration(spread(random_));
}

auto Dispatcher::WaitDeadline(const WorkItem& aItem) const -> Instant
{
  if (!policy_.IsEnabled(Mechanism::kQueueing)) {
    return aItem.arrival_;
  }
  return aItem.arrival_ + (aItem.isContinuation_
                             ? Duration(kContinuationMaxWait)
                             : ScaleDuration(aItem.latencyObjective_,
                                             policy_.Queue().maxWaitFraction_));
}

auto Dispatcher::PauseOutlastsWait(const RejectDecision& aRejection,
                                   Instant aWaitDeadline,
                                   Instant aNow) -> bool
{
  return aRejection.reason_ == RejectReason::kTargetsPaused &&
         aNow + aRejection.expectedWait_ > aWaitDeadline;
}

auto Dispatcher::ChargedTokens(const WorkItem& aItem) -> std::int64_t
{
  return aItem.promptTokens_ + kOutputTokenWeight * aItem.outputTokens_;
}

Dispatcher::Dispatcher(TargetDirectory* aDirectory,
                       ZoneId aHome,
                       std::uint32_t aSeed,
                       const ForwardingPolicy& aPolicy)
  : directory_(aDirectory)
  , policy_(aPolicy)
  , targetSelector_(aHome, aPolicy)
  , table_(RouteTableBuilder(0).Build())
  , random_(aSeed)
{
}

auto Dispatcher::SetWholeHandler(WholeHandler aHandler) -> void
{
  onWhole_ = std::move(aHandler);
}

auto Dispatcher::SetTable(RouteTablePointer aTable) -> void
{
  table_ = std::move(aTable);
  targets_.clear();
  shares_.SetTokensPerSecond(table_->TokensPerSecond());
}

auto Dispatcher::Submit(WorkItem aItem, Instant aNow) -> void
{
  if (!aItem.isContinuation_ && aItem.triedTargets_.empty()) {
    shares_.AddDemand(aItem.account_, ChargedTokens(aItem), aNow);
  }
  const auto waitDeadline = WaitDeadline(aItem);
  if (waitDeadline > aNow && HasHigherPriorityWaiters(aItem, aNow)) {
    capacityMayHaveFreed_ = true;
    waiting_.push_back({ std::move(aItem), waitDeadline, 0 });
    return;
  }
  RejectDecision rejection;
  rejection.request_ = aItem.id_;
  if (TryStart(aItem, aNow, &rejection)) {
    return;
  }
  if (waitDeadline <= aNow ||
      PauseOutlastsWait(rejection, waitDeadline, aNow)) {
    Reject(aItem, rejection, aNow);
    return;
  }
  waiting_.push_back({ std::move(aItem), waitDeadline, 0 });
}

auto Dispatcher::HasHigherPriorityWaiters(const WorkItem& aItem, Instant aNow)
  -> bool
{
  const auto* service = table_->FindService(aItem.service_);
  if (waiting_.empty() || service == nullptr || !service->isEngine_) {
    return false;
  }
  const auto chargedTokens = shares_.ChargedTo(aItem.account_, aNow);
  return std::any_of(
    waiting_.begin(), waiting_.end(), [&](const WaitingRequest& aWaiting) {
      return aWaiting.item_.service_ == aItem.service_ &&
             shares_.ChargedTo(aWaiting.item_.account_, aNow) < chargedTokens;
    });
}

auto Dispatcher::Withdraw(RequestId aRequest) -> void
{
  std::erase_if(waiting_, [&](const WaitingRequest& aWaiting) {
    return aWaiting.item_.id_ == aRequest;
  });
}

auto Dispatcher::OnFirstEvent(RequestId aRequest, Instant aNow) -> void
{
  const auto found = runs_.find(aRequest);
  if (found == runs_.end() || found->second.hasFirstEvent_) {
    return;
  }
  auto& run = found->second;
  capacityMayHaveFreed_ = true;
  loadChanged_ = true;
  run.hasFirstEvent_ = true;
  auto& load = loads_.At(run.target_);
  load.Remove({ 0, run.addedLoad_.prefillTokens_, 0 });
  LearnPrefillSpeed(run, aNow);
  load.OnSuccess();
  for (const auto id : run.parts_) {
    if (policy_.IsEnabled(Mechanism::kCacheReports) &&
        load.OnPartCached(id, true, aNow) &&
        partReads_.size() < kMaxReportedReads) {
      wire::PartRead read;
      read.target = run.target_.value_;
      read.part = static_cast<std::int64_t>(id);
      partReads_.push_back(read);
    }
  }
  run.addedLoad_.prefillTokens_ = 0;
}

auto Dispatcher::LearnPrefillSpeed(const Run& aRun, Instant aNow) -> void
{
  if (!policy_.IsEnabled(Mechanism::kSpeedLearning)) {
    return;
  }
  // Skip runs that copy their prefix, as the copy hides the prefill time, and
  // runs placed by another router, whose start is unknown.
  if (aRun.prefillTokensAhead_ == 0) {
    return;
  }
  const auto sample = prefillEstimators_[aRun.service_].AddSample(
    aRun.prefillTokensAhead_, aNow - aRun.started_);
  if (sample) {
    loads_.At(aRun.target_).LearnPrefillSpeed(*sample);
  }
}

auto Dispatcher::OnRunEnd(RequestId aRequest, RunOutcome aOutcome, Instant aNow)
  -> void
{
  const auto found = runs_.find(aRequest);
  if (found == runs_.end()) {
    return;
  }
  capacityMayHaveFreed_ = true;
  loadChanged_ = true;
  const auto& run = found->second;
  auto& load = loads_.At(run.target_);
  load.Remove(run.addedLoad_);
  const bool failed =
    aOutcome == RunOutcome::kRefused || aOutcome == RunOutcome::kFailed;
  if (failed && !run.hasFirstEvent_ && run.chargedTokens_ > 0) {
    shares_.Charge(run.account_, -run.chargedTokens_, aNow);
  }
  switch (aOutcome) {
    case RunOutcome::kCompleted:
      load.OnSuccess();
      if (onWhole_) {
        onWhole_(run.parts_, aNow);
      }
      break;
    case RunOutcome::kTargetError:
      break;
    case RunOutcome::kRefused:
    case RunOutcome::kFailed:
      if (policy_.IsEnabled(Mechanism::kFailureBackoff)) {
        load.OnFailure(aNow, policy_.IsEnabled(Mechanism::kExponentialBackoff));
      }
      break;
    case RunOutcome::kCancelled:
      break;
  }
  runs_.erase(found);
}

auto Dispatcher::AdoptRun(RequestId aRequest,
                          TargetId aTarget,
                          const LoadAmounts& aAdds,
                          bool aHasFirstEvent) -> void
{
  Run run;
  run.target_ = aTarget;
  run.addedLoad_ = aAdds;
  run.hasFirstEvent_ = aHasFirstEvent;
  loads_.At(aTarget).Add(aAdds);
  runs_[aRequest] = run;
  loadChanged_ = true;
}

auto Dispatcher::SetSelf(RouterId aSelf) -> void
{
  spread_.SetSelf(aSelf);
}

auto Dispatcher::OnReportedLoad(TargetId aTarget,
                                const ReportedLoad& aLoad,
                                Instant aNow) -> bool
{
  const auto* target = directory_->Find(aTarget);
  if (target == nullptr) {
    return false;
  }
  ++reportedLoads_.reports_;
  const bool isFirst = spread_.OnTargetReport(target->service_, aNow);
  const bool isCorrection = loads_.At(aTarget).OnReport(
    aLoad, spread_.MeanTokens(target->service_), aNow);
  reportedLoads_.corrections_ += isCorrection ? 1 : 0;
  return isFirst;
}

auto Dispatcher::ObservePlacements(RouterId aPeer,
                                   const wire::LoadReport& aReport,
                                   Instant aNow) -> void
{
  if (!spread_.IsActive()) {
    return;
  }
  std::map<ServiceId, double> added;
  for (const auto& row : aReport.targets) {
    const auto* target = directory_->Find(TargetId{ row.target });
    const auto before = loads_.PeerUse(aPeer, TargetId{ row.target });
    if (target != nullptr && row.prefillTokens > before.prefillTokens) {
      added[target->service_] += row.prefillTokens - before.prefillTokens;
    }
  }
  spread_.OnPeerReport(aPeer, added, aNow);
}

auto Dispatcher::PauseTarget(TargetId aTarget, Instant aUntil) -> void
{
  if (directory_->Find(aTarget) != nullptr) {
    loads_.At(aTarget).PauseUntil(aUntil);
  }
}

auto Dispatcher::RetryWaiting(Instant aNow) -> void
{
  if (waiting_.empty()) {
    return;
  }
  const bool capacityMayHaveFreed = std::exchange(capacityMayHaveFreed_, false);
  if (capacityMayHaveFreed) {
    SortWaiting(aNow);
  }
  int consecutiveMisses = 0;
  std::vector<WaitingRequest> stillWaiting;
  for (auto& waiting : waiting_) {
    const bool isExpired = waiting.waitDeadline_ <= aNow;
    const bool mayTry =
      capacityMayHaveFreed && consecutiveMisses < kMaxConsecutiveMisses;
    RejectDecision rejection;
    rejection.request_ = waiting.item_.id_;
    if ((mayTry || isExpired) && TryStart(waiting.item_, aNow, &rejection)) {
      consecutiveMisses = 0;
      continue;
    }
    ++consecutiveMisses;
    if (isExpired ||
        PauseOutlastsWait(rejection, waiting.waitDeadline_, aNow)) {
      Reject(waiting.item_, rejection, aNow);
      continue;
    }
    stillWaiting.push_back(std::move(waiting));
  }
  waiting_ = std::move(stillWaiting);
}

auto Dispatcher::SortWaiting(Instant aNow) -> void
{
  for (auto& waiting : waiting_) {
    waiting.chargedTokens_ = shares_.ChargedTo(waiting.item_.account_, aNow);
  }
  std::stable_sort(
    waiting_.begin(), waiting_.end(),
    [](const WaitingRequest& aLeft, const WaitingRequest& aRight) {
      return aLeft.chargedTokens_ < aRight.chargedTokens_;
    });
}

auto Dispatcher::TakeDecisions() -> std::vector<DispatchDecision>
{
  return std::exchange(decisions_, {});
}

auto Dispatcher::OnPeerReport(RouterId aPeer,
                              const wire::LoadReport& aReport,
                              Instant aNow) -> void
{
  capacityMayHaveFreed_ = true;
  ObservePlacements(aPeer, aReport, aNow);
  loads_.SetPeerUsage(aPeer, aReport.targets, aReport.partial, aNow);
  shares_.SetPeerUsage(aPeer, aReport.accounts, aReport.partial, aNow);
  for (const auto& read : aReport.reads) {
    const TargetId target{ read.target };
    if (directory_->Find(target) != nullptr) {
      loads_.At(target).OnPartCached(static_cast<std::uint64_t>(read.part),
                                     false, aNow);
    }
  }
  if (aReport.pressed) {
    peerPressureUntil_ = aNow + kPressureDuration;
    OnSaturated(aNow);
  }
}

auto Dispatcher::MakeReport(bool aFull, Instant aNow) -> wire::LoadReport
{
  wire::LoadReport report;
  report.targets = loads_.LocalUsage();
  report.accounts = shares_.LocalUsage(aNow);
  report.pressed = aNow < ownPressureUntil_;
  report.reads = std::exchange(partReads_, {});
  loadChanged_ = false;
  if (aFull || !policy_.IsEnabled(Mechanism::kReportDeltas)) {
    delta_.ForceFullReport();
  }
  delta_.Reduce(&report, aNow);
  return report;
}

auto Dispatcher::HasLoadChanged() const -> bool
{
  return loadChanged_;
}

auto Dispatcher::Tick(Instant aNow) -> void
{
  // Avoidance ends and shares free up by the passage of time alone.
  if (aNow - lastFullScan_ >= kFullScanInterval) {
    lastFullScan_ = aNow;
    capacityMayHaveFreed_ = true;
  }
  loads_.Tick(aNow);
}

auto Dispatcher::WaitingCount() const -> std::size_t
{
  return waiting_.size();
}

auto Dispatcher::RunningCount() const -> std::size_t
{
  return runs_.size();
}

auto Dispatcher::Loads() const -> const TargetLoadTable&
{
  return loads_;
}

auto Dispatcher::ReportedLoads() const -> const ReportedLoadCounters&
{
  return reportedLoads_;
}

auto Dispatcher::EngineEstimates() const -> std::vector<EngineEstimate>
{
  std::vector<EngineEstimate> estimates;
  for (const auto& entry : prefillEstimators_) {
    const auto* service = table_->FindService(entry.first);
    if (service != nullptr && service->isEngine_) {
      estimates.push_back({ entry.first, entry.second.MsPerToken(),
                            entry.second.FirstEventOverhead() });
    }
  }
  return estimates;
}

auto Dispatcher::ShareLevels() const -> const AccountShares::Levels&
{
  return shares_.CurrentLevels();
}

auto Dispatcher::DecisionCount() const -> std::int64_t
{
  return decisionCount_;
}

} // namespace burdockring
