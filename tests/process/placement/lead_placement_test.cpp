#include "process/placement/placement_wire.h"
#include "support/router_zone.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

/// The zone's two large routers are its leads.
constexpr std::size_t kFirstLead = 0;
constexpr std::size_t kSecondLead = 1;

/// Sends one request to each router of the zone, aGap apart.
auto SendOneRequestPerRouter(RouterZone* aZone, int aRouters, Duration aGap)
  -> void
{
  for (int i = 0; i < aRouters; ++i) {
    aZone->Arrive(static_cast<std::size_t>(i));
    aZone->Run(aGap);
  }
}

// Load pattern: a burst of requests over dozens of routers with one request
// each. Without leads, all routers would select the same targets.
TEST(LeadPlacementTest, BurstAcrossManyRoutersOverloadsNoTarget)
{
  RouterZone zone({ .routers_ = 40, .targets_ = 8, .slots_ = 8 });
  zone.Run(3s);
  SendOneRequestPerRouter(&zone, 40, 1ms);
  zone.Run(1s);
  EXPECT_EQ(zone.Starts(), 40);
  EXPECT_EQ(zone.FailedRequests(), 0);
  // An even distribution would be five per target.
  EXPECT_LE(zone.MaxRunning(), 8);
  EXPECT_GT(zone.Node(5).Placements().Counters().sentToLeads_, 0);
  EXPECT_EQ(zone.Node(5).Placements().Counters().placedLocally_, 0);
}

TEST(LeadPlacementTest, LeadsLearnTheLoadWithinOneMessage)
{
  RouterZone zone({ .routers_ = 24, .targets_ = 4, .slots_ = 16 });
  zone.Run(3s);
  SendOneRequestPerRouter(&zone, 24, 2ms);
  zone.Run(60ms);
  for (int i = 0; i < 4; ++i) {
    const auto target = MakeId<TargetId>("t" + std::to_string(i));
    EXPECT_EQ(zone.ReportedRunningAt(kFirstLead, target),
              zone.RunningAt(target));
    EXPECT_EQ(zone.ReportedRunningAt(kSecondLead, target),
              zone.RunningAt(target));
  }
}

// The datagrams of a router grow with its requests and the number of leads
// only.
TEST(LeadPlacementTest, DatagramsPerRouterDoNotGrowWithTheZone)
{
  const auto perRouter = [](int aRouters) {
    RouterZone zone({ .routers_ = aRouters });
    zone.Run(3s);
    const auto before = zone.Datagrams();
    for (int second = 0; second < 2; ++second) {
      SendOneRequestPerRouter(&zone, aRouters, 1s / aRouters);
    }
    return static_cast<double>(zone.Datagrams() - before) / aRouters;
  };
  EXPECT_LE(perRouter(96), 1.3 * perRouter(32));
}

TEST(LeadPlacementTest, UnresponsiveLeadIsBypassedQuickly)
{
  RouterZone zone({ .routers_ = 20 });
  zone.Run(3s);
  zone.Freeze(kFirstLead, true);
  zone.Freeze(kSecondLead, true);
  for (std::size_t i = 2; i < 20; ++i) {
    zone.Arrive(i);
  }
  zone.Run(70ms);
  EXPECT_EQ(zone.Starts(), 18);
  // Other routers become leads within two seconds and get placement requests
  // again.
  zone.Run(3s);
  const auto placedLocally =
    zone.Node(7).Placements().Counters().placedLocally_;
  zone.Arrive(7);
  zone.Run(100ms);
  EXPECT_EQ(zone.Node(7).Placements().Counters().placedLocally_, placedLocally);
  EXPECT_EQ(zone.Starts(), 19);
}

TEST(LeadPlacementTest, RestartedLeadLearnsRunsFromTheirRouters)
{
  RouterZone zone({ .routers_ = 20, .targets_ = 1, .slots_ = 64 });
  zone.Run(3s);
  const auto target = MakeId<TargetId>("t0");
  for (int round = 0; round < 30; ++round) {
    SendOneRequestPerRouter(&zone, 20, 2ms);
    if (round == 10) {
      zone.Restart(kFirstLead, 2);
    }
  }
  EXPECT_NEAR(zone.ReportedRunningAt(kFirstLead, target),
              zone.RunningAt(target), 4);
  EXPECT_NEAR(zone.ReportedRunningAt(kSecondLead, target),
              zone.RunningAt(target), 4);
}

TEST(LeadPlacementTest, RunsOfACrashedRouterAreDropped)
{
  RouterZone zone({ .routers_ = 20, .targets_ = 1, .slots_ = 64 });
  zone.Run(3s);
  zone.Arrive(9);
  zone.Run(20ms);
  const auto target = MakeId<TargetId>("t0");
  EXPECT_EQ(zone.ReportedRunningAt(kFirstLead, target), 1);
  zone.Freeze(9, true);
  zone.Run(4s);
  EXPECT_EQ(zone.ReportedRunningAt(kFirstLead, target), 0);
  EXPECT_EQ(zone.Node(kFirstLead).PlacementsForOthers().RemoteRequestCount() +
              zone.Node(kSecondLead).PlacementsForOthers().RemoteRequestCount(),
            0U);
}

// Guards against a lead that forgets the requests of a crashed router while
// the engine still runs them.
TEST(LeadPlacementTest, EnginesReportTellsOfTheRunsOfCrashedRouters)
{
  RouterZone zone({ .routers_ = 20,
                    .targets_ = 1,
                    .slots_ = 64,
                    .runTime_ = 10s,
                    .reportsLoad_ = true });
  zone.Run(3s);
  for (std::size_t i = 9; i < 14; ++i) {
    zone.Arrive(i);
  }
  zone.Run(100ms);
  for (std::size_t i = 9; i < 14; ++i) {
    zone.Freeze(i, true);
  }
  zone.Run(4s);
  const auto target = MakeId<TargetId>("t0");
  EXPECT_EQ(zone.ReportedRunningAt(kFirstLead, target), 0);
  EXPECT_EQ(zone.ReportedRunningAt(kSecondLead, target), 0);
  // Two answers that agree are needed.
  zone.Arrive(5);
  zone.Run(200ms);
  zone.Arrive(5);
  zone.Run(200ms);
  int most = 0;
  for (const auto lead : { kFirstLead, kSecondLead }) {
    const auto& loads = zone.Node(lead).WorkDispatcher().Loads();
    most = std::max(most, loads.Find(target)->Corrected(zone.Now()).running_);
  }
  // The two that the lead knows of and all but one of the others.
  EXPECT_EQ(most, 6);
  EXPECT_GT(zone.Node(5).Placements().Counters().loadsSent_, 0);
}

// Guards against more control traffic: the load comes with notes that are sent
// anyway, and nothing is added between leads.
TEST(LeadPlacementTest, ReportedLoadAddsNoMessagesAndNoBytesBetweenLeads)
{
  struct Traffic
  {
    std::int64_t datagrams_ = 0;
    std::int64_t betweenLeads_ = 0;
    std::int64_t perFollower_ = 0;
    std::int64_t loads_ = 0;
  };
  const auto run = [](bool aReports) {
    RouterZone zone({ .routers_ = 24,
                      .targets_ = 8,
                      .slots_ = 16,
                      .reportsLoad_ = aReports });
    zone.Run(3s);
    Traffic traffic;
    const auto datagrams = zone.Datagrams();
    const auto betweenLeads = zone.BytesBetweenLeads();
    const auto follower = zone.BytesSent(9);
    for (int round = 0; round < 40; ++round) {
      SendOneRequestPerRouter(&zone, 24, 2ms);
    }
    traffic.datagrams_ = zone.Datagrams() - datagrams;
    traffic.betweenLeads_ = zone.BytesBetweenLeads() - betweenLeads;
    traffic.perFollower_ = zone.BytesSent(9) - follower;
    traffic.loads_ = zone.Node(9).Placements().Counters().loadsSent_;
    return traffic;
  };
  const auto without = run(false);
  const auto with = run(true);
  EXPECT_EQ(without.loads_, 0);
  EXPECT_GT(with.loads_, 0);
  EXPECT_LE(with.datagrams_, without.datagrams_ * 102 / 100);
  EXPECT_LE(with.betweenLeads_, without.betweenLeads_ * 102 / 100);
  // 16 bytes at most for each load. What the router reports besides depends on
  // the placements.
  EXPECT_LE(with.perFollower_ - without.perFollower_,
            with.loads_ * 16 + without.perFollower_ * 2 / 100);
  RecordProperty("datagrams", std::to_string(without.datagrams_) + " " +
                                std::to_string(with.datagrams_));
  RecordProperty("bytes of a router", std::to_string(without.perFollower_) +
                                        " " +
                                        std::to_string(with.perFollower_));
  RecordProperty("bytes between leads", std::to_string(without.betweenLeads_) +
                                          " " +
                                          std::to_string(with.betweenLeads_));
}

class LossyPlacementTest : public testing::TestWithParam<std::uint32_t>
{
};

// Under datagram loss and duplication every request ends, and leads keep no
// run that has ended.
TEST_P(LossyPlacementTest, LeadsHoldNoRunsAfterAllRequestsEnd)
{
  RouterZone zone({ .routers_ = 18,
                    .targets_ = 4,
                    .slots_ = 16,
                    .lossRate_ = 0.15,
                    .duplicateRate_ = 0.1,
                    .seed_ = GetParam() });
  zone.Run(3s);
  for (int round = 0; round < 8; ++round) {
    SendOneRequestPerRouter(&zone, 18, 2ms);
  }
  zone.Run(4s);
  EXPECT_EQ(zone.Starts() + zone.FailedRequests(), 8 * 18);
  for (std::size_t router = 0; router < 18; ++router) {
    EXPECT_EQ(zone.Node(router).RequestCount(), 0U);
    EXPECT_EQ(zone.Node(router).WorkDispatcher().RunningCount(), 0U) << router;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, LossyPlacementTest, testing::Range(1U, 13U));

TEST(PlacementWireTest, AskRoundTripsThroughTheWireFormat)
{
  WorkItem item;
  item.id_ = 7;
  item.account_ = MakeId<AccountId>("a");
  item.service_ = MakeId<ServiceId>("pool");
  item.arrival_ = 950ms;
  item.latencyObjective_ = 400ms;
  item.deadline_ = 3s;
  item.isContinuation_ = true;
  item.promptTokens_ = 1200;
  item.outputTokens_ = 40;
  item.parts_ = { { 0xfedcba9876543210ULL, 800 }, { 5, 400 } };
  item.triedTargets_ = { TargetId{ -3 } };
  const auto decoded = DecodeAsk(EncodeAsk(item, 12, 1s), 9, 2s);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->id_, 9U);
  EXPECT_EQ(decoded->account_, item.account_);
  EXPECT_EQ(decoded->arrival_, 1950ms);
  EXPECT_EQ(decoded->deadline_, 4s);
  EXPECT_TRUE(decoded->isContinuation_);
  ASSERT_EQ(decoded->parts_.size(), 2U);
  EXPECT_EQ(decoded->parts_[0].id_, 0xfedcba9876543210ULL);
  EXPECT_EQ(decoded->parts_[1].tokens_, 400);
  EXPECT_EQ(decoded->triedTargets_, item.triedTargets_);
}

TEST(PlacementWireTest, RejectionCarriesTheAccountStanding)
{
  RejectDecision reject;
  reject.reason_ = RejectReason::kExpectedLate;
  reject.standing_ = ShareStanding::kBeyondShare;
  const auto decoded = DecodeAnswer(EncodeAnswer(reject, 12), 9);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<RejectDecision>(*decoded).standing_,
            ShareStanding::kBeyondShare);
}

TEST(PlacementWireTest, MalformedMessagesAreRejected)
{
  wire::PlaceAsk ask;
  ask.parts = "short";
  ask.partTokens = { 1 };
  EXPECT_FALSE(DecodeAsk(ask, 1, 1s));
  wire::PlaceAnswer answer;
  answer.outcome = 2;
  answer.reason = 99;
  EXPECT_FALSE(DecodeAnswer(answer, 1));
  answer.outcome = 77;
  EXPECT_FALSE(DecodeAnswer(answer, 1));
  wire::RunNote note;
  note.event = 99;
  EXPECT_FALSE(DecodeOutcome(note));
}

} // namespace
} // namespace burdockring
