#include "process/placement/placement_state_log.h"

#include "support/forwarding_fixture.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

using testing::_;

class PlacementStateLogTest : public testing::Test
{
protected:
  testing::StrictMock<MockEventLog> log_;
  TargetDirectory directory_;
  Dispatcher dispatcher_{ &directory_, MakeId<ZoneId>("near"), 1 };
  PlacementStateLog stateLog_{ &dispatcher_, &log_ };

  auto Submit(Instant aNow) -> void
  {
    WorkItem item;
    item.id_ = 1;
    item.account_ = MakeId<AccountId>("a");
    item.service_ = MakeId<ServiceId>("pool");
    item.arrival_ = aNow;
    item.latencyObjective_ = 800ms;
    item.deadline_ = aNow + 15s;
    item.promptTokens_ = 100;
    dispatcher_.Submit(item, aNow);
  }
};

TEST_F(PlacementStateLogTest, WritesNothingWithoutNewDecisions)
{
  stateLog_.Tick(10s);
  stateLog_.Tick(20s);
}

TEST_F(PlacementStateLogTest, WritesSharesAndPaceOncePerSecond)
{
  directory_.Put("t0", MakeTarget("t0", "pool", 8));
  dispatcher_.SetTable(MakeTable(1, true, 1000));
  EXPECT_CALL(log_, Write(std::string_view("share_levels"), _)).Times(2);
  EXPECT_CALL(log_, Write(std::string_view("engine_pace"), _)).Times(2);
  Submit(10s);
  stateLog_.Tick(10s);
  Submit(10100ms);
  stateLog_.Tick(10100ms);
  stateLog_.Tick(11s);
  stateLog_.Tick(12s);
}

} // namespace
} // namespace burdockring
