#include "process/placement/dispatcher.h"

#include "support/forwarding_fixture.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace burdockring {
namespace {

/// Requests of one account that arrive at one lead router at random times.
struct TrafficSource
{
  std::string account_;
  std::size_t lead_ = 0;
  int tokens_ = 0;
  /// Mean time between two requests.
  Duration interval_{};
};

struct AccountTotals
{
  std::int64_t demand_ = 0;
  std::int64_t started_ = 0;
};

/// Simulates lead routers that share engines and report their loads to each
/// other, in virtual time. Each engine prefills its prompts one after the
/// other. The tokens whose prefill starts at the engines are the oracle.
class SaturatedPool
{
  static constexpr Duration kStep = 5ms;
  static constexpr Duration kReportInterval = 20ms;
  static constexpr Duration kPrefillTimePerToken = 28us;
  static constexpr Duration kFirstEventOverhead = 25ms;
  static constexpr int kEngines = 2;
  static constexpr int kSlots = 64;
  /// Configured rate, far more than the engines deliver.
  static constexpr double kConfiguredTokensPerSecond = 10'000'000;

  struct SentRequest
  {
    std::size_t lead_ = 0;
    std::string account_;
    int tokens_ = 0;
  };

  TargetDirectory directory_;
  std::vector<std::unique_ptr<Dispatcher>> leads_;
  std::map<RequestId, SentRequest> sent_;
  std::multimap<Instant, RequestId> firstEvents_;
  std::map<TargetId, Instant> freeAt_;
  std::map<std::string, AccountTotals> totals_;
  std::mt19937 random_;
  RequestId nextId_ = 1;
  Instant now_ = 1s;
  Instant countFrom_{};

  auto Draw(Duration aMean) -> Duration
  {
    return ScaleDuration(aMean,
                         std::exponential_distribution<double>(1.0)(random_));
  }

  auto Submit(const TrafficSource& aSource) -> void
  {
    WorkItem item;
    item.id_ = nextId_++;
    item.account_ = MakeId<AccountId>(aSource.account_);
    item.service_ = MakeId<ServiceId>("pool");
    item.arrival_ = now_;
    item.latencyObjective_ = 800ms;
    item.deadline_ = now_ + 15s;
    item.promptTokens_ = aSource.tokens_;
    item.parts_ = { { item.id_, aSource.tokens_ } };
    sent_[item.id_] = { aSource.lead_, aSource.account_, aSource.tokens_ };
    if (now_ >= countFrom_) {
      totals_[aSource.account_].demand_ += aSource.tokens_;
    }
    leads_[aSource.lead_]->Submit(item, now_);
  }

  auto DeliverFirstEvents() -> void
  {
    while (!firstEvents_.empty() && firstEvents_.begin()->first <= now_) {
      const auto id = firstEvents_.begin()->second;
      const auto& sent = sent_.at(id);
      leads_[sent.lead_]->OnFirstEvent(id, now_);
      leads_[sent.lead_]->OnRunEnd(id, RunOutcome::kCompleted, now_);
      firstEvents_.erase(firstEvents_.begin());
    }
  }

  auto Prefill(const StartDecision& aStart) -> void
  {
    const auto& sent = sent_.at(aStart.request_);
    auto& freeAt = freeAt_[aStart.target_];
    freeAt = std::max(freeAt, now_) + sent.tokens_ * kPrefillTimePerToken;
    firstEvents_.emplace(freeAt + kFirstEventOverhead, aStart.request_);
    if (now_ >= countFrom_) {
      totals_[sent.account_].started_ += sent.tokens_;
    }
  }

  auto Report() -> void
  {
    for (std::size_t from = 0; from < leads_.size(); ++from) {
      const auto report = leads_[from]->MakeReport(false, now_);
      for (std::size_t to = 0; to < leads_.size(); ++to) {
        if (to != from) {
          leads_[to]->OnPeerReport(
            MakeId<RouterId>("lead-" + std::to_string(from)), report, now_);
        }
      }
    }
  }

public:
  SaturatedPool(std::size_t aLeads, std::uint32_t aSeed)
    : random_(aSeed)
  {
    for (int i = 0; i < kEngines; ++i) {
      const auto name = "t" + std::to_string(i);
      directory_.Put(name, MakeTarget(name, "pool", kSlots));
    }
    for (std::size_t i = 0; i < aLeads; ++i) {
      leads_.push_back(std::make_unique<Dispatcher>(
        &directory_, MakeId<ZoneId>("near"), static_cast<std::uint32_t>(i)));
      leads_.back()->SetTable(MakeTable(1, true, kConfiguredTokensPerSecond));
    }
  }

  /// Runs the simulation for aLength and returns the totals of the last
  /// aCounted.
  auto Run(const std::vector<TrafficSource>& aSources,
           Duration aLength,
           Duration aCounted) -> const std::map<std::string, AccountTotals>&
  {
    std::vector<Instant> next;
    for (std::size_t i = 0; i < aSources.size(); ++i) {
      next.push_back(now_ + Draw(aSources[i].interval_));
    }
    const auto end = now_ + aLength;
    countFrom_ = end - aCounted;
    for (; now_ < end; now_ += kStep) {
      for (std::size_t i = 0; i < aSources.size(); ++i) {
        for (; next[i] <= now_; next[i] += Draw(aSources[i].interval_)) {
          Submit(aSources[i]);
        }
      }
      DeliverFirstEvents();
      for (const auto& lead : leads_) {
        lead->Tick(now_);
        lead->RetryWaiting(now_);
        for (const auto& verdict : lead->TakeDecisions()) {
          if (const auto* start = std::get_if<StartDecision>(&verdict)) {
            Prefill(*start);
          }
        }
      }
      if (now_ % kReportInterval == 0us) {
        Report();
      }
    }
    return totals_;
  }
};

/// The bound promised to accounts: half of what the account asked for or of
/// what the best served account got, whichever is less.
auto MinStarted(const AccountTotals& aAccount, const AccountTotals& aBest)
  -> std::int64_t
{
  return std::min(aAccount.demand_, aBest.started_) / 2;
}

class SaturatedPoolSharesTest : public testing::TestWithParam<std::uint32_t>
{
};

// Regression test for incident FAIR: three accounts together ask for three
// times the pool's throughput. The account that asks for a third of the
// throughput got only a tenth of it.
TEST_P(SaturatedPoolSharesTest, AccountWithinItsShareGetsItDespiteTwoFloods)
{
  SaturatedPool pool(1, GetParam());
  const auto& totals = pool.Run({ { "flood", 0, 3000, 26ms },
                                  { "press", 0, 3000, 35ms },
                                  { "small", 0, 2000, 80ms } },
                                16s, 6s);
  EXPECT_GE(totals.at("small").started_,
            MinStarted(totals.at("small"), totals.at("flood")));
}

// The small account uses one of four lead routers, the floods use all of them.
TEST_P(SaturatedPoolSharesTest,
       AccountAtOneLeadGetsItsShareDespiteFloodsAtAllLeads)
{
  SaturatedPool pool(4, GetParam());
  std::vector<TrafficSource> sources{ { "small", 2, 2000, 80ms } };
  for (std::size_t lead = 0; lead < 4; ++lead) {
    sources.push_back({ "flood", lead, 3000, 104ms });
    sources.push_back({ "press", lead, 3000, 140ms });
  }
  const auto& totals = pool.Run(sources, 16s, 6s);
  EXPECT_GE(totals.at("small").started_,
            MinStarted(totals.at("small"), totals.at("flood")));
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         SaturatedPoolSharesTest,
                         testing::Range(1U, 13U));

} // namespace
} // namespace burdockring
