#include "process/forwarding/placement_wire.h"
#include "support/router_zone.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

/// The zone's two large routers, which are its leads.
constexpr std::size_t kFirstLead = 0;
constexpr std::size_t kSecondLead = 1;

/// One request at every router of the zone in turn, aGap apart.
auto ArriveEverywhere(RouterZone* aZone, int aRouters, Duration aGap) -> void
{
  for (int i = 0; i < aRouters; ++i) {
    aZone->Arrive(static_cast<std::size_t>(i));
    aZone->Run(aGap);
  }
}

// Load pattern: a clump of requests over dozens of routers, each of which has
// one. Each by itself would choose the same targets.
TEST(LeadPlacementTest, ClumpOverManyRoutersOverfillsNoTarget)
{
  RouterZone zone({ .routers_ = 40, .targets_ = 8, .slots_ = 8 });
  zone.Run(3s);
  ArriveEverywhere(&zone, 40, 1ms);
  zone.Run(1s);
  EXPECT_EQ(zone.Starts(), 40);
  EXPECT_EQ(zone.Refusals(), 0);
  // Evenly they would have five each.
  EXPECT_LE(zone.MostRunning(), 8);
  EXPECT_GT(zone.Node(5).Placements().Counters().asked_, 0);
  EXPECT_EQ(zone.Node(5).Placements().Counters().placedAlone_, 0);
}

TEST(LeadPlacementTest, LeadsKnowTheLoadWithinAMessagesTime)
{
  RouterZone zone({ .routers_ = 24, .targets_ = 4, .slots_ = 16 });
  zone.Run(3s);
  ArriveEverywhere(&zone, 24, 2ms);
  zone.Run(60ms);
  for (int i = 0; i < 4; ++i) {
    const auto target = MakeId<TargetId>("t" + std::to_string(i));
    EXPECT_EQ(zone.BelievedAt(kFirstLead, target), zone.RunningAt(target));
    EXPECT_EQ(zone.BelievedAt(kSecondLead, target), zone.RunningAt(target));
  }
}

// What a router sends grows with its requests and with the leads.
TEST(LeadPlacementTest, DatagramsOfARouterDoNotGrowWithTheZone)
{
  const auto perRouter = [](int aRouters) {
    RouterZone zone({ .routers_ = aRouters });
    zone.Run(3s);
    const auto before = zone.Datagrams();
    for (int second = 0; second < 2; ++second) {
      ArriveEverywhere(&zone, aRouters, 1s / aRouters);
    }
    return static_cast<double>(zone.Datagrams() - before) / aRouters;
  };
  EXPECT_LE(perRouter(96), 1.3 * perRouter(32));
}

TEST(LeadPlacementTest, SilentLeadIsPassedByWithinAShortTime)
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
  // Within two seconds others lead, and requests are asked about again.
  zone.Run(3s);
  const auto alone = zone.Node(7).Placements().Counters().placedAlone_;
  zone.Arrive(7);
  zone.Run(100ms);
  EXPECT_EQ(zone.Node(7).Placements().Counters().placedAlone_, alone);
  EXPECT_EQ(zone.Starts(), 19);
}

TEST(LeadPlacementTest, RestartedLeadLearnsTheRunsFromTheirRouters)
{
  RouterZone zone({ .routers_ = 20, .targets_ = 1, .slots_ = 64 });
  zone.Run(3s);
  const auto target = MakeId<TargetId>("t0");
  for (int turn = 0; turn < 30; ++turn) {
    ArriveEverywhere(&zone, 20, 2ms);
    if (turn == 10) {
      zone.Restart(kFirstLead, 2);
    }
  }
  EXPECT_NEAR(zone.BelievedAt(kFirstLead, target), zone.RunningAt(target), 4);
  EXPECT_NEAR(zone.BelievedAt(kSecondLead, target), zone.RunningAt(target), 4);
}

TEST(LeadPlacementTest, RunsOfARouterThatDiesAreForgotten)
{
  RouterZone zone({ .routers_ = 20, .targets_ = 1, .slots_ = 64 });
  zone.Run(3s);
  zone.Arrive(9);
  zone.Run(20ms);
  const auto target = MakeId<TargetId>("t0");
  EXPECT_EQ(zone.BelievedAt(kFirstLead, target), 1);
  zone.Freeze(9, true);
  zone.Run(4s);
  EXPECT_EQ(zone.BelievedAt(kFirstLead, target), 0);
  EXPECT_EQ(zone.Node(kFirstLead).PlacementsForOthers().HeldCount() +
              zone.Node(kSecondLead).PlacementsForOthers().HeldCount(),
            0U);
}

class LossyPlacementTest : public testing::TestWithParam<std::uint32_t>
{
};

// Whatever is lost or comes twice: every request has an end, and nothing that
// has ended stays in a lead's books.
TEST_P(LossyPlacementTest, BooksAgreeWithTheEnginesOnceAllIsQuiet)
{
  RouterZone zone({ .routers_ = 18,
                    .targets_ = 4,
                    .slots_ = 16,
                    .lossPart_ = 0.15,
                    .twicePart_ = 0.1,
                    .seed_ = GetParam() });
  zone.Run(3s);
  for (int turn = 0; turn < 8; ++turn) {
    ArriveEverywhere(&zone, 18, 2ms);
  }
  zone.Run(4s);
  EXPECT_EQ(zone.Starts() + zone.Refusals(), 8 * 18);
  for (std::size_t router = 0; router < 18; ++router) {
    EXPECT_EQ(zone.Node(router).RequestCount(), 0U);
    EXPECT_EQ(zone.Node(router).Work().RunningCount(), 0U) << router;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, LossyPlacementTest, testing::Range(1U, 13U));

TEST(PlacementWireTest, AskComesBackAsItWas)
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
  const auto back = DecodeAsk(EncodeAsk(item, 12, 1s), 9, 2s);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->id_, 9U);
  EXPECT_EQ(back->account_, item.account_);
  EXPECT_EQ(back->arrival_, 1950ms);
  EXPECT_EQ(back->deadline_, 4s);
  EXPECT_TRUE(back->isContinuation_);
  ASSERT_EQ(back->parts_.size(), 2U);
  EXPECT_EQ(back->parts_[0].id_, 0xfedcba9876543210ULL);
  EXPECT_EQ(back->parts_[1].tokens_, 400);
  EXPECT_EQ(back->triedTargets_, item.triedTargets_);
}

TEST(PlacementWireTest, RefusalTellsHowTheAccountStood)
{
  RejectWork reject;
  reject.reason_ = RejectReason::kLate;
  reject.standing_ = ShareStanding::kBeyondShare;
  const auto back = DecodeVerdict(EncodeVerdict(reject, 12), 9);
  ASSERT_TRUE(back);
  EXPECT_EQ(std::get<RejectWork>(*back).standing_, ShareStanding::kBeyondShare);
}

TEST(PlacementWireTest, MessagesThatMakeNoSenseAreRefused)
{
  wire::PlaceAsk ask;
  ask.parts = "short";
  ask.partTokens = { 1 };
  EXPECT_FALSE(DecodeAsk(ask, 1, 1s));
  wire::PlaceAnswer answer;
  answer.outcome = 2;
  answer.reason = 99;
  EXPECT_FALSE(DecodeVerdict(answer, 1));
  answer.outcome = 77;
  EXPECT_FALSE(DecodeVerdict(answer, 1));
  wire::RunNote note;
  note.event = 99;
  EXPECT_FALSE(EndOf(note));
}

} // namespace
} // namespace burdockring
