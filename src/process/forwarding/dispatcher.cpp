#include "process/forwarding/dispatcher.h"

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
    loads_.ForgetUnless([this](TargetId aTarget) {
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
    load.SetUsualPace(&estimator);
    targets.push_back({ listed, &load });
  }
  estimator.SetStart(table_->TokensPerSecond(),
                     static_cast<int>(targets.size()));
  return targets;
}

auto Dispatcher::MaxOnTimeWait(const WorkItem& aItem, Instant aNow)
  -> std::optional<Duration>
{
  const auto onTime = PartOf(aItem.aim_, kOnTimeFraction);
  const auto& estimator = prefillEstimators_[aItem.service_];
  // If even an idle engine would be late, serve the request late rather than
  // never.
  if (estimator.FirstEventTime() + estimator.ReadingTime(OwnTokens(aItem)) >=
      onTime) {
    return std::nullopt;
  }
  return onTime - (aNow - aItem.arrival_);
}

auto Dispatcher::LimitsFor(const WorkItem& aItem,
                           const RoutedService& aService,
                           ShareStanding aStanding,
                           Instant aNow) -> PlaceLimits
{
  if (!aService.isEngine_) {
    return {};
  }
  const auto& engines = policy_.Engines();
  PlaceLimits limits;
  limits.shortestAim_ = MinLatencyObjective(aService);
  limits.pace_ = prefillEstimators_[aItem.service_];
  limits.maxBacklog_ = PartOf(limits.shortestAim_, engines.owedBacklog_);
  if (!aItem.goesOn_) {
    limits.maxWait_ = MaxOnTimeWait(aItem, aNow);
  }
  switch (aStanding) {
    case ShareStanding::kOwed:
      break;
    case ShareStanding::kFair:
      limits.maxBacklog_ = PartOf(limits.shortestAim_, engines.fairBacklog_);
      break;
    case ShareStanding::kBeyond:
      limits.maxBacklog_ = PartOf(
        limits.shortestAim_, IsUnderPressure(aNow) ? engines.pressedBacklog_
                                                   : engines.beyondBacklog_);
      limits.maxSlotUse_ = IsUnderPressure(aNow) ? kPressureSlotFraction
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
    targetSelector_.Choose(aItem, *service, targets, limits, aNow);
  if (!candidate) {
    aRejection->expectedWait_ = MinRemainingPause(aItem.service_, aNow);
    aRejection->reason_ = aRejection->expectedWait_ > 0us
                            ? RejectReason::kTargetsPaused
                            : RejectReason::kNoTarget;
    return false;
  }
  if (candidate->fits_) {
    Start(aItem, *candidate, *service, standing, aNow);
    return true;
  }
  const bool isBeyond = standing == ShareStanding::kBeyond;
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
  if (!aService.isEngine_ || !policy_.Has(Mechanism::kStandings)) {
    return ShareStanding::kOwed;
  }
  return shares_.Standing(aItem.account_, ChargedTokens(aItem), aNow);
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
  run.adds_ = aCandidate.adds_;
  run.started_ = aNow;
  run.prefillTokensAhead_ =
    aCandidate.copyFrom_
      ? 0
      : load.Total().prefillTokens_ + aCandidate.adds_.prefillTokens_;
  load.Add(run.adds_);
  if (aService.isEngine_) {
    for (const auto& part : aItem.parts_) {
      load.NotePart(part.id_, aNow);
      run.parts_.push_back(part.id_);
    }
    if (!run.parts_.empty()) {
      // The last part belongs to this request only.
      run.parts_.pop_back();
    }
    run.account_ = aItem.account_;
    run.chargedTokens_ = ChargedTokens(aItem);
    shares_.Give(run.account_, run.chargedTokens_, aNow);
  }
  runs_[aItem.id_] = run;
  loadChanged_ = true;
  ++decisionCount_;
  decisions_.emplace_back(StartDecision{ aItem.id_, aCandidate.target_,
                                         aCandidate.wait_, aCandidate.copyFrom_,
                                         aCandidate.adds_, aStanding });
}

auto Dispatcher::MinRemainingPause(ServiceId aService, Instant aNow) -> Duration
{
  const auto& targets = TargetsOf(aService);
  Duration soonest = targets.empty() ? Duration(0) : Duration::max();
  for (const auto& target : targets) {
    const auto left = target.load_->RestsUntil() - aNow;
    soonest = std::min(soonest, std::max<Duration>(left, 0us));
  }
  return soonest;
}

auto Dispatcher::IsUnderPressure(Instant aNow) const -> bool
{
  return policy_.Has(Mechanism::kPressed) &&
         aNow < std::max(ownPressureUntil_, peerPressureUntil_);
}

auto Dispatcher::MinLatencyObjective(const RoutedService& aService) -> Duration
{
  return aService.shortestAim_ > 0us
           ? std::min<Duration>(aService.shortestAim_, kMaxLatencyObjective)
           : Duration(kDefaultLatencyObjective);
}

auto Dispatcher::MinRetryAfter(const WorkItem& aItem) const -> Duration
{
  const auto* service = table_->FindService(aItem.service_);
  const Duration objective = service == nullptr ? kDefaultLatencyObjective
                                                : MinLatencyObjective(*service);
  return PartOf(objective, policy_.Waits().returnAim_);
}

auto Dispatcher::NoteSaturated(Instant aNow) -> void
{
  if (policy_.Has(Mechanism::kSaturation)) {
    shares_.NoteSaturated(aNow);
  }
}

auto Dispatcher::Reject(const WorkItem& aItem,
                        RejectDecision aRejection,
                        Instant aNow) -> void
{
  aRejection.standing_ =
    shares_.Standing(aItem.account_, ChargedTokens(aItem), aNow);
  const bool isLowPriority = aItem.goesOn_ ||
                             aRejection.reason_ == RejectReason::kOverShare ||
                             aRejection.standing_ == ShareStanding::kBeyond;
  if (!isLowPriority) {
    ownPressureUntil_ = aNow + kPressureDuration;
    NoteSaturated(aNow);
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
  const auto latest = std::clamp<Duration>(
    PartOf(aItem.deadline_ - aNow, policy_.Waits().returnPatience_), first,
    kMaxRetryAfter);
  if (!policy_.Has(Mechanism::kSpreadReturns)) {
    return (first + latest) / 2;
  }
  std::uniform_int_distribution<std::int64_t> spread(first.count(),
                                                     latest.count());
  return Duration(spread(random_));
}

auto Dispatcher::WaitDeadline(const WorkItem& aItem) const -> Instant
{
  if (!policy_.Has(Mechanism::kWaiting)) {
    return aItem.arrival_;
  }
  return aItem.arrival_ + (aItem.goesOn_
                             ? Duration(kContinuationMaxWait)
                             : PartOf(aItem.aim_, policy_.Waits().waitPart_));
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

auto Dispatcher::SetTable(RouteTablePointer aTable) -> void
{
  table_ = std::move(aTable);
  targets_.clear();
  shares_.SetTokensPerSecond(table_->TokensPerSecond());
}

auto Dispatcher::Submit(WorkItem aItem, Instant aNow) -> void
{
  if (!aItem.goesOn_ && aItem.tried_.empty()) {
    shares_.Ask(aItem.account_, ChargedTokens(aItem), aNow);
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
  const auto chargedTokens = shares_.Given(aItem.account_, aNow);
  return std::any_of(
    waiting_.begin(), waiting_.end(), [&](const WaitingRequest& aWaiting) {
      return aWaiting.item_.service_ == aItem.service_ &&
             shares_.Given(aWaiting.item_.account_, aNow) < chargedTokens;
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
  load.Remove({ 0, run.adds_.prefillTokens_, 0 });
  LearnPace(run, aNow);
  load.OnSuccess();
  for (const auto id : run.parts_) {
    if (policy_.Has(Mechanism::kToldReads) &&
        load.NotePartRead(id, true, aNow) &&
        partReads_.size() < kMaxReportedReads) {
      wire::PartRead read;
      read.target = run.target_.value_;
      read.part = static_cast<std::int64_t>(id);
      partReads_.push_back(read);
    }
  }
  run.adds_.prefillTokens_ = 0;
}

auto Dispatcher::LearnPace(const Run& aRun, Instant aNow) -> void
{
  if (!policy_.Has(Mechanism::kPaceLearning)) {
    return;
  }
  // Skip runs that copy their prefix, as the copy hides the prefill time, and
  // runs placed by another router, whose start is unknown.
  if (aRun.prefillTokensAhead_ == 0) {
    return;
  }
  const auto sample = prefillEstimators_[aRun.service_].Learn(
    aRun.prefillTokensAhead_, aNow - aRun.started_);
  if (sample) {
    loads_.At(aRun.target_).LearnPace(*sample);
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
  load.Remove(run.adds_);
  const bool failed =
    aOutcome == RunOutcome::kRefused || aOutcome == RunOutcome::kFailed;
  if (failed && !run.hasFirstEvent_ && run.chargedTokens_ > 0) {
    shares_.Give(run.account_, -run.chargedTokens_, aNow);
  }
  switch (aOutcome) {
    case RunOutcome::kCompleted:
      load.OnSuccess();
      break;
    case RunOutcome::kTargetError:
      break;
    case RunOutcome::kRefused:
    case RunOutcome::kFailed:
      if (policy_.Has(Mechanism::kAvoidance)) {
        load.OnFailure(aNow, policy_.Has(Mechanism::kLongerAvoidance));
      }
      break;
    case RunOutcome::kCancelled:
      break;
  }
  runs_.erase(found);
}

auto Dispatcher::AdoptRun(RequestId aRequest,
                          TargetId aTarget,
                          const TargetAmounts& aAdds,
                          bool aHasFirstEvent) -> void
{
  Run run;
  run.target_ = aTarget;
  run.adds_ = aAdds;
  run.hasFirstEvent_ = aHasFirstEvent;
  loads_.At(aTarget).Add(aAdds);
  runs_[aRequest] = run;
  loadChanged_ = true;
}

auto Dispatcher::PauseTarget(TargetId aTarget, Instant aUntil) -> void
{
  if (directory_->Find(aTarget) != nullptr) {
    loads_.At(aTarget).RestUntil(aUntil);
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
    waiting.chargedTokens_ = shares_.Given(waiting.item_.account_, aNow);
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
  loads_.SetPeer(aPeer, aReport.targets, aReport.partial, aNow);
  shares_.SetPeer(aPeer, aReport.accounts, aReport.partial, aNow);
  for (const auto& read : aReport.reads) {
    const TargetId target{ read.target };
    if (directory_->Find(target) != nullptr) {
      loads_.At(target).NotePartRead(static_cast<std::uint64_t>(read.part),
                                     false, aNow);
    }
  }
  if (aReport.pressed) {
    peerPressureUntil_ = aNow + kPressureDuration;
    NoteSaturated(aNow);
  }
}

auto Dispatcher::MakeReport(bool aFull, Instant aNow) -> wire::LoadReport
{
  wire::LoadReport report;
  report.targets = loads_.OwnUse();
  report.accounts = shares_.OwnUse(aNow);
  report.pressed = aNow < ownPressureUntil_;
  report.reads = std::exchange(partReads_, {});
  loadChanged_ = false;
  if (aFull || !policy_.Has(Mechanism::kReportDeltas)) {
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

auto Dispatcher::Loads() const -> const LoadBook&
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
                            entry.second.FirstEventTime() });
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
