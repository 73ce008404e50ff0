#include "process/forwarding/forwarding_node.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockring {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// Connections that may fail before any byte is written, for one request.
constexpr int kMaxUnsentFailures = 3;
/// Placements of one request that this router gives back before it gives up.
constexpr int kMaxMisplaced = 3;
/// Margin within the bound on the freshness of keys, for clock rates.
constexpr Duration kFreshnessMargin = 250ms;
/// How soon a caller may come back when this router knows too little.
constexpr Duration kSoon = 700ms;
/// The same where any other router can serve the caller.
constexpr Duration kAtOnce = 50ms;
/// How often waiting requests are looked at again.
constexpr Duration kPumpInterval = 5ms;
/// How often beliefs about peers and targets are looked at.
constexpr Duration kIdleInterval = 50ms;
/// Output that is assumed where the caller gives no estimate, in tokens.
constexpr int kDefaultOutputTokens = 64;

/// What a refusal on arrival says.
struct VerdictRow
{
  ArrivalVerdict verdict_;
  std::string_view name_;
  int status_;
  Duration retryAfter_;
};

constexpr std::array kVerdictTable{
  VerdictRow{ ArrivalVerdict::kTaken, "taken", 0, 0us },
  VerdictRow{ ArrivalVerdict::kNoConfiguration, "no_configuration",
              kUnavailable, kSoon },
  VerdictRow{ ArrivalVerdict::kStale, "stale_configuration", kUnavailable,
              kSoon },
  VerdictRow{ ArrivalVerdict::kNoRoute, "no_route", kNotFound, 0us },
  VerdictRow{ ArrivalVerdict::kUnknownKey, "unknown_key", kUnauthorized, 0us },
  VerdictRow{ ArrivalVerdict::kOverloaded, "overloaded", kUnavailable,
              kAtOnce },
  VerdictRow{ ArrivalVerdict::kStopping, "stopping", kUnavailable, kAtOnce },
};

auto VerdictRowOf(ArrivalVerdict aVerdict) -> const VerdictRow&
{
  return kVerdictTable.at(static_cast<std::size_t>(aVerdict));
}

auto ToMillis(Duration aDuration) -> std::int64_t
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

auto ForwardingNode::Find(RequestId aRequest) -> Request*
{
  const auto found = requests_.find(aRequest);
  return found == requests_.end() ? nullptr : found->second.get();
}

auto ForwardingNode::Erase(const Request& aRequest) -> void
{
  const auto id = aRequest.arrival_.id_;
  deadlines_.erase({ aRequest.deadline_, id });
  requests_.erase(id);
}

auto ForwardingNode::CheckRoute(Request* aRequest) -> ArrivalVerdict
{
  auto& request = *aRequest;
  if (!config_.IsKnown()) {
    return ArrivalVerdict::kNoConfiguration;
  }
  request.route_ =
    request.table_->FindRoute(request.arrival_.host_, request.arrival_.target_);
  if (request.route_ == nullptr) {
    // A newer version may have what this one lacks, so "not there" also needs
    // knowledge that is fresh.
    return IsFresh(request) ? ArrivalVerdict::kNoRoute : ArrivalVerdict::kStale;
  }
  // The request is among the open ones already.
  if (!capacity_.Admits(requests_.size() - 1)) {
    ++counters_.overloads_;
    return ArrivalVerdict::kOverloaded;
  }
  const bool isStream = request.route_->kind_ == RouteKind::kStream;
  if (intake_ == Intake::kNone || (intake_ == Intake::kNoStreams && isStream)) {
    return ArrivalVerdict::kStopping;
  }
  return ArrivalVerdict::kTaken;
}

auto ForwardingNode::CheckKey(Request* aRequest) -> ArrivalVerdict
{
  auto& request = *aRequest;
  const auto& table = *request.table_;
  if (request.route_->public_ || !table.HasAccounts()) {
    return ArrivalVerdict::kTaken;
  }
  if (!IsFresh(request)) {
    ++counters_.staleKeys_;
    return ArrivalVerdict::kStale;
  }
  const auto* account = table.FindAccount(request.arrival_.facts_.key_);
  if (account == nullptr) {
    return ArrivalVerdict::kUnknownKey;
  }
  request.account_ = account->name_;
  request.item_.account_ = account->id_;
  return ArrivalVerdict::kTaken;
}

auto ForwardingNode::IsFresh(const Request& aRequest) const -> bool
{
  return config_.IsFresh(aRequest.arrival_.received_,
                         options_.keyFreshness_ - kFreshnessMargin);
}

auto ForwardingNode::SpendRetry(const Request& aRequest, Instant aNow) -> bool
{
  return options_.policy_.Has(Mechanism::kRetries) &&
         allowances_[aRequest.item_.service_].Spend(options_.retries_,
                                                    peers_.RouterCount(), aNow);
}

auto ForwardingNode::RefuseArrival(Request* aRequest,
                                   ArrivalVerdict aVerdict,
                                   Instant aNow) -> void
{
  const auto& row = VerdictRowOf(aVerdict);
  log_->Write("refused",
              { { "request", aRequest->arrival_.facts_.attemptId_ },
                { "reason", row.name_ },
                { "status", std::int64_t{ row.status_ } },
                { "version", aRequest->table_->Version() },
                { "age_ms", ToMillis(aNow - config_.AsOf()) },
                { "open", static_cast<std::int64_t>(requests_.size() - 1) } });
  ++counters_.turnedAway_;
  Refuse(aRequest, row.status_, row.retryAfter_, row.name_);
}

auto ForwardingNode::FillItem(Request* aRequest) const -> void
{
  const auto& arrival = aRequest->arrival_;
  const auto& route = *aRequest->route_;
  auto& item = aRequest->item_;
  item.id_ = arrival.id_;
  item.service_ = ChooseService(route, arrival.facts_.attemptId_);
  item.arrival_ = arrival.received_;
  item.aim_ = route.aim_;
  item.deadline_ = aRequest->deadline_;
  item.promptTokens_ = arrival.facts_.promptTokens_;
  item.parts_ = arrival.facts_.parts_;
  const int hint = arrival.facts_.hintTokens_.value_or(kDefaultOutputTokens);
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

auto ForwardingNode::Refuse(Request* aRequest,
                            int aStatus,
                            Duration aRetryAfter,
                            std::string_view aCode) -> void
{
  aRequest->machine_.Process(GivenUp{});
  effects_.emplace_back(RefuseCaller{ aRequest->arrival_.id_, aStatus,
                                      aRetryAfter, std::string(aCode) });
  Erase(*aRequest);
}

auto ForwardingNode::End(Request* aRequest,
                         Duration aRetryAfter,
                         std::string_view aCode) -> int
{
  const bool notRun = aRequest->machine_.GiveUpState() == RunState::kNotRun;
  ++(notRun ? counters_.turnedAway_ : counters_.unknown_);
  const int status = notRun                 ? kUnavailable
                     : aCode == "timed_out" ? kGatewayTimeout
                                            : kBadGateway;
  Refuse(aRequest, status, notRun ? aRetryAfter : 0us, aCode);
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
  const int status = End(aRequest, aRetryAfter, aCode);
  log_->Write("given_up", { { "request", attemptId },
                            { "code", aCode },
                            { "status", std::int64_t{ status } },
                            { "state", state },
                            { "attempts", attempts },
                            { "version", version } });
}

auto ForwardingNode::StopRun(Request* aRequest, Instant aNow) -> void
{
  const auto id = aRequest->arrival_.id_;
  if (aRequest->attempting_) {
    effects_.emplace_back(StopAttempt{ id, aRequest->attempt_ });
    placements_.OnRunEnd(id, RunEnd::kCancelled, aNow);
    aRequest->attempting_ = false;
  } else {
    placements_.Withdraw(id);
  }
}

auto ForwardingNode::TryAgain(Request* aRequest, Instant aNow) -> void
{
  auto& item = aRequest->item_;
  // A further attempt has its own time to find room.
  item.arrival_ = aNow;
  placements_.Submit(item, aNow);
}

auto ForwardingNode::TakeVerdicts(Instant aNow) -> void
{
  // Applying a verdict may lead to another.
  for (bool found = true; found;) {
    found = false;
    for (const auto& verdict : dispatcher_.TakeVerdicts()) {
      found = true;
      if (!placementServer_.TakeVerdict(verdict, aNow)) {
        std::visit([&](const auto& aTyped) { Apply(aTyped, aNow); }, verdict);
      }
    }
    for (const auto& verdict : placements_.TakeVerdicts()) {
      found = true;
      std::visit([&](const auto& aTyped) { Apply(aTyped, aNow); }, verdict);
    }
  }
}

auto ForwardingNode::TakesNothing(TargetId aTarget, Instant aNow) const -> bool
{
  const auto* target = directory_.Find(aTarget);
  const auto* load = dispatcher_.Loads().Find(aTarget);
  return target == nullptr || target->leaving_ ||
         (load != nullptr && load->RestsUntil() > aNow);
}

auto ForwardingNode::PlaceElsewhere(Request* aRequest,
                                    TargetId aTarget,
                                    Instant aNow) -> void
{
  ++counters_.misplaced_;
  const auto id = aRequest->arrival_.id_;
  const auto* load = dispatcher_.Loads().Find(aTarget);
  if (load != nullptr && load->RestsUntil() > aNow) {
    placements_.OnRest(id, load->RestsUntil() - aNow);
  }
  placements_.OnRunEnd(id, RunEnd::kCancelled, aNow);
  log_->Write("placed_elsewhere",
              { { "request", aRequest->arrival_.facts_.attemptId_ },
                { "times", std::int64_t{ aRequest->misplaced_ } } });
  if (++aRequest->misplaced_ > kMaxMisplaced) {
    GiveUp(aRequest, kSoon, "no_target");
    return;
  }
  auto item = aRequest->item_;
  item.tried_.push_back(aTarget);
  placements_.Submit(std::move(item), aNow);
}

auto ForwardingNode::NameOfLead(std::optional<RouterId> aLead) const
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
                             const StartWork& aVerdict,
                             const ListedTarget& aTarget,
                             Instant aNow) -> void
{
  log_->Write(
    "sent",
    { { "request", aRequest.arrival_.facts_.attemptId_ },
      { "attempt", std::int64_t{ aRequest.attempt_ } },
      { "target", aTarget.instance_ },
      { "account", aRequest.account_ },
      { "standing", ShareStandingName(aVerdict.standing_) },
      { "placed_by", NameOfLead(placements_.LeadOf(aVerdict.request_)) },
      { "reads", std::int64_t{ aVerdict.adds_.prefillTokens_ } },
      { "copies", std::int64_t{ aVerdict.copyFrom_ ? 1 : 0 } },
      { "expected_ms", ToMillis(aVerdict.expectedWait_) },
      { "waited_ms", ToMillis(aNow - aRequest.arrival_.received_) },
      { "version", aRequest.table_->Version() } });
}

auto ForwardingNode::Apply(const StartWork& aVerdict, Instant aNow) -> void
{
  auto* request = Find(aVerdict.request_);
  const auto* target = directory_.Find(aVerdict.target_);
  if (request == nullptr) {
    placements_.OnRunEnd(aVerdict.request_, RunEnd::kCancelled, aNow);
    return;
  }
  if (TakesNothing(aVerdict.target_, aNow)) {
    PlaceElsewhere(request, aVerdict.target_, aNow);
    return;
  }
  request->machine_.Process(AttemptStarted{});
  request->attempting_ = true;
  ++request->attempt_;
  request->target_ = aVerdict.target_;
  const auto* service = request->table_->FindService(request->item_.service_);
  SendAttempt send;
  send.request_ = aVerdict.request_;
  send.attempt_ = request->attempt_;
  send.target_ = aVerdict.target_;
  send.instance_ = target->instance_;
  send.host_ = target->host_;
  send.port_ = target->port_;
  send.account_ = request->account_;
  send.patience_ =
    request->arrival_.facts_.patience_.value_or(request->route_->timeout_) -
    (aNow - request->arrival_.received_);
  send.lastEvent_ = request->lastEvent_;
  LogSent(*request, aVerdict, *target, aNow);
  const auto* source =
    aVerdict.copyFrom_ ? directory_.Find(*aVerdict.copyFrom_) : nullptr;
  if (source != nullptr) {
    ++counters_.copies_;
    send.copyFrom_ = source->host_ + ':' + std::to_string(source->port_);
  }
  send.runsOnce_ = !request->route_->IsRetryable();
  send.maxConnections_ = service == nullptr
                           ? 0
                           : std::max(4, service->maxConnections_ /
                                           std::max(1, peers_.RouterCount()));
  effects_.emplace_back(std::move(send));
}

auto ForwardingNode::Apply(const RejectWork& aVerdict, Instant aNow) -> void
{
  auto* request = Find(aVerdict.request_);
  if (request == nullptr) {
    return;
  }
  const auto attemptId = request->arrival_.facts_.attemptId_;
  const auto route = request->route_->name_;
  const auto account = request->account_;
  const auto waited = aNow - request->arrival_.received_;
  const std::int64_t attempts = request->sentAttempts_;
  const auto version = request->table_->Version();
  const auto reason = RejectReasonName(aVerdict.reason_);
  const int status = End(request, aVerdict.retryAfter_, reason);
  log_->Write("turned_away",
              { { "request", attemptId },
                { "reason", reason },
                { "status", std::int64_t{ status } },
                { "route", route },
                { "account", account },
                { "standing", ShareStandingName(aVerdict.standing_) },
                { "placed_by", NameOfLead(aVerdict.decidedBy_) },
                { "expected_ms", ToMillis(aVerdict.expectedWait_) },
                { "waited_ms", ToMillis(waited) },
                { "retry_after_ms", ToMillis(aVerdict.retryAfter_) },
                { "attempts", attempts },
                { "version", version } });
}

auto ForwardingNode::Expire(Instant aNow) -> void
{
  while (!deadlines_.empty() && deadlines_.begin()->first <= aNow) {
    auto* request = Find(deadlines_.begin()->second);
    StopRun(request, aNow);
    GiveUp(request, kSoon, "timed_out");
  }
}

auto ForwardingNode::LogChanges() -> void
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
                aOptions.policy_)
  , peers_(std::move(aSelf),
           aIncarnation,
           &config_,
           &dispatcher_,
           aLog,
           &effects_,
           aOptions.policy_)
  , placements_(&dispatcher_, &peers_.Peers(), aLog)
  , placementServer_(&dispatcher_)
  , beliefLog_(&dispatcher_, aLog)
  , capacity_(aOptions.policy_)
{
}

auto ForwardingNode::SetOptions(const ForwardingOptions& aOptions) -> void
{
  const auto policy = options_.policy_;
  options_ = aOptions;
  options_.policy_ = policy;
}

auto ForwardingNode::OnArrival(ForwardArrival aArrival, Instant aNow) -> void
{
  ++counters_.arrived_;
  const auto id = aArrival.id_;
  auto owned = std::make_unique<Request>();
  auto* request = owned.get();
  request->arrival_ = std::move(aArrival);
  request->table_ = config_.Table();
  requests_[id] = std::move(owned);
  auto verdict = CheckRoute(request);
  if (verdict == ArrivalVerdict::kTaken) {
    verdict = CheckKey(request);
  }
  if (verdict != ArrivalVerdict::kTaken) {
    RefuseArrival(request, verdict, aNow);
    return;
  }
  const auto& facts = request->arrival_.facts_;
  const auto longest = request->route_->timeout_;
  request->deadline_ = request->arrival_.received_ +
                       std::min(facts.patience_.value_or(longest), longest);
  deadlines_.emplace(request->deadline_, id);
  request->lastEvent_ = facts.lastEvent_;
  FillItem(request);
  request->machine_.Process(ClaimWon{});
  allowances_[request->item_.service_].CountFirst(aNow);
  if (request->deadline_ <= aNow) {
    GiveUp(request, 0us, "timed_out");
    return;
  }
  placements_.Submit(request->item_, aNow);
  TakeVerdicts(aNow);
}

auto ForwardingNode::OnCallerGone(RequestId aRequest, Instant aNow) -> void
{
  auto* request = Find(aRequest);
  if (request == nullptr) {
    return;
  }
  ++counters_.cancelled_;
  StopRun(request, aNow);
  request->machine_.Process(CallerLeft{});
  Erase(*request);
}

auto ForwardingNode::OnAttemptSent(RequestId aRequest, int aAttempt) -> void
{
  auto* request = Find(aRequest);
  if (request != nullptr && request->attempt_ == aAttempt &&
      request->machine_.Process(BytesSent{})) {
    ++request->sentAttempts_;
    request->item_.tried_.push_back(request->target_);
  }
}

auto ForwardingNode::OnAnswerBegun(RequestId aRequest,
                                   int aAttempt,
                                   Instant aNow) -> void
{
  auto* request = Find(aRequest);
  if (request == nullptr || request->attempt_ != aAttempt) {
    return;
  }
  request->answering_ = true;
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

auto ForwardingNode::OnAnswerWhole(RequestId aRequest,
                                   int aAttempt,
                                   bool aSuccess,
                                   Instant aNow) -> void
{
  auto* request = Find(aRequest);
  if (request == nullptr || request->attempt_ != aAttempt) {
    return;
  }
  ++counters_.whole_;
  placements_.OnRunEnd(aRequest, aSuccess ? RunEnd::kWhole : RunEnd::kError,
                       aNow);
  request->machine_.Process(EndMarkSeen{});
  Erase(*request);
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
  const bool isNews = aNotice.leaves_ && directory_.MarkLeaving(target);
  if (isNews) {
    peers_.TellLeaving(target);
  }
  if (aNotice.rest_ > 0us) {
    dispatcher_.Rest(target, aNow + aNotice.rest_);
    placements_.OnRest(aRequest, aNotice.rest_);
  }
  if (isNews || aNotice.rest_ > 0us) {
    log_->Write("target_notice",
                { { "request", request->arrival_.facts_.attemptId_ },
                  { "leaves", std::int64_t{ aNotice.leaves_ ? 1 : 0 } },
                  { "rest_ms", ToMillis(aNotice.rest_) } });
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
  placements_.OnRunEnd(aRequest, RunEnd::kRefused, aNow);
  request->attempting_ = false;
  request->machine_.Process(RefusedUnrun{});
  if (request->sentAttempts_ < request->route_->maxAttempts_ &&
      SpendRetry(*request, aNow)) {
    ++counters_.retries_;
    log_->Write("retried", { { "request", request->arrival_.facts_.attemptId_ },
                             { "cause", "refused by target" } });
    TryAgain(request, aNow);
    TakeVerdicts(aNow);
    return;
  }
  GiveUp(request, kSoon, "refused_by_target");
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
  placements_.OnRunEnd(aRequest, RunEnd::kFailed, aNow);
  request->attempting_ = false;
  const bool unsent = aStage == AttemptStage::kUnsent;
  const bool may =
    unsent ? ++request->unsentFailures_ < kMaxUnsentFailures
           : request->route_->IsRetryable() &&
               request->sentAttempts_ < request->route_->maxAttempts_ &&
               (!request->answering_ ||
                request->route_->kind_ == RouteKind::kStream) &&
               SpendRetry(*request, aNow);
  log_->Write(may ? "retried" : "attempt_failed",
              { { "request", request->arrival_.facts_.attemptId_ },
                { "cause", aCause },
                { "sent", std::int64_t{ unsent ? 0 : 1 } },
                { "attempt", std::int64_t{ aAttempt } },
                { "last_event", static_cast<std::int64_t>(
                                  request->lastEvent_.value_or(0)) } });
  if (!may) {
    GiveUp(request, kSoon, unsent ? "no_connection" : "target_lost");
    return;
  }
  request->machine_.Process(AttemptBroken{});
  ++counters_.retries_;
  if (request->answering_) {
    ++counters_.resumes_;
    request->item_.goesOn_ = true;
  }
  TryAgain(request, aNow);
  TakeVerdicts(aNow);
}

auto ForwardingNode::OnConfiguration(RouteTablePointer aTable,
                                     std::string aText,
                                     Instant aAsOf) -> void
{
  const auto version = aTable->Version();
  const auto routes = static_cast<std::int64_t>(aTable->RouteCount());
  const auto before = config_.Table()->Version();
  const bool isFromStore = aAsOf > 0us;
  const bool isNewer =
    isFromStore
      ? config_.OfferFromStore(std::move(aTable), std::move(aText), aAsOf)
      : config_.OfferFromPeer(std::move(aTable), std::move(aText));
  if (!isNewer) {
    if (version < before) {
      log_->Write("configuration_ignored",
                  { { "version", version }, { "in_force", before } });
    }
    return;
  }
  dispatcher_.SetTable(config_.Table());
  peers_.OnConfigurationInForce(isFromStore);
  log_->Write(
    "configuration_in_force",
    { { "version", version }, { "before", before }, { "routes", routes } });
}

auto ForwardingNode::OnConfigurationConfirmed(Instant aAsOf) -> void
{
  config_.ConfirmFromStore(aAsOf);
}

auto ForwardingNode::OnStoreEpoch(std::optional<std::int64_t> aEpoch,
                                  Instant aNow) -> EpochOrder
{
  const auto before = storeEpoch_.Newest();
  const auto order = storeEpoch_.Note(aEpoch);
  if (order != EpochOrder::kNewer) {
    return order;
  }
  directory_.OnStoreRestored(aNow);
  config_.OnStoreRestored();
  config_.HoldStore(aNow + kRewriteGrace);
  peers_.TellGone(directory_.Gone(), aNow);
  log_->Write(
    "store_epoch_changed",
    { { "before", *before },
      { "after", *aEpoch },
      { "version_kept", config_.Table()->Version() },
      { "config_age_ms", ToMillis(aNow - config_.AsOf()) },
      { "targets_kept", static_cast<std::int64_t>(directory_.Size()) },
      { "targets_gone",
        static_cast<std::int64_t>(directory_.Gone().size()) } });
  return order;
}

auto ForwardingNode::ShowsOlderCopy(
  const std::vector<RouterAddress>& aRouters) const -> bool
{
  const auto newest = storeEpoch_.Newest();
  return newest && std::any_of(aRouters.begin(), aRouters.end(),
                               [&](const RouterAddress& aRouter) {
                                 return aRouter.storeEpoch_ &&
                                        *aRouter.storeEpoch_ < *newest;
                               });
}

auto ForwardingNode::Directory() -> TargetDirectory&
{
  return directory_;
}

auto ForwardingNode::OnRouters(const std::vector<RouterAddress>& aRouters,
                               Instant aNow) -> void
{
  const bool isFirst = !std::exchange(knowsRouters_, true);
  if (isFirst && ShowsOlderCopy(aRouters)) {
    // What this router reads may be older than what the others know.
    config_.HoldStore(aNow + kRewriteGrace);
    learnsGoneUntil_ = aNow + kRewriteGrace;
    log_->Write("started_on_older_copy",
                { { "epoch", *storeEpoch_.Newest() },
                  { "hold_ms", ToMillis(kRewriteGrace) } });
  }
  peers_.SetListed(aRouters, aNow);
}

auto ForwardingNode::TimeToRead(SharedList aList, bool aFirst, Instant aNow)
  -> Duration
{
  return peers_.TimeToRead(aList, aFirst, aNow);
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
  if (aEnvelope.__isset.load) {
    for (const auto target : aEnvelope.load.leaving) {
      directory_.MarkLeaving(TargetId{ target });
    }
    if (aNow < learnsGoneUntil_) {
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
    TakeVerdicts(aNow);
  }
}

auto ForwardingNode::NoteLateness(Duration aLateness, Instant aNow) -> void
{
  const bool wasOverloaded = capacity_.IsOverloaded();
  capacity_.Note(aLateness, requests_.size(), aNow);
  if (capacity_.IsOverloaded() != wasOverloaded) {
    log_->Write(
      wasOverloaded ? "overload_ended" : "overload_began",
      { { "timer_late_ms", ToMillis(aLateness) },
        { "requests_open", static_cast<std::int64_t>(requests_.size()) },
        { "refused_so_far", counters_.overloads_ } });
  }
}

auto ForwardingNode::Tick(Instant aNow) -> void
{
  Expire(aNow);
  directory_.Tick(aNow);
  dispatcher_.Tick(aNow);
  placements_.Tick(aNow);
  placementServer_.Tick(aNow);
  dispatcher_.Pump(aNow);
  TakeVerdicts(aNow);
  peers_.Tick(aNow);
  beliefLog_.Tick(aNow);
  LogChanges();
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
  if (const auto report = peers_.NextWake()) {
    wake = std::min(wake, *report);
  }
  if (const auto answer = placements_.NextWake()) {
    wake = std::min(wake, *answer);
  }
  return wake;
}

auto ForwardingNode::Stop() -> void
{
  stopping_ = true;
  peers_.SetLeaving();
}

auto ForwardingNode::SetIntake(Intake aIntake) -> void
{
  intake_ = aIntake;
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
         capacity_.TakesConnections();
}

auto ForwardingNode::IsStopping() const -> bool
{
  return stopping_;
}

auto ForwardingNode::IsOverloaded() const -> bool
{
  return capacity_.IsOverloaded();
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
  return aNow - config_.AsOf();
}

auto ForwardingNode::Counters() const -> const ForwardingCounters&
{
  return counters_;
}

auto ForwardingNode::Work() const -> const Dispatcher&
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
