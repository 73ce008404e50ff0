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
    pacer_.RemoveUnless([this](TargetId aTarget) {
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
  const auto limits = LimitsFor(aItem, *service, standing, aNow);
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
    const auto paced = Pace(aItem, *service, limits, *candidate, aNow);
    if (paced) {
      Start(aItem, *paced, *service, standing, aNow);
    }
    return paced.has_value();
  }
  if (candidate->hasSlot_ && MustStart(aItem, aNow)) {
    ++pacingCounters_.withoutRoom_;
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

auto Dispatcher::Pace(const WorkItem& aItem,
                      const RoutedService& aService,
                      SelectionLimits aLimits,
                      const Candidate& aCandidate,
                      Instant aNow) -> std::optional<Candidate>
{
  const auto limit = aService.minEventGapLimit_;
  const auto allowance = pacer_.Allowance(aService.id_, limit);
  if (limit == 0us || !allowance) {
    return aCandidate;
  }
  aLimits.pacing_ = PromptPacing{ &pacer_,
                                  aService.id_,
                                  *allowance,
                                  limit,
                                  aCandidate.addedLoad_.prefillTokens_,
                                  false };
  const auto paced = targetSelector_.Select(
    aItem, aService, TargetsOf(aService.id_), aLimits, aNow);
  const bool hasRoom = paced && paced->isWithinLimits_;
  if (hasRoom || pacer_.IsOverloaded(aService.id_)) {
    pacer_.RecordRoom(aService.id_, hasRoom);
  }
  if (pacer_.IsOverloaded(aService.id_)) {
    ++pacingCounters_.withoutRoom_;
    return aCandidate;
  }
  if (hasRoom) {
    pacingCounters_.shifted_ += paced->target_ == aCandidate.target_ ? 0 : 1;
    return paced;
  }
  const bool hasTime =
    aNow + kPacingStep < WaitDeadline(aItem) &&
    (!aLimits.maxWait_ || aCandidate.wait_ + kPacingStep < *aLimits.maxWait_);
  if (!aItem.isContinuation_ && hasTime) {
    ++pacingCounters_.held_;
    heldRequests_.insert(aItem.id_);
    return std::nullopt;
  }
  pacer_.RecordRoom(aService.id_, false);
  ++pacingCounters_.withoutRoom_;
  aLimits.pacing_->allowsExcess_ = true;
  return targetSelector_.Select(aItem, aService, TargetsOf(aService.id_),
                                aLimits, aNow);
}

auto Dispatcher::MustStart(const WorkItem& aItem, Instant aNow) const -> bool
{
  return aNow + kPacingStep >= WaitDeadline(aItem) &&
         heldRequests_.contains(aItem.id_);
}

auto Dispatcher::GapLimitAt(TargetId aTarget) const -> Duration
{
  const auto* target = directory_->Find(aTarget);
  const auto* service =
    target == nullptr ? nullptr : table_->FindService(target->service_);
  return service == nullptr ? Duration(0) : service->minEventGapLimit_;
}

auto Dispatcher::PeerPrompts(const std::vector<wire::TargetUse>& aRows)
  -> std::vector<int>
{
  std::vector<int> tokens;
  for (const auto& row : aRows) {
    const auto& load = loads_.At(TargetId{ row.target });
    tokens.push_back(load.Total().prefillTokens_ - load.Local().prefillTokens_);
  }
  return tokens;
}

auto Dispatcher::PacePeerPrompts(const std::vector<wire::TargetUse>& aRows,
                                 const std::vector<int>& aBefore,
                                 Instant aNow) -> void
{
  const auto after = PeerPrompts(aRows);
  for (std::size_t i = 0; i < aRows.size(); ++i) {
    const TargetId target{ aRows[i].target };
    const auto limit = GapLimitAt(target);
    const int added = after[i] - aBefore[i];
    if (limit == 0us || added <= 0) {
      continue;
    }
    const auto service = directory_->Find(target)->service_;
    const auto& load = loads_.At(target);
    const int earlier = load.Total().prefillTokens_ - added;
    pacer_.OnPromptSent(target, pacer_.ReadingTime(service, load, added),
                        pacer_.ReadingTime(service, load, earlier), limit,
                        aNow);
    pacer_.OnPeerPrompt(target, aNow);
  }
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
  if (aService.minEventGapLimit_ > 0us) {
    pacer_.OnPromptSent(
      run.target_,
      pacer_.ReadingTime(aService.id_, load, run.addedLoad_.prefillTokens_),
      pacer_.ReadingTime(aService.id_, load, load.Total().prefillTokens_),
      aService.minEventGapLimit_, aNow);
  }
  run.hasGapLimit_ = aItem.maxEventGap_ > 0us;
  if (run.hasGapLimit_) {
    pacer_.OnLimitedRunStart(run.target_);
  }
  run.isBehindOwnOnly_ =
    load.Total().prefillTokens_ == load.Local().prefillTokens_;
  load.Add(run.addedLoad_);
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
  heldRequests_.erase(aItem.id_);
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
  heldRequests_.erase(aItem.id_);
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
  const auto& services = table_->Services();
  hasGapLimits_ =
    std::any_of(services.begin(), services.end(), [](const auto& aEntry) {
      return aEntry.second.minEventGapLimit_ > 0us;
    });
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
  heldRequests_.erase(aRequest);
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
  const auto limit = GapLimitAt(run.target_);
  if (limit > 0us && load.Total().prefillTokens_ == 0) {
    pacer_.OnBacklogRead(run.target_, aNow);
  }
  if (limit > 0us && run.isBehindOwnOnly_) {
    pacer_.OnFirstEvent(run.service_, run.target_,
                        run.addedLoad_.prefillTokens_, run.started_, aNow);
  }
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
  if (run.hasGapLimit_) {
    pacer_.OnLimitedRunEnd(run.target_);
  }
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

auto Dispatcher::LearnEventGap(ServiceId aService, Duration aGap) -> void
{
  const auto* service = table_->FindService(aService);
  if (service != nullptr && service->minEventGapLimit_ > 0us) {
    pacer_.LearnGap(aService, service->minEventGapLimit_, aGap);
  }
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
  // The limit of its route is not known here; its service's may apply.
  run.hasGapLimit_ = GapLimitAt(aTarget) > 0us;
  if (run.hasGapLimit_) {
    pacer_.OnLimitedRunStart(aTarget);
  }
  loads_.At(aTarget).Add(aAdds);
  runs_[aRequest] = run;
  loadChanged_ = true;
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
  const auto before =
    hasGapLimits_ ? PeerPrompts(aReport.targets) : std::vector<int>();
  loads_.SetPeerUsage(aPeer, aReport.targets, aReport.partial, aNow);
  if (hasGapLimits_) {
    PacePeerPrompts(aReport.targets, before, aNow);
  }
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

auto Dispatcher::PacingEstimates() const -> std::vector<PacingEstimate>
{
  constexpr int kTokens = 100'000;
  std::vector<PacingEstimate> estimates;
  for (const auto& entry : table_->Services()) {
    const auto limit = entry.second.minEventGapLimit_;
    if (limit == 0us) {
      continue;
    }
    const std::chrono::duration<double, std::milli> reading =
      pacer_.ReadingTime(entry.first, TargetLoad(), kTokens);
    estimates.push_back({ entry.first, limit,
                          pacer_.Allowance(entry.first, limit).value_or(0us),
                          reading.count() / kTokens });
  }
  return estimates;
}

auto Dispatcher::Pacing() const -> const PacingCounters&
{
  return pacingCounters_;
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
