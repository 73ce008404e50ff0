#include "measure/sim_fleet.h"

#include "wire/envelope_codec.h"

#include <chrono>
#include <utility>

namespace burdockring {
namespace {

constexpr Duration kTickInterval = 5ms;
constexpr Duration kLogPoll = 20ms;
constexpr Duration kLogDelay = 2ms;
constexpr Duration kVmListPoll = 1s;
constexpr Duration kConnectFailure = 1ms;
constexpr Duration kSilentTimeout = 2s;
constexpr std::int64_t kFrameBytes = 4;

auto KindOf(const wire::Envelope& aEnvelope) -> std::size_t
{
  auto kind = TrafficKind::kConfig;
  if (aEnvelope.__isset.heartbeat) {
    kind = TrafficKind::kHeartbeat;
  } else if (aEnvelope.__isset.demand) {
    kind = TrafficKind::kDemand;
  } else if (aEnvelope.__isset.grants) {
    kind = TrafficKind::kGrants;
  } else if (aEnvelope.__isset.exchange) {
    kind = TrafficKind::kExchange;
  }
  return static_cast<std::size_t>(kind);
}

} // namespace

auto SimFleet::Time() const -> NodeTime
{
  return { queue_->Now(), WallNow() };
}

auto SimFleet::AreCut(int aZone, int aOtherZone) const -> bool
{
  return aZone != aOtherZone &&
         (cutZones_.contains(aZone) || cutZones_.contains(aOtherZone));
}

auto SimFleet::Delay(int aZone, int aOtherZone) const -> Duration
{
  return aZone == aOtherZone ? layout_.withinZone_ : layout_.betweenZones_;
}

auto SimFleet::Boot(int aRouter) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRouter)];
  router.node_ = std::make_unique<RouterNode>(
    options_, layout_.Address(aRouter), nextIncarnation_++);
  ++router.epoch_;
  router.nextRead_ = 0;
  router.frozenUntil_ = 0us;
  // Routers tick at different phases, as processes do.
  const auto phase = kTickInterval * aRouter / layout_.routers_;
  const auto epoch = router.epoch_;
  Deliver(aRouter, epoch, VmListRead{ layout_.Addresses(), leavingTargets_ });
  PollLog(aRouter, epoch);
  PollVmList(aRouter, epoch);
  queue_->After(phase, [this, aRouter, epoch] { Tick(aRouter, epoch); });
}

auto SimFleet::Tick(int aRouter, std::int64_t aEpoch) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRouter)];
  if (router.epoch_ != aEpoch || !router.node_) {
    return;
  }
  if (queue_->Now() < router.frozenUntil_) {
    queue_->After(router.frozenUntil_ - queue_->Now(),
                  [this, aRouter, aEpoch] { Tick(aRouter, aEpoch); });
    return;
  }
  Deliver(aRouter, aEpoch, TickEvent{});
  queue_->After(kTickInterval,
                [this, aRouter, aEpoch] { Tick(aRouter, aEpoch); });
}

auto SimFleet::PollLog(int aRouter, std::int64_t aEpoch) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRouter)];
  if (router.epoch_ != aEpoch || !router.node_) {
    return;
  }
  if (!log_.down_ && !platformCut_) {
    auto read = log_.Read(router.nextRead_);
    router.nextRead_ = read.next_;
    Deliver(aRouter, aEpoch, std::move(read));
  }
  queue_->After(kLogPoll,
                [this, aRouter, aEpoch] { PollLog(aRouter, aEpoch); });
}

auto SimFleet::PollVmList(int aRouter, std::int64_t aEpoch) -> void
{
  if (routers_[static_cast<std::size_t>(aRouter)].epoch_ != aEpoch) {
    return;
  }
  if (!platformCut_) {
    Deliver(aRouter, aEpoch,
            VmListRead{ layout_.Addresses(), leavingTargets_ });
  }
  queue_->After(kVmListPoll,
                [this, aRouter, aEpoch] { PollVmList(aRouter, aEpoch); });
}

auto SimFleet::Deliver(int aRouter, std::int64_t aEpoch, NodeEvent aEvent)
  -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRouter)];
  if (router.epoch_ != aEpoch || !router.node_) {
    return;
  }
  if (queue_->Now() < router.frozenUntil_) {
    queue_->After(router.frozenUntil_ - queue_->Now(),
                  [this, aRouter, aEpoch, event = std::move(aEvent)] {
                    Deliver(aRouter, aEpoch, event);
                  });
    return;
  }
  const auto start = std::chrono::steady_clock::now();
  auto effects = router.node_->Handle(aEvent, Time());
  router.handleSeconds_ +=
    std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
  Apply(aRouter, std::move(effects));
}

auto SimFleet::Apply(int aRouter, NodeEffects aEffects) -> void
{
  for (const auto& effect : aEffects) {
    if (const auto* send = std::get_if<SendToPeer>(&effect)) {
      Send(aRouter, *send);
    } else if (const auto* start = std::get_if<StartAttempt>(&effect)) {
      BeginAttempt(aRouter, *start);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
      const RunId id{ aRouter,
                      routers_[static_cast<std::size_t>(aRouter)].epoch_,
                      cancel->request_, cancel->attempt_ };
      for (auto& target : targets_) {
        target->Cancel(id);
      }
    } else if (const auto* answer = std::get_if<RespondToCaller>(&effect)) {
      EndRequest(aRouter, *answer);
    } else if (const auto* append = std::get_if<AppendToLog>(&effect)) {
      Append(aRouter, *append);
    }
  }
}

auto SimFleet::Send(int aFrom, const SendToPeer& aEffect) -> void
{
  const auto found = indexByRouter_.find(aEffect.router_);
  if (found == indexByRouter_.end()) {
    return;
  }
  auto bytes = wire::EncodeEnvelope(aEffect.envelope_);
  auto& sent = routers_[static_cast<std::size_t>(aFrom)].sent_;
  sent.bytes_ += static_cast<std::int64_t>(bytes.size()) + kFrameBytes;
  ++sent.messages_;
  sent.bytesByKind_.at(KindOf(aEffect.envelope_)) +=
    static_cast<std::int64_t>(bytes.size()) + kFrameBytes;
  const auto to = found->second;
  const auto fromZone = layout_.ZoneOfRouter(aFrom);
  const auto toZone = layout_.ZoneOfRouter(to);
  if (AreCut(fromZone, toZone) || cutLinks_.contains({ aFrom, to })) {
    return;
  }
  const auto epoch = routers_[static_cast<std::size_t>(to)].epoch_;
  queue_->After(Delay(fromZone, toZone),
                [this, to, epoch, message = std::move(bytes)] {
                  auto envelope = wire::DecodeEnvelope(message);
                  Deliver(to, epoch, PeerReceived{ std::move(*envelope) });
                });
}

auto SimFleet::BeginAttempt(int aRouter, const StartAttempt& aEffect) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRouter)];
  const auto epoch = router.epoch_;
  const auto index = indexByTarget_.at(aEffect.target_);
  auto& target = *targets_[static_cast<std::size_t>(index)];
  const auto id = aEffect.request_;
  const auto attempt = aEffect.attempt_;
  const auto zone = layout_.ZoneOfRouter(aRouter);
  const auto targetZone = layout_.ZoneOfTarget(index);
  if (target.dead_ || AreCut(zone, targetZone)) {
    const auto wait = target.dead_ ? kConnectFailure : kSilentTimeout;
    queue_->After(wait, [this, aRouter, epoch, id, attempt] {
      Deliver(aRouter, epoch, AttemptFailed{ id, attempt, false });
    });
    return;
  }
  const auto request = router.requests_.at(id);
  const RunId run{ aRouter, epoch, id, attempt };
  const auto from = aEffect.resumeFrom_;
  router.places_[id] = { index, attempt };
  observer_->OnStarted(request);
  queue_->After(0us, [this, aRouter, epoch, id, attempt] {
    Deliver(aRouter, epoch, AttemptSent{ id, attempt });
  });
  queue_->After(Delay(zone, targetZone) * 2, [this, run, index, from, request] {
    auto& reached = *targets_[static_cast<std::size_t>(index)];
    const auto& home = routers_[static_cast<std::size_t>(run.router_)];
    if (home.epoch_ != run.epoch_ || !home.node_) {
      return;
    }
    if (reached.leaving_) {
      observer_->OnRequeued(request);
      Deliver(run.router_, run.epoch_,
              AttemptRefused{ run.request_, run.attempt_, true });
      return;
    }
    if (!request.key_.empty()) {
      ++runsByKey_[request.key_];
    }
    reached.Begin(run, from, request.tokens_);
  });
}

auto SimFleet::EndRequest(int aRouter, const RespondToCaller& aEffect) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRouter)];
  const auto found = router.requests_.find(aEffect.request_);
  if (found == router.requests_.end()) {
    return;
  }
  const auto request = found->second;
  router.requests_.erase(found);
  router.places_.erase(request.id_);
  observer_->OnAnswer(request, aEffect.response_);
}

auto SimFleet::Append(int aRouter, const AppendToLog& aEffect) -> void
{
  const auto epoch = routers_[static_cast<std::size_t>(aRouter)].epoch_;
  const auto token = aEffect.token_;
  queue_->After(
    kLogDelay, [this, aRouter, epoch, token, payload = aEffect.payload_] {
      const bool known = !platformCut_ && log_.Append(payload);
      queue_->After(kLogDelay, [this, aRouter, epoch, token, known] {
        Deliver(aRouter, epoch, AppendReplied{ token, known });
      });
    });
}

auto SimFleet::FailAttempts(int aTarget) -> void
{
  for (int index = 0; index < layout_.routers_; ++index) {
    auto& router = routers_[static_cast<std::size_t>(index)];
    const auto zone = layout_.ZoneOfRouter(index);
    const bool lost = targets_[static_cast<std::size_t>(aTarget)]->dead_ ||
                      AreCut(zone, layout_.ZoneOfTarget(aTarget));
    if (!lost || !router.node_) {
      continue;
    }
    targets_[static_cast<std::size_t>(aTarget)]->CancelRouter(index,
                                                              router.epoch_);
    for (const auto& entry : router.places_) {
      if (entry.second.target_ != aTarget ||
          !router.requests_.contains(entry.first)) {
        continue;
      }
      const auto request = router.requests_.at(entry.first);
      const auto epoch = router.epoch_;
      const auto attempt = entry.second.attempt_;
      queue_->After(kConnectFailure, [this, index, epoch, request, attempt] {
        observer_->OnRequeued(request);
        Deliver(index, epoch, AttemptFailed{ request.id_, attempt, true });
      });
    }
    std::erase_if(router.places_, [&](const auto& aEntry) {
      return aEntry.second.target_ == aTarget;
    });
  }
}

auto SimFleet::ConnectTarget(int aTarget) -> void
{
  auto& target = *targets_[static_cast<std::size_t>(aTarget)];
  target.onTokens_ = [this](const RunId& aId, int aNew, int aTotal) {
    const auto& router = routers_[static_cast<std::size_t>(aId.router_)];
    const auto found = router.requests_.find(aId.request_);
    if (router.epoch_ != aId.epoch_ || found == router.requests_.end()) {
      return;
    }
    observer_->OnService(found->second, aNew);
    Deliver(aId.router_, aId.epoch_,
            AttemptProgress{ aId.request_, aId.attempt_, aTotal });
  };
  target.onEnd_ = [this](const RunId& aId, int aTotal) {
    Deliver(aId.router_, aId.epoch_,
            AttemptEnded{ aId.request_, aId.attempt_,
                          static_cast<double>(aTotal), 200, "" });
  };
}

SimFleet::SimFleet(EventQueue* aQueue,
                   FleetLayout aLayout,
                   const NodeOptions& aOptions,
                   RequestObserver* aObserver)
  : queue_(aQueue)
  , layout_(aLayout)
  , options_(aOptions)
  , observer_(aObserver)
  , routers_(static_cast<std::size_t>(aLayout.routers_))
{
  for (int i = 0; i < layout_.routers_; ++i) {
    indexByRouter_[layout_.Address(i).id_] = i;
  }
  for (int i = 0; i < layout_.targets_; ++i) {
    indexByTarget_[MakeId<TargetId>(layout_.TargetName(i))] = i;
    targets_.push_back(std::make_unique<SimTarget>(queue_, layout_.slots_,
                                                   layout_.timePerToken_));
    ConnectTarget(i);
  }
}

auto SimFleet::Start() -> void
{
  ConfigChange change;
  change.text_ = layout_.ConfigText();
  change.changeId_ = MakeChangeId(0, change.text_);
  log_.Append(EncodeRecords({ change }));
  for (int i = 0; i < layout_.routers_; ++i) {
    Boot(i);
  }
}

auto SimFleet::Submit(const SimRequest& aRequest) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRequest.router_)];
  if (!router.node_) {
    observer_->OnAnswer(aRequest, std::nullopt);
    return;
  }
  router.requests_[aRequest.id_] = aRequest;
  RequestArrived arrival;
  arrival.id_ = aRequest.id_;
  arrival.account_ = layout_.Account(aRequest.account_);
  arrival.service_ = layout_.Service();
  arrival.class_ = aRequest.class_;
  arrival.outputTokensHint_ = aRequest.hint_;
  arrival.key_ = aRequest.key_;
  Deliver(aRequest.router_, router.epoch_, std::move(arrival));
}

auto SimFleet::LeaveCaller(const SimRequest& aRequest) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRequest.router_)];
  if (router.requests_.erase(aRequest.id_) > 0) {
    Deliver(aRequest.router_, router.epoch_, CallerGone{ aRequest.id_ });
  }
}

auto SimFleet::BusySlots() const -> int
{
  int busy = 0;
  for (const auto& target : targets_) {
    busy += target->dead_ || target->leaving_ ? 0 : target->Running();
  }
  return busy;
}

auto SimFleet::TotalSlots() const -> int
{
  int total = 0;
  for (const auto& target : targets_) {
    total += target->dead_ || target->leaving_ ? 0 : target->Capacity();
  }
  return total;
}

auto SimFleet::IsUp(int aRouter) const -> bool
{
  const auto& router = routers_[static_cast<std::size_t>(aRouter)];
  return router.node_ && router.node_->IsReady();
}

auto SimFleet::Kill(int aRouter) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRouter)];
  router.node_.reset();
  for (auto& target : targets_) {
    target->CancelRouter(aRouter, router.epoch_);
  }
  const auto lost = std::exchange(router.requests_, {});
  router.places_.clear();
  for (const auto& entry : lost) {
    observer_->OnAnswer(entry.second, std::nullopt);
  }
}

auto SimFleet::Restart(int aRouter) -> void
{
  Boot(aRouter);
}

auto SimFleet::Freeze(int aRouter, Duration aLength) -> void
{
  routers_[static_cast<std::size_t>(aRouter)].frozenUntil_ =
    queue_->Now() + aLength;
}

auto SimFleet::StopGracefully(int aRouter) -> void
{
  Deliver(aRouter, routers_[static_cast<std::size_t>(aRouter)].epoch_,
          StopRequested{});
}

auto SimFleet::CutZone(int aZone, bool aCut) -> void
{
  if (!aCut) {
    cutZones_.erase(aZone);
    return;
  }
  cutZones_.insert(aZone);
  for (int i = 0; i < layout_.targets_; ++i) {
    FailAttempts(i);
  }
}

auto SimFleet::CutLink(int aFrom, int aTo, bool aCut) -> void
{
  if (aCut) {
    cutLinks_.insert({ aFrom, aTo });
  } else {
    cutLinks_.erase({ aFrom, aTo });
  }
}

auto SimFleet::CutPlatform(bool aCut) -> void
{
  platformCut_ = aCut;
}

auto SimFleet::KillTarget(int aTarget) -> void
{
  targets_[static_cast<std::size_t>(aTarget)]->dead_ = true;
  FailAttempts(aTarget);
}

auto SimFleet::SetLeaving(int aTarget) -> void
{
  targets_[static_cast<std::size_t>(aTarget)]->leaving_ = true;
  leavingTargets_.push_back(MakeId<TargetId>(layout_.TargetName(aTarget)));
}

auto SimFleet::RunsByKey() const -> const std::map<std::string, int>&
{
  return runsByKey_;
}

auto SimFleet::Log() -> SimLog&
{
  return log_;
}

auto SimFleet::Target(int aIndex) -> SimTarget&
{
  return *targets_[static_cast<std::size_t>(aIndex)];
}

auto SimFleet::Node(int aRouter) const -> const RouterNode*
{
  return routers_[static_cast<std::size_t>(aRouter)].node_.get();
}

auto SimFleet::Sent(int aRouter) const -> const ControlTraffic&
{
  return routers_[static_cast<std::size_t>(aRouter)].sent_;
}

auto SimFleet::HandleSeconds(int aRouter) const -> double
{
  return routers_[static_cast<std::size_t>(aRouter)].handleSeconds_;
}

auto SimFleet::FindScheduler(int aZone) const -> int
{
  const auto zone = MakeId<ZoneId>(layout_.ZoneName(aZone));
  for (int i = 0; i < layout_.routers_; ++i) {
    const auto* node = Node(i);
    if (node != nullptr && layout_.ZoneOfRouter(i) == aZone &&
        node->Scheduler(zone, layout_.Service()) != nullptr) {
      return i;
    }
  }
  return -1;
}

auto SimFleet::Layout() const -> const FleetLayout&
{
  return layout_;
}

auto SimFleet::WallNow() const -> WallTime
{
  return wallStart_ + std::chrono::duration_cast<WallTime>(queue_->Now());
}

} // namespace burdockring
