#include "process/placement/dispatcher.h"

#include "support/forwarding_fixture.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace burdockring {
namespace {

/// A dispatcher for one service on a few targets.
class DispatcherTest : public testing::Test
{
protected:
  TargetDirectory directory_;
  std::unique_ptr<Dispatcher> dispatcher_;
  RequestId nextId_ = 1;

  auto SetUpPool(int aTargets,
                 int aSlots,
                 bool aEngines,
                 double aTokensPerSecond = 0) -> void
  {
    for (int i = 0; i < aTargets; ++i) {
      const auto name = "t" + std::to_string(i);
      directory_.Put(name, MakeTarget(name, "pool", aSlots));
    }
    dispatcher_ =
      std::make_unique<Dispatcher>(&directory_, MakeId<ZoneId>("near"), 1);
    dispatcher_->SetTable(MakeTable(1, aEngines, aTokensPerSecond));
  }

  auto MakeItem(const std::string& aAccount,
                int aSharedTokens,
                int aOwnTokens,
                std::uint64_t aPart,
                Instant aNow) -> WorkItem
  {
    WorkItem item;
    item.id_ = nextId_++;
    item.account_ = MakeId<AccountId>(aAccount);
    item.service_ = MakeId<ServiceId>("pool");
    item.arrival_ = aNow;
    item.latencyObjective_ = 800ms;
    item.deadline_ = aNow + 15s;
    item.promptTokens_ = aSharedTokens + aOwnTokens;
    item.outputTokens_ = 100;
    if (aSharedTokens > 0) {
      item.parts_.push_back({ aPart, aSharedTokens });
    }
    item.parts_.push_back({ 1'000'000 + item.id_, aOwnTokens });
    return item;
  }

  /// Starts requests with the same prefix until one goes to a second engine.
  /// Returns the first decision and that one.
  auto StartUntilSecondEngine(Instant aNow)
    -> std::pair<StartDecision, StartDecision>
  {
    std::vector<StartDecision> starts;
    for (int i = 0; i < 40; ++i) {
      dispatcher_->Submit(MakeItem("a", 5000, 1000, 7, aNow), aNow);
      for (const auto& decision : dispatcher_->TakeDecisions()) {
        if (const auto* start = std::get_if<StartDecision>(&decision)) {
          starts.push_back(*start);
        }
      }
      if (starts.back().target_ != starts.front().target_) {
        return { starts.front(), starts.back() };
      }
    }
    ADD_FAILURE() << "no request went to a second engine";
    return {};
  }

  /// Takes the decisions so far; returns the targets of started requests.
  auto TakeStarts(std::vector<RejectDecision>* aRejects = nullptr)
    -> std::map<RequestId, TargetId>
  {
    std::map<RequestId, TargetId> starts;
    for (const auto& decision : dispatcher_->TakeDecisions()) {
      if (const auto* start = std::get_if<StartDecision>(&decision)) {
        starts[start->request_] = start->target_;
      } else if (aRejects != nullptr) {
        aRejects->push_back(std::get<RejectDecision>(decision));
      }
    }
    return starts;
  }
};

TEST_F(DispatcherTest, StartsAtOnceWhileCapacityIsFree)
{
  SetUpPool(2, 1, false);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  const auto starts = TakeStarts();
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_NE(starts.at(1), starts.at(2));
}

TEST_F(DispatcherTest, WaitsForAFreeSlotAndStarts)
{
  SetUpPool(1, 1, false);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  EXPECT_EQ(TakeStarts().size(), 1U);
  dispatcher_->OnRunEnd(1, RunOutcome::kCompleted, 1050ms);
  dispatcher_->RetryWaiting(1050ms);
  EXPECT_TRUE(TakeStarts().contains(2));
}

TEST_F(DispatcherTest, RejectsEarlyWithRetryAfter)
{
  SetUpPool(1, 1, false);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  std::vector<RejectDecision> rejects;
  dispatcher_->RetryWaiting(1s + 170ms);
  TakeStarts(&rejects);
  ASSERT_EQ(rejects.size(), 1U);
  EXPECT_EQ(rejects[0].reason_, RejectReason::kNoFreeSlot);
  EXPECT_GE(rejects[0].retryAfter_, 150ms);
  EXPECT_LE(rejects[0].retryAfter_, 2250ms);
}

// Load pattern: a burst that exceeds the capacity and drains soon.
TEST_F(DispatcherTest, RejectedBurstGetsShortAndSpreadRetryAfter)
{
  SetUpPool(1, 1, false);
  std::vector<RejectDecision> rejects;
  for (int i = 0; i < 100; ++i) {
    dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  }
  dispatcher_->RetryWaiting(1s + 170ms);
  TakeStarts(&rejects);
  ASSERT_EQ(rejects.size(), 99U);
  int early = 0;
  Duration earliest = 10s;
  Duration latest{};
  for (const auto& reject : rejects) {
    // From half of the latency objective to 0.15 of the 15 s that callers wait.
    EXPECT_GE(reject.retryAfter_, 150ms);
    EXPECT_LE(reject.retryAfter_, 2250ms);
    earliest = std::min(earliest, reject.retryAfter_);
    latest = std::max(latest, reject.retryAfter_);
    early += reject.retryAfter_ < 1250ms ? 1 : 0;
  }
  EXPECT_GE(early, 33);
  EXPECT_GE(latest - earliest, 1500ms);
}

TEST_F(DispatcherTest, RejectsWithNoTargetReason)
{
  SetUpPool(0, 1, true);
  std::vector<RejectDecision> rejects;
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  dispatcher_->RetryWaiting(2s);
  TakeStarts(&rejects);
  ASSERT_EQ(rejects.size(), 1U);
  EXPECT_EQ(rejects[0].reason_, RejectReason::kNoTarget);
}

// Load pattern: many prompts with a long shared prefix.
TEST_F(DispatcherTest, SharedPrefixStaysOnOneEngineWhileItHasCapacity)
{
  SetUpPool(8, 64, true);
  std::set<TargetId> used;
  for (int i = 0; i < 20; ++i) {
    const Instant now = 1s + 1s * i;
    dispatcher_->Submit(MakeItem("a", 5000, 500, 42, now), now);
    for (const auto& start : TakeStarts()) {
      used.insert(start.second);
      dispatcher_->OnFirstEvent(start.first, now + 50ms);
      dispatcher_->OnRunEnd(start.first, RunOutcome::kCompleted, now + 500ms);
    }
  }
  EXPECT_EQ(used.size(), 1U);
}

// Load pattern: one prefix gets more traffic than one engine can prefill.
TEST_F(DispatcherTest, HotPrefixSpillsToTheNextEngine)
{
  SetUpPool(8, 64, true);
  std::set<TargetId> used;
  for (int i = 0; i < 6; ++i) {
    dispatcher_->Submit(MakeItem("a", 5000, 4000, 42, 1s), 1s);
  }
  for (const auto& start : TakeStarts()) {
    used.insert(start.second);
  }
  EXPECT_GE(used.size(), 2U);
}

// Load pattern: long prompts arrive just before short ones.
TEST_F(DispatcherTest, PrefillBacklogIsBoundedByTheShortestAim)
{
  SetUpPool(1, 64, true);
  int started = 0;
  for (int i = 0; i < 20; ++i) {
    dispatcher_->Submit(MakeItem("a", 0, 4000, 0, 1s), 1s);
    started += static_cast<int>(TakeStarts().size());
  }
  const auto* load = dispatcher_->Loads().Find(MakeId<TargetId>("t0"));
  ASSERT_NE(load, nullptr);
  // The last started request found at most 160 ms of prefill ahead of it.
  EXPECT_LE(load->PrefillTime(0) - load->PrefillTime(4000) +
              load->PrefillTime(0),
            200ms + load->PrefillTime(0) / 2);
  EXPECT_GE(started, 1);
  EXPECT_LE(started, 3);
}

// Load pattern: one account sends many times its usual rate while the pool is
// full.
TEST_F(DispatcherTest, AccountBeyondItsShareYieldsToOthers)
{
  SetUpPool(2, 64, true, 10'000);
  Instant now = 1s;
  std::map<std::string, int> served;
  std::map<RequestId, std::string> owners;
  for (int i = 0; i < 400; ++i) {
    now += 10ms;
    auto flood = MakeItem("a", 0, 3000, 0, now);
    owners[flood.id_] = "a";
    dispatcher_->Submit(flood, now);
    if (i % 10 == 0) {
      auto small = MakeItem("b", 0, 1000, 0, now);
      owners[small.id_] = "b";
      dispatcher_->Submit(small, now);
    }
    dispatcher_->RetryWaiting(now);
    for (const auto& start : TakeStarts()) {
      ++served[owners[start.first]];
      dispatcher_->OnFirstEvent(start.first, now + 5ms);
      dispatcher_->OnRunEnd(start.first, RunOutcome::kCompleted, now + 9ms);
    }
  }
  EXPECT_GE(served["b"], 39);
}

// Load pattern: one account floods a pool whose throughput is far below the
// configured rate.
TEST_F(DispatcherTest, SharesHoldWhenThePoolIsSlowerThanConfigured)
{
  SetUpPool(2, 64, true, 10'000'000);
  std::map<std::string, std::int64_t> startedTokens;
  std::map<RequestId, std::pair<std::string, int>> owners;
  std::multimap<Instant, RequestId> firstEvents;
  Instant now = 1s;
  const auto submit = [&](const std::string& aAccount, int aTokens) {
    auto item = MakeItem(aAccount, 0, aTokens, 0, now);
    item.outputTokens_ = 0;
    owners[item.id_] = { aAccount, aTokens };
    dispatcher_->Submit(item, now);
  };
  // An engine prefills its prompts one after the other.
  std::map<TargetId, Instant> busyUntil;
  std::int64_t requestedTokens = 0;
  for (int i = 0; i < 1200; ++i) {
    now += 10ms;
    submit("flood", 3000);
    submit("flood", 3000);
    if (i % 10 == 0) {
      submit("small", 2000);
      requestedTokens += i >= 600 ? 2000 : 0;
    }
    while (!firstEvents.empty() && firstEvents.begin()->first <= now) {
      const auto id = firstEvents.begin()->second;
      dispatcher_->OnFirstEvent(id, now);
      dispatcher_->OnRunEnd(id, RunOutcome::kCompleted, now);
      firstEvents.erase(firstEvents.begin());
    }
    dispatcher_->Tick(now);
    dispatcher_->RetryWaiting(now);
    for (const auto& start : TakeStarts()) {
      const auto& owner = owners[start.first];
      auto& busy = busyUntil[start.second];
      busy = std::max(busy, now) + std::chrono::microseconds(owner.second * 28);
      firstEvents.emplace(busy + 25ms, start.first);
      startedTokens[owner.first] += i >= 600 ? owner.second : 0;
    }
  }
  // The demand is well within an even share, so nearly all of it must start.
  EXPECT_GE(startedTokens["small"], requestedTokens * 8 / 10);
}

// Incident FAIR: freed capacity went to whichever request arrived next instead
// of to the waiting account with less usage.
TEST_F(DispatcherTest, FreedSlotGoesToTheWaitingAccountWithLessUsage)
{
  SetUpPool(1, 1, true, 10'000'000);
  dispatcher_->Submit(MakeItem("flood", 0, 3000, 0, 1s), 1s);
  dispatcher_->Submit(MakeItem("small", 0, 2000, 0, 1s), 1s);
  EXPECT_EQ(TakeStarts().size(), 1U);
  dispatcher_->OnRunEnd(1, RunOutcome::kCompleted, 1050ms);
  dispatcher_->Submit(MakeItem("flood", 0, 3000, 0, 1050ms), 1050ms);
  dispatcher_->RetryWaiting(1050ms);
  const auto starts = TakeStarts();
  EXPECT_TRUE(starts.contains(2));
  EXPECT_FALSE(starts.contains(3));
}

// Incident FAIR: a lead whose first events were all late rejected every request
// until the end of the day, although engines were idle.
TEST_F(DispatcherTest, RequestThatNoEngineCanServeOnTimeIsServedLate)
{
  SetUpPool(2, 64, true);
  Instant now = 1s;
  for (int i = 0; i < 200; ++i) {
    auto item = MakeItem("a", 0, 500, 0, now);
    item.latencyObjective_ = 5s;
    dispatcher_->Submit(item, now);
    now += 500ms;
    dispatcher_->OnFirstEvent(item.id_, now);
    dispatcher_->OnRunEnd(item.id_, RunOutcome::kCompleted, now);
  }
  TakeStarts();
  auto item = MakeItem("a", 0, 500, 0, now);
  item.latencyObjective_ = 400ms;
  dispatcher_->Submit(item, now);
  EXPECT_TRUE(TakeStarts().contains(item.id_));
}

// Incident FAIR: a lead that underestimated the prefill speed rejected requests
// that idle engines could have served.
TEST_F(DispatcherTest, IdleEngineNeverRejectsAsLate)
{
  SetUpPool(1, 64, true);
  const Instant now = 1s;
  auto item = MakeItem("a", 0, 5000, 0, now);
  item.latencyObjective_ = 400ms;
  // The remaining time to the latency objective is shorter than the prefill.
  item.arrival_ = now - 300ms;
  item.isContinuation_ = false;
  dispatcher_->Submit(item, now);
  EXPECT_TRUE(TakeStarts().contains(item.id_));
  // With that request ahead, the same request is late.
  auto next = MakeItem("a", 0, 5000, 0, now);
  next.latencyObjective_ = 400ms;
  next.arrival_ = now - 300ms;
  dispatcher_->Submit(next, now);
  std::vector<RejectDecision> rejects;
  EXPECT_TRUE(TakeStarts(&rejects).empty());
  ASSERT_EQ(rejects.size(), 1U);
  EXPECT_EQ(rejects[0].reason_, RejectReason::kExpectedLate);
}

// Load pattern: all engines of a service refuse requests for some time.
TEST_F(DispatcherTest, RejectsAtOnceWhileAllTargetsArePaused)
{
  SetUpPool(2, 64, true);
  dispatcher_->PauseTarget(MakeId<TargetId>("t0"), 4s);
  dispatcher_->Submit(MakeItem("a", 0, 1000, 0, 1s), 1s);
  EXPECT_EQ(TakeStarts().size(), 1U);
  dispatcher_->PauseTarget(MakeId<TargetId>("t1"), 5s);
  std::vector<RejectDecision> rejects;
  dispatcher_->Submit(MakeItem("a", 0, 1000, 0, 1s), 1s);
  EXPECT_TRUE(TakeStarts(&rejects).empty());
  ASSERT_EQ(rejects.size(), 1U);
  EXPECT_EQ(rejects[0].reason_, RejectReason::kTargetsPaused);
  // No earlier than the end of the first pause.
  EXPECT_GE(rejects[0].retryAfter_, 3s);
  dispatcher_->Submit(MakeItem("a", 0, 1000, 0, 4001ms), 4001ms);
  EXPECT_EQ(TakeStarts().size(), 1U);
}

// Load pattern: many engines are lost while one account floods the pool.
// Requests beyond the share go to engines with almost no backlog, so mostly to
// the lost ones.
TEST_F(DispatcherTest, FailedRunsWithoutFirstEventAreNotCharged)
{
  SetUpPool(2, 64, true, 10'000);
  const auto chargedTokens = [&](Instant aNow) {
    const auto report = dispatcher_->MakeReport(true, aNow);
    return report.accounts.at(0).givenTokens;
  };
  for (const auto end : { RunOutcome::kFailed, RunOutcome::kRefused }) {
    dispatcher_->Submit(MakeItem("a", 0, 3000, 0, 1s), 1s);
    const auto starts = TakeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_GT(chargedTokens(1s), 0);
    dispatcher_->OnRunEnd(starts.begin()->first, end, 1s);
    EXPECT_EQ(chargedTokens(1s), 0);
  }
  // A run with a first event is charged whatever its outcome.
  dispatcher_->Submit(MakeItem("a", 0, 3000, 0, 5s), 5s);
  const auto starts = TakeStarts();
  ASSERT_EQ(starts.size(), 1U);
  dispatcher_->OnFirstEvent(starts.begin()->first, 5s);
  dispatcher_->OnRunEnd(starts.begin()->first, RunOutcome::kFailed, 5s);
  EXPECT_GT(chargedTokens(5s), 0);
}

TEST_F(DispatcherTest, FailedTargetIsAvoidedAndRetriedLater)
{
  SetUpPool(2, 4, false);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  const auto first = TakeStarts().at(1);
  dispatcher_->OnRunEnd(1, RunOutcome::kFailed, 1s);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  EXPECT_NE(TakeStarts().at(2), first);
  EXPECT_FALSE(dispatcher_->Loads().Find(first)->IsAvoided(1300ms));
}

/// Load pattern: all targets of a service fail briefly.
TEST_F(DispatcherTest, AllTargetsFailedUsesTheOneWhoseAvoidanceEndsFirst)
{
  SetUpPool(2, 4, false);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  const auto first = TakeStarts().at(1);
  dispatcher_->OnRunEnd(1, RunOutcome::kFailed, 1s);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s + 100ms);
  dispatcher_->OnRunEnd(2, RunOutcome::kFailed, 1s + 100ms);
  TakeStarts();
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s + 110ms);
  EXPECT_EQ(TakeStarts().at(3), first);
}

/// Load pattern: a long prefix gets more traffic than its preferred engines can
/// prefill.
TEST_F(DispatcherTest, LongPrefixIsPrefilledOnItsPreferredEnginesOnly)
{
  SetUpPool(12, 12, true);
  std::set<TargetId> used;
  for (int i = 0; i < 200; ++i) {
    dispatcher_->Submit(MakeItem("a", 5000, 1000, 7, 1s), 1s);
    for (const auto& start : TakeStarts()) {
      used.insert(start.second);
    }
  }
  EXPECT_EQ(used.size(), 2U);
  // If the preferred engines fail, others prefill it.
  for (RequestId request = 1; request <= 200; ++request) {
    dispatcher_->OnRunEnd(request, RunOutcome::kFailed, 1s);
  }
  dispatcher_->Submit(MakeItem("a", 5000, 1000, 7, 1s), 1s);
  const auto starts = TakeStarts();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_FALSE(used.contains(starts.begin()->second));
}

// Load pattern: the first engine of a prefix is full and the next one does not
// have the prefix cached.
TEST_F(DispatcherTest, NextEngineCopiesThePrefixFromTheFirst)
{
  SetUpPool(8, 64, true);
  dispatcher_->Submit(MakeItem("a", 5000, 1000, 7, 1s), 1s);
  const auto first = TakeStarts();
  ASSERT_EQ(first.size(), 1U);
  dispatcher_->OnFirstEvent(1, 1200ms);
  const auto [onFirstEngine, onOtherEngine] = StartUntilSecondEngine(1300ms);
  EXPECT_EQ(onFirstEngine.target_, first.at(1));
  EXPECT_FALSE(onFirstEngine.copyFrom_.has_value());
  ASSERT_TRUE(onOtherEngine.copyFrom_.has_value());
  EXPECT_EQ(*onOtherEngine.copyFrom_, first.at(1));
  // Copied tokens are not prefilled.
  const auto* load = dispatcher_->Loads().Find(onOtherEngine.target_);
  EXPECT_EQ(load->Local().prefillTokens_, 1000);
}

TEST_F(DispatcherTest, PrefixIsNotCopiedBeforeItIsPrefilled)
{
  SetUpPool(8, 64, true);
  const auto [onFirstEngine, onOtherEngine] = StartUntilSecondEngine(1s);
  EXPECT_FALSE(onOtherEngine.copyFrom_.has_value());
}

TEST_F(DispatcherTest, EnginesWithoutCopySupportPrefillThemselves)
{
  SetUpPool(8, 64, true);
  dispatcher_->SetTable(MakeTable(2, true, 0, 0));
  dispatcher_->Submit(MakeItem("a", 5000, 1000, 7, 1s), 1s);
  TakeStarts();
  dispatcher_->OnFirstEvent(1, 1200ms);
  const auto [onFirstEngine, onOtherEngine] = StartUntilSecondEngine(1300ms);
  EXPECT_FALSE(onOtherEngine.copyFrom_.has_value());
}

TEST_F(DispatcherTest, FailedEngineIsNoCopySource)
{
  SetUpPool(8, 64, true);
  dispatcher_->Submit(MakeItem("a", 5000, 1000, 7, 1s), 1s);
  TakeStarts();
  dispatcher_->OnFirstEvent(1, 1200ms);
  dispatcher_->OnRunEnd(1, RunOutcome::kFailed, 1200ms);
  dispatcher_->Submit(MakeItem("a", 5000, 1000, 7, 1210ms), 1210ms);
  for (const auto& decision : dispatcher_->TakeDecisions()) {
    EXPECT_FALSE(std::get<StartDecision>(decision).copyFrom_.has_value());
  }
}

TEST_F(DispatcherTest, PrefixReportedByPeersIsCopied)
{
  SetUpPool(8, 64, true);
  wire::LoadReport report;
  wire::PartRead read;
  read.part = 7;
  // Whichever engine is selected, at least one of these is a different one.
  for (const auto* name : { "t0", "t1" }) {
    read.target = MakeId<TargetId>(name).value_;
    report.reads.push_back(read);
  }
  dispatcher_->OnPeerReport(MakeId<RouterId>("peer"), report, 1s);
  dispatcher_->Submit(MakeItem("a", 5000, 1000, 7, 1s), 1s);
  const auto decisions = dispatcher_->TakeDecisions();
  ASSERT_EQ(decisions.size(), 1U);
  const auto& start = std::get<StartDecision>(decisions.front());
  const bool hasPrefix = start.target_ == MakeId<TargetId>("t0") ||
                         start.target_ == MakeId<TargetId>("t1");
  EXPECT_EQ(start.copyFrom_.has_value(), !hasPrefix);
}

TEST_F(DispatcherTest, PartReadsAreReportedOnceAndRepeatedLater)
{
  SetUpPool(1, 64, true);
  const auto runRequest = [&](Instant aNow) {
    dispatcher_->Submit(MakeItem("a", 5000, 100, 7, aNow), aNow);
    const auto starts = TakeStarts();
    dispatcher_->OnFirstEvent(starts.begin()->first, aNow + 100ms);
    dispatcher_->OnRunEnd(starts.begin()->first, RunOutcome::kCompleted,
                          aNow + 200ms);
    return dispatcher_->MakeReport(false, aNow + 200ms).reads.size();
  };
  // The part that belongs to one request only is not reported.
  EXPECT_EQ(runRequest(1s), 1U);
  EXPECT_EQ(runRequest(2s), 0U);
  EXPECT_EQ(runRequest(10s), 1U);
}

TEST_F(DispatcherTest, TriedTargetIsNotUsedAgain)
{
  SetUpPool(1, 4, false);
  auto item = MakeItem("a", 0, 10, 0, 1s);
  item.triedTargets_.push_back(MakeId<TargetId>("t0"));
  dispatcher_->Submit(item, 1s);
  EXPECT_TRUE(TakeStarts().empty());
}

TEST_F(DispatcherTest, PeerLoadCountsTowardsSlots)
{
  SetUpPool(1, 2, false);
  wire::LoadReport report;
  wire::TargetUse use;
  use.target = MakeId<TargetId>("t0").value_;
  use.running = 2;
  report.targets.push_back(use);
  // A peer report counts only for targets with a load entry.
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  EXPECT_EQ(TakeStarts().size(), 1U);
  dispatcher_->OnRunEnd(1, RunOutcome::kCompleted, 1s);
  dispatcher_->OnPeerReport(MakeId<RouterId>("peer"), report, 1s);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 1s), 1s);
  EXPECT_TRUE(TakeStarts().empty());
  // The load of a silent peer is dropped.
  dispatcher_->Tick(3s);
  dispatcher_->Submit(MakeItem("a", 0, 10, 0, 3s), 3s);
  EXPECT_TRUE(TakeStarts().contains(3));
}

// They were kept until the next message of another router, without bound where
// every router is a lead.
TEST_F(DispatcherTest, ReportsThePartsOfAnAnswerWhenItIsWhole)
{
  SetUpPool(1, 8, true);
  std::vector<std::pair<PartIds, Instant>> whole;
  dispatcher_->SetWholeHandler([&](const PartIds& aParts, Instant aNow) {
    whole.emplace_back(aParts, aNow);
  });
  dispatcher_->Submit(MakeItem("a", 5000, 1000, 7, 1s), 1s);
  dispatcher_->OnFirstEvent(1, 1200ms);
  EXPECT_TRUE(whole.empty());
  dispatcher_->OnRunEnd(1, RunOutcome::kCompleted, 1300ms);
  dispatcher_->OnRunEnd(1, RunOutcome::kCompleted, 1400ms);
  ASSERT_EQ(whole.size(), 1U);
  EXPECT_EQ(whole[0].first, PartIds{ 7 });
  EXPECT_EQ(whole[0].second, 1300ms);
}

// A run that was lost says nothing for its parts.
TEST_F(DispatcherTest, ReportsNoPartsOfLostAnswers)
{
  SetUpPool(1, 8, true);
  int whole = 0;
  dispatcher_->SetWholeHandler(
    [&](const PartIds& /*aParts*/, Instant /*aNow*/) { ++whole; });
  dispatcher_->Submit(MakeItem("a", 5000, 1000, 7, 1s), 1s);
  dispatcher_->OnFirstEvent(1, 1200ms);
  dispatcher_->OnRunEnd(1, RunOutcome::kFailed, 1300ms);
  EXPECT_EQ(whole, 0);
}

} // namespace
} // namespace burdockring
