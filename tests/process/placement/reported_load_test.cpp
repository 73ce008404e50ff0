#include "process/placement/reported_load.h"

#include "process/placement/placement_wire.h"
#include "process/placement/target_load.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

const TargetId kEngine{ 1 };
const RouterId kPeer{ 1 };
constexpr double kMeanTokens = 1000;

auto MakeUse(int aRunning, int aPrefillTokens) -> wire::TargetUse
{
  wire::TargetUse use;
  use.target = kEngine.value_;
  use.running = aRunning;
  use.prefillTokens = aPrefillTokens;
  use.memoryTokens = aRunning * 2000;
  return use;
}

// Guards against requests of a crashed router being forgotten while they still
// run: its reports are dropped after 1.5 s.
TEST(ReportedLoadTest, WorkOfACrashedRouterCounts)
{
  TargetLoadTable table;
  table.SetPeerUsage(kPeer, { MakeUse(6, 4000) }, false, 1s);
  table.Tick(3s);
  auto& load = table.At(kEngine);
  EXPECT_EQ(load.Corrected(3s).running_, 0);
  EXPECT_TRUE(load.OnReport({ 2, 4, 8 }, kMeanTokens, 3s));
  EXPECT_EQ(load.Corrected(3s).running_, 6);
  EXPECT_EQ(load.Corrected(3s).prefillTokens_, 4000);
  EXPECT_EQ(load.Total().running_, 0);
  // One report may only be newer than those of the routers.
  EXPECT_EQ(load.Corrected(3060ms).running_, 0);
  // Two that agree last until the next response, for a second.
  EXPECT_TRUE(load.OnReport({ 2, 4, 8 }, kMeanTokens, 3200ms));
  EXPECT_EQ(load.Corrected(3900ms).running_, 5);
  EXPECT_EQ(load.Corrected(4200ms).running_, 0);
  EXPECT_TRUE(load.OnReport({ 2, 4, 8 }, kMeanTokens, 4300ms));
  EXPECT_EQ(load.Corrected(4400ms).running_, 5);
  EXPECT_TRUE(load.OnReport({ 1, 0, 8 }, kMeanTokens, 4500ms));
  EXPECT_EQ(load.Corrected(4600ms).running_, 0);
}

// Guards against the reverse: a silent router's requests that have ended.
TEST(ReportedLoadTest, EndedWorkOfASilentRouterDoesNotCount)
{
  TargetLoadTable table;
  table.SetPeerUsage(kPeer, { MakeUse(6, 6000) }, false, 1s);
  auto& load = table.At(kEngine);
  load.Add({ 1, 500, 700 });
  EXPECT_TRUE(load.OnReport({ 1, 0, 8 }, kMeanTokens, 1200ms));
  EXPECT_EQ(load.Corrected(1200ms).running_, 1);
  EXPECT_EQ(load.Corrected(1200ms).prefillTokens_, 500);
  EXPECT_EQ(load.Corrected(1200ms).memoryTokens_, 700);
}

// Guards against requests counting twice once the routers' reports catch up
// with the target's.
TEST(ReportedLoadTest, LaterReportsOfRoutersReplaceTheCorrection)
{
  TargetLoadTable table;
  auto& load = table.At(kEngine);
  EXPECT_TRUE(load.OnReport({ 4, 1, 8 }, kMeanTokens, 1s));
  EXPECT_EQ(load.Corrected(1s).running_, 5);
  table.SetPeerUsage(kPeer, { MakeUse(3, 3000) }, false, 1010ms);
  EXPECT_EQ(load.Corrected(1010ms).running_, 5);
  table.SetPeerUsage(kPeer, { MakeUse(5, 5000) }, false, 1020ms);
  EXPECT_EQ(load.Corrected(1020ms).running_, 5);
  // A full report that repeats the rows changes nothing.
  table.SetPeerUsage(kPeer, { MakeUse(5, 5000) }, false, 1030ms);
  EXPECT_EQ(load.Corrected(1030ms).running_, 5);
}

TEST(ReportedLoadTest, RequestsOnTheirWayAreNotTakenForEnded)
{
  TargetLoadTable table;
  table.SetPeerUsage(kPeer, { MakeUse(3, 3000) }, false, 1s);
  auto& load = table.At(kEngine);
  load.Add({ 4, 4000, 8000 });
  load.OnSent(1s);
  EXPECT_FALSE(load.OnReport({ 3, 0, 8 }, kMeanTokens, 1005ms));
  EXPECT_EQ(load.Corrected(1005ms).running_, 7);
}

TEST(ReportedLoadTest, ReportThatAgreesChangesNothing)
{
  TargetLoadTable table;
  table.SetPeerUsage(kPeer, { MakeUse(3, 3000) }, false, 1s);
  auto& load = table.At(kEngine);
  load.Add({ 2, 500, 700 });
  EXPECT_FALSE(load.OnReport({ 4, 1, 8 }, kMeanTokens, 1s));
  EXPECT_EQ(load.Corrected(1s).running_, 5);
  EXPECT_EQ(load.Corrected(1s).prefillTokens_, 3500);
}

TEST(ReportedLoadTest, SlownessCountsForAQuarterOfASecond)
{
  TargetLoadTable table;
  auto& load = table.At(kEngine);
  const auto usual = load.PrefillTime(1000);
  load.OnReport({ 0, 0, 8, 300 }, kMeanTokens, 1s);
  EXPECT_EQ(load.PrefillTime(1000, 1s) / 10us, usual * 3 / 10us);
  EXPECT_LT(load.PrefillTime(1000, 1100ms), usual * 3);
  EXPECT_GT(load.PrefillTime(1000, 1100ms), usual);
  EXPECT_EQ(load.PrefillTime(1000, 1250ms), usual);
  // Garbled figures are bounded.
  load.OnReport({ 0, 0, 8, 100'000 }, kMeanTokens, 2s);
  EXPECT_LE(load.PrefillTime(1000, 2s), (usual + 1us) * 8);
}

// Where no load is reported, all decisions stay as they are.
TEST(ReportedLoadTest, NothingIsCorrectedWithoutReports)
{
  TargetLoadTable table;
  table.SetPeerUsage(kPeer, { MakeUse(3, 3000) }, false, 1s);
  auto& load = table.At(kEngine);
  load.Add({ 1, 700, 900 });
  load.LearnPrefillSpeed(0.1);
  EXPECT_EQ(load.Corrected(1s).running_, load.Total().running_);
  EXPECT_EQ(load.Corrected(1s).prefillTokens_, load.Total().prefillTokens_);
  EXPECT_EQ(load.Corrected(1s).memoryTokens_, load.Total().memoryTokens_);
  EXPECT_EQ(load.PrefillTime(321, 1s), load.PrefillTime(321));
}

TEST(LoadNoteFilterTest, OnlyNewsIsPassedOn)
{
  LoadNoteFilter filter;
  EXPECT_TRUE(filter.Take(kPeer, kEngine, { 3, 0, 8, 100 }, 1s));
  EXPECT_FALSE(filter.Take(kPeer, kEngine, { 3, 0, 8, 105 }, 1010ms));
  EXPECT_FALSE(filter.Take(kPeer, kEngine, { 2, 1, 8, 100 }, 1010ms));
  EXPECT_TRUE(filter.Take(kPeer, kEngine, { 3, 0, 8, 110 }, 1020ms));
  EXPECT_TRUE(filter.Take(kPeer, kEngine, { 4, 0, 8, 110 }, 1030ms));
  EXPECT_TRUE(filter.Take(kPeer, kEngine, { 4, 0, 8, 110 }, 1530ms));
  EXPECT_TRUE(filter.Take(RouterId{ 2 }, kEngine, { 4, 0, 8, 110 }, 1530ms));
}

// Guards against more control traffic with the number of responses.
TEST(LoadNoteFilterTest, LoadsTakeABoundedPartOfTheControlTraffic)
{
  LoadNoteFilter filter;
  int passed = 0;
  for (int i = 0; i < 4000; ++i) {
    const Instant now = 1s + 1ms * i;
    const TargetId target{ i % 60 };
    passed += filter.Take(kPeer, target, { i, 0, 8, 100 }, now) ? 1 : 0;
  }
  EXPECT_LE(passed, 4 * 40 + 1);
}

TEST(ReportedLoadWireTest, LoadSurvivesANoteAndGarbledFiguresAreBounded)
{
  const ReportedLoad load{ 3, 2, 8, 140 };
  EXPECT_EQ(DecodeLoad(EncodeLoad(load)), load);
  const ReportedLoad withoutSlowness{ 3, 2, 8 };
  EXPECT_EQ(DecodeLoad(EncodeLoad(withoutSlowness)), withoutSlowness);
  wire::ReportedTargetLoad garbled;
  garbled.running = -5;
  garbled.waiting = 2'000'000'000;
  garbled.__set_slownessPercent(-1);
  const auto decoded = DecodeLoad(garbled);
  EXPECT_EQ(decoded.running_, 0);
  EXPECT_LE(decoded.waiting_, 100'000);
  EXPECT_FALSE(decoded.slownessPercent_);
}

} // namespace
} // namespace burdockring
