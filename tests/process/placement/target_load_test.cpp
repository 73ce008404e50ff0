#include "process/placement/target_load.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace burdockring {
namespace {

auto MakeUse(int aTarget, int aRunning) -> wire::TargetUse
{
  wire::TargetUse use;
  use.target = aTarget;
  use.running = aRunning;
  use.prefillTokens = aRunning * 100;
  use.memoryTokens = aRunning * 1000;
  return use;
}

TEST(TargetLoadTableTest, ReportReplacesThePeersPreviousOne)
{
  TargetLoadTable table;
  table.SetPeerUsage(RouterId{ 1 }, { MakeUse(1, 3), MakeUse(2, 1) }, false,
                     1s);
  table.SetPeerUsage(RouterId{ 1 }, { MakeUse(1, 2) }, false, 1100ms);
  EXPECT_EQ(table.At(TargetId{ 1 }).Total().running_, 2);
  EXPECT_EQ(table.At(TargetId{ 1 }).Total().prefillTokens_, 200);
  EXPECT_EQ(table.At(TargetId{ 2 }).Total().running_, 0);
}

TEST(TargetLoadTableTest, PartialReportUpdatesOnlyItsRows)
{
  TargetLoadTable table;
  table.SetPeerUsage(RouterId{ 1 }, { MakeUse(1, 3), MakeUse(2, 1) }, false,
                     1s);
  table.SetPeerUsage(RouterId{ 1 }, { MakeUse(2, 5), MakeUse(3, 2) }, true,
                     1100ms);
  EXPECT_EQ(table.At(TargetId{ 1 }).Total().running_, 3);
  EXPECT_EQ(table.At(TargetId{ 2 }).Total().running_, 5);
  EXPECT_EQ(table.At(TargetId{ 3 }).Total().running_, 2);
  table.SetPeerUsage(RouterId{ 1 }, { MakeUse(1, 0) }, true, 1200ms);
  EXPECT_EQ(table.At(TargetId{ 1 }).Total().running_, 0);
  table.Tick(5s);
  EXPECT_EQ(table.At(TargetId{ 2 }).Total().running_, 0);
}

TEST(TargetLoadTableTest, SilentPeerIsLeftOut)
{
  TargetLoadTable table;
  table.SetPeerUsage(RouterId{ 1 }, { MakeUse(1, 3) }, false, 1s);
  table.SetPeerUsage(RouterId{ 2 }, { MakeUse(1, 4) }, false, 2s);
  table.Tick(2600ms);
  EXPECT_EQ(table.At(TargetId{ 1 }).Total().running_, 4);
  table.SetPeerUsage(RouterId{ 1 }, { MakeUse(1, 5) }, false, 2700ms);
  EXPECT_EQ(table.At(TargetId{ 1 }).Total().running_, 9);
}

TEST(TargetLoadTableTest, UnlistedTargetIsRemovedOnceIdle)
{
  TargetLoadTable table;
  table.At(TargetId{ 1 }).Add({ 1, 10, 10 });
  table.At(TargetId{ 2 });
  table.RemoveUnless([](TargetId) { return false; });
  EXPECT_NE(table.Find(TargetId{ 1 }), nullptr);
  EXPECT_EQ(table.Find(TargetId{ 2 }), nullptr);
}

/// For any sequence of reports, a target's load is the sum of the latest report
/// of each peer.
RC_GTEST_PROP(TargetLoadTableTest, LoadIsTheSumOfTheLatestReports, ())
{
  TargetLoadTable table;
  std::map<int, std::vector<wire::TargetUse>> last;
  const auto steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    const int peer = *rc::gen::inRange(0, 4);
    std::vector<wire::TargetUse> uses;
    for (int target = 0; target < 3; ++target) {
      if (const int running = *rc::gen::inRange(0, 4); running > 0) {
        uses.push_back(MakeUse(target, running));
      }
    }
    table.SetPeerUsage(RouterId{ peer }, uses, false, 1s + step * 1ms);
    last[peer] = uses;
  }
  std::map<int, int> sums;
  for (const auto& entry : last) {
    for (const auto& use : entry.second) {
      sums[use.target] += use.running;
    }
  }
  for (int target = 0; target < 3; ++target) {
    RC_ASSERT(table.At(TargetId{ target }).Total().running_ == sums[target]);
  }
}

} // namespace
} // namespace burdockring
