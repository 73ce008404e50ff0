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
  ReasonRow{ RejectReason::kNoRoom, "no_room" },
  ReasonRow{ RejectReason::kLate, "late" },
  ReasonRow{ RejectReason::kOverShare, "over_share" },
  ReasonRow{ RejectReason::kResting, "targets_resting" },
};

/// Generated tokens count twice in an account's use.
constexpr std::int64_t kOutputFactor = 2;

} // namespace

auto RejectReasonName(RejectReason aReason) -> std::string_view
{
  return kReasonTable.at(static_cast<std::size_t>(aReason)).name_;
}

auto Dispatcher::TargetsOf(ServiceId aService)
  -> const std::vector<UsableTarget>&
{
  if (targetsAsOf_ != directory_->Version()) {
    targets_.clear();
    loads_.RemoveUnless([this](TargetId aTarget) {
      return directory_->Find(aTarget) != nullptr;
    });
    targetsAsOf_ = directory_->Version();
  }
  const auto found = targets_.find(aService);
  if (found != targets_.end()) {
    return found->second;
  }
  auto& targets = targets_[aService];
  auto& pace = paces_[aService];
  for (const auto* listed : directory_->Usable(aService)) {
    auto& load = loads_.At(listed->id_);
    load.SetPrefillEstimator(&pace);
    targets.push_back({ listed, &load });
  }
  pace.SetInitialRate(table_->TokensPerSecond(),
                      static_cast<int>(targets.size()));
  return targets;
}

auto Dispatcher::OnTimeWait(const WorkItem& aItem, Instant aNow)
  -> std::optional<Duration>
{
  const auto onTime = ScaleDuration(aItem.latencyObjective_, kOnTimePart);
  const auto& pace = paces_[aItem.service_];
  // What no engine could serve on time is served late rather than never.
  if (pace.FirstEventOverhead() + pace.PrefillDuration(UnsharedTokens(aItem)) >=
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
  limits.minLatencyObjective_ = LimitingAim(aService);
  limits.prefill_ = paces_[aItem.service_];
  limits.maxBacklog_ =
    ScaleDuration(limits.minLatencyObjective_, engines.guaranteedBacklog_);
  if (!aItem.isContinuation_) {
    limits.maxWait_ = OnTimeWait(aItem, aNow);
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
                      IsPressed(aNow) ? engines.pressureBacklog_
                                      : engines.beyondShareBacklog_);
      limits.maxSlotUtilization_ =
        IsPressed(aNow) ? kPressedSlots : kLesserSlots;
      break;
  }
  return limits;
}

auto Dispatcher::TryStart(const WorkItem& aItem,
                          Instant aNow,
                          RejectWork* aRefusal) -> bool
{
  const auto* service = table_->FindService(aItem.service_);
  if (service == nullptr) {
    aRefusal->reason_ = RejectReason::kNoTarget;
    return false;
  }
  const auto& targets = TargetsOf(aItem.service_);
  const auto standing = StandingOf(aItem, *service, aNow);
  const auto limits = LimitsFor(aItem, *service, standing, aNow);
  const auto candidate =
    placement_.Select(aItem, *service, targets, limits, aNow);
  if (!candidate) {
    aRefusal->expectedWait_ = RestOfAll(aItem.service_, aNow);
    aRefusal->reason_ = aRefusal->expectedWait_ > 0us ? RejectReason::kResting
                                                      : RejectReason::kNoTarget;
    return false;
  }
  if (candidate->isWithinLimits_) {
    Start(aItem, *candidate, *service, standing, aNow);
    return true;
  }
  const bool isBeyond = standing == ShareStanding::kBeyondShare;
  aRefusal->reason_ = !candidate->hasSlot_ ? RejectReason::kNoRoom
                      : isBeyond           ? RejectReason::kOverShare
                                           : RejectReason::kLate;
  aRefusal->expectedWait_ = candidate->wait_;
  return false;
}

auto Dispatcher::StandingOf(const WorkItem& aItem,
                            const RoutedService& aService,
                            Instant aNow) -> ShareStanding
{
  if (!aService.isEngine_ || !policy_.IsEnabled(Mechanism::kShareLimits)) {
    return ShareStanding::kGuaranteed;
  }
  return shares_.StandingWith(aItem.account_, Tokens(aItem), aNow);
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
  run.tokensAhead_ =
    aCandidate.copyFrom_
      ? 0
      : load.Total().prefillTokens_ + aCandidate.addedLoad_.prefillTokens_;
  load.Add(run.addedLoad_);
  if (aService.isEngine_) {
    for (const auto& part : aItem.parts_) {
      load.OnPartSent(part.id_, aNow);
      run.parts_.push_back(part.id_);
    }
    if (!run.parts_.empty()) {
      // The last is the request's own.
      run.parts_.pop_back();
    }
    run.account_ = aItem.account_;
    run.givenTokens_ = Tokens(aItem);
    shares_.Charge(run.account_, run.givenTokens_, aNow);
  }
  runs_[aItem.id_] = run;
  loadChanged_ = true;
  ++decisions_;
  verdicts_.emplace_back(StartWork{ aItem.id_, aCandidate.target_,
                                    aCandidate.wait_, aCandidate.copyFrom_,
                                    aCandidate.addedLoad_, aStanding });
}

auto Dispatcher::RestOfAll(ServiceId aService, Instant aNow) -> Duration
{
  const auto& targets = TargetsOf(aService);
  Duration soonest = targets.empty() ? Duration(0) : Duration::max();
  for (const auto& target : targets) {
    const auto left = target.load_->PausedUntil() - aNow;
    soonest = std::min(soonest, std::max<Duration>(left, 0us));
  }
  return soonest;
}

auto Dispatcher::IsPressed(Instant aNow) const -> bool
{
  return policy_.IsEnabled(Mechanism::kPressure) &&
         aNow < std::max(ownPressedUntil_, peersPressedUntil_);
}

auto Dispatcher::LimitingAim(const RoutedService& aService) -> Duration
{
  return aService.minLatencyObjective_ > 0us
           ? std::min<Duration>(aService.minLatencyObjective_, kLongestAim)
           : Duration(kUsualAim);
}

auto Dispatcher::FirstReturn(const WorkItem& aItem) const -> Duration
{
  const auto* service = table_->FindService(aItem.service_);
  const Duration aim = service == nullptr ? kUsualAim : LimitingAim(*service);
  return ScaleDuration(aim, policy_.Queue().minRetryAfterFraction_);
}

auto Dispatcher::OnSaturated(Instant aNow) -> void
{
  if (policy_.IsEnabled(Mechanism::kSaturation)) {
    shares_.OnSaturated(aNow);
  }
}

auto Dispatcher::Reject(const WorkItem& aItem,
                        RejectWork aRefusal,
                        Instant aNow) -> void
{
  aRefusal.standing_ =
    shares_.StandingWith(aItem.account_, Tokens(aItem), aNow);
  const bool standsBack = aItem.isContinuation_ ||
                          aRefusal.reason_ == RejectReason::kOverShare ||
                          aRefusal.standing_ == ShareStanding::kBeyondShare;
  if (!standsBack) {
    ownPressedUntil_ = aNow + kPressedTime;
    OnSaturated(aNow);
  }
  aRefusal.retryAfter_ = ComeBackTime(aItem, aNow);
  if (aRefusal.reason_ == RejectReason::kResting) {
    // Spread behind the end of the rest, as all would come at once.
    aRefusal.retryAfter_ += aRefusal.expectedWait_ - FirstReturn(aItem);
  }
  ++decisions_;
  verdicts_.emplace_back(aRefusal);
}

auto Dispatcher::ComeBackTime(const WorkItem& aItem, Instant aNow) -> Duration
{
  const auto first = std::min<Duration>(FirstReturn(aItem), kMaxRetryAfter);
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

auto Dispatcher::GiveUpTime(const WorkItem& aItem) const -> Instant
{
  if (!policy_.IsEnabled(Mechanism::kQueueing)) {
    return aItem.arrival_;
  }
  return aItem.arrival_ + (aItem.isContinuation_
                             ? Duration(kGoesOnWait)
                             : ScaleDuration(aItem.latencyObjective_,
                                             policy_.Queue().maxWaitFraction_));
}

auto Dispatcher::IsHopeless(const RejectWork& aRefusal,
                            Instant aGiveUpAt,
                            Instant aNow) -> bool
{
  return aRefusal.reason_ == RejectReason::kResting &&
         aNow + aRefusal.expectedWait_ > aGiveUpAt;
}

auto Dispatcher::Tokens(const WorkItem& aItem) -> std::int64_t
{
  return aItem.promptTokens_ + kOutputFactor * aItem.outputTokens_;
}

Dispatcher::Dispatcher(TargetDirectory* aDirectory,
                       ZoneId aHome,
                       std::uint32_t aSeed,
                       const ForwardingPolicy& aPolicy)
  : directory_(aDirectory)
  , policy_(aPolicy)
  , placement_(aHome, aPolicy)
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
  if (!aItem.isContinuation_ && aItem.triedTargets_.empty()) {
    shares_.AddDemand(aItem.account_, Tokens(aItem), aNow);
  }
  const auto giveUpAt = GiveUpTime(aItem);
  if (giveUpAt > aNow && IsBehindOthers(aItem, aNow)) {
    mayHaveRoom_ = true;
    waiting_.push_back({ std::move(aItem), giveUpAt, 0 });
    return;
  }
  RejectWork refusal;
  refusal.request_ = aItem.id_;
  if (TryStart(aItem, aNow, &refusal)) {
    return;
  }
  if (giveUpAt <= aNow || IsHopeless(refusal, giveUpAt, aNow)) {
    Reject(aItem, refusal, aNow);
    return;
  }
  waiting_.push_back({ std::move(aItem), giveUpAt, 0 });
}

auto Dispatcher::IsBehindOthers(const WorkItem& aItem, Instant aNow) -> bool
{
  const auto* service = table_->FindService(aItem.service_);
  if (waiting_.empty() || service == nullptr || !service->isEngine_) {
    return false;
  }
  const auto given = shares_.ChargedTo(aItem.account_, aNow);
  return std::any_of(
    waiting_.begin(), waiting_.end(), [&](const Waiting& aWaiting) {
      return aWaiting.item_.service_ == aItem.service_ &&
             shares_.ChargedTo(aWaiting.item_.account_, aNow) < given;
    });
}

auto Dispatcher::Withdraw(RequestId aRequest) -> void
{
  std::erase_if(waiting_, [&](const Waiting& aWaiting) {
    return aWaiting.item_.id_ == aRequest;
  });
}

auto Dispatcher::OnFirstEvent(RequestId aRequest, Instant aNow) -> void
{
  const auto found = runs_.find(aRequest);
  if (found == runs_.end() || found->second.begun_) {
    return;
  }
  auto& run = found->second;
  mayHaveRoom_ = true;
  loadChanged_ = true;
  run.begun_ = true;
  auto& load = loads_.At(run.target_);
  load.Remove({ 0, run.addedLoad_.prefillTokens_, 0 });
  LearnPrefillSpeed(run, aNow);
  load.OnSuccess();
  for (const auto id : run.parts_) {
    if (policy_.IsEnabled(Mechanism::kCacheReports) &&
        load.OnPartCached(id, true, aNow) && reads_.size() < kMaxReadsTold) {
      wire::PartRead read;
      read.target = run.target_.value_;
      read.part = static_cast<std::int64_t>(id);
      reads_.push_back(read);
    }
  }
  run.addedLoad_.prefillTokens_ = 0;
}

auto Dispatcher::LearnPrefillSpeed(const Run& aRun, Instant aNow) -> void
{
  if (!policy_.IsEnabled(Mechanism::kSpeedLearning)) {
    return;
  }
  // What the time to the first event says is lost in a copy, and unknown of a
  // run that another router placed.
  if (aRun.tokensAhead_ == 0) {
    return;
  }
  const auto sample =
    paces_[aRun.service_].AddSample(aRun.tokensAhead_, aNow - aRun.started_);
  if (sample) {
    loads_.At(aRun.target_).LearnPrefillSpeed(*sample);
  }
}

auto Dispatcher::OnRunEnd(RequestId aRequest, RunEnd aEnd, Instant aNow) -> void
{
  const auto found = runs_.find(aRequest);
  if (found == runs_.end()) {
    return;
  }
  mayHaveRoom_ = true;
  loadChanged_ = true;
  const auto& run = found->second;
  auto& load = loads_.At(run.target_);
  load.Remove(run.addedLoad_);
  const bool failed = aEnd == RunEnd::kRefused || aEnd == RunEnd::kFailed;
  if (failed && !run.begun_ && run.givenTokens_ > 0) {
    shares_.Charge(run.account_, -run.givenTokens_, aNow);
  }
  switch (aEnd) {
    case RunEnd::kWhole:
      load.OnSuccess();
      break;
    case RunEnd::kError:
      break;
    case RunEnd::kRefused:
    case RunEnd::kFailed:
      if (policy_.IsEnabled(Mechanism::kFailureBackoff)) {
        load.OnFailure(aNow, policy_.IsEnabled(Mechanism::kExponentialBackoff));
      }
      break;
    case RunEnd::kCancelled:
      break;
  }
  runs_.erase(found);
}

auto Dispatcher::Adopt(RequestId aRequest,
                       TargetId aTarget,
                       const LoadAmounts& aAdds,
                       bool aBegun) -> void
{
  Run run;
  run.target_ = aTarget;
  run.addedLoad_ = aAdds;
  run.begun_ = aBegun;
  loads_.At(aTarget).Add(aAdds);
  runs_[aRequest] = run;
  loadChanged_ = true;
}

auto Dispatcher::Rest(TargetId aTarget, Instant aUntil) -> void
{
  if (directory_->Find(aTarget) != nullptr) {
    loads_.At(aTarget).PauseUntil(aUntil);
  }
}

auto Dispatcher::Pump(Instant aNow) -> void
{
  if (waiting_.empty()) {
    return;
  }
  const bool mayHaveRoom = std::exchange(mayHaveRoom_, false);
  if (mayHaveRoom) {
    SortWaiting(aNow);
  }
  int failedLooks = 0;
  std::vector<Waiting> still;
  for (auto& waiting : waiting_) {
    const bool isLast = waiting.giveUpAt_ <= aNow;
    const bool looks = mayHaveRoom && failedLooks < kFailedLooks;
    RejectWork refusal;
    refusal.request_ = waiting.item_.id_;
    if ((looks || isLast) && TryStart(waiting.item_, aNow, &refusal)) {
      failedLooks = 0;
      continue;
    }
    ++failedLooks;
    if (isLast || IsHopeless(refusal, waiting.giveUpAt_, aNow)) {
      Reject(waiting.item_, refusal, aNow);
      continue;
    }
    still.push_back(std::move(waiting));
  }
  waiting_ = std::move(still);
}

auto Dispatcher::SortWaiting(Instant aNow) -> void
{
  for (auto& waiting : waiting_) {
    waiting.given_ = shares_.ChargedTo(waiting.item_.account_, aNow);
  }
  std::stable_sort(waiting_.begin(), waiting_.end(),
                   [](const Waiting& aLeft, const Waiting& aRight) {
                     return aLeft.given_ < aRight.given_;
                   });
}

auto Dispatcher::TakeVerdicts() -> std::vector<DispatchVerdict>
{
  return std::exchange(verdicts_, {});
}

auto Dispatcher::OnPeerReport(RouterId aPeer,
                              const wire::LoadReport& aReport,
                              Instant aNow) -> void
{
  mayHaveRoom_ = true;
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
    peersPressedUntil_ = aNow + kPressedTime;
    OnSaturated(aNow);
  }
}

auto Dispatcher::MakeReport(bool aWhole, Instant aNow) -> wire::LoadReport
{
  wire::LoadReport report;
  report.targets = loads_.LocalUsage();
  report.accounts = shares_.LocalUsage(aNow);
  report.pressed = aNow < ownPressedUntil_;
  report.reads = std::exchange(reads_, {});
  loadChanged_ = false;
  if (aWhole || !policy_.IsEnabled(Mechanism::kReportDeltas)) {
    delta_.ForceWhole();
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
  // Time alone ends avoidances and frees shares.
  if (aNow - lastFullLook_ >= kFullLookInterval) {
    lastFullLook_ = aNow;
    mayHaveRoom_ = true;
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

auto Dispatcher::EngineBeliefs() const -> std::vector<EngineBelief>
{
  std::vector<EngineBelief> beliefs;
  for (const auto& entry : paces_) {
    const auto* service = table_->FindService(entry.first);
    if (service != nullptr && service->isEngine_) {
      beliefs.push_back({ entry.first, entry.second.MsPerToken(),
                          entry.second.FirstEventOverhead() });
    }
  }
  return beliefs;
}

auto Dispatcher::ShareLevels() const -> const AccountShares::Levels&
{
  return shares_.CurrentLevels();
}

auto Dispatcher::DecisionCount() const -> std::int64_t
{
  return decisions_;
}

} // namespace burdockring
