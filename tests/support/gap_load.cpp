#include "support/gap_load.h"

#include "request/event_gap_meter.h"
#include "support/forwarding_fixture.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace burdockring {
namespace {

constexpr Duration kTickInterval = 5ms;
constexpr Duration kStart = 1s;
/// Quarter of a wave in which more requests arrive.
constexpr int kWaveParts = 4;

auto ToMs(Duration aTime) -> double
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

/// One request from its arrival to its last event.
struct TrackedRequest
{
  std::size_t lead_ = 0;
  Instant arrival_{};
  bool isStream_ = false;
  BatchJob job_;
  EventGapMeter gaps_;
  bool hasFirstEvent_ = false;
};

class GapReplay
{
  GapLoad load_;
  std::mt19937 random_;
  TargetDirectory directory_;
  std::map<TargetId, BatchEngine> engines_;
  std::vector<TargetId> order_;
  std::map<TargetId, std::int64_t> recentlyRead_;
  std::map<TargetId, std::int64_t> readBefore_;
  Instant observedAt_{};
  std::vector<std::unique_ptr<Dispatcher>> leads_;
  std::map<RequestId, TrackedRequest> requests_;
  /// Load reports on their way, by the time at which they arrive.
  std::multimap<Instant, std::pair<std::size_t, wire::LoadReport>> reports_;
  std::vector<Duration> firstEvents_;
  GapLoadResult result_;
  RequestId nextId_ = 1;
  std::size_t nextLead_ = 0;

  [[nodiscard]] auto DeclaredLimit() const -> Duration
  {
    return load_.method_ == GapMethod::kPaced ? load_.limit_ : Duration(0);
  }

  [[nodiscard]] auto MakeRoutes() const -> RouteTablePointer
  {
    RoutedService service;
    service.name_ = "pool";
    service.id_ = MakeId<ServiceId>("pool");
    service.isEngine_ = true;
    service.memoryTokens_ = 2'000'000;
    auto route = MakeRoute("talk", RouteKind::kStream);
    route.latencyObjective_ = load_.objective_;
    route.maxEventGap_ = DeclaredLimit();
    constexpr double kMsPerSecond = 1000;
    return RouteTableBuilder(1)
      .AddService(service)
      .AddRoute(route)
      .SetTokensPerSecond(load_.figures_.readTokensPerMs_ * kMsPerSecond *
                          load_.engines_)
      .Build();
  }

  auto SetUp() -> void
  {
    for (int i = 0; i < load_.engines_; ++i) {
      const auto name = "e" + std::to_string(i);
      const auto target = MakeTarget(name, "pool", load_.slots_);
      directory_.Put(name, target);
      engines_.emplace(target.id_, BatchEngine(load_.figures_));
      order_.push_back(target.id_);
    }
    for (int i = 0; i < load_.leads_; ++i) {
      leads_.push_back(std::make_unique<Dispatcher>(
        &directory_, MakeId<ZoneId>("near"),
        load_.seed_ + static_cast<std::uint32_t>(i)));
      leads_.back()->SetTable(MakeRoutes());
    }
  }

  /// Engines that the method excludes for a request.
  auto ExcludedEngines(bool aIsStream) -> std::vector<TargetId>
  {
    const auto split = static_cast<std::ptrdiff_t>(load_.promptEngines_);
    if (load_.method_ == GapMethod::kSeparateEngines) {
      return aIsStream ? std::vector(order_.begin(), order_.begin() + split)
                       : std::vector(order_.begin() + split, order_.end());
    }
    if (load_.method_ != GapMethod::kStreamsAvoidReaders || !aIsStream) {
      return {};
    }
    auto engines = order_;
    std::stable_sort(engines.begin(), engines.end(),
                     [&](TargetId aLeft, TargetId aRight) {
                       return recentlyRead_[aLeft] > recentlyRead_[aRight];
                     });
    engines.resize(engines.size() / 2);
    return engines;
  }

  /// Updates the tokens that each engine read in the last second.
  auto ObserveReading(Instant aNow) -> void
  {
    if (aNow - observedAt_ < 1s) {
      return;
    }
    observedAt_ = aNow;
    for (const auto& entry : engines_) {
      const auto read = entry.second.TokensRead();
      recentlyRead_[entry.first] = read - readBefore_[entry.first];
      readBefore_[entry.first] = read;
    }
  }

  /// Uniform in [0, 1).
  auto Draw() -> double
  {
    constexpr double kRange = 4294967296.0;
    return static_cast<double>(random_()) / kRange;
  }

  auto NextArrival(double aPerSecond, Instant aNow) -> Instant
  {
    const bool isHigh = (aNow % load_.wave_) * kWaveParts < load_.wave_;
    const double rate = aPerSecond * (isHigh ? load_.waveHeight_ : 1.0);
    const double draw = Draw();
    const double seconds = -std::log(1.0 - draw) / rate;
    return aNow + std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(seconds));
  }

  auto Arrive(bool aIsStream, Instant aNow) -> void
  {
    TrackedRequest request;
    request.lead_ = nextLead_;
    nextLead_ = (nextLead_ + 1) % leads_.size();
    request.arrival_ = aNow;
    request.isStream_ = aIsStream;
    auto& job = request.job_;
    job.id_ = static_cast<std::int64_t>(nextId_++);
    // Lengths vary by half of the mean.
    const double length = 0.5 + Draw();
    const double output = 0.5 + Draw();
    const auto prefix = random_() % static_cast<unsigned>(load_.prefixes_);
    int own = static_cast<int>(load_.streamPrompt_ * length);
    job.outputTokens_ = static_cast<int>(load_.streamOutput_ * output);
    if (!aIsStream) {
      own =
        static_cast<int>((load_.promptTokens_ - load_.sharedTokens_) * length);
      job.outputTokens_ = static_cast<int>(load_.promptOutput_ * output);
      job.parts_.push_back({ prefix + 1, load_.sharedTokens_ });
    }
    constexpr std::uint64_t kOwnParts = 1'000'000;
    job.parts_.push_back(
      { kOwnParts + static_cast<std::uint64_t>(job.id_), own });
    job.promptTokens_ = own + (aIsStream ? 0 : load_.sharedTokens_);

    WorkItem item;
    item.id_ = static_cast<RequestId>(job.id_);
    item.account_ = MakeId<AccountId>(aIsStream ? "a" : "b");
    item.service_ = MakeId<ServiceId>("pool");
    item.arrival_ = aNow;
    item.latencyObjective_ = load_.objective_;
    item.maxEventGap_ = DeclaredLimit();
    item.deadline_ = aNow + 15s;
    item.promptTokens_ = job.promptTokens_;
    item.outputTokens_ = job.outputTokens_;
    item.parts_ = job.parts_;
    item.triedTargets_ = ExcludedEngines(aIsStream);
    ++result_.arrived_;
    const auto lead = request.lead_;
    requests_.emplace(item.id_, std::move(request));
    leads_.at(lead)->Submit(std::move(item), aNow);
    ApplyDecisions(lead, aNow);
  }

  auto ApplyDecisions(std::size_t aLead, Instant aNow) -> void
  {
    for (const auto& decision : leads_.at(aLead)->TakeDecisions()) {
      if (const auto* start = std::get_if<StartDecision>(&decision)) {
        engines_.at(start->target_)
          .Add(requests_.at(start->request_).job_, aNow);
        continue;
      }
      ++result_.rejected_;
      requests_.erase(std::get<RejectDecision>(decision).request_);
    }
  }

  auto HandleEvent(const BatchEvent& aEvent, Instant aNow) -> void
  {
    const auto id = static_cast<RequestId>(aEvent.id_);
    auto& request = requests_.at(id);
    auto& lead = *leads_.at(request.lead_);
    if (!std::exchange(request.hasFirstEvent_, true)) {
      firstEvents_.push_back(aNow - request.arrival_);
      result_.lateFirstEvents_ +=
        aNow - request.arrival_ > load_.objective_ ? 1 : 0;
      lead.OnFirstEvent(id, aNow);
    }
    const auto gap = request.gaps_.OnEvents(aNow);
    if (gap && DeclaredLimit() > 0us) {
      lead.LearnEventGap(MakeId<ServiceId>("pool"), *gap);
    }
    if (!aEvent.isLast_) {
      return;
    }
    ++result_.ran_;
    const int over = request.gaps_.Longest() > load_.limit_ ? 1 : 0;
    if (request.isStream_) {
      ++result_.streams_;
      result_.streamsOverLimit_ += over;
    } else {
      result_.promptsOverLimit_ += over;
    }
    lead.OnRunEnd(id, RunOutcome::kCompleted, aNow);
    requests_.erase(id);
  }

  auto RunEngines(Instant aUntil) -> void
  {
    for (;;) {
      std::optional<TargetId> first;
      Instant at = aUntil;
      for (const auto& entry : engines_) {
        const auto end = entry.second.StepEnd();
        if (end && *end <= at) {
          first = entry.first;
          at = *end;
        }
      }
      if (!first) {
        return;
      }
      for (const auto& event : engines_.at(*first).EndStep()) {
        HandleEvent(event, at);
      }
    }
  }

  auto Tick(Instant aNow) -> void
  {
    ObserveReading(aNow);
    while (!reports_.empty() && reports_.begin()->first <= aNow) {
      const auto& sent = reports_.begin()->second;
      for (std::size_t lead = 0; lead < leads_.size(); ++lead) {
        if (lead != sent.first) {
          leads_[lead]->OnPeerReport(
            RouterId{ static_cast<std::int32_t>(sent.first) + 1 }, sent.second,
            aNow);
        }
      }
      reports_.erase(reports_.begin());
    }
    for (std::size_t lead = 0; lead < leads_.size(); ++lead) {
      leads_[lead]->Tick(aNow);
      leads_[lead]->RetryWaiting(aNow);
      ApplyDecisions(lead, aNow);
      if (leads_.size() > 1 && leads_[lead]->HasLoadChanged()) {
        reports_.emplace(
          aNow + load_.reportDelay_,
          std::pair(lead, leads_[lead]->MakeReport(false, aNow)));
      }
    }
  }

public:
  explicit GapReplay(const GapLoad& aLoad)
    : load_(aLoad)
    , random_(aLoad.seed_)
  {
    SetUp();
  }

  auto Run() -> GapLoadResult
  {
    Instant prompt = NextArrival(load_.promptsPerSecond_, kStart);
    Instant stream = NextArrival(load_.streamsPerSecond_, kStart);
    Instant tick = kStart;
    const Instant end = kStart + load_.length_;
    while (tick < end) {
      const auto now = std::min({ prompt, stream, tick });
      RunEngines(now);
      if (now == prompt) {
        Arrive(false, now);
        prompt = NextArrival(load_.promptsPerSecond_, now);
      } else if (now == stream) {
        Arrive(true, now);
        stream = NextArrival(load_.streamsPerSecond_, now);
      } else {
        Tick(now);
        tick += kTickInterval;
      }
    }
    std::sort(firstEvents_.begin(), firstEvents_.end());
    if (!firstEvents_.empty()) {
      result_.firstEventP50Ms_ = ToMs(firstEvents_[firstEvents_.size() / 2]);
      result_.firstEventP99Ms_ =
        ToMs(firstEvents_[firstEvents_.size() * 99 / 100]);
    }
    for (const auto& entry : engines_) {
      result_.tokensRead_ += entry.second.TokensRead();
    }
    return result_;
  }
};

} // namespace

auto GapLoadResult::OverLimitShare() const -> double
{
  return streams_ == 0 ? 0.0
                       : static_cast<double>(streamsOverLimit_) / streams_;
}

auto GapLoadResult::ToText() const -> std::string
{
  return fmt::format(
    "arrived {} rejected {} late first events {} long streams {} over the "
    "limit {} ({:.3f}) others over it {} first event p50 {:.0f} ms p99 {:.0f} "
    "ms read {} tokens",
    arrived_, rejected_, lateFirstEvents_, streams_, streamsOverLimit_,
    OverLimitShare(), promptsOverLimit_, firstEventP50Ms_, firstEventP99Ms_,
    tokensRead_);
}

auto ReplayGapLoad(const GapLoad& aLoad) -> GapLoadResult
{
  return GapReplay(aLoad).Run();
}

} // namespace burdockring
