#include "process/membership/peer_table.h"

#include <gtest/gtest.h>
#include <set>

namespace burdockring {
namespace {

auto MakeAddress(int aNumber, int aZone) -> RouterAddress
{
  RouterAddress address;
  address.name_ = "r" + std::to_string(aNumber);
  address.id_ = RouterId{ aNumber };
  address.zone_ = ZoneId{ aZone };
  return address;
}

class PeerTableTest : public testing::Test
{
protected:
  std::vector<RouterAddress> list_{ MakeAddress(1, 1), MakeAddress(2, 1),
                                    MakeAddress(3, 1) };
  PeerTable table_{ MakeAddress(1, 1), 10 };
  const ServiceId service_{ 5 };

  PeerTableTest() { table_.SetListed(list_, 0us); }

  auto ReceiveHeartbeat(int aFrom, Instant aNow, std::int64_t aIncarnation = 1)
    -> void
  {
    table_.OnHeartbeat(RouterId{ aFrom }, aIncarnation, {}, aNow);
  }

  auto StateOf(int aRouter) -> PeerState
  {
    return table_.Peers().at(RouterId{ aRouter }).state_;
  }
};

TEST_F(PeerTableTest, SilentPeerIsProbedThenSuspectedThenDead)
{
  ReceiveHeartbeat(2, 1s);
  table_.Tick(1700ms, 0);
  EXPECT_EQ(table_.TakeProbes(), std::vector<RouterId>{ RouterId{ 2 } });
  EXPECT_EQ(StateOf(2), PeerState::kAlive);
  table_.Tick(2100ms, 0);
  EXPECT_EQ(StateOf(2), PeerState::kSuspect);
  EXPECT_TRUE(table_.IsLive(RouterId{ 2 }));
  table_.Tick(2400ms, 0);
  EXPECT_EQ(StateOf(2), PeerState::kDead);
  EXPECT_FALSE(table_.IsLive(RouterId{ 2 }));
}

TEST_F(PeerTableTest, DropsHeartbeatsOfAnOldIncarnation)
{
  ReceiveHeartbeat(2, 1s, 7);
  ReceiveHeartbeat(2, 2s, 6);
  EXPECT_EQ(table_.IncarnationOf(RouterId{ 2 }), 7);
  EXPECT_EQ(table_.Peers().at(RouterId{ 2 }).lastHeard_, 1s);
}

TEST_F(PeerTableTest, DeadPeerMayComeBackWithALowerIncarnation)
{
  ReceiveHeartbeat(2, 1s, 7);
  table_.Tick(5s, 0);
  ReceiveHeartbeat(2, 6s, 3);
  EXPECT_EQ(StateOf(2), PeerState::kAlive);
  EXPECT_EQ(table_.IncarnationOf(RouterId{ 2 }), 3);
}

TEST_F(PeerTableTest, PeerReportingThisRouterDeadIsNotUsed)
{
  wire::Heartbeat heartbeat;
  wire::MemberNews update;
  update.router = 1;
  update.incarnation = 10;
  update.state = static_cast<std::int32_t>(PeerState::kDead);
  heartbeat.members.push_back(update);
  table_.OnHeartbeat(RouterId{ 2 }, 1, heartbeat, 1s);
  EXPECT_FALSE(table_.IsLive(RouterId{ 2 }));
  ReceiveHeartbeat(2, 1250ms);
  EXPECT_TRUE(table_.IsLive(RouterId{ 2 }));
}

TEST_F(PeerTableTest, LeavingRouterSchedulesNothing)
{
  ReceiveHeartbeat(2, 1s);
  ReceiveHeartbeat(3, 1s);
  wire::Heartbeat leaving;
  leaving.leaving = true;
  const auto before = table_.SchedulerOf(ZoneId{ 1 }, service_);
  ASSERT_TRUE(before);
  table_.OnHeartbeat(RouterId{ 2 }, 1, leaving, 1100ms);
  table_.OnHeartbeat(RouterId{ 3 }, 1, leaving, 1100ms);
  EXPECT_EQ(table_.SchedulerOf(ZoneId{ 1 }, service_), RouterId{ 1 });
}

TEST_F(PeerTableTest, ZoneWithoutRoutersIsScheduledByOthers)
{
  EXPECT_EQ(table_.SchedulerOf(ZoneId{ 9 }, service_), RouterId{ 1 });
}

TEST_F(PeerTableTest, ListedRoutersOfAnUnheardZoneAreContactedInTurn)
{
  list_.push_back(MakeAddress(4, 2));
  list_.push_back(MakeAddress(5, 2));
  table_.SetListed(list_, 0us);
  std::set<std::int32_t> contacted;
  for (auto now = Instant(1s); now < 4s; now += 5ms) {
    for (const auto& heartbeat : table_.Tick(now, 0)) {
      contacted.insert(heartbeat.router_.value_);
    }
  }
  EXPECT_TRUE(contacted.contains(4));
  EXPECT_TRUE(contacted.contains(5));
}

TEST_F(PeerTableTest, HeartbeatsGrowWithOwnZoneAndZoneCountOnly)
{
  const auto count = [](int aZones) {
    PeerTable table(MakeAddress(1, 1), 1);
    std::vector<RouterAddress> list;
    for (int i = 1; i <= aZones * 3; ++i) {
      list.push_back(MakeAddress(i, (i - 1) / 3 + 1));
    }
    table.SetListed(list, 0us);
    for (const auto& address : list) {
      table.OnHeartbeat(address.id_, 1, {}, 1s);
    }
    std::size_t sent = 0;
    for (auto now = Instant(1s); now < 2s; now += 5ms) {
      sent += table.Tick(now, 0).size();
    }
    return sent;
  };
  // Own zone: 2 peers, 4 heartbeats a second each. Other zones: 2 heartbeats a
  // second each where this router is the gateway.
  EXPECT_LE(count(4), 8U + 2U * 3U);
  EXPECT_LE(count(40), 8U + 2U * 39U);
}

/// Two zones of 20 routers each; routers 7 and 9 have the most CPU.
class LeadTest : public testing::Test
{
protected:
  std::vector<RouterAddress> list_;

  auto SetUp() -> void override
  {
    for (int i = 1; i <= 40; ++i) {
      auto address = MakeAddress(i, (i - 1) / 20 + 1);
      address.millicores_ = i == 7 || i == 9 ? 500 : 120;
      list_.push_back(address);
    }
  }

  auto MakeTable(int aSelf) -> PeerTable
  {
    PeerTable table(list_[static_cast<std::size_t>(aSelf - 1)], 1, 4);
    table.SetListed(list_, 0us);
    return table;
  }

  /// Delivers heartbeats of all routers of zone 1 except those in aExcluded.
  auto ReceiveZoneHeartbeats(PeerTable* aTable,
                             Instant aNow,
                             std::set<int> aExcluded = {}) -> void
  {
    for (int i = 1; i <= 20; ++i) {
      if (!aExcluded.contains(i) && i != aTable->Self().id_.value_) {
        aTable->OnHeartbeat(RouterId{ i }, 1, {}, aNow);
      }
    }
  }
};

TEST_F(LeadTest, LargestLiveRoutersAreLeads)
{
  auto table = MakeTable(3);
  ReceiveZoneHeartbeats(&table, 1s);
  const auto leads = table.Leads(ZoneId{ 1 });
  EXPECT_EQ(std::set<RouterId>(leads.begin(), leads.end()),
            (std::set<RouterId>{ RouterId{ 7 }, RouterId{ 9 } }));
  EXPECT_FALSE(table.IsLead());
  auto lead = MakeTable(7);
  ReceiveZoneHeartbeats(&lead, 1s);
  EXPECT_TRUE(lead.IsLead());
}

TEST_F(LeadTest, FollowersSendToLeadsAndLeadsSendToAll)
{
  const auto sentIn = [](PeerTable* aTable) {
    std::set<RouterId> sent;
    for (const auto& heartbeat : aTable->Tick(2500ms, 0)) {
      if (aTable->Peers().at(heartbeat.router_).address_.zone_ == ZoneId{ 1 }) {
        sent.insert(heartbeat.router_);
      }
    }
    return sent;
  };
  auto follower = MakeTable(3);
  ReceiveZoneHeartbeats(&follower, 1s);
  follower.Tick(1s, 0);
  ReceiveZoneHeartbeats(
    &follower, 2400ms,
    { 1, 2, 4, 5, 6, 8, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 });
  EXPECT_EQ(sentIn(&follower),
            (std::set<RouterId>{ RouterId{ 7 }, RouterId{ 9 } }));
  auto lead = MakeTable(7);
  ReceiveZoneHeartbeats(&lead, 2400ms);
  EXPECT_EQ(sentIn(&lead).size(), 19U);
}

TEST_F(LeadTest, SilentLeadIsReplaced)
{
  auto table = MakeTable(3);
  ReceiveZoneHeartbeats(&table, 1s);
  for (auto now = Instant(1s); now < 4s; now += 50ms) {
    ReceiveZoneHeartbeats(&table, now, { 7 });
    table.Tick(now, 0);
  }
  const auto leads = table.Leads(ZoneId{ 1 });
  EXPECT_EQ(leads.size(), 2U);
  EXPECT_EQ(leads[0], RouterId{ 9 });
  EXPECT_NE(leads[1], RouterId{ 7 });
}

// A router that becomes a lead has received no heartbeats from the zone before.
TEST_F(LeadTest, NewLeadWaitsToHearPeersBeforeDeclaringThemDead)
{
  auto table = MakeTable(3);
  ReceiveZoneHeartbeats(&table, 1s);
  for (auto now = Instant(1s); now < 3s; now += 50ms) {
    table.OnHeartbeat(RouterId{ 9 }, 1, {}, now);
    table.Tick(now, 0);
  }
  // Only router 9 was heard since 1 s. Router 7 is dead by now; the others must
  // not be.
  int dead = 0;
  for (const auto& entry : table.Peers()) {
    dead += entry.second.state_ == PeerState::kDead ? 1 : 0;
  }
  EXPECT_EQ(dead, 1);
}

TEST_F(LeadTest, FollowersLearnPeerStatesFromALead)
{
  auto lead = MakeTable(7);
  ReceiveZoneHeartbeats(&lead, 1s, { 12 });
  auto follower = MakeTable(3);
  for (auto now = Instant(1s); now < 8s; now += 50ms) {
    ReceiveZoneHeartbeats(&lead, now, { 12 });
    for (const auto& heartbeat : lead.Tick(now, 0)) {
      if (heartbeat.router_ == RouterId{ 3 }) {
        follower.OnHeartbeat(RouterId{ 7 }, 1, heartbeat.heartbeat_, now);
      }
    }
    follower.Tick(now, 0);
  }
  EXPECT_TRUE(follower.IsLive(RouterId{ 15 }));
  EXPECT_FALSE(follower.IsLive(RouterId{ 12 }));
}

} // namespace
} // namespace burdockring
