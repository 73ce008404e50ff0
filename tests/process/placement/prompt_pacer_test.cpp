#include "process/placement/prompt_pacer.h"

#include "process/placement/placement_wire.h"
#include "support/forwarding_fixture.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>

namespace burdockring {
namespace {

constexpr Duration kLimit = 300ms;
const auto kService = MakeId<ServiceId>("pool");
const auto kEngine = MakeId<TargetId>("e");

TEST(PromptPacer, AllowsWhatTheLimitLeavesBesideTheUsualGap)
{
  PromptPacer pacer;
  EXPECT_FALSE(pacer.Allowance(kService, kLimit));
  for (int i = 0; i < 400; ++i) {
    // Every other event includes some reading.
    pacer.LearnGap(kService, kLimit, i % 2 == 0 ? 60ms : 250ms);
  }
  ASSERT_TRUE(pacer.Allowance(kService, kLimit));
  EXPECT_NEAR(static_cast<double>(pacer.Allowance(kService, kLimit)->count()),
              240'000, 10'000);
}

// Pacing would hold prompts for nothing.
TEST(PromptPacer, DoesNotPaceEnginesThatAreTooSlowForTheLimit)
{
  PromptPacer pacer;
  for (int i = 0; i < 400; ++i) {
    pacer.LearnGap(kService, kLimit, 400ms);
  }
  EXPECT_FALSE(pacer.Allowance(kService, kLimit));
}

// Prompts that arrive one after the other make an engine read without a break,
// although it never has a backlog of more than one.
TEST(PromptPacer, SteadyPromptsAreBoundedInEachSpan)
{
  PromptPacer pacer;
  Duration read{};
  Instant busyUntil = 1s;
  for (Instant now = 1s; now < 2s; now += 10ms) {
    const auto backlog = std::max<Duration>(busyUntil - now, 0us);
    if (pacer.Excess(kEngine, 50ms, backlog, 200ms, kLimit, now) == 0us) {
      pacer.OnPromptSent(kEngine, 50ms, backlog, kLimit, now);
      busyUntil = now + backlog + 50ms;
      read += 50ms;
    }
  }
  // 200 ms of each 300 ms, and up to one allowance more at the edges.
  EXPECT_GE(read, 600ms);
  EXPECT_LE(read, 850ms);
}

TEST(PromptPacer, BurstIsBoundedByTheAllowance)
{
  PromptPacer pacer;
  int sent = 0;
  Duration backlog{};
  while (pacer.Excess(kEngine, 50ms, backlog, 200ms, kLimit, 1s) == 0us) {
    pacer.OnPromptSent(kEngine, 50ms, backlog, kLimit, 1s);
    backlog += 50ms;
    ++sent;
  }
  EXPECT_EQ(sent, 4);
  // It returns as the span moves on.
  EXPECT_GT(pacer.Excess(kEngine, 50ms, 100ms, 200ms, kLimit, 1100ms), 0us);
  EXPECT_EQ(pacer.Excess(kEngine, 50ms, 0us, 200ms, kLimit, 1360ms), 0us);
}

// An engine that is faster than estimated must not count as reading for long.
TEST(PromptPacer, EngineWithoutBacklogHasReadItsPrompts)
{
  PromptPacer pacer;
  pacer.OnPromptSent(kEngine, 900ms, 0us, kLimit, 1s);
  EXPECT_GT(pacer.Excess(kEngine, 50ms, 500ms, 200ms, kLimit, 1400ms), 0us);
  pacer.OnBacklogRead(kEngine, 1100ms);
  EXPECT_EQ(pacer.Excess(kEngine, 50ms, 0us, 200ms, kLimit, 1400ms), 0us);
}

TEST(PromptPacer, PromptLongerThanTheAllowanceHasNoRoom)
{
  const PromptPacer pacer;
  EXPECT_GT(pacer.Excess(kEngine, 250ms, 0us, 200ms, kLimit, 1s), 0us);
}

TEST(PromptPacer, EngineThatRunsNoLimitedStreamIsNotPaced)
{
  PromptPacer pacer;
  const PromptPacing pacing{ &pacer, kService, 100ms, kLimit, 20'000, false };
  TargetLoad load;
  // 20,000 tokens take about half a second by default.
  EXPECT_EQ(pacing.Excess(kEngine, load, 20'000, 1s), 0us);
  pacer.OnLimitedRunStart(kEngine);
  EXPECT_GT(pacing.Excess(kEngine, load, 20'000, 1s), 0us);
  pacer.OnLimitedRunEnd(kEngine);
  EXPECT_EQ(pacing.Excess(kEngine, load, 20'000, 1s), 0us);
  // Runs of other routers may have a limit.
  load.ReplacePeerLoad({}, { 1, 0, 0 });
  EXPECT_GT(pacing.Excess(kEngine, load, 20'000, 1s), 0us);
}

TEST(PlacementWire, AskCarriesTheGapLimitIfThereIsOne)
{
  WorkItem item;
  auto ask = EncodeAsk(item, 1, 1s);
  EXPECT_FALSE(ask.__isset.maxGapMicros);
  EXPECT_EQ(DecodeAsk(ask, 1, 1s)->maxEventGap_, 0us);
  item.maxEventGap_ = kLimit;
  ask = EncodeAsk(item, 1, 1s);
  EXPECT_EQ(DecodeAsk(ask, 1, 1s)->maxEventGap_, kLimit);
  ask.__set_maxGapMicros(-5);
  EXPECT_EQ(DecodeAsk(ask, 1, 1s)->maxEventGap_, 0us);
}

/// Dispatcher of one engine that runs a stream with a limit.
class PacedDispatcherTest : public testing::Test
{
protected:
  TargetDirectory directory_;
  std::unique_ptr<Dispatcher> dispatcher_;
  RequestId nextId_ = 1;

  auto SetUpEngines(int aEngines, Duration aLimit) -> void
  {
    for (int i = 0; i < aEngines; ++i) {
      const auto name = "e" + std::to_string(i);
      directory_.Put(name, MakeTarget(name, "pool", 64));
    }
    dispatcher_ =
      std::make_unique<Dispatcher>(&directory_, MakeId<ZoneId>("near"), 1);
    dispatcher_->SetTable(MakeTable(1, true, 0, 0, aLimit));
  }

  auto Submit(int aTokens, Duration aLimit, Instant aNow) -> RequestId
  {
    WorkItem item;
    item.id_ = nextId_++;
    item.account_ = MakeId<AccountId>("a");
    item.service_ = MakeId<ServiceId>("pool");
    item.arrival_ = aNow;
    item.latencyObjective_ = 800ms;
    item.maxEventGap_ = aLimit;
    item.deadline_ = aNow + 15s;
    item.promptTokens_ = aTokens;
    item.outputTokens_ = 100;
    item.parts_.push_back({ 1000 + item.id_, aTokens });
    const auto id = item.id_;
    dispatcher_->Submit(std::move(item), aNow);
    return id;
  }

  auto TakeStarts() -> std::map<RequestId, TargetId>
  {
    std::map<RequestId, TargetId> starts;
    for (const auto& decision : dispatcher_->TakeDecisions()) {
      const auto* start = std::get_if<StartDecision>(&decision);
      EXPECT_NE(start, nullptr) << "a request was rejected";
      if (start != nullptr) {
        starts[start->request_] = start->target_;
      }
    }
    return starts;
  }

  /// Starts a stream on each engine, which then has no backlog.
  auto StartStreams(int aCount, Duration aLimit, Instant aNow) -> void
  {
    for (int i = 0; i < aCount; ++i) {
      const auto id = Submit(10, aLimit, aNow);
      EXPECT_TRUE(TakeStarts().contains(id));
    }
    // Half of the limit is left for reading.
    for (int i = 0; i < 400; ++i) {
      dispatcher_->LearnEventGap(MakeId<ServiceId>("pool"),
                                 i % 4 == 0 ? 149ms : 151ms);
    }
    for (RequestId id = 1; id < nextId_; ++id) {
      dispatcher_->OnFirstEvent(id, aNow + 30ms);
    }
  }
};

// 36 tokens per ms by default: 3,000 tokens take 83 ms, 9,000 tokens 250 ms.
TEST_F(PacedDispatcherTest, PromptWithoutRoomWaitsAndThenStartsAsBefore)
{
  SetUpEngines(1, kLimit);
  StartStreams(1, kLimit, 1s);
  const auto prompt = Submit(9000, 0us, 2s);
  EXPECT_TRUE(TakeStarts().empty());
  EXPECT_EQ(dispatcher_->Pacing().held_, 1);
  // It may queue for 160 ms.
  Instant started{};
  for (Instant now = 2s; now < 3s && started == 0us; now += 5ms) {
    dispatcher_->Tick(now);
    dispatcher_->RetryWaiting(now);
    if (TakeStarts().contains(prompt)) {
      started = now;
    }
  }
  EXPECT_GE(started, 2s + 100ms);
  EXPECT_LE(started, 2s + 160ms);
  EXPECT_EQ(dispatcher_->Pacing().withoutRoom_, 1);
}

TEST_F(PacedDispatcherTest, PromptsSpreadOverEnginesWithRoom)
{
  SetUpEngines(2, kLimit);
  StartStreams(2, kLimit, 1s);
  Submit(3000, 0us, 2s);
  Submit(3000, 0us, 2s);
  EXPECT_EQ(TakeStarts().size(), 2U);
  // Both engines have read for 83 ms of the 150 ms of which they may.
  Submit(3000, 0us, 2s);
  EXPECT_TRUE(TakeStarts().empty());
}

TEST_F(PacedDispatcherTest, ServiceWithoutLimitIsNotPaced)
{
  SetUpEngines(1, 0us);
  StartStreams(1, 0us, 1s);
  Submit(9000, 0us, 2s);
  EXPECT_EQ(TakeStarts().size(), 1U);
}

// Another lead's prompts use up the room too, also if it reports them only
// once.
TEST_F(PacedDispatcherTest, PromptsOfPeersCount)
{
  SetUpEngines(1, kLimit);
  StartStreams(1, kLimit, 1s);
  wire::LoadReport report;
  wire::TargetUse use;
  use.target = MakeId<TargetId>("e0").value_;
  use.running = 1;
  use.prefillTokens = 3000;
  report.targets.push_back(use);
  dispatcher_->OnPeerReport(RouterId{ 7 }, report, 2s);
  report.targets[0].prefillTokens = 0;
  dispatcher_->OnPeerReport(RouterId{ 7 }, report, 2s + 80ms);
  Submit(3000, 0us, 2s + 90ms);
  EXPECT_TRUE(TakeStarts().empty());
  dispatcher_->RetryWaiting(2s + 100ms);
  EXPECT_TRUE(TakeStarts().empty());
}

// A run's end must free the engine, whichever way it ended.
TEST_F(PacedDispatcherTest, EngineWhoseStreamsEndedIsNotPaced)
{
  SetUpEngines(1, kLimit);
  StartStreams(1, kLimit, 1s);
  dispatcher_->OnRunEnd(1, RunOutcome::kFailed, 1500ms);
  Submit(9000, 0us, 2s);
  EXPECT_EQ(TakeStarts().size(), 1U);
}

} // namespace
} // namespace burdockring
