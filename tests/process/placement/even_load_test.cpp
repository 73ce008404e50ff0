#include "process/placement/even_load.h"

#include "support/forwarding_fixture.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace burdockring {
namespace {

TEST(EvenLoadTest, EachRouterIsFirstAtEquallyManyTargets)
{
  constexpr std::size_t kTargets = 60;
  constexpr std::size_t kRouters = 12;
  for (std::size_t router = 0; router < kRouters; ++router) {
    int firsts = 0;
    for (std::size_t target = 0; target < kTargets; ++target) {
      firsts += TurnAt(target, router, kRouters) == 0.0 ? 1 : 0;
    }
    EXPECT_EQ(firsts, 5);
  }
  EXPECT_EQ(TurnAt(3, 0, 1), 0.0);
  EXPECT_EQ(TurnAt(3, 0, 0), 0.0);
}

TEST(EvenLoadTest, NothingUnseenLeavesCostsAsTheyAre)
{
  EXPECT_EQ(CostUncertainty({ 0us, 0us, 20ms }, 60ms), 0us);
  EXPECT_EQ(BacklogNow(30ms, 20ms, 0us), 50ms);
  EXPECT_EQ(TurnPenalty(0us, 0.9), 0us);
}

TEST(EvenLoadTest, UncertaintyGrowsWithTheUnseenWorkUpToItsLimit)
{
  const auto little = CostUncertainty({ 20ms, 1ms, 20ms }, 1s);
  const auto much = CostUncertainty({ 20ms, 10ms, 20ms }, 1s);
  EXPECT_GT(little, 1ms);
  EXPECT_GT(much, little);
  EXPECT_EQ(CostUncertainty({ 20ms, 10ms, 20ms }, 5ms), 5ms);
  EXPECT_EQ(CostUncertainty({ 20ms, 10ms, 20ms }, -1ms), 0us);
}

TEST(EvenLoadTest, OwnWorkIsNotTakenForDone)
{
  EXPECT_EQ(BacklogNow(30ms, 0us, 100ms), 30ms);
  EXPECT_EQ(BacklogNow(0us, 30ms, 100ms), 0us);
  EXPECT_EQ(BacklogNow(20ms, 20ms, 10ms), 35ms);
}

TEST(EvenLoadTest, ReportOfTheTargetIsNewerThanThoseOfRouters)
{
  const UnseenLoad unseen{ 100ms, 40ms, 20ms };
  EXPECT_EQ(SinceReport(unseen, 25ms).expected_, 10ms);
  EXPECT_EQ(SinceReport(unseen, 25ms).age_, 25ms);
  EXPECT_EQ(SinceReport(unseen, Duration::max()).expected_, 40ms);
  EXPECT_EQ(SinceReport({}, 25ms).expected_, 0us);
}

/// Leads that place requests at the same engines and tell each other of it at
/// intervals. Each engine prefills one prompt after the other.
class LeadsOfOnePool
{
  static constexpr int kLeads = 6;
  static constexpr int kEngines = 24;
  static constexpr int kPromptTokens = 1000;
  static constexpr Duration kPrefill = 25ms;
  static constexpr Duration kReportInterval = 24ms;
  static constexpr Duration kArrivalInterval = 8ms;
  static constexpr Duration kStep = 1ms;

  struct Prefill
  {
    int lead_ = 0;
    RequestId request_ = 0;
    Instant end_{};
  };

  bool areLoadsReported_;
  TargetDirectory directory_;
  std::vector<std::unique_ptr<Dispatcher>> leads_;
  std::map<TargetId, std::vector<Prefill>> engines_;
  RequestId nextId_ = 1;
  /// Waits of requests that share no part.
  std::vector<Duration> waits_;
  std::set<TargetId> sharedPartEngines_;

  auto Submit(int aLead, bool aIsShared, Instant aNow) -> void
  {
    WorkItem item;
    item.id_ = nextId_++;
    item.account_ = MakeId<AccountId>("a");
    item.service_ = MakeId<ServiceId>("pool");
    item.arrival_ = aNow;
    item.latencyObjective_ = 800ms;
    item.deadline_ = aNow + 15s;
    item.promptTokens_ = kPromptTokens;
    item.outputTokens_ = 100;
    if (aIsShared) {
      item.parts_.push_back({ 42, kPromptTokens * 9 / 10 });
    }
    item.parts_.push_back({ 1'000'000 + item.id_, 100 });
    auto& lead = *leads_[static_cast<std::size_t>(aLead)];
    lead.Submit(item, aNow);
    for (const auto& decision : lead.TakeDecisions()) {
      const auto* start = std::get_if<StartDecision>(&decision);
      if (start == nullptr) {
        continue;
      }
      auto& queue = engines_[start->target_];
      const auto begin = queue.empty() ? aNow : queue.back().end_;
      queue.push_back({ aLead, start->request_, begin + kPrefill });
      if (aNow > 2s && !aIsShared) {
        waits_.push_back(begin - aNow);
      }
      if (aIsShared) {
        sharedPartEngines_.insert(start->target_);
      }
    }
  }

  auto EndPrefills(Instant aNow) -> void
  {
    for (auto& entry : engines_) {
      auto& queue = entry.second;
      while (!queue.empty() && queue.front().end_ <= aNow) {
        const auto ended = queue.front();
        queue.erase(queue.begin());
        auto& lead = *leads_[static_cast<std::size_t>(ended.lead_)];
        if (areLoadsReported_) {
          const int waiting = static_cast<int>(queue.size());
          lead.OnReportedLoad(entry.first, { 1, waiting, 64 }, aNow);
        }
        lead.OnFirstEvent(ended.request_, aNow);
        lead.OnRunEnd(ended.request_, RunOutcome::kCompleted, aNow);
      }
    }
  }

  auto ExchangeReports(Instant aNow) -> void
  {
    for (std::size_t from = 0; from < leads_.size(); ++from) {
      const auto report = leads_[from]->MakeReport(false, aNow);
      for (std::size_t to = 0; to < leads_.size(); ++to) {
        if (to != from) {
          leads_[to]->OnPeerReport(RouterId{ static_cast<int>(from) + 1 },
                                   report, aNow);
        }
      }
    }
  }

public:
  explicit LeadsOfOnePool(bool aAreLoadsReported)
    : areLoadsReported_(aAreLoadsReported)
  {
    for (int i = 0; i < kEngines; ++i) {
      const auto name = "t" + std::to_string(100 + i);
      directory_.Put(name, MakeTarget(name, "pool", 64));
    }
    for (int i = 0; i < kLeads; ++i) {
      leads_.push_back(
        std::make_unique<Dispatcher>(&directory_, MakeId<ZoneId>("near"),
                                     static_cast<std::uint32_t>(i + 1)));
      leads_.back()->SetSelf(RouterId{ i + 1 });
      leads_.back()->SetTable(
        MakeTable(1, true, kEngines * kPromptTokens * 1000.0 / 25.0));
    }
  }

  /// All leads choose at the same moments. Every eighth request shares a
  /// prompt part with the others of its kind.
  auto Run() -> void
  {
    int round = 0;
    for (Instant now = 1s; now < 4s; now += kStep) {
      EndPrefills(now);
      if (now.count() % kReportInterval.count() == 0) {
        ExchangeReports(now);
      }
      if (now.count() % kArrivalInterval.count() == 0) {
        ++round;
        for (int lead = 0; lead < kLeads; ++lead) {
          Submit(lead, lead == 0 && round % 8 == 0, now);
        }
      }
    }
  }

  /// Time until the engine begins with a request, of all but one in 100.
  [[nodiscard]] auto WaitP99() -> Duration
  {
    std::sort(waits_.begin(), waits_.end());
    return waits_[waits_.size() * 99 / 100];
  }

  [[nodiscard]] auto MeanWait() const -> Duration
  {
    Duration sum{};
    for (const auto wait : waits_) {
      sum += wait;
    }
    return sum / static_cast<std::int64_t>(waits_.size());
  }

  [[nodiscard]] auto SharedPartEngines() const -> std::size_t
  {
    return sharedPartEngines_.size();
  }

  [[nodiscard]] auto SpreadStarts() const -> std::int64_t
  {
    std::int64_t count = 0;
    for (const auto& lead : leads_) {
      count += lead->ReportedLoads().spreadStarts_;
    }
    return count;
  }
};

// Load pattern: six leads that choose at the same moment, with reports of each
// other that are up to 24 ms old. Guards against all of them choosing the same
// engines.
TEST(EvenLoadTest, LeadsThatChooseAtOnceChooseDifferentEngines)
{
  LeadsOfOnePool present(false);
  present.Run();
  LeadsOfOnePool spread(true);
  spread.Run();
  RecordProperty("p99 ms, present", present.WaitP99() / 1ms);
  RecordProperty("p99 ms, spread", spread.WaitP99() / 1ms);
  RecordProperty("mean us, present", present.MeanWait() / 1us);
  RecordProperty("mean us, spread", spread.MeanWait() / 1us);
  EXPECT_EQ(present.SpreadStarts(), 0);
  EXPECT_GT(spread.SpreadStarts(), 0);
  // With perfect knowledge no request would wait, as 19 engines have work on
  // average and one is always idle. Half way to it is required of the mean. All
  // prompts take 25 ms here, so that the p99 is a number of whole prompts.
  EXPECT_LT(spread.WaitP99(), present.WaitP99());
  EXPECT_LE(spread.MeanWait(), present.MeanWait() / 2);
}

// Guards against spreading requests over engines that would have to compute
// the shared part again.
TEST(EvenLoadTest, SharedPartStaysAtItsPreferredEngine)
{
  LeadsOfOnePool present(false);
  present.Run();
  LeadsOfOnePool spread(true);
  spread.Run();
  EXPECT_LE(spread.SharedPartEngines(), present.SharedPartEngines());
}

} // namespace
} // namespace burdockring
