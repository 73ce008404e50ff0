#include "process/forwarding/report_delta.h"

#include "process/forwarding/account_shares.h"
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
  return use;
}

auto MakeAccount(int aAccount, std::int64_t aAsked) -> wire::AccountUse
{
  wire::AccountUse use;
  use.account = aAccount;
  use.askedTokens = aAsked;
  return use;
}

auto MakeReport(std::vector<wire::TargetUse> aTargets,
                std::vector<wire::AccountUse> aAccounts = {})
  -> wire::LoadReport
{
  wire::LoadReport report;
  report.targets = std::move(aTargets);
  report.accounts = std::move(aAccounts);
  return report;
}

TEST(ReportDeltaTest, FirstReportIsWholeAndThenOnlyChangesFollow)
{
  ReportDelta delta;
  auto first = MakeReport({ MakeUse(1, 2), MakeUse(2, 1) });
  delta.Reduce(&first, 1s);
  EXPECT_FALSE(first.partial);
  EXPECT_EQ(first.targets.size(), 2U);
  auto second = MakeReport({ MakeUse(1, 2), MakeUse(3, 1) });
  delta.Reduce(&second, 1100ms);
  EXPECT_TRUE(second.partial);
  // The third target is new, and nothing runs at the second any more.
  ASSERT_EQ(second.targets.size(), 2U);
  EXPECT_EQ(second.targets[0], MakeUse(3, 1));
  EXPECT_EQ(second.targets[1], MakeUse(2, 0));
}

TEST(ReportDeltaTest, WholeReportsComeAgainAndOnDemand)
{
  ReportDelta delta;
  const auto isPartial = [&](Instant aNow) {
    auto report = MakeReport({ MakeUse(1, 2) });
    delta.Reduce(&report, aNow);
    return report.partial;
  };
  EXPECT_FALSE(isPartial(1s));
  EXPECT_TRUE(isPartial(2s));
  EXPECT_FALSE(isPartial(3s));
  delta.ForceWhole();
  EXPECT_FALSE(isPartial(3100ms));
}

TEST(ReportDeltaTest, AccountsAreToldWhenTheyHaveMovedEnough)
{
  ReportDelta delta;
  const auto told = [&](std::int64_t aAsked, Instant aNow) {
    auto report = MakeReport({}, { MakeAccount(1, aAsked) });
    delta.Reduce(&report, aNow);
    return !report.accounts.empty();
  };
  EXPECT_TRUE(told(100'000, 1s));
  EXPECT_FALSE(told(109'000, 1100ms));
  EXPECT_TRUE(told(111'000, 1200ms));
  EXPECT_TRUE(told(0, 1300ms));
}

/// Whatever changes come, a peer that hears every report knows each target's
/// load as if all reports were whole.
RC_GTEST_PROP(ReportDeltaTest, ChangesAddUpToWholeReports, ())
{
  ReportDelta delta;
  TargetLoadTable byChanges;
  TargetLoadTable byWhole;
  const auto steps = *rc::gen::inRange(1, 60);
  Instant now = 1s;
  for (int step = 0; step < steps; ++step) {
    std::vector<wire::TargetUse> uses;
    for (int target = 0; target < 5; ++target) {
      const int running = *rc::gen::inRange(0, 3);
      if (running > 0) {
        uses.push_back(MakeUse(target, running));
      }
    }
    now += *rc::gen::inRange(1, 300) * 1ms;
    byWhole.SetPeerUsage(RouterId{ 1 }, uses, false, now);
    auto report = MakeReport(uses);
    delta.Reduce(&report, now);
    byChanges.SetPeerUsage(RouterId{ 1 }, report.targets, report.partial, now);
    for (int target = 0; target < 5; ++target) {
      RC_ASSERT(byChanges.At(TargetId{ target }).Total().running_ ==
                byWhole.At(TargetId{ target }).Total().running_);
    }
  }
}

} // namespace
} // namespace burdockring
