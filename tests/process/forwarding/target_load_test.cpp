#include "process/forwarding/target_load.h"

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

TEST(LoadBookTest, ReportReplacesThePeersLastOne)
{
  LoadBook book;
  book.SetPeer(RouterId{ 1 }, { MakeUse(1, 3), MakeUse(2, 1) }, false, 1s);
  book.SetPeer(RouterId{ 1 }, { MakeUse(1, 2) }, false, 1100ms);
  EXPECT_EQ(book.At(TargetId{ 1 }).Total().running_, 2);
  EXPECT_EQ(book.At(TargetId{ 1 }).Total().prefillTokens_, 200);
  EXPECT_EQ(book.At(TargetId{ 2 }).Total().running_, 0);
}

TEST(LoadBookTest, PartialReportChangesTheRowsItHolds)
{
  LoadBook book;
  book.SetPeer(RouterId{ 1 }, { MakeUse(1, 3), MakeUse(2, 1) }, false, 1s);
  book.SetPeer(RouterId{ 1 }, { MakeUse(2, 5), MakeUse(3, 2) }, true, 1100ms);
  EXPECT_EQ(book.At(TargetId{ 1 }).Total().running_, 3);
  EXPECT_EQ(book.At(TargetId{ 2 }).Total().running_, 5);
  EXPECT_EQ(book.At(TargetId{ 3 }).Total().running_, 2);
  book.SetPeer(RouterId{ 1 }, { MakeUse(1, 0) }, true, 1200ms);
  EXPECT_EQ(book.At(TargetId{ 1 }).Total().running_, 0);
  book.Tick(5s);
  EXPECT_EQ(book.At(TargetId{ 2 }).Total().running_, 0);
}

TEST(LoadBookTest, SilentPeerIsLeftOut)
{
  LoadBook book;
  book.SetPeer(RouterId{ 1 }, { MakeUse(1, 3) }, false, 1s);
  book.SetPeer(RouterId{ 2 }, { MakeUse(1, 4) }, false, 2s);
  book.Tick(2600ms);
  EXPECT_EQ(book.At(TargetId{ 1 }).Total().running_, 4);
  book.SetPeer(RouterId{ 1 }, { MakeUse(1, 5) }, false, 2700ms);
  EXPECT_EQ(book.At(TargetId{ 1 }).Total().running_, 9);
}

TEST(LoadBookTest, TargetThatIsGoneIsForgottenOnceNothingRunsThere)
{
  LoadBook book;
  book.At(TargetId{ 1 }).Add({ 1, 10, 10 });
  book.At(TargetId{ 2 });
  book.ForgetUnless([](TargetId) { return false; });
  EXPECT_NE(book.Find(TargetId{ 1 }), nullptr);
  EXPECT_EQ(book.Find(TargetId{ 2 }), nullptr);
}

/// However reports replace each other and peers fall silent, a target's load is
/// the sum of what was last told.
RC_GTEST_PROP(LoadBookTest, LoadIsTheSumOfTheLastReports, ())
{
  LoadBook book;
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
    book.SetPeer(RouterId{ peer }, uses, false, 1s + step * 1ms);
    last[peer] = uses;
  }
  std::map<int, int> sums;
  for (const auto& entry : last) {
    for (const auto& use : entry.second) {
      sums[use.target] += use.running;
    }
  }
  for (int target = 0; target < 3; ++target) {
    RC_ASSERT(book.At(TargetId{ target }).Total().running_ == sums[target]);
  }
}

} // namespace
} // namespace burdockring
