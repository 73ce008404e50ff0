#include "main/forwarding_process.h"

#include "base/boot_clock.h"
#include "base/status_text.h"
#include "base/yaml_reader.h"
#include "wire/envelope_codec.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <utility>

namespace burdockring {
namespace {

namespace asio = boost::asio;

/// How often connections are looked at for time-outs.
constexpr Duration kSweepInterval = 50ms;
/// How often the settings file is looked at for a change without a signal.
constexpr Duration kSettingsInterval = 2s;
/// How long the balancer may go on sending connections after the router has
/// said that it is not ready: two questions, one a second.
constexpr Duration kLameDuck = 2600ms;
/// Time before the end of the grace at which the process ends by itself.
constexpr Duration kGraceMargin = 400ms;
/// Time before that in which nothing more is taken on, so that what plain
/// services work on can end.
constexpr Duration kLastCall = 1s;
constexpr Duration kAcceptPause = 50ms;
/// Datagrams that are taken in one turn, before others' work goes on.
constexpr int kDatagramsInTurn = 64;
/// Connections that are taken in one turn: few, so that under a flood the
/// processor goes to what was taken on.
constexpr int kConnectionsInTurn = 4;
/// Connections that may wait to be taken. A caller that waits here is not seen
/// to leave, so the queue must be short against the callers' aims; beyond it
/// their systems try again.
constexpr int kListenQueue = 64;
/// Above this, connections that have been idle for kShedIdle are closed.
constexpr std::size_t kManyCallers = 2000;
constexpr Duration kShedIdle = 2s;
/// Shortest time between two searches for connections to close, each of which
/// looks at all of them.
constexpr Duration kReliefInterval = 5ms;
constexpr Duration kMemoryLineInterval = 1s;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

auto IncarnationNow() -> std::int64_t
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

auto ForwardingProcess::WaitForCallers() -> void
{
  acceptor_.async_wait(asio::socket_base::wait_read,
                       [this](const boost::system::error_code& aError) {
                         if (aError || !acceptor_.is_open()) {
                           return;
                         }
                         if (Accept()) {
                           WaitForCallers();
                         }
                       });
}

auto ForwardingProcess::Accept() -> bool
{
  for (int i = 0; i < kConnectionsInTurn; ++i) {
    boost::system::error_code error;
    asio::ip::tcp::socket socket(context_);
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block) {
      return true;
    }
    if (error) {
      // No descriptor is free: connections wait in the listen queue.
      log_.Write("accept_failed", { { "reason", error.message() } });
      acceptPause_.expires_after(kAcceptPause);
      acceptPause_.async_wait([this](const boost::system::error_code& aStop) {
        if (!aStop) {
          WaitForCallers();
        }
      });
      return false;
    }
    if (places_.IsShort(callers_.size())) {
      FreePlaces();
    }
    if (!places_.MayTake(callers_.size()) ||
        !memory_.Pressure().MayHold(memory_.Held(), 0,
                                    sizeof(CallerConnection))) {
      memory_.Count(MemoryAction::kConnectionRejected);
      continue;
    }
    auto caller = std::make_shared<CallerConnection>(
      std::move(socket), this, [this](CallerConnection* aCaller) {
        callers_.erase(aCaller->shared_from_this());
      });
    callers_.insert(caller);
    caller->Start();
  }
  return true;
}

auto ForwardingProcess::WaitForDatagrams() -> void
{
  peers_.async_wait(asio::socket_base::wait_read,
                    [this](const boost::system::error_code& aError) {
                      if (aError || !peers_.is_open()) {
                        return;
                      }
                      ReceiveDatagrams();
                      WaitForDatagrams();
                    });
}

auto ForwardingProcess::ReceiveDatagrams() -> void
{
  for (int i = 0; i < kDatagramsInTurn; ++i) {
    boost::system::error_code error;
    datagram_.resize(kDatagramBytes);
    const auto bytes =
      peers_.receive_from(asio::buffer(datagram_), sender_, 0, error);
    if (error) {
      // Nothing is left, or an earlier datagram could not be delivered.
      break;
    }
    const auto envelope = wire::DecodeEnvelope({ datagram_.data(), bytes });
    if (envelope.ok()) {
      node_.OnPeer(*envelope, BootNow());
    } else {
      ++garbledDatagrams_;
    }
  }
  Settle();
}

auto ForwardingProcess::WaitForSignal() -> void
{
  signals_.async_wait(
    [this](const boost::system::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        LookAtSettings("signal");
      } else if (!stopSince_) {
        stopSince_ = BootNow();
        node_.Stop();
        log_.Write(
          "stopping",
          { { "requests", static_cast<std::int64_t>(node_.RequestCount()) },
            { "connections", static_cast<std::int64_t>(callers_.size()) } });
      }
      WaitForSignal();
    });
}

auto ForwardingProcess::ScheduleTick() -> void
{
  const auto now = BootNow();
  const auto wake = std::min(node_.NextWake(now), now + kSweepInterval);
  // A wait that is due already ends soon: putting it off would starve the ticks
  // while there is much to do.
  if (wakeAt_ > 0us && wakeAt_ <= wake) {
    return;
  }
  wakeAt_ = wake;
  tick_.expires_after(std::max<Duration>(wake - now, 1ms));
  tick_.async_wait([this, wake](const boost::system::error_code& aError) {
    // A wait that was replaced too late to be cancelled is left to the new one.
    if (!aError && wakeAt_ == wake) {
      wakeAt_ = {};
      const auto now = BootNow();
      node_.RecordTimerLateness(now - wake, now);
      Tick();
    }
  });
}

auto ForwardingProcess::Tick() -> void
{
  const auto now = BootNow();
  node_.Tick(now);
  Settle();
  if (now - lastSweep_ >= kSweepInterval) {
    lastSweep_ = now;
    Sweep(now);
  }
  log_.Flush();
  if (!context_.stopped()) {
    ScheduleTick();
  }
}

auto ForwardingProcess::Sweep(Instant aNow) -> void
{
  targets_.Tick(aNow);
  const std::vector<std::shared_ptr<CallerConnection>> callers(callers_.begin(),
                                                               callers_.end());
  for (const auto& caller : callers) {
    caller->CheckTime(aNow);
    if (callers_.size() > kManyCallers) {
      caller->CloseIfIdle(kShedIdle);
    }
  }
  CheckMemory(aNow);
  NoteReadiness();
  if (aNow - lastSettingsLook_ >= kSettingsInterval) {
    lastSettingsLook_ = aNow;
    LookAtSettings("file");
  }
  if (stopSince_) {
    StopWhenDone(aNow);
  }
}

auto ForwardingProcess::CheckMemory(Instant aNow) -> void
{
  LogMemory(aNow);
  if (memory_.Level() >= MemoryLevel::kClose) {
    RelieveMemory(0);
  }
  if (memory_.Level() < MemoryLevel::kBackpressure && !hasPausedBodies_) {
    return;
  }
  const std::vector<std::shared_ptr<CallerConnection>> callers(callers_.begin(),
                                                               callers_.end());
  std::vector<BodyInProgress> bodies;
  for (std::size_t i = 0; i < callers.size(); ++i) {
    if (auto body = callers[i]->Body(aNow)) {
      body->id_ = i;
      bodies.push_back(*body);
    }
  }
  const auto paused =
    memory_.Pressure().SelectPaused(memory_.Held(), std::move(bodies));
  hasPausedBodies_ = !paused.empty();
  const std::set<std::uint64_t> isPaused(paused.begin(), paused.end());
  for (std::size_t i = 0; i < callers.size(); ++i) {
    callers[i]->SetReadPaused(isPaused.contains(i));
  }
}

auto ForwardingProcess::LogMemory(Instant aNow) -> void
{
  if (aNow - lastMemoryLine_ < kMemoryLineInterval) {
    return;
  }
  lastMemoryLine_ = aNow;
  const auto level = memory_.Level();
  if (level != loggedLevel_) {
    loggedLevel_ = level;
    log_.Write(
      "memory_level",
      { { "level", MemoryLevelName(level) },
        { "held", static_cast<std::int64_t>(memory_.Held()) },
        { "limit", static_cast<std::int64_t>(memory_.Pressure().Limit()) } });
  }
  for (std::size_t i = 0; i < kMemoryActions.size(); ++i) {
    const auto total = memory_.Total(kMemoryActions[i].action_);
    const auto count = total - std::exchange(loggedActions_[i], total);
    if (count > 0) {
      log_.Write("memory_action",
                 { { "action", kMemoryActions[i].name_ },
                   { "count", count },
                   { "held", static_cast<std::int64_t>(memory_.Held()) } });
    }
  }
}

auto ForwardingProcess::StopWhenDone(Instant aNow) -> void
{
  const auto stopping = aNow - *stopSince_;
  if (stopping < kLameDuck) {
    return;
  }
  const bool isLastCall =
    stopping >= settings_.grace_ - kGraceMargin - kLastCall;
  node_.SetAdmissionMode(isLastCall ? AdmissionMode::kNone
                                    : AdmissionMode::kNoStreams);
  node_.SetExit(*stopSince_ + settings_.grace_ - kGraceMargin);
  const std::vector<std::shared_ptr<CallerConnection>> callers(callers_.begin(),
                                                               callers_.end());
  for (const auto& caller : callers) {
    caller->CloseIfIdle(0us);
  }
  const bool drained = callers_.empty() && node_.RequestCount() == 0;
  const bool forced = stopping >= settings_.grace_ - kGraceMargin;
  if (!drained && !forced) {
    return;
  }
  log_.Write("stopped", { { "requests_cut",
                            static_cast<std::int64_t>(node_.RequestCount()) },
                          { "after_ms", stopping.count() / 1000 } });
  log_.Flush();
  context_.stop();
}

auto ForwardingProcess::LookAtSettings(std::string_view aCause) -> void
{
  FindingList findings;
  auto text = ReadTextFile(settingsPath_, &findings);
  if (!text || *text == settingsText_) {
    return;
  }
  settingsText_ = *text;
  const auto settings = ReadProcessSettings(*text, settingsPath_, &findings);
  if (!settings) {
    log_.Write("settings_refused",
               { { "cause", aCause }, { "findings", findings.ToText() } });
    return;
  }
  // Addresses of listeners stay as they are until the next start.
  settings_.forwarding_ = settings->forwarding_;
  settings_.grace_ = settings->grace_;
  settings_.store_ = settings->store_;
  memory_.SetLimit(settings->bufferBytes_);
  node_.SetOptions(settings_.forwarding_);
  source_.SetSettings(settings_);
  log_.Write("settings_reloaded", { { "cause", aCause } });
}

auto ForwardingProcess::NoteReadiness() -> void
{
  const bool ready = node_.IsReady();
  if (ready == wasReady_) {
    return;
  }
  wasReady_ = ready;
  log_.Write(
    ready ? "ready" : "not_ready",
    { { "version", node_.Table()->Version() },
      { "targets", static_cast<std::int64_t>(node_.Directory().Size()) } });
}

auto ForwardingProcess::Apply(const SendAttempt& aEffect) -> void
{
  const auto found = exchanges_.find(aEffect.request_);
  if (found != exchanges_.end()) {
    const auto exchange = found->second;
    exchange->Apply(aEffect);
  }
}

auto ForwardingProcess::Apply(const AbortAttempt& aEffect) -> void
{
  const auto found = exchanges_.find(aEffect.request_);
  if (found != exchanges_.end()) {
    const auto exchange = found->second;
    exchange->Apply(aEffect);
  }
}

auto ForwardingProcess::Apply(const FailRequest& aEffect) -> void
{
  const auto found = exchanges_.find(aEffect.request_);
  if (found != exchanges_.end()) {
    const auto exchange = found->second;
    exchange->Apply(aEffect);
  }
}

auto ForwardingProcess::Apply(const SendToRouters& aEffect) -> void
{
  const auto bytes = wire::EncodeEnvelope(aEffect.envelope_);
  for (const auto& router : aEffect.routers_) {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(router.host_, error);
    if (!error) {
      peerBytesSent_ += static_cast<std::int64_t>(bytes.size());
      peers_.send_to(asio::buffer(bytes), { address, router.port_ }, 0, error);
    }
    // A datagram that can't go out now is as one lost on the way; who gets
    // none is seen by the missing heartbeats.
    unsentDatagrams_ += error ? 1 : 0;
  }
}

auto ForwardingProcess::Apply(const ApplyConfiguration& aEffect) -> void
{
  auto table = DecodeConfiguration(aEffect.text_);
  if (!table.ok()) {
    log_.Write("offer_refused", { { "reason", MessageOf(table.status()) } });
    return;
  }
  node_.OnConfiguration(std::move(*table), aEffect.text_, aEffect.asOf_);
}

auto ForwardingProcess::Apply(const ApplyListNews& aEffect) -> void
{
  source_.OnPeerNews(aEffect.list_, aEffect.news_);
}

auto ForwardingProcess::Apply(const RecordEventGaps& aEffect) -> void
{
  metrics_.RecordEventGaps(aEffect.route_, aEffect.longest_, aEffect.limit_);
}

auto ForwardingProcess::Apply(const StoreQuarantine& aEffect) -> void
{
  source_.Store(aEffect);
}

auto ForwardingProcess::MetricsText() const -> std::string
{
  const auto& counters = node_.Counters();
  std::string text;
  const auto add = [&](std::string_view aName, std::int64_t aValue) {
    fmt::format_to(std::back_inserter(text), "burdockring_{} {}\n", aName,
                   aValue);
  };
  add("requests_arrived_total", counters.arrived_);
  add("requests_whole_total", counters.whole_);
  add("requests_turned_away_total", counters.rejected_);
  add("requests_unknown_total", counters.unknownOutcomes_);
  add("requests_cancelled_total", counters.cancelled_);
  add("retries_total", counters.retries_);
  add("resumes_total", counters.resumes_);
  add("copies_total", counters.copies_);
  add("attempts_lost_before_answer_total", counters.lostBeforeAnswer_);
  add("attempts_lost_in_answer_total", counters.lostInAnswer_);
  add("attempts_unsent_total", counters.unsentFailures_);
  add("answers_withheld_total", counters.withheldAnswers_);
  add("quarantined_requests_total", counters.quarantinedRequests_);
  const auto& quarantine = node_.Quarantine();
  add("quarantines", static_cast<std::int64_t>(quarantine.Count()));
  add("quarantines_imposed_total", quarantine.Counters().imposed_);
  add("quarantines_learned_total", quarantine.Counters().learned_);
  add("quarantines_lifted_total", quarantine.Counters().lifted_);
  add("quarantines_renewed_total", quarantine.Counters().renewed_);
  add("quarantines_restored_total", quarantine.Counters().restored_);
  add("quarantine_rows_skipped_total", quarantine.Counters().malformed_);
  add("stale_keys_total", counters.staleKeyChecks_);
  add("overload_refusals_total", counters.overloadRejections_);
  add("misplaced_total", counters.misplaced_);
  const auto& placements = node_.Placements().Counters();
  add("placements_asked_total", placements.sentToLeads_);
  add("placements_unanswered_total", placements.unanswered_);
  add("placements_alone_total", placements.placedLocally_);
  add("placements_for_others_total",
      node_.PlacementsForOthers().AcceptedCount());
  add("placements_held", static_cast<std::int64_t>(
                           node_.PlacementsForOthers().RemoteRequestCount()));
  add("placement_messages_skipped_total",
      node_.PlacementsForOthers().MalformedCount());
  add("zones_drained", static_cast<std::int64_t>(node_.DrainedZoneCount()));
  const auto& dispatcher = node_.WorkDispatcher();
  add("targets_cold",
      static_cast<std::int64_t>(dispatcher.ColdTargetCount(BootNow())));
  add("cold_placements_total", dispatcher.ColdPlacementCount());
  add("cold_holds_total", dispatcher.ColdHoldCount());
  add("requests_open", static_cast<std::int64_t>(node_.RequestCount()));
  add("requests_waiting",
      static_cast<std::int64_t>(node_.WorkDispatcher().WaitingCount()));
  add("caller_connections", static_cast<std::int64_t>(callers_.size()));
  add("target_connections", static_cast<std::int64_t>(targets_.OpenCount()));
  add("target_connections_opened_total", targets_.OpenedTotal());
  add("target_connections_reused_total", targets_.ReusedTotal());
  add("memory_limit_bytes",
      static_cast<std::int64_t>(memory_.Pressure().Limit()));
  for (const auto& row : kMemoryPurposes) {
    add(fmt::format("memory_held_bytes{{purpose=\"{}\"}}", row.name_),
        static_cast<std::int64_t>(memory_.HeldFor(row.purpose_)));
  }
  for (const auto& row : kMemoryActions) {
    add(fmt::format("memory_actions_total{{action=\"{}\"}}", row.name_),
        memory_.Total(row.action_));
  }
  add("store_calls_total", source_.Calls());
  add("records_skipped_total", source_.GarbledCount());
  add("peer_bytes_sent_total", peerBytesSent_);
  add("datagrams_skipped_total", garbledDatagrams_);
  add("datagrams_unsent_total", unsentDatagrams_);
  add("log_lines_dropped_total", log_.DroppedTotal());
  add("configuration_version", node_.Table()->Version());
  add("configuration_age_ms", node_.ConfigAge(BootNow()).count() / 1000);
  return text + metrics_.ToText();
}

ForwardingProcess::ForwardingProcess(ProcessSettings aSettings,
                                     std::string aSettingsPath,
                                     std::string aSettingsText)
  : settingsPath_(std::move(aSettingsPath))
  , settingsText_(std::move(aSettingsText))
  , settings_(std::move(aSettings))
  , memory_(settings_.bufferBytes_)
  , places_(settings_.maxCallers_)
  , log_(settings_.self_.name_)
  , node_(settings_.forwarding_, settings_.self_, IncarnationNow(), &log_)
  , targets_(&context_, &memory_)
  , source_(&context_, settings_, this, &log_)
  , acceptor_(context_)
  , peers_(context_)
  , tick_(context_)
  , acceptPause_(context_)
  , signals_(context_, SIGTERM, SIGINT, SIGHUP)
{
}

auto ForwardingProcess::Node() -> ForwardingNode&
{
  return node_;
}

auto ForwardingProcess::Settle() -> void
{
  // What an effect leads to is carried out by the loop that is under way.
  if (settling_) {
    return;
  }
  settling_ = true;
  for (auto effects = node_.TakeEffects(); !effects.empty();
       effects = node_.TakeEffects()) {
    for (const auto& effect : effects) {
      std::visit([this](const auto& aTyped) { Apply(aTyped); }, effect);
    }
  }
  settling_ = false;
  if (!context_.stopped()) {
    ScheduleTick();
  }
}

auto ForwardingProcess::Targets() -> TargetPool&
{
  return targets_;
}

auto ForwardingProcess::Memory() -> MemoryBudget&
{
  return memory_;
}

auto ForwardingProcess::RelieveMemory(std::size_t aNeeded) -> void
{
  const auto now = BootNow();
  if (now - lastRelief_ < kReliefInterval) {
    return;
  }
  lastRelief_ = now;
  const std::vector<std::shared_ptr<CallerConnection>> callers(callers_.begin(),
                                                               callers_.end());
  std::vector<MemoryHolder> holders;
  for (std::size_t i = 0; i < callers.size(); ++i) {
    if (auto holder = callers[i]->Holder(now)) {
      holder->id_ = i;
      holders.push_back(*holder);
    }
  }
  for (const auto id : memory_.Pressure().SelectClosed(memory_.Held(), aNeeded,
                                                       std::move(holders))) {
    callers[id]->GiveUpMemory();
  }
}

auto ForwardingProcess::FreePlaces() -> void
{
  const auto now = BootNow();
  if (now - lastPlaceRelief_ < kReliefInterval) {
    return;
  }
  lastPlaceRelief_ = now;
  const std::vector<std::shared_ptr<CallerConnection>> callers(callers_.begin(),
                                                               callers_.end());
  std::vector<PlaceHolder> holders;
  for (std::size_t i = 0; i < callers.size(); ++i) {
    if (auto holder = callers[i]->Place(now)) {
      holder->id_ = i;
      holders.push_back(*holder);
    }
  }
  for (const auto id :
       places_.SelectClosed(callers.size(), std::move(holders))) {
    callers[id]->GiveUpPlace();
  }
}

auto ForwardingProcess::Adapter() const -> const ProtocolAdapter&
{
  return adapter_;
}

auto ForwardingProcess::Log() -> EventLog&
{
  return log_;
}

auto ForwardingProcess::Record(const ExchangeTiming& aTiming) -> void
{
  RequestTiming timing;
  timing.accountName_ = aTiming.account_;
  timing.className_ = aTiming.route_;
  timing.runState_ = aTiming.whole_                    ? RunState::kWhole
                     : aTiming.status_ == kUnavailable ? RunState::kNotRun
                                                       : RunState::kUnknown;
  timing.firstToken_ = aTiming.firstByte_;
  timing.total_ = aTiming.total_;
  metrics_.Record(timing);
}

auto ForwardingProcess::Release(RequestId aRequest) -> void
{
  exchanges_.erase(aRequest);
}

auto ForwardingProcess::Begin(AnswerWriter* aWriter,
                              MessageHead aHead,
                              std::string aBody,
                              Instant aReceived) -> std::shared_ptr<Exchange>
{
  const auto id = nextRequest_++;
  auto exchange = std::make_shared<Exchange>(
    this, aWriter, id, std::move(aHead), std::move(aBody), aReceived);
  exchanges_[id] = exchange;
  return exchange;
}

auto ForwardingProcess::Limits() const -> CallerLimits
{
  return node_.Table()->Limits();
}

auto ForwardingProcess::IsEnding() const -> bool
{
  return stopSince_.has_value();
}

auto ForwardingProcess::OnConfiguration(RouteTablePointer aTable,
                                        std::string aText,
                                        Instant aAsOf) -> void
{
  node_.OnConfiguration(std::move(aTable), std::move(aText), aAsOf);
  Settle();
}

auto ForwardingProcess::OnConfigurationConfirmed(Instant aAsOf) -> void
{
  node_.OnConfigurationConfirmed(aAsOf);
}

auto ForwardingProcess::OnZoneDrains(
  const std::vector<ZoneDrainRecord>& aRecords,
  bool aIsSnapshot,
  std::int64_t aOffset) -> void
{
  node_.OnZoneDrains(aRecords, aIsSnapshot, aOffset, BootNow());
  Settle();
}

auto ForwardingProcess::OnTarget(const std::string& aKey,
                                 RegisteredTarget aTarget) -> void
{
  aTarget.registeredAt_ = BootNow();
  node_.Directory().Put(aKey, std::move(aTarget));
}

auto ForwardingProcess::OnTargetRemoved(const std::string& aKey) -> void
{
  node_.Directory().Remove(aKey, BootNow());
}

auto ForwardingProcess::OnTargets(
  std::vector<std::pair<std::string, RegisteredTarget>> aAll) -> void
{
  const auto now = BootNow();
  for (auto& entry : aAll) {
    entry.second.registeredAt_ = now;
  }
  node_.Directory().Replace(aAll, now);
}

auto ForwardingProcess::OnTargetsInPart(
  std::vector<std::pair<std::string, RegisteredTarget>> aPart) -> void
{
  const auto now = BootNow();
  for (auto& entry : aPart) {
    entry.second.registeredAt_ = now;
  }
  node_.Directory().ReplaceInPart(aPart, now);
}

auto ForwardingProcess::OnTargetListRead(bool aSuccess) -> void
{
  node_.Directory().OnListRead(aSuccess, BootNow());
}

auto ForwardingProcess::OnStoredQuarantine(const StoredQuarantine& aQuarantine)
  -> void
{
  node_.OnStoredQuarantine(aQuarantine, BootNow());
  Settle();
}

auto ForwardingProcess::OnRouters(const std::vector<RouterAddress>& aRouters)
  -> void
{
  node_.OnRouters(aRouters, BootNow());
}

auto ForwardingProcess::OnStoreEpoch(std::optional<std::int64_t> aEpoch)
  -> EpochOrder
{
  return node_.OnStoreEpoch(aEpoch, BootNow());
}

auto ForwardingProcess::TimeToRead(SharedList aList, bool aFirst) -> Duration
{
  return node_.TimeToRead(aList, aFirst, BootNow());
}

auto ForwardingProcess::OnListRead(SharedList aList,
                                   bool aSuccess,
                                   std::optional<wire::ListNews> aNews) -> void
{
  node_.OnListRead(aList, aSuccess, std::move(aNews), BootNow());
  Settle();
}

auto ForwardingProcess::Listen() -> absl::Status
{
  auto status = OpenAcceptor(&acceptor_, settings_.callers_, kListenQueue);
  if (!status.ok()) {
    return status;
  }
  boost::system::error_code error;
  const auto address = asio::ip::make_address(settings_.peers_.host_, error);
  if (!error) {
    peers_.open(asio::ip::udp::v4(), error);
  }
  if (!error) {
    peers_.bind({ address, settings_.peers_.port_ }, error);
  }
  if (error) {
    return absl::UnavailableError(
      fmt::format("cannot bind datagrams on {}:{}: {}", settings_.peers_.host_,
                  settings_.peers_.port_, error.message()));
  }
  peers_.non_blocking(true, error);
  acceptor_.non_blocking(true, error);
  const std::vector<asio::io_context*> contexts{ &context_ };
  readyServer_ = std::make_unique<HttpServer>(
    contexts, HttpLimits{},
    [this](const HttpRequest& /*aRequest*/,
           HttpResponder* aResponder) -> asio::awaitable<void> {
      const int code = node_.IsReady() ? kOk : kUnavailable;
      co_await aResponder->Whole(code, "text/plain", "", HttpFields());
    });
  status = readyServer_->Listen(settings_.ready_);
  if (!status.ok()) {
    return status;
  }
  metricsServer_ = std::make_unique<HttpServer>(
    contexts, HttpLimits{},
    [this](const HttpRequest& aRequest,
           HttpResponder* aResponder) -> asio::awaitable<void> {
      const bool known = aRequest.target() == "/metrics";
      std::string text = known ? MetricsText() : std::string();
      co_await aResponder->Whole(known ? kOk : kNotFound, "text/plain",
                                 std::move(text), HttpFields());
    });
  return metricsServer_->Listen(settings_.metrics_);
}

auto ForwardingProcess::Run() -> void
{
  log_.Write("started", { { "zone", settings_.self_.zoneName_ },
                          { "callers", settings_.callers_.host_ },
                          { "store", settings_.store_.address_.host_ } });
  WaitForSignal();
  WaitForCallers();
  WaitForDatagrams();
  source_.Start();
  ScheduleTick();
  context_.run();
}

} // namespace burdockring
