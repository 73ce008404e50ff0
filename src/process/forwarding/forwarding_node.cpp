#include "process/forwarding/forwarding_node.h"

#include "process/quarantine/part_ids.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// Connection failures per request before any byte is written.
constexpr int kMaxUnsentFailures = 3;
/// Placements of one request on unavailable targets before the request fails.
constexpr int kMaxMisplacements = 3;
/// Targets that may lose a request at about the same age of its answer, or
/// early. A request that crashes targets must not go through all of them by
/// retries.
constexpr int kMaxLostAlike = 2;
constexpr Duration kEarlyLoss = 1s;
/// Margin for differences in clock rate, taken off the maximum configuration
/// age for key checks.
constexpr Duration kConfigAgeMargin = 250ms;
/// Wake-up interval while requests wait for dispatch.
constexpr Duration kPumpInterval = 5ms;
/// Wake-up interval otherwise, for the state of peers and targets.
constexpr Duration kIdleInterval = 50ms;
/// Assumed output tokens if the caller gives no estimate.
constexpr int kDefaultOutputTokens = 64;

auto ToMillis(Duration aDuration) -> std::int64_t
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

auto IsEarly(const std::optional<LostAnswer>& aAnswer) -> bool
{
  return !aAnswer || aAnswer->age_ <= kEarlyLoss;
}

auto IsUnsent(AttemptStage aStage) -> bool
{
  return aStage == AttemptStage::kUnsent ||
         aStage == AttemptStage::kConnectionRefused;
}

} // namespace

auto ForwardingNode::Find(RequestId aRequest) -> Request*
{
  const auto found = requests_.find(aRequest);
  return found == requests_.end() ? nullptr : found->second.get();
}

auto ForwardingNode::TargetName(TargetId aTarget) const -> std::string_view
{
  const auto* target = directory_.Find(aTarget);
  return target == nullptr ? std::string_view("unlisted")
                           : std::string_view(target->instance_);
}

auto ForwardingNode::ReportEventGaps(const Request& aRequest) -> void
{
  const auto& gaps = aRequest.gaps_;
  if (gaps.GapCount() == 0) {
    return;
  }
  const auto& route = *aRequest.route_;
  effects_.emplace_back(
    RecordEventGaps{ route.name_, gaps.Longest(), route.maxEventGap_ });
  if (route.maxEventGap_ == 0us) {
    return;
  }
  log_->Write("stream_ended",
              { { "request", aRequest.arrival_.facts_.attemptId_ },
                { "route", route.name_ },
                { "target", TargetName(aRequest.target_) },
                { "gaps", gaps.GapCount() },
                { "longest_gap_ms", ToMillis(gaps.Longest()) },
                { "gap_limit_ms", ToMillis(route.maxEventGap_) },
                { "over_limit",
                  std::int64_t{ gaps.Longest() > route.maxEventGap_ ? 1 : 0 } },
                { "version", aRequest.table_->Version() } });
}

auto ForwardingNode::Erase(const Request& aRequest) -> void
{
  ReportEventGaps(aRequest);
  const auto id = aRequest.arrival_.id_;
  deadlines_.erase({ aRequest.deadline_, id });
  requests_.erase(id);
}

auto ForwardingNode::CheckRoute(Request* aRequest) -> AdmissionResult
{
  auto& request = *aRequest;
  if (!config_.IsKnown()) {
    return AdmissionResult::kNoConfiguration;
  }
  request.route_ =
    request.table_->FindRoute(request.arrival_.host_, request.arrival_.target_);
  if (request.route_ == nullptr) {
    // A newer version may have the route, so 404 also needs a fresh
    // configuration.
    return IsFresh(request) ? AdmissionResult::kNoRoute
                            : AdmissionResult::kStaleConfiguration;
  }
  // This request is already in requests_.
  if (!overloadController_.Allows(requests_.size() - 1)) {
    ++counters_.overloadRejections_;
    return AdmissionResult::kOverloaded;
  }
  const bool isStream = request.route_->kind_ == RouteKind::kStream;
  if (admissionMode_ == AdmissionMode::kNone ||
      (admissionMode_ == AdmissionMode::kNoStreams && isStream) ||
      MayOutlastProcess(request)) {
    return AdmissionResult::kStopping;
  }
  return AdmissionResult::kAdmitted;
}

auto ForwardingNode::TimeLimit(const Request& aRequest) -> Duration
{
  const auto maxTimeout = aRequest.route_->timeout_;
  const auto& facts = aRequest.arrival_.facts_;
  return std::min(facts.patience_.value_or(maxTimeout), maxTimeout);
}

auto ForwardingNode::MayOutlastProcess(const Request& aRequest) const -> bool
{
  return exitAt_ &&
         aRequest.arrival_.received_ + TimeLimit(aRequest) > *exitAt_;
}

auto ForwardingNode::CheckKey(Request* aRequest) -> AdmissionResult
{
  auto& request = *aRequest;
  const auto& table = *request.table_;
  if (request.route_->public_ || !table.RequiresKeys()) {
    return AdmissionResult::kAdmitted;
  }
  if (!IsFresh(request)) {
    ++counters_.staleKeyChecks_;
    return AdmissionResult::kStaleConfiguration;
  }
  const auto* account = table.FindAccount(request.arrival_.facts_.key_);
  if (account == nullptr) {
    return AdmissionResult::kUnknownKey;
  }
  request.account_ = account->name_;
  request.item_.account_ = account->id_;
  return AdmissionResult::kAdmitted;
}

auto ForwardingNode::IsFresh(const Request& aRequest) const -> bool
{
  return config_.IsFresh(aRequest.arrival_.received_,
                         options_.maxConfigAgeForKeys_ - kConfigAgeMargin);
}

auto ForwardingNode::TrySpendRetry(const Request& aRequest, Instant aNow)
  -> bool
{
  return options_.policy_.IsEnabled(Mechanism::kRetries) &&
         retryBudgets_[aRequest.item_.service_].TrySpend(
           options_.retries_, peers_.RouterCount(), aNow);
}

auto ForwardingNode::RejectOnArrival(Request* aRequest,
                                     AdmissionResult aDecision,
                                     Instant aNow) -> void
{
  const auto& row = AdmissionRowOf(aDecision);
  const auto parts = aDecision == AdmissionResult::kQuarantined
                       ? PartIdsText(aRequest->sharedParts_)
                       : std::string();
  log_->Write("refused",
              { { "request", aRequest->arrival_.facts_.attemptId_ },
                { "reason", row.name_ },
                { "status", std::int64_t{ row.status_ } },
                { "version", aRequest->table_->Version() },
                { "age_ms", ToMillis(aNow - config_.ConfirmedAt()) },
                { "parts", parts },
                { "open", static_cast<std::int64_t>(requests_.size() - 1) } });
  ++counters_.rejected_;
  auto retryAfter = row.retryAfter_;
  if (aDecision == AdmissionResult::kQuarantined) {
    ++counters_.quarantinedRequests_;
    retryAfter = std::max<Duration>(
      quarantine_.Remaining(aRequest->sharedParts_, aNow), kDefaultRetryAfter);
  }
  FailAndErase(aRequest, row.status_, retryAfter, row.name_);
}

auto ForwardingNode::FillWorkItem(Request* aRequest) const -> void
{
  const auto& arrival = aRequest->arrival_;
  const auto& route = *aRequest->route_;
  auto& item = aRequest->item_;
  item.id_ = arrival.id_;
  item.service_ = ChooseService(route, arrival.facts_.attemptId_);
  item.arrival_ = arrival.received_;
  item.latencyObjective_ = route.latencyObjective_;
  item.deadline_ = aRequest->deadline_;
  item.promptTokens_ = arrival.facts_.promptTokens_;
  item.parts_ = arrival.facts_.parts_;
  const int hint =
    arrival.facts_.outputTokensHint_.value_or(kDefaultOutputTokens);
  item.outputTokens_ = arrival.facts_.maxOutputTokens_ > 0
                         ? std::min(hint, arrival.facts_.maxOutputTokens_)
                         : hint;
}

auto ForwardingNode::ChooseService(const RouteObject& aRoute,
                                   const std::string& aAttemptId) -> ServiceId
{
  int total = 0;
  for (const auto& share : aRoute.shares_) {
    total += share.weight_;
  }
  if (total <= 0) {
    return aRoute.shares_.front().service_;
  }
  auto draw =
    static_cast<int>(static_cast<std::uint32_t>(HashName(aAttemptId)) %
                     static_cast<std::uint32_t>(total));
  for (const auto& share : aRoute.shares_) {
    draw -= share.weight_;
    if (draw < 0) {
      return share.service_;
    }
  }
  return aRoute.shares_.back().service_;
}

auto ForwardingNode::FailAndErase(Request* aRequest,
                                  int aStatus,
                                  Duration aRetryAfter,
                                  std::string_view aCode) -> void
{
  aRequest->machine_.Process(GivenUp{});
  effects_.emplace_back(FailRequest{ aRequest->arrival_.id_, aStatus,
                                     aRetryAfter, std::string(aCode) });
  Erase(*aRequest);
}

auto ForwardingNode::EndWithError(Request* aRequest,
                                  Duration aRetryAfter,
                                  std::string_view aCode) -> int
{
  const bool notRun = aRequest->machine_.GiveUpState() == RunState::kNotRun;
  ++(notRun ? counters_.rejected_ : counters_.unknownOutcomes_);
  const int status = notRun                 ? kUnavailable
                     : aCode == "timed_out" ? kGatewayTimeout
                                            : kBadGateway;
  FailAndErase(aRequest, status, notRun ? aRetryAfter : 0us, aCode);
  return status;
}

auto ForwardingNode::GiveUp(Request* aRequest,
                            Duration aRetryAfter,
                            std::string_view aCode) -> void
{
  const auto attemptId = aRequest->arrival_.facts_.attemptId_;
  const auto state = RequestStateName(aRequest->machine_.State());
  const std::int64_t attempts = aRequest->sentAttempts_;
  const auto version = aRequest->table_->Version();
  const int status = EndWithError(aRequest, aRetryAfter, aCode);
  log_->Write("given_up", { { "request", attemptId },
                            { "code", aCode },
                            { "status", std::int64_t{ status } },
                            { "state", state },
                            { "attempts", attempts },
                            { "version", version } });
}

auto ForwardingNode::CancelRun(Request* aRequest, Instant aNow) -> void
{
  const auto id = aRequest->arrival_.id_;
  if (aRequest->attemptActive_) {
    effects_.emplace_back(AbortAttempt{ id, aRequest->attempt_ });
    placements_.OnRunEnd(id, RunOutcome::kCancelled, aNow);
    aRequest->attemptActive_ = false;
  } else {
    placements_.Withdraw(id);
  }
}

auto ForwardingNode::IsAdmittedByQuarantine(const Request& aRequest,
                                            Instant aNow) -> bool
{
  return !quarantine_.HasRows() ||
         quarantine_.Admits(aRequest.arrival_.id_, aRequest.sharedParts_,
                            peers_.TriesQuarantined(), aNow);
}

auto ForwardingNode::EndQuarantined(Request* aRequest, Instant aNow) -> void
{
  ++counters_.quarantinedRequests_;
  const auto remaining = quarantine_.Remaining(aRequest->sharedParts_, aNow);
  GiveUp(aRequest, std::max<Duration>(remaining, kDefaultRetryAfter),
         "quarantined");
}

auto ForwardingNode::EnforceQuarantine(Instant aNow) -> void
{
  std::vector<RequestId> ended;
  for (const auto& entry : requests_) {
    const auto& request = *entry.second;
    const bool isRunning = request.attemptActive_ && request.attemptBegan_;
    if (!isRunning && !IsAdmittedByQuarantine(request, aNow)) {
      ended.push_back(entry.first);
    }
  }
  for (const auto id : ended) {
    auto* request = Find(id);
    CancelRun(request, aNow);
    EndQuarantined(request, aNow);
  }
}

auto ForwardingNode::Resubmit(Request* aRequest, Instant aNow) -> void
{
  auto& item = aRequest->item_;
  // Each attempt gets its own wait time.
  item.arrival_ = aNow;
  placements_.Submit(item, aNow);
}

auto ForwardingNode::TakeDecisions(Instant aNow) -> void
{
  // Applying a decision may produce further ones.
  for (bool found = true; found;) {
    found = false;
    for (const auto& decision : dispatcher_.TakeDecisions()) {
      found = true;
      if (!placementServer_.HandleDecision(decision, aNow)) {
        std::visit([&](const auto& aTyped) { Apply(aTyped, aNow); }, decision);
      }
    }
    for (const auto& decision : placements_.TakeDecisions()) {
      found = true;
      std::visit([&](const auto& aTyped) { Apply(aTyped, aNow); }, decision);
    }
  }
}

auto ForwardingNode::IsTargetUnavailable(TargetId aTarget, Instant aNow) const
  -> bool
{
  const auto* target = directory_.Find(aTarget);
  const auto* load = dispatcher_.Loads().Find(aTarget);
  return target == nullptr || target->leaving_ ||
         directory_.IsZoneDrained(target->zone_) ||
         (load != nullptr && load->PausedUntil() > aNow);
}

auto ForwardingNode::RequestNewPlacement(Request* aRequest,
                                         TargetId aTarget,
                                         Instant aNow) -> void
{
  ++counters_.misplaced_;
  const auto id = aRequest->arrival_.id_;
  const auto* load = dispatcher_.Loads().Find(aTarget);
  if (load != nullptr && load->PausedUntil() > aNow) {
    placements_.OnTargetPause(id, load->PausedUntil() - aNow);
  }
  placements_.OnRunEnd(id, RunOutcome::kCancelled, aNow);
  log_->Write("placed_elsewhere",
              { { "request", aRequest->arrival_.facts_.attemptId_ },
                { "times", std::int64_t{ aRequest->misplaced_ } } });
  if (++aRequest->misplaced_ > kMaxMisplacements) {
    GiveUp(aRequest, kDefaultRetryAfter, "no_target");
    return;
  }
  auto item = aRequest->item_;
  item.triedTargets_.push_back(aTarget);
  placements_.Submit(std::move(item), aNow);
}

auto ForwardingNode::LeadName(std::optional<RouterId> aLead) const
  -> std::string_view
{
  if (!aLead) {
    return peers_.Peers().Self().name_;
  }
  const auto peer = peers_.Peers().Peers().find(*aLead);
  return peer == peers_.Peers().Peers().end()
           ? std::string_view("unlisted")
           : std::string_view(peer->second.address_.name_);
}

auto ForwardingNode::LogSent(const Request& aRequest,
                             const StartDecision& aDecision,
                             const RegisteredTarget& aTarget,
                             Instant aNow) -> void
{
  log_->Write(
    "sent", { { "request", aRequest.arrival_.facts_.attemptId_ },
              { "attempt", std::int64_t{ aRequest.attempt_ } },
              { "target", aTarget.instance_ },
              { "account", aRequest.account_ },
              { "standing", ShareStandingName(aDecision.standing_) },
              { "placed_by", LeadName(placements_.LeadOf(aDecision.request_)) },
              { "reads", std::int64_t{ aDecision.addedLoad_.prefillTokens_ } },
              { "copies", std::int64_t{ aDecision.copyFrom_ ? 1 : 0 } },
              { "expected_ms", ToMillis(aDecision.expectedWait_) },
              { "waited_ms", ToMillis(aNow - aRequest.arrival_.received_) },
              { "version", aRequest.table_->Version() } });
}

auto ForwardingNode::Apply(const StartDecision& aDecision, Instant aNow) -> void
{
  auto* request = Find(aDecision.request_);
  const auto* target = directory_.Find(aDecision.target_);
  if (request == nullptr) {
    placements_.OnRunEnd(aDecision.request_, RunOutcome::kCancelled, aNow);
    return;
  }
  if (!IsAdmittedByQuarantine(*request, aNow)) {
    placements_.OnRunEnd(aDecision.request_, RunOutcome::kCancelled, aNow);
    EndQuarantined(request, aNow);
    return;
  }
  if (IsTargetUnavailable(aDecision.target_, aNow)) {
    RequestNewPlacement(request, aDecision.target_, aNow);
    return;
  }
  request->machine_.Process(AttemptStarted{});
  request->attemptActive_ = true;
  request->attemptBegan_ = false;
  request->answerSince_.reset();
  request->answerEvents_ = 0;
  ++request->attempt_;
  request->target_ = aDecision.target_;
  const auto* service = request->table_->FindService(request->item_.service_);
  SendAttempt send;
  send.request_ = aDecision.request_;
  send.attempt_ = request->attempt_;
  send.target_ = aDecision.target_;
  send.instance_ = target->instance_;
  send.host_ = target->host_;
  send.port_ = target->port_;
  send.account_ = request->account_;
  send.patience_ =
    request->arrival_.facts_.patience_.value_or(request->route_->timeout_) -
    (aNow - request->arrival_.received_);
  send.lastEvent_ = request->lastEvent_;
  LogSent(*request, aDecision, *target, aNow);
  const auto* source =
    aDecision.copyFrom_ ? directory_.Find(*aDecision.copyFrom_) : nullptr;
  if (source != nullptr && !directory_.IsZoneDrained(source->zone_)) {
    ++counters_.copies_;
    send.copyFrom_ = source->host_ + ':' + std::to_string(source->port_);
  }
  send.atMostOnce_ = !request->route_->IsRetryable();
  send.maxConnections_ = service == nullptr
                           ? 0
                           : std::max(4, service->maxConnections_ /
                                           std::max(1, peers_.RouterCount()));
  effects_.emplace_back(std::move(send));
}

auto ForwardingNode::RecordFailure(Request* aRequest,
                                   AttemptStage aStage,
                                   Instant aNow) -> void
{
  if (IsUnsent(aStage)) {
    ++counters_.unsentFailures_;
    if (aStage == AttemptStage::kConnectionRefused) {
      quarantine_.OnDown(aRequest->target_, aNow);
    }
    return;
  }
  const bool began = aRequest->attemptBegan_;
  ++(began ? counters_.lostInAnswer_ : counters_.lostBeforeAnswer_);
  if (aStage == AttemptStage::kInvalidResponse) {
    return;
  }
  const auto answer = AnswerSoFar(*aRequest, aNow);
  if (aStage == AttemptStage::kTimedOut && answer) {
    // A cut breaks all streams, each some time after its last event, so the age
    // tells nothing of the target.
    return;
  }
  aRequest->lostBeforeAnswer_ += began ? 0 : 1;
  aRequest->lostAnswers_.push_back(answer);
  quarantine_.OnLost(aRequest->target_, aRequest->sharedParts_, answer, aNow);
}

auto ForwardingNode::AnswerSoFar(const Request& aRequest, Instant aNow)
  -> std::optional<LostAnswer>
{
  if (!aRequest.answerSince_) {
    return std::nullopt;
  }
  return LostAnswer{ aNow - *aRequest.answerSince_, aRequest.answerEvents_ };
}

auto ForwardingNode::MayCrashTargets(const Request& aRequest) const -> bool
{
  const auto& lost = aRequest.lostAnswers_;
  const auto alike =
    std::count_if(lost.begin(), lost.end(), [&](const auto& aAnswer) {
      return (IsEarly(aAnswer) && IsEarly(lost.back())) ||
             IsLostAlike(aAnswer, lost.back());
    });
  return alike >= kMaxLostAlike ||
         (aRequest.lostBeforeAnswer_ > 0 &&
          quarantine_.IsSuspicious(aRequest.sharedParts_));
}

auto ForwardingNode::UpdateQuarantine(Instant aNow) -> void
{
  const bool isLead = peers_.Peers().IsLead();
  if (quarantine_.NeedsAnswers(aNow)) {
    ObserveAnswers(aNow);
  }
  quarantine_.Tick(isLead, aNow);
  if (quarantine_.HasChanged()) {
    EnforceQuarantine(aNow);
  }
  for (auto& change : quarantine_.TakeChangesToStore(aNow)) {
    if (isLead) {
      effects_.emplace_back(std::move(change));
    }
  }
}

auto ForwardingNode::ObserveAnswers(Instant aNow) -> void
{
  for (const auto& entry : requests_) {
    const auto& request = *entry.second;
    const auto answer = AnswerSoFar(request, aNow);
    if (request.attemptActive_ && request.attemptBegan_ && answer) {
      quarantine_.OnAnswer(request.sharedParts_,
                           { aNow, answer->age_, false, answer->events_ });
    }
  }
}

auto ForwardingNode::MayRetry(Request* aRequest,
                              AttemptStage aStage,
                              Instant aNow) -> bool
{
  auto& request = *aRequest;
  if (IsUnsent(aStage)) {
    return ++request.unsentFailures_ < kMaxUnsentFailures;
  }
  const bool isAllowed =
    request.route_->IsRetryable() &&
    request.sentAttempts_ < request.route_->maxAttempts_ &&
    (!request.responseStarted_ || request.route_->kind_ == RouteKind::kStream);
  return isAllowed && !MayCrashTargets(request) && TrySpendRetry(request, aNow);
}

auto ForwardingNode::LogAttemptFailed(const Request& aRequest,
                                      AttemptStage aStage,
                                      std::string_view aCause,
                                      bool aRetries,
                                      Instant aNow) -> void
{
  const auto parts = PartIdsText(aRequest.sharedParts_);
  const auto answer = AnswerSoFar(aRequest, aNow).value_or(LostAnswer());
  log_->Write(aRetries ? "retried" : "attempt_failed",
              { { "request", aRequest.arrival_.facts_.attemptId_ },
                { "cause", aCause },
                { "target", TargetName(aRequest.target_) },
                { "sent", std::int64_t{ IsUnsent(aStage) ? 0 : 1 } },
                { "began", std::int64_t{ aRequest.attemptBegan_ ? 1 : 0 } },
                { "answer_ms", ToMillis(answer.age_) },
                { "answer_events", std::int64_t{ answer.events_ } },
                { "attempt", std::int64_t{ aRequest.attempt_ } },
                { "last_event",
                  static_cast<std::int64_t>(aRequest.lastEvent_.value_or(0)) },
                { "route", aRequest.route_->name_ },
                { "account", aRequest.account_ },
                { "parts", parts } });
}

auto ForwardingNode::Apply(const RejectDecision& aDecision, Instant aNow)
  -> void
{
  auto* request = Find(aDecision.request_);
  if (request == nullptr) {
    return;
  }
  const auto attemptId = request->arrival_.facts_.attemptId_;
  const auto route = request->route_->name_;
  const auto account = request->account_;
  const auto waited = aNow - request->arrival_.received_;
  const std::int64_t attempts = request->sentAttempts_;
  const auto version = request->table_->Version();
  const auto reason = RejectReasonName(aDecision.reason_);
  const int status = EndWithError(request, aDecision.retryAfter_, reason);
  log_->Write("turned_away",
              { { "request", attemptId },
                { "reason", reason },
                { "status", std::int64_t{ status } },
                { "route", route },
                { "account", account },
                { "standing", ShareStandingName(aDecision.standing_) },
                { "placed_by", LeadName(aDecision.decidedBy_) },
                { "expected_ms", ToMillis(aDecision.expectedWait_) },
                { "waited_ms", ToMillis(waited) },
                { "retry_after_ms", ToMillis(aDecision.retryAfter_) },
                { "attempts", attempts },
                { "version", version } });
}

auto ForwardingNode::ExpireRequests(Instant aNow) -> void
{
  while (!deadlines_.empty() && deadlines_.begin()->first <= aNow) {
    auto* request = Find(deadlines_.begin()->second);
    CancelRun(request, aNow);
    GiveUp(request, kDefaultRetryAfter, "timed_out");
  }
}

auto ForwardingNode::LogTargetChanges() -> void
{
  for (const auto& change : directory_.TakeChanges()) {
    log_->Write(
      "target_" + std::string(change.change_),
      { { "target", change.instance_ },
        { "targets", static_cast<std::int64_t>(directory_.Size()) } });
  }
}

ForwardingNode::ForwardingNode(const ForwardingOptions& aOptions,
                               RouterAddress aSelf,
                               std::int64_t aIncarnation,
                               EventLog* aLog)
  : options_(aOptions)
  , log_(aLog)
  , dispatcher_(&directory_,
                aSelf.zone_,
                static_cast<std::uint32_t>(aIncarnation),
                aOptions.policy_,
                aSelf.id_)
  , quarantine_(aLog)
  , peers_(std::move(aSelf),
           aIncarnation,
           &config_,
           &dispatcher_,
           &quarantine_,
           &drains_,
           aLog,
           &effects_,
           aOptions.policy_)
  , placements_(&dispatcher_, &peers_.Peers(), aLog)
  , placementServer_(&dispatcher_)
  , placementStateLog_(&dispatcher_, aLog)
  , overloadController_(aOptions.policy_)
{
  dispatcher_.SetColdStartLimits(aOptions.coldStarts_);
  directory_.SetMinExpiringOutage(aOptions.minExpiringOutage_);
  dispatcher_.SetWholeHandler([this](const PartIds& aParts, Instant aNow) {
    quarantine_.OnAnswer(aParts, { aNow, 0us, true });
  });
}

auto ForwardingNode::SetOptions(const ForwardingOptions& aOptions) -> void
{
  const auto policy = options_.policy_;
  options_ = aOptions;
  options_.policy_ = policy;
  dispatcher_.SetColdStartLimits(options_.coldStarts_);
  directory_.SetMinExpiringOutage(options_.minExpiringOutage_);
}

auto ForwardingNode::OnArrival(IncomingRequest aArrival, Instant aNow) -> void
{
  ++counters_.arrived_;
  const auto id = aArrival.id_;
  auto newRequest = std::make_unique<Request>();
  auto* request = newRequest.get();
  request->arrival_ = std::move(aArrival);
  request->table_ = config_.Table();
  requests_[id] = std::move(newRequest);
  auto decision = CheckRoute(request);
  if (decision == AdmissionResult::kAdmitted) {
    decision = CheckKey(request);
  }
  request->sharedParts_ = SharedPartIds(request->arrival_.facts_.parts_);
  if (decision == AdmissionResult::kAdmitted &&
      !IsAdmittedByQuarantine(*request, aNow)) {
    decision = AdmissionResult::kQuarantined;
  }
  if (decision != AdmissionResult::kAdmitted) {
    RejectOnArrival(request, decision, aNow);
    return;
  }
  request->deadline_ = request->arrival_.received_ + TimeLimit(*request);
  deadlines_.emplace(request->deadline_, id);
  request->lastEvent_ = request->arrival_.facts_.lastEvent_;
  FillWorkItem(request);
  request->machine_.Process(ClaimAcquired{});
  retryBudgets_[request->item_.service_].CountRequest(aNow);
  if (request->deadline_ <= aNow) {
    GiveUp(request, 0us, "timed_out");
    return;
  }
  placements_.Submit(request->item_, aNow);
  TakeDecisions(aNow);
}

auto ForwardingNode::OnCallerDisconnected(RequestId aRequest, Instant aNow)
  -> void
{
  auto* request = Find(aRequest);
  if (request == nullptr) {
    return;
  }
  ++counters_.cancelled_;
  CancelRun(request, aNow);
  request->machine_.Process(CallerDisconnected{});
  Erase(*request);
}

auto ForwardingNode::OnAttemptSent(RequestId aRequest, int aAttempt) -> void
{
  auto* request = Find(aRequest);
  if (request != nullptr && request->attempt_ == aAttempt &&
      request->machine_.Process(BytesSent{})) {
    ++request->sentAttempts_;
    request->item_.triedTargets_.push_back(request->target_);
  }
}

auto ForwardingNode::OnResponseHead(RequestId aRequest,
                                    int aAttempt,
                                    Instant aNow) -> void
{
  auto* request = Find(aRequest);
  if (request == nullptr || request->attempt_ != aAttempt) {
    return;
  }
  // A stream begins with its first event.
  if (request->route_->kind_ != RouteKind::kStream) {
    request->answerSince_ = aNow;
  }
}

auto ForwardingNode::OnResponseStarted(RequestId aRequest,
                                       int aAttempt,
                                       Instant aNow) -> void
{
  auto* request = Find(aRequest);
  if (request == nullptr || request->attempt_ != aAttempt) {
    return;
  }
  request->responseStarted_ = true;
  request->attemptBegan_ = true;
  request->answerSince_ = request->answerSince_.value_or(aNow);
  placements_.OnFirstEvent(aRequest, aNow);
}

auto ForwardingNode::OnEventForwarded(RequestId aRequest, std::uint64_t aEvent)
  -> void
{
  auto* request = Find(aRequest);
  if (request != nullptr) {
    request->lastEvent_ = aEvent;
  }
}

auto ForwardingNode::OnEventsForwarded(RequestId aRequest,
                                       int aAttempt,
                                       int aCount,
                                       Instant aNow) -> void
{
  auto* request = Find(aRequest);
  if (request != nullptr && request->attempt_ == aAttempt) {
    request->answerEvents_ += aCount;
    request->gaps_.OnEvents(aNow);
  }
}

auto ForwardingNode::OnResponseComplete(RequestId aRequest,
                                        int aAttempt,
                                        bool aSuccess,
                                        Instant aNow) -> void
{
  auto* request = Find(aRequest);
  if (request == nullptr || request->attempt_ != aAttempt) {
    return;
  }
  ++counters_.whole_;
  if (aSuccess) {
    quarantine_.OnAnswer(request->sharedParts_, { aNow, 0us, true });
  }
  placements_.OnRunEnd(
    aRequest, aSuccess ? RunOutcome::kCompleted : RunOutcome::kTargetError,
    aNow);
  request->machine_.Process(EndMarkerReceived{});
  Erase(*request);
}

auto ForwardingNode::OnResponseWithheld(RequestId aRequest,
                                        int aAttempt,
                                        int aStatus,
                                        Instant aNow) -> void
{
  auto* request = Find(aRequest);
  if (request == nullptr || request->attempt_ != aAttempt) {
    return;
  }
  ++counters_.withheldAnswers_;
  placements_.OnRunEnd(aRequest, RunOutcome::kTargetError, aNow);
  request->attemptActive_ = false;
  log_->Write("answer_withheld",
              { { "request", request->arrival_.facts_.attemptId_ },
                { "target", TargetName(request->target_) },
                { "target_status", std::int64_t{ aStatus } },
                { "route", request->route_->name_ },
                { "account", request->account_ } });
  GiveUp(request, 0us, "target_error");
}

auto ForwardingNode::OnTargetNotice(RequestId aRequest,
                                    int aAttempt,
                                    const TargetNotice& aNotice,
                                    Instant aNow) -> void
{
  auto* request = Find(aRequest);
  if (request == nullptr || request->attempt_ != aAttempt) {
    return;
  }
  const auto target = request->target_;
  const bool startsLeaving =
    aNotice.isLeaving_ && directory_.MarkLeaving(target);
  if (startsLeaving) {
    peers_.ReportLeaving(target);
  }
  if (aNotice.pauseDuration_ > 0us) {
    dispatcher_.PauseTarget(target, aNow + aNotice.pauseDuration_);
    placements_.OnTargetPause(aRequest, aNotice.pauseDuration_);
  }
  if (startsLeaving || aNotice.pauseDuration_ > 0us) {
    log_->Write("target_notice",
                { { "request", request->arrival_.facts_.attemptId_ },
                  { "leaves", std::int64_t{ aNotice.isLeaving_ ? 1 : 0 } },
                  { "rest_ms", ToMillis(aNotice.pauseDuration_) } });
  }
}

auto ForwardingNode::OnAttemptRefused(RequestId aRequest,
                                      int aAttempt,
                                      Instant aNow) -> void
{
  auto* request = Find(aRequest);
  if (request == nullptr || request->attempt_ != aAttempt) {
    return;
  }
  placements_.OnRunEnd(aRequest, RunOutcome::kRefused, aNow);
  request->attemptActive_ = false;
  request->machine_.Process(RejectedBeforeRun{});
  if (request->sentAttempts_ < request->route_->maxAttempts_ &&
      TrySpendRetry(*request, aNow)) {
    ++counters_.retries_;
    log_->Write("retried", { { "request", request->arrival_.facts_.attemptId_ },
                             { "cause", "refused by target" } });
    Resubmit(request, aNow);
    TakeDecisions(aNow);
    return;
  }
  GiveUp(request, kDefaultRetryAfter, "refused_by_target");
}

auto ForwardingNode::OnAttemptFailed(RequestId aRequest,
                                     int aAttempt,
                                     AttemptStage aStage,
                                     std::string_view aCause,
                                     Instant aNow) -> void
{
  auto* request = Find(aRequest);
  if (request == nullptr || request->attempt_ != aAttempt) {
    return;
  }
  if (aStage != AttemptStage::kInvalidResponse) {
    placements_.OnTargetLost(aRequest, request->target_, aNow);
  }
  placements_.OnRunEnd(aRequest, RunOutcome::kFailed, aNow);
  request->attemptActive_ = false;
  RecordFailure(request, aStage, aNow);
  const bool canRetry = MayRetry(request, aStage, aNow);
  LogAttemptFailed(*request, aStage, aCause, canRetry, aNow);
  if (!canRetry) {
    GiveUp(request, kDefaultRetryAfter,
           IsUnsent(aStage) ? "no_connection" : "target_lost");
    return;
  }
  request->machine_.Process(AttemptInterrupted{});
  ++counters_.retries_;
  if (request->responseStarted_) {
    ++counters_.resumes_;
    request->item_.isContinuation_ = true;
  }
  Resubmit(request, aNow);
  TakeDecisions(aNow);
}

auto ForwardingNode::OnConfiguration(RouteTablePointer aTable,
                                     std::string aText,
                                     Instant aAsOf) -> void
{
  const auto version = aTable->Version();
  const auto routes = static_cast<std::int64_t>(aTable->RouteCount());
  const auto previous = config_.Table()->Version();
  const bool fromStore = aAsOf != 0us;
  const bool isNewer =
    fromStore
      ? config_.UpdateFromStore(std::move(aTable), std::move(aText), aAsOf)
      : config_.UpdateFromPeer(std::move(aTable), std::move(aText));
  if (!isNewer) {
    if (version < previous) {
      log_->Write("configuration_ignored",
                  { { "version", version }, { "in_force", previous } });
    }
    return;
  }
  dispatcher_.SetTable(config_.Table());
  peers_.OnConfigurationChanged(fromStore);
  log_->Write(
    "configuration_in_force",
    { { "version", version }, { "before", previous }, { "routes", routes } });
}

auto ForwardingNode::OnConfigurationConfirmed(Instant aAsOf) -> void
{
  config_.ConfirmFromStore(aAsOf);
}

auto ForwardingNode::OnStoreEpoch(std::optional<std::int64_t> aEpoch,
                                  Instant aNow) -> EpochOrder
{
  const auto previous = storeEpoch_.Newest();
  const auto order = storeEpoch_.Note(aEpoch);
  if (order != EpochOrder::kNewer) {
    return order;
  }
  directory_.OnStoreRestored(aNow);
  drains_.OnStoreEpoch(*aEpoch, aNow);
  config_.OnStoreRestored();
  quarantine_.StoreAgain();
  config_.DistrustStoreUntil(aNow + kRewriteGracePeriod);
  peers_.ReportGone(directory_.GoneTargets(), aNow);
  log_->Write(
    "store_epoch_changed",
    { { "before", *previous },
      { "after", *aEpoch },
      { "version_kept", config_.Table()->Version() },
      { "config_age_ms", ToMillis(aNow - config_.ConfirmedAt()) },
      { "targets_kept", static_cast<std::int64_t>(directory_.Size()) },
      { "targets_gone",
        static_cast<std::int64_t>(directory_.GoneTargets().size()) } });
  return order;
}

auto ForwardingNode::HasOlderStoreEpoch(
  const std::vector<RouterAddress>& aRouters) const -> bool
{
  const auto newest = storeEpoch_.Newest();
  return newest && std::any_of(aRouters.begin(), aRouters.end(),
                               [&](const RouterAddress& aRouter) {
                                 return aRouter.storeEpoch_ &&
                                        *aRouter.storeEpoch_ < *newest;
                               });
}

auto ForwardingNode::OnZoneDrains(const std::vector<ZoneDrainRecord>& aRecords,
                                  bool aIsSnapshot,
                                  std::int64_t aOffset,
                                  Instant aNow) -> void
{
  const StorePosition position{ storeEpoch_.Newest().value_or(0), aOffset };
  if (aIsSnapshot) {
    drains_.OnSnapshot(aRecords, position, aNow);
  } else {
    drains_.OnRecords(aRecords, position, aNow);
  }
  ApplyDrainChanges(aNow);
}

auto ForwardingNode::OnPeerDrains(const wire::ZoneDrainList& aList,
                                  Instant aNow) -> void
{
  // A list of an epoch that the store itself, or news from it, has not shown
  // would outrank all that is read.
  const auto newest = storeEpoch_.Newest();
  if (!newest || aList.storeEpoch <= *newest) {
    drains_.OnPeerList(aList, aNow);
    ApplyDrainChanges(aNow);
  }
}

auto ForwardingNode::ApplyDrainChanges(Instant aNow) -> void
{
  for (const auto& change : drains_.TakeChanges()) {
    directory_.SetZoneDrained(change.zone_, change.isDrained_);
    if (!change.isDrained_) {
      dispatcher_.OnZoneReturned(change.zone_, aNow);
    }
    peers_.OnDrainsChanged();
    log_->Write(change.isDrained_ ? "zone_drain_began" : "zone_drain_ended",
                { { "zone", change.name_ },
                  { "source", DrainSourceName(change.source_) },
                  { "store_epoch", change.position_.epoch_ },
                  { "offset", change.position_.offset_ },
                  { "targets", static_cast<std::int64_t>(
                                 directory_.InZone(change.zone_).size()) } });
  }
}

auto ForwardingNode::DrainedZoneCount() const -> std::size_t
{
  return drains_.Count();
}

auto ForwardingNode::Directory() -> TargetDirectory&
{
  return directory_;
}

auto ForwardingNode::OnStoredQuarantine(const StoredQuarantine& aQuarantine,
                                        Instant aNow) -> void
{
  quarantine_.Restore(aQuarantine, aNow);
}

auto ForwardingNode::OnRouters(const std::vector<RouterAddress>& aRouters,
                               Instant aNow) -> void
{
  const bool isFirst = !std::exchange(hasRouterList_, true);
  if (isFirst && HasOlderStoreEpoch(aRouters)) {
    // The store may return older data than the other routers know.
    config_.DistrustStoreUntil(aNow + kRewriteGracePeriod);
    acceptGoneReportsUntil_ = aNow + kRewriteGracePeriod;
    log_->Write("started_on_older_copy",
                { { "epoch", *storeEpoch_.Newest() },
                  { "hold_ms", ToMillis(kRewriteGracePeriod) } });
  }
  peers_.SetListed(aRouters, aNow);
  dispatcher_.SetColdPlacers(peers_.Peers().ListedLeads(), aNow);
}

auto ForwardingNode::TimeToRead(SharedList aList,
                                bool aIsFirstRead,
                                Instant aNow) -> Duration
{
  return peers_.TimeToRead(aList, aIsFirstRead, aNow);
}

auto ForwardingNode::OnListRead(SharedList aList,
                                bool aSuccess,
                                std::optional<wire::ListNews> aNews,
                                Instant aNow) -> void
{
  peers_.OnListRead(aList, aSuccess, std::move(aNews), aNow);
}

auto ForwardingNode::OnPeer(const wire::Envelope& aEnvelope, Instant aNow)
  -> void
{
  peers_.OnPeer(aEnvelope, aNow);
  if (aEnvelope.__isset.load && aEnvelope.load.__isset.drains) {
    OnPeerDrains(aEnvelope.load.drains, aNow);
  }
  if (aEnvelope.__isset.load) {
    for (const auto target : aEnvelope.load.leaving) {
      directory_.MarkLeaving(TargetId{ target });
    }
    if (aNow < acceptGoneReportsUntil_) {
      for (const auto target : aEnvelope.load.gone) {
        directory_.MarkGone(TargetId{ target });
      }
    }
  }
  if (aEnvelope.__isset.placement) {
    const RouterId from{ aEnvelope.sender };
    placementServer_.OnMessage(from, aEnvelope.incarnation, aEnvelope.placement,
                               aNow);
    placements_.OnMessage(from, aEnvelope.placement, aNow);
    TakeDecisions(aNow);
  }
}

auto ForwardingNode::RecordTimerLateness(Duration aLateness, Instant aNow)
  -> void
{
  const bool wasOverloaded = overloadController_.IsOverloaded();
  overloadController_.Note(aLateness, requests_.size(), aNow);
  if (overloadController_.IsOverloaded() != wasOverloaded) {
    log_->Write(
      wasOverloaded ? "overload_ended" : "overload_began",
      { { "timer_late_ms", ToMillis(aLateness) },
        { "requests_open", static_cast<std::int64_t>(requests_.size()) },
        { "refused_so_far", counters_.overloadRejections_ } });
  }
}

auto ForwardingNode::Tick(Instant aNow) -> void
{
  ExpireRequests(aNow);
  drains_.Tick(aNow);
  ApplyDrainChanges(aNow);
  directory_.Tick(aNow);
  dispatcher_.Tick(aNow);
  placements_.Tick(aNow);
  placementServer_.Tick(aNow);
  dispatcher_.RetryWaiting(aNow);
  TakeDecisions(aNow);
  UpdateQuarantine(aNow);
  peers_.Tick(aNow);
  placementStateLog_.Tick(aNow);
  LogTargetChanges();
}

auto ForwardingNode::NextWake(Instant aNow) const -> Instant
{
  auto wake = aNow + kIdleInterval;
  if (dispatcher_.WaitingCount() > 0) {
    wake = aNow + kPumpInterval;
  }
  if (!deadlines_.empty()) {
    wake = std::min(wake, deadlines_.begin()->first);
  }
  if (const auto peerWake = peers_.NextWake()) {
    wake = std::min(wake, *peerWake);
  }
  if (const auto placementWake = placements_.NextWake()) {
    wake = std::min(wake, *placementWake);
  }
  return wake;
}

auto ForwardingNode::Stop() -> void
{
  stopping_ = true;
  peers_.SetLeaving();
}

auto ForwardingNode::SetAdmissionMode(AdmissionMode aMode) -> void
{
  admissionMode_ = aMode;
}

auto ForwardingNode::SetExit(Instant aAt) -> void
{
  exitAt_ = aAt;
}

auto ForwardingNode::TakeEffects() -> ForwardingEffects
{
  peers_.SendPlacements(placements_.TakeMessages());
  peers_.SendPlacements(placementServer_.TakeMessages());
  return std::exchange(effects_, {});
}

auto ForwardingNode::IsReady() const -> bool
{
  return !stopping_ && config_.IsKnown() && directory_.Size() > 0 &&
         overloadController_.AcceptsConnections();
}

auto ForwardingNode::IsStopping() const -> bool
{
  return stopping_;
}

auto ForwardingNode::IsOverloaded() const -> bool
{
  return overloadController_.IsOverloaded();
}

auto ForwardingNode::RequestCount() const -> std::size_t
{
  return requests_.size();
}

auto ForwardingNode::Table() const -> const RouteTablePointer&
{
  return config_.Table();
}

auto ForwardingNode::ConfigAge(Instant aNow) const -> Duration
{
  return aNow - config_.ConfirmedAt();
}

auto ForwardingNode::Counters() const -> const ForwardingCounters&
{
  return counters_;
}

auto ForwardingNode::WorkDispatcher() const -> const Dispatcher&
{
  return dispatcher_;
}

auto ForwardingNode::Placements() const -> const PlacementClient&
{
  return placements_;
}

auto ForwardingNode::PlacementsForOthers() const -> const PlacementServer&
{
  return placementServer_;
}

auto ForwardingNode::Peers() const -> const PeerTable&
{
  return peers_.Peers();
}

auto ForwardingNode::Quarantine() const -> const PartQuarantine&
{
  return quarantine_;
}

auto ForwardingNode::AccountOf(RequestId aRequest) const -> std::string_view
{
  const auto found = requests_.find(aRequest);
  return found == requests_.end() ? std::string_view()
                                  : found->second->account_;
}

auto ForwardingNode::RouteOf(RequestId aRequest) const -> const RouteObject*
{
  const auto found = requests_.find(aRequest);
  return found == requests_.end() ? nullptr : found->second->route_;
}

} // namespace burdockring
