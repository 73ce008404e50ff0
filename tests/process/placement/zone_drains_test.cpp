#include "process/placement/zone_drains.h"

#include "process/peers/store_epoch_tracker.h"
#include "support/router_zone.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

const auto kZone = MakeId<ZoneId>("far");
const auto kOtherZone = MakeId<ZoneId>("near");

auto Drain(bool aDrained = true) -> ZoneDrainRecord
{
  return { kZone, "far", aDrained };
}

TEST(ZoneDrainsTest, RecordsBeginAndEndADrain)
{
  ZoneDrains drains;
  drains.OnSnapshot({}, { 1, 4 }, 1s);
  EXPECT_FALSE(drains.ListForPeers());
  drains.OnRecords({ Drain() }, { 1, 5 }, 2s);
  EXPECT_TRUE(drains.IsDrained(kZone));
  EXPECT_FALSE(drains.IsDrained(kOtherZone));
  drains.OnRecords({ Drain(false) }, { 1, 6 }, 3s);
  EXPECT_FALSE(drains.IsDrained(kZone));
  const auto changes = drains.TakeChanges();
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_TRUE(changes[0].isDrained_);
  EXPECT_FALSE(changes[1].isDrained_);
  // Peers that missed the end still learn it.
  ASSERT_TRUE(drains.ListForPeers());
  EXPECT_TRUE(drains.ListForPeers()->zones.empty());
}

// Its targets may have turned cold meanwhile.
TEST(ZoneDrainsTest, DrainThatEndsWithinOneReadStillHasAnEnd)
{
  ZoneDrains drains;
  drains.OnSnapshot({}, { 1, 4 }, 1s);
  drains.OnRecords({ Drain(), Drain(false) }, { 1, 6 }, 2s);
  const auto changes = drains.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_FALSE(changes[0].isDrained_);
}

// Datagrams are lost, duplicated and reordered, and a cut router sends what it
// last knew.
TEST(ZoneDrainsTest, OlderListOfAPeerChangesNothing)
{
  ZoneDrains reader;
  reader.OnSnapshot({ Drain() }, { 1, 5 }, 1s);
  const auto older = *reader.ListForPeers();
  reader.OnRecords({ Drain(false) }, { 1, 6 }, 2s);
  const auto newer = *reader.ListForPeers();
  ZoneDrains peer;
  peer.OnPeerList(older, 1s);
  EXPECT_TRUE(peer.IsDrained(kZone));
  peer.OnPeerList(newer, 2s);
  peer.OnPeerList(older, 3s);
  EXPECT_FALSE(peer.IsDrained(kZone));
}

// The store came back from a copy that was older than the drain.
TEST(ZoneDrainsTest, OlderCopyOfTheStoreEndsNoDrain)
{
  ZoneDrains drains;
  drains.OnSnapshot({}, { 1, 4 }, 1s);
  drains.OnRecords({ Drain() }, { 1, 5 }, 2s);
  drains.OnSnapshot({}, { 2, 3 }, 10s);
  drains.Tick(11s);
  EXPECT_TRUE(drains.IsDrained(kZone));
  // The operator writes again what was lost.
  drains.OnRecords({ Drain() }, { 2, 4 }, 11500ms);
  drains.Tick(10s + kRewriteGracePeriod);
  EXPECT_TRUE(drains.IsDrained(kZone));
  drains.OnRecords({ Drain(false) }, { 2, 5 }, 14s);
  EXPECT_FALSE(drains.IsDrained(kZone));
}

// The store came back from a copy that was older than the end of the drain.
TEST(ZoneDrainsTest, OlderCopyOfTheStoreBringsNoDrainBack)
{
  ZoneDrains drains;
  drains.OnSnapshot({ Drain() }, { 1, 5 }, 1s);
  drains.OnRecords({ Drain(false) }, { 1, 6 }, 2s);
  drains.OnSnapshot({ Drain() }, { 2, 5 }, 10s);
  EXPECT_FALSE(drains.IsDrained(kZone));
  drains.OnRecords({ Drain(false) }, { 2, 6 }, 11s);
  drains.Tick(10s + kRewriteGracePeriod);
  EXPECT_FALSE(drains.IsDrained(kZone));
}

TEST(ZoneDrainsTest, DrainWrittenAfterARestoreAppliesAtOnce)
{
  ZoneDrains drains;
  drains.OnSnapshot({}, { 1, 9 }, 1s);
  drains.OnSnapshot({}, { 2, 3 }, 10s);
  drains.OnRecords({ Drain() }, { 2, 4 }, 10100ms);
  EXPECT_TRUE(drains.IsDrained(kZone));
  drains.Tick(10s + kRewriteGracePeriod);
  EXPECT_TRUE(drains.IsDrained(kZone));
}

// A router that starts on the older copy sends its list to those that know
// better.
TEST(ZoneDrainsTest, PeerThatStartedOnAnOlderCopyEndsNoDrain)
{
  ZoneDrains drains;
  drains.OnSnapshot({ Drain() }, { 1, 5 }, 1s);
  wire::ZoneDrainList list;
  list.storeEpoch = 2;
  list.offset = 3;
  drains.OnPeerList(list, 10s);
  drains.Tick(11s);
  EXPECT_TRUE(drains.IsDrained(kZone));
  // The operator writes the drain again, and a reader tells it.
  list.offset = 4;
  list.zones.resize(1);
  list.zones[0].zone = kZone.value_;
  list.zones[0].name = "far";
  drains.OnPeerList(list, 11500ms);
  drains.Tick(10s + kRewriteGracePeriod);
  EXPECT_TRUE(drains.IsDrained(kZone));
}

// Each hop of a list that was written after a restore waited for the grace
// period once more, and a third router heard of a drain too late.
TEST(ZoneDrainsTest, DrainWrittenAfterARestoreSpreadsAtOnce)
{
  ZoneDrains reader;
  ZoneDrains peer;
  reader.OnSnapshot({ { kOtherZone, "near", true } }, { 1, 9 }, 1s);
  peer.OnPeerList(*reader.ListForPeers(), 1s);
  reader.OnSnapshot({}, { 2, 3 }, 10s);
  reader.OnRecords({ Drain() }, { 2, 4 }, 10100ms);
  peer.OnPeerList(*reader.ListForPeers(), 10200ms);
  EXPECT_TRUE(peer.IsDrained(kZone));
  EXPECT_TRUE(peer.IsDrained(kOtherZone));
  // The operator did not write the other drain again.
  reader.Tick(10s + kRewriteGracePeriod);
  peer.Tick(13s);
  peer.OnPeerList(*reader.ListForPeers(), 13s);
  EXPECT_TRUE(peer.IsDrained(kZone));
  EXPECT_FALSE(peer.IsDrained(kOtherZone));
}

// A router that was cut off offers a drain that has ended.
TEST(ZoneDrainsTest, RouterThatHeardOnlyOfOldDrainsTellsThatTheyEnded)
{
  ZoneDrains restarted;
  restarted.OnSnapshot({}, { 1, 6 }, 1s);
  EXPECT_FALSE(restarted.ListForPeers());
  wire::ZoneDrainList old;
  old.storeEpoch = 1;
  old.offset = 5;
  old.zones.resize(1);
  restarted.OnPeerList(old, 2s);
  ASSERT_TRUE(restarted.ListForPeers());
  EXPECT_EQ(restarted.ListForPeers()->offset, 6);
  EXPECT_TRUE(restarted.ListForPeers()->zones.empty());
}

TEST(ZoneDrainsTest, MalformedListOfAPeerIsIgnored)
{
  ZoneDrains drains;
  wire::ZoneDrainList list;
  list.offset = -1;
  list.zones.resize(1);
  drains.OnPeerList(list, 1s);
  list.offset = 7;
  list.zones.resize(ZoneDrains::kMaxZones + 1);
  drains.OnPeerList(list, 1s);
  EXPECT_TRUE(drains.TakeChanges().empty());
}

/// Sends requests to routers in turn.
auto SendSteadily(RouterZone* aZone, std::size_t aRouters, Duration aTime)
  -> void
{
  std::size_t router = 0;
  for (const auto end = aZone->Now() + aTime; aZone->Now() < end;) {
    aZone->Arrive(router++ % aRouters);
    aZone->Run(4ms);
  }
}

constexpr int kRouters = 16;
constexpr int kTargets = 8;
constexpr std::size_t kReader = 0;
/// Time in which a drain reaches all routers: a report, and one more in case
/// the first is lost.
constexpr Duration kSpread = 1s;

auto TargetNumber(int aNumber) -> TargetId
{
  return MakeId<TargetId>("t" + std::to_string(aNumber));
}

// Load pattern: a zone is drained at full load. One router reads the store; all
// others hear of it, and requests that wait or were placed before go elsewhere.
TEST(ZoneDrainsTest, NoRouterSendsToADrainedZone)
{
  RouterZone zone({ .routers_ = kRouters,
                    .targets_ = kTargets,
                    .slots_ = 16,
                    .lossRate_ = 0.05,
                    .duplicateRate_ = 0.05,
                    .otherTargetZone_ = "far" });
  zone.Run(3s);
  SendSteadily(&zone, kRouters, 2s);
  zone.Node(kReader).OnZoneDrains({}, true, 4, zone.Now());
  zone.Node(kReader).OnZoneDrains({ Drain() }, false, 5, zone.Now());
  SendSteadily(&zone, kRouters, kSpread + 1s);
  SendSteadily(&zone, kRouters, 1s);
  for (int target = 0; target < kTargets; ++target) {
    const int arrivals = zone.RecentArrivals(TargetNumber(target));
    EXPECT_TRUE(target % 2 == 0 ? arrivals > 0 : arrivals == 0)
      << target << ": " << arrivals;
  }
  // A router without state hears of it too.
  zone.Restart(9, 2);
  SendSteadily(&zone, kRouters, kSpread);
  EXPECT_EQ(zone.Node(9).DrainedZoneCount(), 1U);
  zone.Node(kReader).OnZoneDrains({ Drain(false) }, false, 6, zone.Now());
  SendSteadily(&zone, kRouters, 2s);
  EXPECT_GT(zone.RecentArrivals(TargetNumber(1)), 0);
}

TEST(ZoneDrainsTest, RequestsAreRejectedAtOnceIfAllZonesAreDrained)
{
  RouterZone zone({ .routers_ = 4, .targets_ = 2 });
  zone.Run(3s);
  zone.Node(kReader).OnZoneDrains({ { kOtherZone, "near", true } }, true, 5,
                                  zone.Now());
  zone.Run(kSpread);
  const auto id = zone.Arrive(1);
  zone.Run(300ms);
  const auto& outcome = zone.Outcomes().at(id);
  EXPECT_TRUE(outcome.sent_.empty());
  EXPECT_EQ(outcome.status_, 503);
}

} // namespace
} // namespace burdockring
