#ifndef BURDOCKRING_TESTS_SUPPORT_ROUTER_ZONE_H
#define BURDOCKRING_TESTS_SUPPORT_ROUTER_ZONE_H

#include "process/forwarding/forwarding_node.h"
#include "support/forwarding_fixture.h"
#include "wire/envelope_codec.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace burdockring {

/// Simulates the routers of one availability zone with a few engines. All
/// messages between routers are encoded and decoded, and may be lost or
/// duplicated. The load seen by the engines is the ground truth.
class RouterZone
{
public:
  /// Time from an attempt to its first event and, by default, to its end.
  static constexpr Duration kFirstEvent = 30ms;
  static constexpr Duration kRunTime = 200ms;

  struct Options
  {
    int routers_ = 16;
    int targets_ = 8;
    int slots_ = 8;
    double lossRate_ = 0;
    double duplicateRate_ = 0;
    std::uint32_t seed_ = 1;
    bool engines_ = true;
    /// Prompt parts that crash each engine that begins to answer them.
    std::set<std::uint64_t> deadlyParts_ = {};
    /// Time from the first event of such an answer to the crash; without one
    /// the engine crashes before it.
    std::optional<Duration> crashDelay_ = {};
    /// Part of the delay by which it is shortened at most, at random.
    double crashJitter_ = 0;
    /// Time from an attempt to its end.
    Duration runTime_ = kRunTime;
    /// Time between two events of a stream; zero: only the first is seen.
    Duration eventInterval_ = {};
    /// Every other target takes so many times longer for events, the delay and
    /// the run.
    double slowFactor_ = 1;
    /// How long a caller waits.
    Duration patience_ = 10s;
    /// Whether answers are plain, so that they begin when they are whole.
    bool arePlain_ = false;
    /// Whether crashed engines vanish, so that connections time out.
    bool engineVanishes_ = false;
    /// How long an engine is cold after a restart, the rate that it tolerates
    /// then, and the limit of all routers together.
    Duration coldStart_ = {};
    double coldPerSecond_ = 0;
    ColdStartLimits coldLimits_ = {};
    /// Zone of every other target; the rest are in the routers' zone.
    std::string otherTargetZone_ = "near";
  };

  /// How one request went.
  struct Outcome
  {
    Instant arrived_{};
    /// The part of its prompt that crashes engines, if any.
    std::optional<std::uint64_t> deadlyPart_;
    /// When each attempt reached an engine.
    std::vector<Instant> sent_;
    bool beganAtFirstAttempt_ = false;
    /// Status of the error that ended it; 0 without one.
    int status_ = 0;
  };

  static constexpr Duration kStep = 1ms;
  static constexpr int kOtherZones = 5;
  static constexpr int kFirstTargetPort = 8000;
  /// How long a crashed engine refuses connections.
  static constexpr Duration kEngineRestart = 3s;
  /// When a router gives up to connect to an engine that has vanished.
  static constexpr Duration kConnectTimeout = 350ms;

private:
  /// How a refused connection is seen.
  static constexpr AttemptStage kRefusedStage =
    AttemptStage::kConnectionRefused;

  struct Router
  {
    testing::NiceMock<MockEventLog> log_;
    std::unique_ptr<ForwardingNode> node_;
    Instant wake_{};
    bool frozen_ = false;
  };

  struct Message
  {
    std::string host_;
    std::string bytes_;
  };

  struct EngineRun
  {
    std::size_t router_ = 0;
    RequestId request_ = 0;
    int attempt_ = 0;
    TargetId target_;
  };

  /// An attempt whose failure is about to be seen by its router.
  struct BrokenAttempt
  {
    EngineRun run_;
    AttemptStage stage_ = AttemptStage::kSent;
  };

  Options options_;
  Instant now_ = 1s;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<RouterAddress> addresses_;
  std::multimap<Instant, Message> messages_;
  std::multimap<Instant, EngineRun> firstEvents_;
  std::multimap<Instant, EngineRun> ends_;
  /// Events of streams, from the second on.
  std::multimap<Instant, EngineRun> events_;
  std::set<TargetId> slowTargets_;
  /// Runs with a deadly part that have begun, by the time of the crash.
  std::multimap<Instant, EngineRun> deadlyRuns_;
  std::multimap<Instant, BrokenAttempt> broken_;
  /// Engines that refuse connections, with the time until which they do.
  std::map<TargetId, Instant> down_;
  /// When engines crashed, by the part that did it; 0 for other crashes.
  std::map<std::uint64_t, std::vector<Instant>> crashes_;
  std::map<RequestId, Outcome> outcomes_;
  std::map<TargetId, int> running_;
  /// When requests reached each engine, and until when engines are cold.
  std::map<TargetId, std::vector<Instant>> arrivals_;
  std::map<TargetId, Instant> coldUntil_;
  int maxColdArrivals_ = 0;
  /// The quarantines in the store.
  std::map<PartIds, StoredQuarantine> stored_;
  std::map<std::string, std::size_t> hosts_;
  std::mt19937 random_;
  RequestId nextRequest_ = 1;
  int maxRunning_ = 0;
  std::int64_t datagrams_ = 0;
  int starts_ = 0;
  int failedRequests_ = 0;

  [[nodiscard]] static auto HostOf(int aRouter) -> std::string
  {
    return "10.0." + std::to_string(aRouter / 250) + "." +
           std::to_string(aRouter % 250 + 1);
  }

  auto Draw(double aProbability) -> bool
  {
    return std::uniform_real_distribution<double>(0, 1)(random_) < aProbability;
  }

  auto AddRouter(int aNumber) -> void
  {
    RouterAddress address;
    address.name_ = "router-" + std::to_string(aNumber);
    address.id_ = MakeId<RouterId>(address.name_);
    address.zone_ = MakeId<ZoneId>("near");
    address.host_ = HostOf(aNumber);
    address.peerPort_ = 7400;
    // In a large zone the two large routers are the leads.
    address.millicores_ = aNumber < 2 ? 500 : 120;
    addresses_.push_back(address);
    hosts_[address.host_] = routers_.size();
    routers_.push_back(std::make_unique<Router>());
    Start(routers_.size() - 1, 1);
  }

  auto Start(std::size_t aRouter, std::int64_t aIncarnation) -> void
  {
    auto& router = *routers_[aRouter];
    ForwardingOptions options;
    options.retries_ = { 0.2, 1000, 10s };
    options.coldStarts_ = options_.coldLimits_;
    router.node_ = std::make_unique<ForwardingNode>(
      options, addresses_[aRouter], aIncarnation, &router.log_);
    for (int i = 0; i < options_.targets_; ++i) {
      const auto name = "t" + std::to_string(i);
      auto target = MakeTarget(name, "pool", options_.slots_,
                               i % 2 == 1 ? options_.otherTargetZone_ : "near");
      target.coldLeft_ = 0us;
      target.port_ = static_cast<std::uint16_t>(kFirstTargetPort + i);
      router.node_->Directory().Put(name, target);
    }
    router.node_->OnConfiguration(MakeTable(5, options_.engines_, 0, 0.007, 0us,
                                            options_.coldStart_,
                                            options_.coldPerSecond_),
                                  "text", now_);
  }

  auto SendDatagrams(const SendToRouters& aEffect) -> void
  {
    const auto bytes = wire::EncodeEnvelope(aEffect.envelope_);
    for (const auto& place : aEffect.routers_) {
      ++datagrams_;
      if (Draw(options_.lossRate_)) {
        continue;
      }
      messages_.emplace(now_ + kStep, Message{ place.host_, bytes });
      if (Draw(options_.duplicateRate_)) {
        messages_.emplace(now_ + 7 * kStep, Message{ place.host_, bytes });
      }
    }
  }

  auto Apply(std::size_t aRouter) -> void
  {
    auto& node = *routers_[aRouter]->node_;
    for (auto effects = node.TakeEffects(); !effects.empty();
         effects = node.TakeEffects()) {
      for (const auto& effect : effects) {
        if (const auto* send = std::get_if<SendToRouters>(&effect)) {
          SendDatagrams(*send);
        } else if (const auto* attempt = std::get_if<SendAttempt>(&effect)) {
          StartRun(aRouter, *attempt);
        } else if (const auto* failed = std::get_if<FailRequest>(&effect)) {
          ++failedRequests_;
          outcomes_[failed->request_].status_ = failed->status_;
        } else if (const auto* store = std::get_if<StoreQuarantine>(&effect)) {
          if (store->isInForce_) {
            stored_[store->quarantine_.parts_] = store->quarantine_;
          } else {
            stored_.erase(store->quarantine_.parts_);
          }
        } else if (const auto* abort = std::get_if<AbortAttempt>(&effect)) {
          EndRuns([&](const EngineRun& aRun) {
            return aRun.request_ == abort->request_;
          });
        }
      }
    }
    routers_[aRouter]->wake_ = node.NextWake(now_);
  }

  auto StartRun(std::size_t aRouter, const SendAttempt& aAttempt) -> void
  {
    ++starts_;
    const EngineRun run{ aRouter, aAttempt.request_, aAttempt.attempt_,
                         aAttempt.target_ };
    if (IsDown(run.target_)) {
      if (options_.engineVanishes_) {
        broken_.emplace(now_ + kConnectTimeout,
                        BrokenAttempt{ run, AttemptStage::kUnsent });
      } else {
        broken_.emplace(now_ + kStep, BrokenAttempt{ run, kRefusedStage });
      }
      return;
    }
    outcomes_[run.request_].sent_.push_back(now_);
    RecordArrival(run.target_);
    routers_[aRouter]->node_->OnAttemptSent(run.request_, run.attempt_);
    maxRunning_ = std::max(maxRunning_, ++running_[run.target_]);
    firstEvents_.emplace(now_ + kFirstEvent, run);
    ends_.emplace(now_ + AtTarget(run.target_, options_.runTime_), run);
  }

  /// How long the target takes for what lasts aTime at others.
  auto AtTarget(TargetId aTarget, Duration aTime) const -> Duration
  {
    return slowTargets_.contains(aTarget)
             ? ScaleDuration(aTime, options_.slowFactor_)
             : aTime;
  }

  auto CrashDelay(TargetId aTarget) -> Duration
  {
    auto delay = AtTarget(aTarget, *options_.crashDelay_);
    if (options_.crashJitter_ > 0) {
      std::uniform_real_distribution<double> part(1 - options_.crashJitter_, 1);
      delay = ScaleDuration(delay, part(random_));
    }
    return delay;
  }

  [[nodiscard]] auto IsRunning(const EngineRun& aRun) const -> bool
  {
    return std::any_of(ends_.begin(), ends_.end(), [&](const auto& aEntry) {
      return aEntry.second.request_ == aRun.request_ &&
             aEntry.second.attempt_ == aRun.attempt_;
    });
  }

  auto ForwardEvent(const EngineRun& aRun) -> void
  {
    if (!IsRunning(aRun)) {
      return;
    }
    routers_[aRun.router_]->node_->OnEventsForwarded(aRun.request_,
                                                     aRun.attempt_, 1, now_);
    events_.emplace(now_ + AtTarget(aRun.target_, options_.eventInterval_),
                    aRun);
  }

  /// Records how many requests a cold engine got within the last second.
  auto RecordArrival(TargetId aTarget) -> void
  {
    auto& times = arrivals_[aTarget];
    times.push_back(now_);
    std::erase_if(times, [&](Instant aAt) { return aAt <= now_ - 1s; });
    const auto cold = coldUntil_.find(aTarget);
    if (cold == coldUntil_.end() || now_ >= cold->second) {
      return;
    }
    const auto coldFrom = cold->second - options_.coldStart_;
    const auto count = static_cast<int>(
      std::count_if(times.begin(), times.end(),
                    [&](Instant aAt) { return aAt >= coldFrom; }));
    maxColdArrivals_ = std::max(maxColdArrivals_, count);
  }

  /// Removes the runs that match and returns them.
  template<typename Matches>
  auto EndRuns(Matches aMatches) -> std::vector<BrokenAttempt>
  {
    std::set<RequestId> notBegun;
    std::erase_if(firstEvents_, [&](const auto& aEntry) {
      const bool isMatch = aMatches(aEntry.second);
      if (isMatch) {
        notBegun.insert(aEntry.second.request_);
      }
      return isMatch;
    });
    std::vector<BrokenAttempt> ended;
    std::erase_if(ends_, [&](const auto& aEntry) {
      const auto& run = aEntry.second;
      const bool isMatch = aMatches(run);
      if (isMatch) {
        --running_[run.target_];
        ended.push_back({ run, notBegun.contains(run.request_)
                                 ? AttemptStage::kSent
                                 : AttemptStage::kResponding });
      }
      return isMatch;
    });
    return ended;
  }

  /// Breaks the connections of all runs at the engine. aStage: how their
  /// routers see it; empty: as a reset.
  auto BreakConnections(TargetId aTarget, std::optional<AttemptStage> aStage)
    -> void
  {
    for (auto& ended : EndRuns(
           [&](const EngineRun& aRun) { return aRun.target_ == aTarget; })) {
      ended.stage_ = aStage.value_or(ended.stage_);
      broken_.emplace(now_ + kStep, ended);
    }
  }

  auto IsDown(TargetId aTarget) -> bool
  {
    const auto down = down_.find(aTarget);
    return down != down_.end() && now_ < down->second;
  }

  auto BeginAnswer(const EngineRun& aRun) -> void
  {
    auto& outcome = outcomes_[aRun.request_];
    if (outcome.deadlyPart_ && !options_.crashDelay_) {
      // The run itself is not yet seen to begin.
      firstEvents_.emplace(now_ + options_.runTime_, aRun);
      CrashEngine(aRun.target_, *outcome.deadlyPart_);
      return;
    }
    if (outcome.deadlyPart_) {
      deadlyRuns_.emplace(now_ + CrashDelay(aRun.target_), aRun);
    }
    auto& node = *routers_[aRun.router_]->node_;
    node.OnResponseHead(aRun.request_, aRun.attempt_, now_);
    if (!options_.arePlain_) {
      outcome.beganAtFirstAttempt_ = outcome.sent_.size() == 1;
      node.OnResponseStarted(aRun.request_, aRun.attempt_, now_);
    }
    if (options_.eventInterval_ > 0us) {
      ForwardEvent(aRun);
    }
    Apply(aRun.router_);
  }

  auto EndAnswer(const EngineRun& aRun) -> void
  {
    --running_[aRun.target_];
    auto& node = *routers_[aRun.router_]->node_;
    if (options_.arePlain_) {
      auto& outcome = outcomes_[aRun.request_];
      outcome.beganAtFirstAttempt_ = outcome.sent_.size() == 1;
      node.OnResponseStarted(aRun.request_, aRun.attempt_, now_);
    }
    node.OnResponseComplete(aRun.request_, aRun.attempt_, true, now_);
    Apply(aRun.router_);
  }

  /// Crashes the engine if it still runs the request.
  auto CrashByRun(const EngineRun& aRun) -> void
  {
    if (IsRunning(aRun)) {
      CrashEngine(aRun.target_, *outcomes_[aRun.request_].deadlyPart_);
    }
  }

  template<typename Map, typename Action>
  auto TakeDue(Map* aMap, Action aAction) -> void
  {
    while (!aMap->empty() && aMap->begin()->first <= now_) {
      const auto item = aMap->begin()->second;
      aMap->erase(aMap->begin());
      aAction(item);
    }
  }

  auto Step() -> void
  {
    now_ += kStep;
    TakeDue(&messages_, [&](const Message& aMessage) {
      const auto host = hosts_.find(aMessage.host_);
      if (host == hosts_.end()) {
        return;
      }
      const auto index = host->second;
      const auto envelope = wire::DecodeEnvelope(aMessage.bytes_);
      if (!routers_[index]->frozen_ && envelope.ok()) {
        routers_[index]->node_->OnPeer(*envelope, now_);
        Apply(index);
      }
    });
    TakeDue(&firstEvents_, [&](const EngineRun& aRun) { BeginAnswer(aRun); });
    TakeDue(&broken_, [&](const BrokenAttempt& aBroken) {
      const auto& run = aBroken.run_;
      routers_[run.router_]->node_->OnAttemptFailed(
        run.request_, run.attempt_, aBroken.stage_, "connection ended early",
        now_);
      Apply(run.router_);
    });
    TakeDue(&events_, [&](const EngineRun& aRun) { ForwardEvent(aRun); });
    TakeDue(&deadlyRuns_, [&](const EngineRun& aRun) { CrashByRun(aRun); });
    TakeDue(&ends_, [&](const EngineRun& aRun) { EndAnswer(aRun); });
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      auto& router = *routers_[i];
      if (!router.frozen_ && router.wake_ <= now_) {
        router.node_->OnConfigurationConfirmed(now_);
        router.node_->Tick(now_);
        Apply(i);
      }
    }
  }

public:
  explicit RouterZone(const Options& aOptions)
    : options_(aOptions)
    , random_(aOptions.seed_)
  {
    for (int i = 0; i < options_.routers_; ++i) {
      AddRouter(i);
    }
    for (int i = 1; i < options_.targets_; i += 2) {
      slowTargets_.insert(MakeId<TargetId>("t" + std::to_string(i)));
    }
    // Unreachable routers of other zones: in a fleet of several zones each zone
    // has few leads.
    for (int i = 0; i < kOtherZones; ++i) {
      auto far = addresses_.front();
      far.name_ = "far-" + std::to_string(i);
      far.id_ = MakeId<RouterId>(far.name_);
      far.zone_ = MakeId<ZoneId>(far.name_);
      far.host_ = "192.168.0." + std::to_string(i + 1);
      addresses_.push_back(far);
    }
    for (auto& router : routers_) {
      router->node_->OnRouters(addresses_, now_);
    }
  }

  auto Run(Duration aTime) -> void
  {
    for (const auto end = now_ + aTime; now_ < end;) {
      Step();
    }
  }

  /// Ends an engine and all its runs; it restarts after kEngineRestart.
  auto CrashEngine(TargetId aTarget, std::uint64_t aPart = 0) -> void
  {
    crashes_[aPart].push_back(now_);
    down_[aTarget] = now_ + kEngineRestart;
    coldUntil_[aTarget] = down_[aTarget] + options_.coldStart_;
    for (const auto& ended : EndRuns(
           [&](const EngineRun& aRun) { return aRun.target_ == aTarget; })) {
      broken_.emplace(now_ + kStep, ended);
    }
  }

  /// Has the engine turn cold without a sign.
  auto TurnCold(TargetId aTarget) -> void
  {
    coldUntil_[aTarget] = now_ + options_.coldStart_;
  }

  /// Breaks the connections of all runs at the engine, which stays up.
  auto ResetConnections(TargetId aTarget) -> void
  {
    BreakConnections(aTarget, std::nullopt);
  }

  /// The same where the connections go silent and time out.
  auto CutConnections(TargetId aTarget) -> void
  {
    BreakConnections(aTarget, AttemptStage::kTimedOut);
  }

  /// Sends a request of account "a" to a router.
  auto Arrive(std::size_t aRouter,
              int aPromptTokens = 500,
              std::vector<PromptPart> aParts = {}) -> RequestId
  {
    IncomingRequest arrival;
    arrival.id_ = nextRequest_++;
    arrival.host_ = "h";
    arrival.target_ = options_.arePlain_ ? "/read/x" : "/talk/x";
    arrival.facts_.attemptId_ = "id-" + std::to_string(arrival.id_);
    arrival.facts_.key_ = "key-a";
    arrival.facts_.patience_ = options_.patience_;
    arrival.facts_.promptTokens_ = aPromptTokens;
    arrival.facts_.maxOutputTokens_ = 20;
    arrival.received_ = now_;
    const auto id = arrival.id_;
    auto& outcome = outcomes_[id];
    outcome.arrived_ = now_;
    for (const auto& part : aParts) {
      if (options_.deadlyParts_.contains(part.id_)) {
        outcome.deadlyPart_ = part.id_;
      }
    }
    arrival.facts_.parts_ = std::move(aParts);
    routers_[aRouter]->node_->OnArrival(std::move(arrival), now_);
    Apply(aRouter);
    return id;
  }

  auto Freeze(std::size_t aRouter, bool aFrozen) -> void
  {
    routers_[aRouter]->frozen_ = aFrozen;
  }

  /// Replaces the router's process by a new one without state.
  auto Restart(std::size_t aRouter, std::int64_t aIncarnation) -> void
  {
    std::erase_if(firstEvents_, [&](const auto& aEntry) {
      return aEntry.second.router_ == aRouter;
    });
    std::erase_if(ends_, [&](const auto& aEntry) {
      const bool gone = aEntry.second.router_ == aRouter;
      running_[aEntry.second.target_] -= gone ? 1 : 0;
      return gone;
    });
    Start(aRouter, aIncarnation);
    routers_[aRouter]->node_->OnRouters(addresses_, now_);
    Apply(aRouter);
  }

  /// Replaces all processes at once, without state.
  auto RestartAll(std::int64_t aIncarnation) -> void
  {
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      Restart(i, aIncarnation);
    }
    messages_.clear();
  }

  /// Has each router read the quarantines from the store.
  auto ReadStoredQuarantines() -> void
  {
    for (auto& router : routers_) {
      for (const auto& entry : stored_) {
        router->node_->OnStoredQuarantine(entry.second, now_);
      }
    }
  }

  [[nodiscard]] auto StoredQuarantines() const
    -> const std::map<PartIds, StoredQuarantine>&
  {
    return stored_;
  }
  [[nodiscard]] auto Node(std::size_t aRouter) -> ForwardingNode&
  {
    return *routers_[aRouter]->node_;
  }
  [[nodiscard]] auto Now() const -> Instant { return now_; }
  /// When engines crashed, in order, by the part that did it; 0 for others.
  [[nodiscard]] auto Crashes() const
    -> const std::map<std::uint64_t, std::vector<Instant>>&
  {
    return crashes_;
  }
  [[nodiscard]] auto Outcomes() const -> const std::map<RequestId, Outcome>&
  {
    return outcomes_;
  }
  [[nodiscard]] auto Starts() const -> int { return starts_; }
  [[nodiscard]] auto FailedRequests() const -> int { return failedRequests_; }
  [[nodiscard]] auto MaxRunning() const -> int { return maxRunning_; }
  /// Most requests that reached a cold engine within one second.
  [[nodiscard]] auto MaxColdArrivals() const -> int { return maxColdArrivals_; }
  /// Requests that reached the engine within the last second.
  [[nodiscard]] auto RecentArrivals(TargetId aTarget) const -> int
  {
    const auto found = arrivals_.find(aTarget);
    return found == arrivals_.end()
             ? 0
             : static_cast<int>(
                 std::count_if(found->second.begin(), found->second.end(),
                               [&](Instant aAt) { return aAt > now_ - 1s; }));
  }
  [[nodiscard]] auto Datagrams() const -> std::int64_t { return datagrams_; }
  [[nodiscard]] auto RunningAt(TargetId aTarget) const -> int
  {
    const auto found = running_.find(aTarget);
    return found == running_.end() ? 0 : found->second;
  }
  /// Number of requests running at a target according to a router.
  [[nodiscard]] auto ReportedRunningAt(std::size_t aRouter, TargetId aTarget)
    -> int
  {
    const auto* load = Node(aRouter).WorkDispatcher().Loads().Find(aTarget);
    return load == nullptr ? 0 : load->Total().running_;
  }
};

} // namespace burdockring

#endif
