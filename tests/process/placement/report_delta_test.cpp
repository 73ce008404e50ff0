#include "process/placement/report_delta.h"

#include "process/admission/account_shares.h"
#include "process/placement/target_load.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace burdockring {
namespace {

auto MakeTargetUse(int aTarget, int aRunning) -> wire::TargetUse
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

TEST(ReportDeltaTest, FirstReportIsFullAndLaterOnesHoldOnlyChanges)
{
  ReportDelta delta;
  auto first = MakeReport({ MakeTargetUse(1, 2), MakeTargetUse(2, 1) });
  delta.Reduce(&first, 1s);
  EXPECT_FALSE(first.partial);
  EXPECT_EQ(first.targets.size(), 2U);
  auto second = MakeReport({ MakeTargetUse(1, 2), MakeTargetUse(3, 1) });
  delta.Reduce(&second, 1100ms);
  EXPECT_TRUE(second.partial);
  // Target 3 is new, and nothing is running at target 2 any more.
  ASSERT_EQ(second.targets.size(), 2U);
  EXPECT_EQ(second.targets[0], MakeTargetUse(3, 1));
  EXPECT_EQ(second.targets[1], MakeTargetUse(2, 0));
}

TEST(ReportDeltaTest, FullReportsRepeatAndAreSentOnDemand)
{
  ReportDelta delta;
  const auto isPartial = [&](Instant aNow) {
    auto report = MakeReport({ MakeTargetUse(1, 2) });
    delta.Reduce(&report, aNow);
    return report.partial;
  };
  EXPECT_FALSE(isPartial(1s));
  EXPECT_TRUE(isPartial(2s));
  EXPECT_FALSE(isPartial(3s));
  delta.ForceFullReport();
  EXPECT_FALSE(isPartial(3100ms));
}

TEST(ReportDeltaTest, AccountsAreReportedOnceTheyChangedEnough)
{
  ReportDelta delta;
  const auto isReported = [&](std::int64_t aAsked, Instant aNow) {
    auto report = MakeReport({}, { MakeAccount(1, aAsked) });
    delta.Reduce(&report, aNow);
    return !report.accounts.empty();
  };
  EXPECT_TRUE(isReported(100'000, 1s));
  EXPECT_FALSE(isReported(109'000, 1100ms));
  EXPECT_TRUE(isReported(111'000, 1200ms));
  EXPECT_TRUE(isReported(0, 1300ms));
}

/// For any sequence of changes, a peer that receives every report knows the
/// same load of each target as if all reports were full.
RC_GTEST_PROP(ReportDeltaTest, DeltasAddUpToFullReports, ())
{
  ReportDelta delta;
  TargetLoadTable fromDeltas;
  TargetLoadTable fromFullReports;
  const auto steps = *rc::gen::inRange(1, 60);
  Instant now = 1s;
  for (int step = 0; step < steps; ++step) {
    std::vector<wire::TargetUse> uses;
    for (int target = 0; target < 5; ++target) {
      const int running = *rc::gen::inRange(0, 3);
      if (running > 0) {
        uses.push_back(MakeTargetUse(target, running));
      }
    }
    now += *rc::gen::inRange(1, 300) * 1ms;
    fromFullReports.SetPeerUsage(RouterId{ 1 }, uses, false, now);
    auto report = MakeReport(uses);
    delta.Reduce(&report, now);
    fromDeltas.SetPeerUsage(RouterId{ 1 }, report.targets, report.partial, now);
    for (int target = 0; target < 5; ++target) {
      RC_ASSERT(fromDeltas.At(TargetId{ target }).Total().running_ ==
                fromFullReports.At(TargetId{ target }).Total().running_);
    }
  }
}

} // namespace
} // namespace burdockring
