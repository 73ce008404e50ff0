#include "measure/balance_model.h"

#include "measure/event_queue.h"
#include "process/placement/even_load.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <vector>

namespace burdockring {
namespace {

constexpr int kEngines = 60;
constexpr double kLoad = 0.75;
constexpr Duration kWarmUp = 500ms;
constexpr Duration kLength = 10s;
constexpr Duration kSampleInterval = 37ms;
/// Speeds of unequal engines, relative to the mean.
constexpr double kSlowest = 0.6;
constexpr double kFastest = 1.4;
/// Prefill of prompts without a cached part, and how many of ten have it.
constexpr std::array<Duration, 10> kWork{ 5ms,  5ms,  5ms,  5ms,  15ms,
                                          15ms, 15ms, 30ms, 30ms, 75ms };
constexpr Duration kMeanWork = 20ms;
/// Prefill of a shared part where it is not cached, and what it costs to
/// compute it again elsewhere.
constexpr Duration kPartWork = 15ms;
constexpr Duration kRecomputeCost = 39ms;
constexpr Duration kRankPenalty = 20ms;
constexpr int kParts = 240;
/// Greatest uncertainty that the turns are spread over.
constexpr Duration kMaxUncertainty = 60ms;
/// Transit of an announcement.
constexpr Duration kTransit = 2ms;
/// A discounted report counts by a third after this time.
constexpr Duration kDiscountTime = 40ms;
/// What another router's engine must be better by.
constexpr Duration kLeavePartition = 20ms;

auto ToMs(Duration aTime) -> double
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

auto Over(Duration aWork, double aSpeed) -> Duration
{
  return Duration(std::llround(static_cast<double>(aWork.count()) / aSpeed));
}

/// What one router knows of one engine.
struct View
{
  Duration own_{};
  int ownCount_ = 0;
  /// Work and requests of other routers, as of the age of the case.
  Duration others_{};
  int othersCount_ = 0;
  /// What the engine's own report adds to others_, as of reportedAt_.
  Duration correction_{};
  Instant reportedAt_{};
  double turn_ = 0;
};

struct Engine
{
  double speed_ = 1;
  Instant freeAt_{};
  int count_ = 0;
};

struct Request
{
  int router_ = 0;
  Duration work_{};
  Duration partWork_{};
  int firstEngine_ = -1;
  int secondEngine_ = -1;

  [[nodiscard]] auto IsCachedAt(int aEngine) const -> bool
  {
    return aEngine == firstEngine_ || aEngine == secondEngine_;
  }
};

class BalanceModel
{
  BalanceCase case_;
  BalanceMethod method_;
  EventQueue queue_;
  /// Draws of the load, and those of the methods, so that all methods get the
  /// same load.
  std::mt19937_64 load_;
  std::mt19937_64 choice_;
  std::vector<Engine> engines_;
  /// One row of engines for each router.
  std::vector<std::vector<View>> views_;
  /// The others' work that each router knows of, at all engines.
  std::vector<Duration> othersSums_;
  double totalSpeed_ = 0;
  std::vector<Duration> waits_;
  int sharedCount_ = 0;
  int cachedCount_ = 0;
  double peakSum_ = 0;
  double meanSum_ = 0;
  double idleSum_ = 0;
  int samples_ = 0;

  static auto Below(std::mt19937_64* aRandom, int aCount) -> int
  {
    return static_cast<int>((*aRandom)() % static_cast<std::uint64_t>(aCount));
  }

  auto At(int aEngine) -> Engine&
  {
    return engines_[static_cast<std::size_t>(aEngine)];
  }

  auto ViewOf(int aRouter, int aEngine) -> View&
  {
    return views_[static_cast<std::size_t>(aRouter)]
                 [static_cast<std::size_t>(aEngine)];
  }

  /// What other routers place at an average engine within the age.
  [[nodiscard]] auto Unseen() const -> UnseenLoad
  {
    const auto all = Over(case_.age_, 1.0 / kLoad);
    return { case_.age_, all * (case_.routers_ - 1) / case_.routers_,
             kMeanWork };
  }

  auto ServiceTime(const Request& aRequest, int aEngine) -> Duration
  {
    const auto part =
      aRequest.IsCachedAt(aEngine) ? Duration(0) : aRequest.partWork_;
    return Over(aRequest.work_ + part, At(aEngine).speed_);
  }

  static auto Penalty(const Request& aRequest, int aEngine) -> Duration
  {
    if (aRequest.firstEngine_ < 0 || aEngine == aRequest.firstEngine_) {
      return 0us;
    }
    return aEngine == aRequest.secondEngine_
             ? Duration(kRankPenalty)
             : kRecomputeCost + 2 * kRankPenalty;
  }

  /// Backlog of an engine as the router knows it.
  auto Backlog(int aRouter, int aEngine) -> Duration
  {
    const auto& engine = At(aEngine);
    const auto& view = ViewOf(aRouter, aEngine);
    switch (method_) {
      case BalanceMethod::kPerfect:
        return std::max<Duration>(engine.freeAt_ - queue_.Now(), 0us);
      case BalanceMethod::kTurns: {
        const auto reportAge = queue_.Now() - view.reportedAt_;
        auto others = view.others_;
        if (reportAge < case_.age_) {
          others += Over(view.correction_,
                         1.0 / (1.0 - ToMs(reportAge) / ToMs(case_.age_)));
        }
        return BacklogNow(Over(view.own_, engine.speed_),
                          Over(std::max<Duration>(others, 0us), engine.speed_),
                          std::min<Duration>(reportAge, case_.age_));
      }
      case BalanceMethod::kDiscount: {
        const auto mean =
          othersSums_[static_cast<std::size_t>(aRouter)] / kEngines;
        const double weight = std::exp(-ToMs(case_.age_) / ToMs(kDiscountTime));
        return Over(view.own_ + mean, engine.speed_) +
               Over(view.others_ - mean, engine.speed_ / weight);
      }
      default:
        return Over(view.own_ + view.others_, engine.speed_);
    }
  }

  static auto Least(const std::vector<Duration>& aCosts) -> int
  {
    return static_cast<int>(std::min_element(aCosts.begin(), aCosts.end()) -
                            aCosts.begin());
  }

  auto DrawWeighted(const std::vector<Duration>& aCosts) -> int
  {
    const auto limit =
      aCosts[static_cast<std::size_t>(Least(aCosts))] + Unseen().expected_;
    std::vector<double> weights;
    for (int i = 0; i < kEngines; ++i) {
      const auto margin = limit - aCosts[static_cast<std::size_t>(i)];
      weights.push_back(
        static_cast<double>(margin < 0us ? 0 : margin.count() + 1) *
        At(i).speed_);
    }
    std::discrete_distribution<int> draw(weights.begin(), weights.end());
    return draw(choice_);
  }

  auto Predict(const Request& aRequest, std::vector<Duration> aCosts) -> int
  {
    std::vector<Duration> ends;
    for (int i = 0; i < kEngines; ++i) {
      ends.push_back(Backlog(aRequest.router_, i) +
                     Over(kMeanWork, At(i).speed_));
    }
    const auto count = Unseen().expected_ * kEngines / kMeanWork;
    for (std::int64_t i = 0; i < count; ++i) {
      const auto engine = Least(ends);
      const auto added = Over(kMeanWork, At(engine).speed_);
      ends[static_cast<std::size_t>(engine)] += added;
      aCosts[static_cast<std::size_t>(engine)] += added;
    }
    return Least(aCosts);
  }

  auto Choose(const Request& aRequest) -> int
  {
    std::vector<Duration> costs;
    for (int i = 0; i < kEngines; ++i) {
      costs.push_back(Backlog(aRequest.router_, i) + ServiceTime(aRequest, i) +
                      Penalty(aRequest, i));
    }
    const auto costAt = [&](int aEngine) -> Duration& {
      return costs[static_cast<std::size_t>(aEngine)];
    };
    switch (method_) {
      case BalanceMethod::kTwoRandom: {
        const int first = Below(&choice_, kEngines);
        const int second = Below(&choice_, kEngines);
        return costAt(first) <= costAt(second) ? first : second;
      }
      case BalanceMethod::kWeightedDraw:
        return DrawWeighted(costs);
      case BalanceMethod::kPrediction:
        return Predict(aRequest, costs);
      case BalanceMethod::kPartition: {
        const int best = Least(costs);
        int own = -1;
        for (int i = aRequest.router_; i < kEngines; i += case_.routers_) {
          own = own < 0 || costAt(i) < costAt(own) ? i : own;
        }
        return costAt(own) <= costAt(best) + kLeavePartition ? own : best;
      }
      case BalanceMethod::kTurns:
        for (int i = 0; i < kEngines; ++i) {
          const auto& view = ViewOf(aRequest.router_, i);
          const auto unseen =
            SinceReport(Unseen(), queue_.Now() - view.reportedAt_);
          const bool holdsPart =
            aRequest.firstEngine_ >= 0 && aRequest.IsCachedAt(i);
          const auto limit = holdsPart
                               ? std::min(kMaxUncertainty, kRecomputeCost)
                               : kMaxUncertainty;
          costAt(i) += TurnPenalty(CostUncertainty(unseen, limit), view.turn_);
        }
        return Least(costs);
      default:
        return Least(costs);
    }
  }

  /// Changes what the other routers know of an engine, after a delay.
  auto Tell(int aRouter,
            int aEngine,
            Duration aWork,
            int aCount,
            Duration aDelay) -> void
  {
    const auto tell = [this, aRouter, aEngine, aWork, aCount] {
      for (int i = 0; i < case_.routers_; ++i) {
        auto& view = ViewOf(i, aEngine);
        view.others_ += i == aRouter ? Duration(0) : aWork;
        view.othersCount_ += i == aRouter ? 0 : aCount;
        othersSums_[static_cast<std::size_t>(i)] +=
          i == aRouter ? Duration(0) : aWork;
      }
    };
    if (aDelay <= 0us) {
      tell();
    } else {
      queue_.After(aDelay, tell);
    }
  }

  auto Finish(int aRouter, int aEngine, Duration aWork) -> void
  {
    auto& engine = At(aEngine);
    --engine.count_;
    auto& view = ViewOf(aRouter, aEngine);
    view.own_ -= aWork;
    --view.ownCount_;
    // The answer tells how many requests the engine has.
    const int known = view.othersCount_;
    const int excess = engine.count_ - view.ownCount_ - known;
    view.correction_ = excess > 0 ? kMeanWork * excess
                                  : view.others_ * excess / std::max(1, known);
    view.reportedAt_ = queue_.Now();
    Tell(aRouter, aEngine, -aWork, -1, case_.age_);
  }

  auto Place(const Request& aRequest) -> void
  {
    const int chosen = Choose(aRequest);
    auto& engine = At(chosen);
    const auto time = ServiceTime(aRequest, chosen);
    const auto start = std::max(engine.freeAt_, queue_.Now());
    engine.freeAt_ = start + time;
    ++engine.count_;
    if (queue_.Now() > kWarmUp + 1s) {
      waits_.push_back(start - queue_.Now());
      sharedCount_ += aRequest.firstEngine_ >= 0 ? 1 : 0;
      cachedCount_ +=
        aRequest.firstEngine_ >= 0 && aRequest.IsCachedAt(chosen) ? 1 : 0;
    }
    const auto work = Over(time, 1.0 / engine.speed_);
    const int router = aRequest.router_;
    ViewOf(router, chosen).own_ += work;
    ++ViewOf(router, chosen).ownCount_;
    Tell(router, chosen, work, 1,
         method_ == BalanceMethod::kAnnouncement
           ? std::min<Duration>(case_.age_, kTransit)
           : case_.age_);
    queue_.After(engine.freeAt_ - queue_.Now(), [this, router, chosen, work] {
      Finish(router, chosen, work);
    });
  }

  auto Arrive() -> void
  {
    std::exponential_distribution<double> gap(kLoad * totalSpeed_);
    queue_.After(Over(kMeanWork, 1.0 / gap(load_)), [this] { Arrive(); });
    Request request;
    request.router_ = Below(&load_, case_.routers_);
    request.work_ = kWork.at(
      static_cast<std::size_t>(Below(&load_, static_cast<int>(kWork.size()))));
    const bool isShared = Below(&load_, 2) == 0;
    const int part = Below(&load_, kParts);
    if (case_.sharedParts_ && isShared) {
      request.partWork_ = kPartWork;
      request.firstEngine_ = part * 13 % kEngines;
      request.secondEngine_ = (part * 13 + 1 + part / kEngines) % kEngines;
    }
    Place(request);
  }

  auto Sample() -> void
  {
    queue_.After(kSampleInterval, [this] { Sample(); });
    double peak = 0;
    double sum = 0;
    int idle = 0;
    bool queues = false;
    for (const auto& engine : engines_) {
      const double backlog = std::max(0.0, ToMs(engine.freeAt_ - queue_.Now()));
      peak = std::max(peak, backlog);
      sum += backlog;
      idle += engine.count_ == 0 ? 1 : 0;
      queues = queues || engine.count_ > 1;
    }
    peakSum_ += peak;
    meanSum_ += sum / kEngines;
    idleSum_ += queues ? static_cast<double>(idle) / kEngines : 0.0;
    ++samples_;
  }

public:
  BalanceModel(const BalanceCase& aCase, BalanceMethod aMethod)
    : case_(aCase)
    , method_(aMethod)
    , load_(aCase.seed_)
    , choice_(aCase.seed_ + 1)
    , engines_(kEngines)
    , views_(static_cast<std::size_t>(aCase.routers_),
             std::vector<View>(kEngines))
    , othersSums_(static_cast<std::size_t>(aCase.routers_))
  {
    for (int i = 0; i < kEngines; ++i) {
      // A step of 7 spreads the speeds over the order of the engines.
      const double place =
        static_cast<double>(i * 7 % kEngines) / (kEngines - 1);
      if (case_.unequalEngines_) {
        At(i).speed_ = kSlowest + (kFastest - kSlowest) * place;
      }
      totalSpeed_ += At(i).speed_;
      for (int router = 0; router < case_.routers_; ++router) {
        ViewOf(router, i).turn_ =
          TurnAt(static_cast<std::size_t>(i), static_cast<std::size_t>(router),
                 static_cast<std::size_t>(case_.routers_));
      }
    }
  }

  auto Run() -> BalanceFigures
  {
    queue_.After(0us, [this] { Arrive(); });
    queue_.After(kWarmUp, [this] { Sample(); });
    queue_.RunUntil(kLength + 1s);
    std::sort(waits_.begin(), waits_.end());
    BalanceFigures figures;
    figures.peakOverMean_ = peakSum_ / meanSum_;
    figures.idleShare_ = idleSum_ / samples_;
    figures.waitP50Ms_ = ToMs(waits_[waits_.size() / 2]);
    figures.waitP99Ms_ = ToMs(waits_[waits_.size() * 99 / 100]);
    figures.cachedShare_ = sharedCount_ == 0
                             ? 0.0
                             : static_cast<double>(cachedCount_) / sharedCount_;
    return figures;
  }
};

} // namespace

auto RunBalanceCase(const BalanceCase& aCase, BalanceMethod aMethod)
  -> BalanceFigures
{
  return BalanceModel(aCase, aMethod).Run();
}

} // namespace burdockring
