#include "process/peers/store_epoch_tracker.h"

#include "process/placement/target_directory.h"
#include "support/forwarding_fixture.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

using testing::NiceMock;

const ServiceId kPool = MakeId<ServiceId>("pool");

TEST(StoreEpochTrackerTest, EpochOnlyRisesAndFirstOneIsCurrent)
{
  StoreEpochTracker epoch;
  EXPECT_EQ(epoch.Note(std::nullopt), EpochOrder::kCurrent);
  EXPECT_EQ(epoch.Note(4), EpochOrder::kCurrent);
  EXPECT_EQ(epoch.Note(3), EpochOrder::kOlder);
  EXPECT_EQ(epoch.Note(6), EpochOrder::kNewer);
  EXPECT_EQ(epoch.Note(6), EpochOrder::kCurrent);
  EXPECT_EQ(epoch.Note(4), EpochOrder::kOlder);
  EXPECT_EQ(epoch.Note(std::nullopt), EpochOrder::kCurrent);
  EXPECT_EQ(epoch.Newest(), 6);
}

/// A directory that knew that "left" and "died" were gone before the store was
/// restored from a copy that lists both.
class RestoredDirectoryTest : public testing::Test
{
protected:
  TargetDirectory directory_;

  auto SetUp() -> void override
  {
    auto leaving = MakeTarget("left", "pool", 4);
    leaving.leaving_ = true;
    directory_.Put("left", leaving);
    directory_.Put("died", MakeTarget("died", "pool", 4));
    directory_.Put("new", MakeTarget("new", "pool", 4));
    directory_.Put("drains", MakeTarget("drains", "pool", 4));
    directory_.MarkLeaving(MakeId<TargetId>("drains"));
    directory_.Remove("left", 5s);
    directory_.Remove("died", 5s);
    directory_.OnStoreRestored(10s);
    directory_.Replace({ { "left", MakeTarget("left", "pool", 4) },
                         { "died", MakeTarget("died", "pool", 4) },
                         { "drains", MakeTarget("drains", "pool", 4) } },
                       10100ms);
  }

  [[nodiscard]] auto IsUsable(const std::string& aName) const -> bool
  {
    for (const auto* target : directory_.Usable(kPool)) {
      if (target->instance_ == aName) {
        return true;
      }
    }
    return false;
  }
};

TEST_F(RestoredDirectoryTest, GoneTargetsStayGone)
{
  EXPECT_FALSE(IsUsable("left"));
  EXPECT_FALSE(IsUsable("died"));
  EXPECT_FALSE(IsUsable("drains"));
}

TEST_F(RestoredDirectoryTest, MissingTargetIsKeptForTheGracePeriod)
{
  directory_.Tick(11900ms);
  EXPECT_TRUE(IsUsable("new"));
  directory_.Tick(12001ms);
  EXPECT_FALSE(IsUsable("new"));
}

TEST_F(RestoredDirectoryTest,
       ReregisteredTargetIsUsableUnlessItAnnouncedLeaving)
{
  directory_.Put("died", MakeTarget("died", "pool", 4));
  directory_.Put("left", MakeTarget("left", "pool", 4));
  EXPECT_TRUE(IsUsable("died"));
  EXPECT_FALSE(IsUsable("left"));
}

TEST_F(RestoredDirectoryTest, OlderIncarnationDoesNotReplaceTheNewer)
{
  directory_.Put("t", MakeTarget("t#1", "pool", 4));
  directory_.Put("t", MakeTarget("t#2", "pool", 4));
  directory_.OnStoreRestored(20s);
  directory_.Replace({ { "t", MakeTarget("t#1", "pool", 4) } }, 20100ms);
  EXPECT_TRUE(IsUsable("t#2"));
  EXPECT_FALSE(IsUsable("t#1"));
}

TEST_F(RestoredDirectoryTest, LaterSnapshotsAreTrusted)
{
  directory_.Replace({ { "died", MakeTarget("died", "pool", 4) } }, 30s);
  EXPECT_TRUE(IsUsable("died"));
}

class RestoredNodeTest : public testing::Test
{
protected:
  NiceMock<MockEventLog> log_;
  std::unique_ptr<ForwardingNode> node_;
  RequestId nextId_ = 1;

  auto SetUp() -> void override
  {
    RouterAddress self;
    self.name_ = "router-1";
    self.id_ = MakeId<RouterId>("router-1");
    self.zone_ = MakeId<ZoneId>("near");
    node_ =
      std::make_unique<ForwardingNode>(ForwardingOptions{}, self, 1, &log_);
    node_->Directory().Put("t1", MakeTarget("t1", "pool", 8));
  }

  /// The status with which a request with a key is refused, or 0 if it is not.
  auto RefusalStatus(Instant aNow) -> int
  {
    IncomingRequest arrival;
    arrival.id_ = nextId_++;
    arrival.host_ = "h";
    arrival.target_ = "/read/x";
    arrival.facts_.attemptId_ = "id-" + std::to_string(arrival.id_);
    arrival.facts_.key_ = "key-a";
    arrival.received_ = aNow;
    node_->OnArrival(std::move(arrival), aNow);
    for (const auto& effect : node_->TakeEffects()) {
      if (const auto* refusal = std::get_if<FailRequest>(&effect)) {
        return refusal->status_;
      }
    }
    return 0;
  }

  static auto MakeRouterEntry(std::int64_t aEpoch) -> RouterAddress
  {
    RouterAddress router;
    router.name_ = "router-2";
    router.id_ = MakeId<RouterId>("router-2");
    router.zone_ = MakeId<ZoneId>("near");
    router.host_ = "10.0.0.2";
    router.peerPort_ = 1;
    router.storeEpoch_ = aEpoch;
    return router;
  }
};

TEST_F(RestoredNodeTest, StoreCopyWithOlderConfigurationDoesNotConfirm)
{
  EXPECT_EQ(node_->OnStoreEpoch(1, 1s), EpochOrder::kCurrent);
  node_->OnConfiguration(MakeTable(5, false), "text", 10s);
  EXPECT_EQ(node_->OnStoreEpoch(2, 11s), EpochOrder::kNewer);
  // A version above 5 may have been acknowledged and then lost.
  for (Instant now = 11s; now < 25s; now += 1s) {
    node_->OnConfiguration(MakeTable(4, false), "old", now);
    node_->OnConfigurationConfirmed(now);
  }
  EXPECT_EQ(node_->Table()->Version(), 5);
  EXPECT_EQ(RefusalStatus(25s), 503);
  // The lost version is written again.
  node_->OnConfiguration(MakeTable(6, false), "new", 26s);
  EXPECT_EQ(node_->Table()->Version(), 6);
  EXPECT_EQ(RefusalStatus(27s), 0);
}

TEST_F(RestoredNodeTest, StoreCopyConfirmsOnlyAfterRewriteGracePeriod)
{
  node_->OnStoreEpoch(1, 1s);
  node_->OnConfiguration(MakeTable(5, false), "text", 5s);
  node_->OnStoreEpoch(2, 10s);
  node_->OnConfiguration(MakeTable(5, false), "text", 10500ms);
  node_->OnConfigurationConfirmed(11900ms);
  EXPECT_EQ(RefusalStatus(11950ms), 503);
  node_->OnConfigurationConfirmed(12100ms);
  EXPECT_EQ(RefusalStatus(12200ms), 0);
}

TEST_F(RestoredNodeTest, NewRouterWaitsBeforeTrustingRestoredStore)
{
  node_->OnStoreEpoch(2, 1s);
  node_->OnRouters({ MakeRouterEntry(1) }, 1s);
  node_->OnConfiguration(MakeTable(5, false), "text", 1s);
  EXPECT_EQ(RefusalStatus(1500ms), 503);
  node_->OnConfigurationConfirmed(3100ms);
  EXPECT_EQ(RefusalStatus(3200ms), 0);
}

TEST_F(RestoredNodeTest, NewRouterTrustsSettledStoreAtOnce)
{
  node_->OnStoreEpoch(2, 1s);
  node_->OnRouters({ MakeRouterEntry(2) }, 1s);
  node_->OnConfiguration(MakeTable(5, false), "text", 1s);
  EXPECT_EQ(RefusalStatus(1500ms), 0);
}

TEST_F(RestoredNodeTest, NewRouterLearnsFromPeersWhichTargetsAreGone)
{
  node_->OnStoreEpoch(2, 1s);
  node_->OnRouters({ MakeRouterEntry(1) }, 1s);
  node_->Directory().Replace({ { "t1", MakeTarget("t1", "pool", 8) },
                               { "t2", MakeTarget("t2", "pool", 8) } },
                             1s);
  // The second target has registered again meanwhile.
  node_->Directory().Put("t2", MakeTarget("t2", "pool", 8));
  wire::Envelope envelope;
  envelope.sender = MakeId<RouterId>("router-2").value_;
  envelope.__isset.load = true;
  envelope.load.gone = { MakeId<TargetId>("t1").value_,
                         MakeId<TargetId>("t2").value_ };
  node_->OnPeer(envelope, 1400ms);
  EXPECT_EQ(node_->Directory().Find(MakeId<TargetId>("t1")), nullptr);
  EXPECT_NE(node_->Directory().Find(MakeId<TargetId>("t2")), nullptr);
  // A router that was running while the store was restored relies on what it
  // knows.
  node_->Directory().Replace({ { "t3", MakeTarget("t3", "pool", 8) } }, 9s);
  envelope.load.gone = { MakeId<TargetId>("t3").value_ };
  node_->OnPeer(envelope, 9s);
  EXPECT_NE(node_->Directory().Find(MakeId<TargetId>("t3")), nullptr);
}

TEST_F(RestoredNodeTest, GoneTargetsAreReportedToPeersForALimitedTime)
{
  node_->OnStoreEpoch(1, 1s);
  node_->OnRouters({ MakeRouterEntry(1) }, 1s);
  node_->Directory().Put("t2", MakeTarget("t2", "pool", 8));
  node_->Directory().Remove("t2", 2s);
  const auto reportsGoneTargets = [&](Instant aNow) {
    node_->Tick(aNow);
    for (const auto& effect : node_->TakeEffects()) {
      const auto* send = std::get_if<SendToRouters>(&effect);
      if (send != nullptr && send->envelope_.__isset.load &&
          !send->envelope_.load.gone.empty()) {
        return true;
      }
    }
    return false;
  };
  EXPECT_FALSE(reportsGoneTargets(3s));
  node_->OnStoreEpoch(2, 4s);
  EXPECT_TRUE(reportsGoneTargets(4500ms));
  EXPECT_TRUE(reportsGoneTargets(7s));
  EXPECT_FALSE(reportsGoneTargets(9s));
}

} // namespace
} // namespace burdockring
