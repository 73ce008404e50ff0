#include "process/node/router_node.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

constexpr Duration kConfigRequestInterval = 500ms;
/// After a longer gap between ticks the process is taken to have been paused.
constexpr Duration kMaxTickGap = 500ms;
constexpr Duration kMinRetryAfter = 1s;
constexpr Duration kMaxRetryAfter = 30s;
constexpr int kQueuedPerRetrySecond = 50;
/// Messages of the router to itself are exhausted within a few rounds.
constexpr int kMaxLoopbackRounds = 8;

} // namespace

auto RouterNode::On(const TickEvent& /*aEvent*/) -> void
{
  if (time_.now_ - lastTick_ > kMaxTickGap && lastTick_ > 0us) {
    // Grants issued before the pause may no longer be valid.
    schedulers_.Clear();
  }
  lastTick_ = time_.now_;
  SendHeartbeats();
  ReportPeerChanges();
  RefreshLeaving();
  RefreshSchedulers();
  for (auto& entry : pools_) {
    entry.second.Tick(time_.now_);
  }
  ExpireQueues();
  for (auto& order :
       claims_.Tick(time_.now_, time_.wall_, peers_.LiveCount())) {
    effects_.emplace_back(
      AppendToLog{ order.token_, EncodeRecords(order.records_) });
  }
  RequestNewerConfig();
  WriteSnapshot();
}

auto RouterNode::On(const RequestArrived& aEvent) -> void
{
  ++counters_.accepted_;
  const auto rejection = CheckAdmission(aEvent);
  if (rejection != ResponseCode::kNone) {
    CountResponse(RunState::kNotRun);
    const bool isPermanent = rejection == ResponseCode::kUnknownService ||
                             rejection == ResponseCode::kUnauthorized;
    effects_.emplace_back(RespondToCaller{
      aEvent.id_,
      MakeResponse(rejection,
                   isPermanent ? 0us : RetryAfter(aEvent.service_)) });
    return;
  }
  RequestRecord record;
  record.arrival_ = aEvent;
  record.set_ = config_.Current().set_;
  const auto& service = record.set_->services_.at(aEvent.service_);
  record.hasKey_ = !aEvent.key_.empty();
  record.isRetryable_ =
    !record.hasKey_ && aEvent.idempotent_ && service.idempotent_;
  record.arrivedAt_ = time_.now_;
  record.deadline_ =
    time_.now_ + std::min(service.queueTimeout_,
                          aEvent.queueTimeout_.value_or(service.queueTimeout_));
  auto& stored = requests_.Add(std::move(record));
  if (!stored.hasKey_) {
    stored.machine_.Process(ClaimAcquired{});
    Enqueue(&stored, false);
    return;
  }
  const auto response = claims_.Begin(aEvent.id_, aEvent.account_, aEvent.key_,
                                      time_.wall_, time_.now_);
  if (response) {
    stored.machine_.Process(GivenUp{});
    Finish(&stored, *response);
  }
}

auto RouterNode::On(const CallerGone& aEvent) -> void
{
  auto* record = requests_.Find(aEvent.id_);
  if (record == nullptr) {
    return;
  }
  const auto giveUp = record->machine_.GiveUpState();
  if (requests_.FindAttempt(aEvent.id_, record->attempt_) != nullptr) {
    effects_.emplace_back(CancelAttempt{ aEvent.id_, record->attempt_ });
    EndAttempt(record, {});
  } else {
    GetPool(record->arrival_.service_).Remove(aEvent.id_);
  }
  record->machine_.Process(CallerDisconnected{});
  claims_.Finish(aEvent.id_,
                 giveUp == RunState::kNotRun ? OutcomeKind::kNotRun
                                             : OutcomeKind::kUnknown,
                 0, {});
  requests_.Erase(aEvent.id_);
}

auto RouterNode::On(const AttemptSent& aEvent) -> void
{
  auto* record = requests_.FindAttempt(aEvent.id_, aEvent.attempt_);
  if (record != nullptr && record->machine_.Process(BytesSent{})) {
    ++record->sentAttempts_;
  }
}

auto RouterNode::On(const AttemptProgress& aEvent) -> void
{
  auto* record = requests_.FindAttempt(aEvent.id_, aEvent.attempt_);
  if (record == nullptr) {
    return;
  }
  record->tokens_ = std::max(record->tokens_, aEvent.tokens_);
  // Progress does not tell how many tokens are still to come, so the full
  // estimate is charged for the remainder until the end marker arrives.
  const double cost =
    aEvent.tokens_ - record->attemptStartTokens_ + record->estimatedTokens_;
  GetPool(record->arrival_.service_)
    .Charge(record->zone_, record->arrival_.account_,
            cost - record->chargedTokens_);
  record->chargedTokens_ = cost;
}

auto RouterNode::On(const AttemptEnded& aEvent) -> void
{
  auto* record = requests_.FindAttempt(aEvent.id_, aEvent.attempt_);
  if (record == nullptr || !record->machine_.Process(EndMarkerReceived{})) {
    return;
  }
  const auto tokens =
    std::max(0.0, aEvent.tokens_ - record->attemptStartTokens_);
  auto& pool = GetPool(record->arrival_.service_);
  pool.Charge(record->zone_, record->arrival_.account_,
              tokens - record->chargedTokens_);
  record->chargedTokens_ = tokens;
  pool.AddCostSample(record->arrival_.account_, aEvent.tokens_);
  TargetStats sighting;
  sighting.ended_ = 1;
  if (tokens >= 1.0) {
    sighting.timePerToken_ = std::chrono::duration_cast<Duration>(
      (time_.now_ - record->attemptStart_) / tokens);
  }
  EndAttempt(record, sighting);
  claims_.Finish(aEvent.id_, OutcomeKind::kDone, aEvent.status_, aEvent.body_);
  Finish(record, Response{});
}

auto RouterNode::On(const AttemptRefused& aEvent) -> void
{
  auto* record = requests_.FindAttempt(aEvent.id_, aEvent.attempt_);
  if (record == nullptr || !record->machine_.Process(RejectedBeforeRun{})) {
    return;
  }
  --record->sentAttempts_;
  if (aEvent.leaving_) {
    AddLeavingTarget(record->target_);
  }
  TargetStats sighting;
  sighting.refused_ = aEvent.leaving_ ? 0 : 1;
  EndAttempt(record, sighting);
  Enqueue(record, true);
}

auto RouterNode::On(const AttemptFailed& aEvent) -> void
{
  auto* record = requests_.FindAttempt(aEvent.id_, aEvent.attempt_);
  if (record == nullptr) {
    return;
  }
  const auto state = record->machine_.State();
  const bool sent =
    state == RequestState::kRunning || state == RequestState::kRerunning;
  TargetStats sighting;
  sighting.failed_ = 1;
  EndAttempt(record, sighting);
  RetryOrGiveUp(record,
                aEvent.isTimeout_ ? ResponseCode::kTargetSilent
                                  : ResponseCode::kTargetLost,
                sent);
}

auto RouterNode::On(const PeerReceived& aEvent) -> void
{
  ++counters_.peerMessagesIn_;
  OnEnvelope(aEvent.envelope_);
}

auto RouterNode::On(const AppendReplied& aEvent) -> void
{
  claims_.OnAppendReply(aEvent.token_, aEvent.isAcknowledged_, time_.now_);
}

auto RouterNode::On(const LogRead& aEvent) -> void
{
  const auto before = config_.Current().version_;
  config_.BeginRead(aEvent.first_);
  for (const auto& entry : aEvent.entries_) {
    const auto records = DecodeRecords(entry.payload_);
    if (!records.ok()) {
      ++counters_.malformedRecords_;
      continue;
    }
    for (const auto& record : *records) {
      ApplyRecord(entry.offset_, record);
    }
  }
  config_.EndRead(aEvent.next_);
  claims_.OnLogRead(aEvent.atEnd_, time_.now_);
  if (config_.Current().version_ != before) {
    ApplyConfig();
  }
}

auto RouterNode::On(const VmListRead& aEvent) -> void
{
  peers_.SetListed(aEvent.routers_, time_.now_);
  leaving_.SetListed(aEvent.leavingTargets_);
  RefreshLeaving();
}

auto RouterNode::On(const StopRequested& /*aEvent*/) -> void
{
  if (stopping_) {
    return;
  }
  stopping_ = true;
  peers_.SetLeaving();
  effects_.emplace_back(
    StateChanged{ "node", peers_.Self().name_, "stopping" });
  SendHeartbeats();
}

auto RouterNode::OnEnvelope(const wire::Envelope& aEnvelope) -> void
{
  const RouterId from{ aEnvelope.sender };
  if (aEnvelope.__isset.heartbeat) {
    peers_.OnHeartbeat(from, aEnvelope.incarnation, aEnvelope.heartbeat,
                       time_.now_);
    for (const auto target : aEnvelope.heartbeat.leavingTargets) {
      AddLeavingTarget(TargetId{ target });
    }
  }
  if (aEnvelope.__isset.demand) {
    schedulers_.OnReport(from, aEnvelope.incarnation, aEnvelope.demand,
                         time_.now_);
  }
  if (aEnvelope.__isset.grants) {
    const auto found = pools_.find(ServiceId{ aEnvelope.grants.serviceId });
    if (found != pools_.end()) {
      found->second.OnGrants(from, aEnvelope.grants, time_.now_);
    }
  }
  if (aEnvelope.__isset.exchange) {
    schedulers_.OnExchange(aEnvelope.incarnation, aEnvelope.exchange,
                           time_.now_);
  }
  if (aEnvelope.__isset.configOffer) {
    OnConfigOffer(aEnvelope.configOffer);
  }
  if (aEnvelope.__isset.configRequest &&
      aEnvelope.configRequest.haveVersion < config_.Current().version_) {
    const auto& current = config_.Current();
    wire::Envelope reply;
    reply.__isset.configOffer = true;
    reply.configOffer.version = current.version_;
    reply.configOffer.judgedTo = config_.DecidedTo();
    reply.configOffer.changeId = current.changeId_;
    reply.configOffer.text = current.text_;
    Send(from, std::move(reply));
  }
}

auto RouterNode::OnConfigOffer(const wire::ConfigOffer& aOffer) -> void
{
  if (config_.ApplyPeerVersion(aOffer.version, aOffer.judgedTo, aOffer.changeId,
                               aOffer.text)) {
    ApplyConfig();
  }
}

auto RouterNode::ApplyRecord(LogOffset aOffset, const LogRecord& aRecord)
  -> void
{
  if (const auto* change = std::get_if<ConfigChange>(&aRecord)) {
    const auto verdict = config_.Apply(aOffset, *change);
    effects_.emplace_back(StateChanged{ "config",
                                        change->changeId_.substr(0, 12),
                                        std::string(ResultName(verdict)) });
  } else if (const auto* snapshot = std::get_if<ConfigSnapshot>(&aRecord)) {
    config_.Apply(aOffset, *snapshot);
    lastSnapshot_ = time_.now_;
  } else if (const auto* claim = std::get_if<ClaimRecord>(&aRecord)) {
    claims_.Apply(*claim);
  } else if (const auto* outcome = std::get_if<OutcomeRecord>(&aRecord)) {
    claims_.Apply(*outcome);
  }
}

auto RouterNode::ApplyConfig() -> void
{
  const auto& current = config_.Current();
  for (const auto& entry : current.set_->services_) {
    GetPool(entry.first);
  }
  for (auto& entry : pools_) {
    entry.second.Configure(current.set_);
  }
  schedulers_.Configure(*current.set_);
  RefreshLeaving();
  schedulers_.Invalidate();
  RefreshSchedulers();
  effects_.emplace_back(ConfigInForce{ current });
}

auto RouterNode::AddLeavingTarget(TargetId aTarget) -> void
{
  if (leaving_.AddReported(aTarget, time_.now_)) {
    RefreshLeaving();
  }
}

auto RouterNode::RefreshLeaving() -> void
{
  if (!leaving_.Refresh(*config_.Current().set_, time_.now_)) {
    return;
  }
  effects_.emplace_back(StateChanged{ "targets", "leaving",
                                      std::to_string(leaving_.All().size()) });
  for (auto& entry : pools_) {
    entry.second.SetLeaving(leaving_.All());
  }
  schedulers_.SetLeaving(leaving_.All());
}

auto RouterNode::RefreshSchedulers() -> void
{
  for (auto& name : schedulers_.Refresh(&pools_, *config_.Current().set_,
                                        leaving_.All(), time_.now_)) {
    effects_.emplace_back(
      StateChanged{ "scheduler", std::move(name), "started" });
  }
}

auto RouterNode::ReportPeerChanges() -> void
{
  for (const auto& change : peers_.TakeChanges()) {
    const auto found = peers_.Peers().find(change.router_);
    const auto name = found == peers_.Peers().end()
                        ? std::to_string(change.router_.value_)
                        : found->second.address_.name_;
    effects_.emplace_back(
      StateChanged{ "peer", name, std::string(PeerStateName(change.to_)) });
    if (change.to_ == PeerState::kDead) {
      schedulers_.RemoveRouter(change.router_, time_.now_);
    }
  }
  for (const auto router : peers_.TakeProbes()) {
    effects_.emplace_back(ProbePeer{ router });
  }
}

auto RouterNode::SendHeartbeats() -> void
{
  for (auto& addressed : peers_.Tick(time_.now_, config_.Current().version_)) {
    wire::Envelope envelope;
    envelope.heartbeat = std::move(addressed.heartbeat_);
    for (const auto& entry : leaving_.Reported()) {
      envelope.heartbeat.leavingTargets.push_back(entry.first.value_);
    }
    envelope.__isset.heartbeat = true;
    Send(addressed.router_, std::move(envelope));
  }
}

auto RouterNode::RequestNewerConfig() -> void
{
  if (time_.now_ - lastConfigRequest_ < kConfigRequestInterval) {
    return;
  }
  lastConfigRequest_ = time_.now_;
  const auto ownVersion = config_.Current().version_;
  for (const auto& entry : peers_.Peers()) {
    if (entry.second.configVersion_ <= ownVersion ||
        !peers_.IsLive(entry.first)) {
      continue;
    }
    wire::Envelope envelope;
    envelope.__isset.configRequest = true;
    envelope.configRequest.haveVersion = ownVersion;
    Send(entry.first, std::move(envelope));
    return;
  }
}

auto RouterNode::WriteSnapshot() -> void
{
  const auto& current = config_.Current();
  if (!config_.IsSynchronized() || current.version_ == 0 ||
      !claims_.IsLogUsable(time_.now_)) {
    return;
  }
  if (time_.now_ - lastSnapshot_ < options_.snapshotInterval_) {
    return;
  }
  // The interval grows with a router's rank, so that a router writes a snapshot
  // only if those ranked before it have not.
  int rank = 0;
  for (const auto& entry : peers_.Peers()) {
    if (peers_.IsLive(entry.first) && entry.first < peers_.Self().id_) {
      ++rank;
    }
  }
  const auto due = options_.snapshotInterval_ * (10 + rank) / 10;
  if (time_.now_ - lastSnapshot_ < due) {
    return;
  }
  lastSnapshot_ = time_.now_;
  claims_.QueueRecord(ConfigSnapshot{ current.version_, config_.DecidedTo(),
                                      current.changeId_, current.text_ });
}

auto RouterNode::ProcessPending() -> void
{
  ApplyClaimVerdicts();
  for (int round = 0; round < kMaxLoopbackRounds; ++round) {
    DispatchAll();
    SendReports();
    RunSchedulers();
    if (!DeliverLoopback()) {
      return;
    }
  }
}

auto RouterNode::ApplyClaimVerdicts() -> void
{
  for (const auto& verdict : claims_.TakeResults()) {
    auto* record = requests_.Find(verdict.request_);
    if (record == nullptr) {
      continue;
    }
    if (verdict.isAcquired_) {
      record->machine_.Process(ClaimAcquired{});
      Enqueue(record, false);
      continue;
    }
    record->machine_.Process(GivenUp{});
    Finish(record, verdict.response_);
  }
}

auto RouterNode::ExpireQueues() -> void
{
  for (auto& entry : pools_) {
    for (const auto request : entry.second.PopExpired(time_.now_)) {
      auto* record = requests_.Find(request);
      if (record != nullptr) {
        GiveUp(record, record->sentAttempts_ > 0
                         ? ResponseCode::kAttemptsExhausted
                         : ResponseCode::kQueueTimeout);
      }
    }
  }
}

auto RouterNode::DispatchAll() -> void
{
  for (auto& entry : pools_) {
    for (const auto& order : entry.second.Dispatch(time_.now_)) {
      StartAttemptOn(order);
    }
  }
}

auto RouterNode::RunSchedulers() -> void
{
  for (auto& message : schedulers_.Run(time_.now_)) {
    Send(message.router_, std::move(message.envelope_));
  }
}

auto RouterNode::SendReports() -> void
{
  for (auto& entry : pools_) {
    for (auto& addressed : entry.second.TakeReports(time_.now_)) {
      wire::Envelope envelope;
      envelope.__isset.demand = true;
      envelope.demand = std::move(addressed.report_);
      Send(addressed.scheduler_, std::move(envelope));
    }
  }
}

auto RouterNode::DeliverLoopback() -> bool
{
  auto messages = std::exchange(loopback_, {});
  for (const auto& message : messages) {
    OnEnvelope(message);
  }
  return !messages.empty();
}

auto RouterNode::Send(RouterId aRouter, wire::Envelope aEnvelope) -> void
{
  aEnvelope.sender = peers_.Self().id_.value_;
  aEnvelope.incarnation = incarnation_;
  if (aRouter == peers_.Self().id_) {
    loopback_.push_back(std::move(aEnvelope));
    return;
  }
  ++counters_.peerMessagesOut_;
  effects_.emplace_back(SendToPeer{ aRouter, std::move(aEnvelope) });
}

auto RouterNode::Enqueue(RequestRecord* aRecord, bool aAtFront) -> void
{
  const auto& arrival = aRecord->arrival_;
  const WaitingRequest waiting{ arrival.id_, arrival.class_, time_.now_,
                                aRecord->deadline_ };
  auto& pool = GetPool(arrival.service_);
  if (aAtFront) {
    pool.PushFront(arrival.account_, waiting);
  } else {
    pool.Push(arrival.account_, waiting, arrival.outputTokensHint_);
  }
}

auto RouterNode::StartAttemptOn(const DispatchOrder& aOrder) -> void
{
  auto* record = requests_.Find(aOrder.request_);
  if (record == nullptr) {
    return;
  }
  const auto& targets = config_.Current().set_->targets_;
  const auto target = targets.find(aOrder.target_);
  if (target == targets.end()) {
    // The slot belongs to a target that a newer configuration has removed.
    AddLeavingTarget(aOrder.target_);
    auto& pool = GetPool(record->arrival_.service_);
    pool.Charge(aOrder.zone_, aOrder.account_, -aOrder.chargedTokens_);
    pool.EndAttempt(aOrder.zone_, aOrder.target_, {}, time_.now_);
    Enqueue(record, true);
    return;
  }
  record->machine_.Process(AttemptStarted{});
  ++record->attempt_;
  record->attemptStart_ = time_.now_;
  record->target_ = aOrder.target_;
  record->zone_ = aOrder.zone_;
  record->chargedTokens_ = aOrder.chargedTokens_;
  record->estimatedTokens_ = aOrder.chargedTokens_;
  record->attemptStartTokens_ = record->tokens_;
  const auto& service = record->set_->services_.at(record->arrival_.service_);
  if (record->attempt_ == 1) {
    budgets_[service.id_].CountRequest();
  }
  effects_.emplace_back(
    StartAttempt{ aOrder.request_, record->attempt_, aOrder.target_,
                  record->tokens_, service.kind_, target->second.host_,
                  target->second.port_, service.progressTimeout_ });
}

auto RouterNode::EndAttempt(RequestRecord* aRecord,
                            const TargetStats& aSighting) -> void
{
  auto& pool = GetPool(aRecord->arrival_.service_);
  const bool ended = aSighting.ended_ > 0;
  if (!ended) {
    // Charges only the tokens produced and refunds the estimate.
    const double produced =
      std::max(0, aRecord->tokens_ - aRecord->attemptStartTokens_);
    pool.Charge(aRecord->zone_, aRecord->arrival_.account_,
                produced - aRecord->chargedTokens_);
    aRecord->chargedTokens_ = produced;
  }
  pool.EndAttempt(aRecord->zone_, aRecord->target_, aSighting, time_.now_);
}

auto RouterNode::RetryOrGiveUp(RequestRecord* aRecord,
                               ResponseCode aCode,
                               bool aSent) -> void
{
  const auto& service = aRecord->set_->services_.at(aRecord->arrival_.service_);
  if (!aSent) {
    aRecord->machine_.Process(AttemptInterrupted{});
    Enqueue(aRecord, true);
    return;
  }
  if (!aRecord->isRetryable_) {
    GiveUp(aRecord, aCode);
    return;
  }
  if (aRecord->sentAttempts_ >= service.maxAttempts_ ||
      !budgets_[service.id_].TrySpend()) {
    GiveUp(aRecord, ResponseCode::kAttemptsExhausted);
    return;
  }
  ++counters_.retries_;
  aRecord->machine_.Process(AttemptInterrupted{});
  Enqueue(aRecord, true);
}

auto RouterNode::GiveUp(RequestRecord* aRecord, ResponseCode aCode) -> void
{
  auto response = MakeResponse(aCode, RetryAfter(aRecord->arrival_.service_));
  response.runState_ = aRecord->machine_.GiveUpState();
  aRecord->machine_.Process(GivenUp{});
  claims_.Finish(aRecord->arrival_.id_,
                 response.runState_ == RunState::kNotRun
                   ? OutcomeKind::kNotRun
                   : OutcomeKind::kUnknown,
                 0, {});
  Finish(aRecord, response);
}

auto RouterNode::Finish(RequestRecord* aRecord, const Response& aResponse)
  -> void
{
  CountResponse(aResponse.runState_);
  const auto id = aRecord->arrival_.id_;
  effects_.emplace_back(RespondToCaller{ id, aResponse });
  requests_.Erase(id);
}

auto RouterNode::CheckAdmission(const RequestArrived& aEvent) -> ResponseCode
{
  if (config_.Current().version_ == 0) {
    return ResponseCode::kNotReady;
  }
  const auto& set = *config_.Current().set_;
  const auto account = set.accounts_.find(aEvent.account_);
  if (account == set.accounts_.end()) {
    return ResponseCode::kUnauthorized;
  }
  if (!set.services_.contains(aEvent.service_)) {
    return ResponseCode::kUnknownService;
  }
  const auto waiting = GetPool(aEvent.service_).Waiting(aEvent.account_);
  return waiting >= account->second.maxWaiting_ ? ResponseCode::kQueueFull
                                                : ResponseCode::kNone;
}

auto RouterNode::RetryAfter(ServiceId aService) const -> Duration
{
  const auto found = pools_.find(aService);
  const auto waiting = found == pools_.end() ? 0 : found->second.TotalWaiting();
  return std::clamp<Duration>(std::chrono::seconds(waiting) /
                                kQueuedPerRetrySecond,
                              kMinRetryAfter, kMaxRetryAfter);
}

auto RouterNode::CountResponse(RunState aState) -> void
{
  switch (aState) {
    case RunState::kWhole:
      ++counters_.whole_;
      break;
    case RunState::kNotRun:
      ++counters_.notRun_;
      break;
    case RunState::kUnknown:
    case RunState::kRunning:
      ++counters_.unknown_;
      break;
  }
}

auto RouterNode::GetPool(ServiceId aService) -> ServicePool&
{
  const auto& self = peers_.Self();
  return pools_
    .try_emplace(aService, &options_.sharing_, aService, self.zone_, self.id_)
    .first->second;
}

RouterNode::RouterNode(const NodeOptions& aOptions,
                       RouterAddress aSelf,
                       std::int64_t aIncarnation)
  : options_(aOptions)
  , incarnation_(aIncarnation)
  , peers_(std::move(aSelf), aIncarnation)
  , schedulers_(&options_.sharing_, &peers_)
  , claims_(aOptions.claims_,
            peers_.Self().id_,
            aIncarnation,
            [this](const AttemptId& aOwner) {
              return peers_.IsLive(aOwner.router_) &&
                     peers_.IncarnationOf(aOwner.router_) ==
                       aOwner.incarnation_;
            })
{
}

auto RouterNode::Handle(const NodeEvent& aEvent, NodeTime aTime) -> NodeEffects
{
  time_ = aTime;
  std::visit([this](const auto& aTyped) { On(aTyped); }, aEvent);
  ProcessPending();
  return std::exchange(effects_, {});
}

auto RouterNode::IsReady() const -> bool
{
  return !stopping_ && config_.Current().version_ > 0;
}

auto RouterNode::IsStopping() const -> bool
{
  return stopping_;
}

auto RouterNode::IsDrained() const -> bool
{
  return stopping_ && requests_.Size() == 0;
}

auto RouterNode::IsLogUsable() const -> bool
{
  return claims_.IsLogUsable(time_.now_);
}

auto RouterNode::Config() const -> const ConfigReplica&
{
  return config_;
}

auto RouterNode::Peers() const -> const PeerTable&
{
  return peers_;
}

auto RouterNode::Pools() const -> const std::map<ServiceId, ServicePool>&
{
  return pools_;
}

auto RouterNode::Counters() const -> const NodeCounters&
{
  return counters_;
}

auto RouterNode::LeavingTargets() const -> const std::set<TargetId>&
{
  return leaving_.All();
}

auto RouterNode::Claims() const -> const ClaimCoordinator&
{
  return claims_;
}

auto RouterNode::RequestCount() const -> std::size_t
{
  return requests_.Size();
}

auto RouterNode::Scheduler(ZoneId aZone, ServiceId aService) const
  -> const ZoneScheduler*
{
  return schedulers_.Find(aZone, aService);
}

} // namespace burdockring
