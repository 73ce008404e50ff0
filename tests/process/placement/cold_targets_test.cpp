#include "process/placement/cold_targets.h"

#include <gtest/gtest.h>
#include <string>

namespace burdockring {
namespace {

constexpr TargetId kTarget{ 5 };
constexpr Duration kWarmUp = 3s;

TEST(ColdTargetsTest, TargetIsColdForAsLongAsItsRegistrationSays)
{
  ColdTargets targets;
  EXPECT_FALSE(targets.IsCold(kTarget, 1s));
  targets.MarkColdUntil(kTarget, 4s);
  targets.MarkColdUntil(kTarget, 2s);
  EXPECT_TRUE(targets.IsCold(kTarget, 3s));
  EXPECT_FALSE(targets.IsCold(kTarget, 4s));
  targets.DropWarm(4s);
  EXPECT_EQ(targets.Count(3s), 0U);
}

// Guards against a router that restarts while targets are cold and sends them
// its whole load.
TEST(ColdTargetsTest, RouterThatHasJustStartedTakesAllTargetsForCold)
{
  ColdTargets targets;
  EXPECT_TRUE(targets.IsUninformed(1s));
  for (auto at = 1s; at <= 4s; at += 1s) {
    targets.Observe(kWarmUp, at);
    targets.Observe(kWarmUp, at + 400ms);
    targets.Observe(kWarmUp, at + 800ms);
  }
  EXPECT_FALSE(targets.IsUninformed(5s));
  // It was suspended and does not know what happened meanwhile.
  targets.Observe(kWarmUp, 8s);
  EXPECT_TRUE(targets.IsUninformed(8s));
}

// Lists that come before the configuration told nothing, and yet ended the time
// in which all targets count as cold.
TEST(ColdTargetsTest, ListsBeforeTheConfigurationTellNothing)
{
  ColdTargets targets;
  wire::ColdTargetList list;
  list.complete = true;
  targets.OnPeerList(list, 0s, 1s);
  EXPECT_TRUE(targets.IsUninformed(1s));
}

auto TickThrough(ColdTargets* aTargets, Instant aFrom, Instant aTo) -> void
{
  for (auto at = aFrom; at <= aTo; at += 100ms) {
    aTargets->Observe(kWarmUp, at);
  }
}

TEST(ColdTargetsTest, ListOfAnInformedPeerEndsThat)
{
  const auto warmUp = [](TargetId) { return kWarmUp; };
  ColdTargets peer;
  ColdTargets started;
  TickThrough(&peer, 1s, 2s);
  TickThrough(&started, 9s, 10s);
  started.OnPeerList(peer.List(2s, warmUp), kWarmUp, 9s);
  EXPECT_TRUE(started.IsUninformed(9s));
  TickThrough(&peer, 2s, 10s);
  peer.MarkColdUntil(kTarget, 11s);
  started.OnPeerList(peer.List(10s, warmUp), kWarmUp, 10s);
  EXPECT_FALSE(started.IsUninformed(10s));
  EXPECT_TRUE(started.IsCold(kTarget, 10900ms));
  EXPECT_FALSE(started.IsCold(kTarget, 11s));
}

TEST(ColdTargetsTest, UnverifiedTargetStaysColdAtPeersForItsWarmUp)
{
  ColdTargets leader;
  ColdTargets peer;
  leader.OnTargetLost(kTarget, 10s);
  peer.OnPeerList(leader.List(12s, [](TargetId) { return kWarmUp; }), kWarmUp,
                  12s);
  EXPECT_TRUE(peer.IsCold(kTarget, 14s));
  EXPECT_FALSE(peer.IsCold(kTarget, 15s));
}

TEST(ColdTargetsTest, PeerCannotKeepATargetColdForEver)
{
  ColdTargets targets;
  wire::ColdTargetList list;
  list.targets = std::string("\x05\0\0\0", 4);
  list.left = "\xff";
  targets.OnPeerList(list, kWarmUp, 1s);
  EXPECT_TRUE(targets.IsCold(kTarget, 2s));
  EXPECT_FALSE(targets.IsCold(kTarget, 1s + kWarmUp));
  list.left = "\xff\xff";
  targets.OnPeerList(list, kWarmUp, 5s);
  EXPECT_FALSE(targets.IsCold(kTarget, 6s));
}

// A target that vanished may return cold with its old registration, and when it
// does is seen by the first success alone.
TEST(ColdTargetsTest, LostTargetWarmsUpFromItsFirstSuccess)
{
  ColdTargets targets;
  targets.OnTargetLost(kTarget, 10s);
  targets.OnSuccess(kTarget, 9s, kWarmUp, 11s);
  EXPECT_TRUE(targets.IsCold(kTarget, 14s));
  targets.OnSuccess(kTarget, 14s, kWarmUp, 15s);
  EXPECT_TRUE(targets.IsCold(kTarget, 17s));
  EXPECT_FALSE(targets.IsCold(kTarget, 18s));
}

TEST(ColdTargetsTest, LostTargetIsNotColdForEver)
{
  ColdTargets targets;
  targets.OnTargetLost(kTarget, 10s);
  EXPECT_TRUE(targets.IsCold(kTarget, 19s));
  EXPECT_FALSE(targets.IsCold(kTarget, 10s + ColdTargets::kMaxUnverified));
}

} // namespace
} // namespace burdockring
