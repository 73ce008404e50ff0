#include "support/forwarding_fixture.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <vector>

namespace burdockring {
namespace {

using testing::NiceMock;

/// The version that withdraws the last key.
constexpr std::int64_t kClosedVersion = 6;
constexpr Duration kStep = 20ms;
/// Longest time for which a withdrawn key may run.
constexpr Duration kRevokeBound = 5s;

auto MakeClosedTable() -> RouteTablePointer
{
  return RouteTableBuilder(kClosedVersion)
    .AddRoute(MakeRoute("read", RouteKind::kSafe))
    .RequireKeys()
    .Build();
}

/// Two routers in virtual time that exchange their messages, and a store that
/// each of them reads in every step while it is in touch. Callers send requests
/// to both routers with a key that version kClosedVersion, the last one,
/// withdraws.
class WithdrawnKeyCatchUpTest : public testing::Test
{
protected:
  struct Router
  {
    RouterAddress address_;
    std::unique_ptr<ForwardingNode> node_;
    std::int64_t incarnation_ = 0;
    bool reachesStore_ = true;
    bool reachesPeers_ = true;
    /// When requests with the key were sent on.
    std::vector<Instant> runs_;
  };

  NiceMock<MockEventLog> log_;
  std::map<std::string, Router> routers_;
  std::vector<std::pair<std::string, wire::Envelope>> messages_;
  Instant now_ = 1s;
  RequestId nextId_ = 1;
  std::int64_t storeEpoch_ = 1;
  std::int64_t storeVersion_ = kClosedVersion - 1;
  /// The epoch that the routers' entries name.
  std::int64_t listedEpoch_ = 1;

  auto SetUp() -> void override
  {
    for (const std::string name : { "10.0.0.1", "10.0.0.2" }) {
      auto& router = routers_[name];
      router.address_.name_ = name;
      router.address_.id_ = MakeId<RouterId>(name);
      router.address_.zone_ = MakeId<ZoneId>("near");
      router.address_.host_ = name;
      router.address_.peerPort_ = 1;
    }
    for (auto& entry : routers_) {
      Start(&entry.second);
    }
  }

  /// Starts the router's process, for the first time or again.
  auto Start(Router* aRouter) -> void
  {
    aRouter->node_ = std::make_unique<ForwardingNode>(
      ForwardingOptions{}, aRouter->address_, ++aRouter->incarnation_, &log_);
    auto& node = *aRouter->node_;
    node.Directory().Put("t1", MakeTarget("t1", "pool", 8));
    if (!aRouter->reachesStore_) {
      return;
    }
    node.OnStoreEpoch(storeEpoch_, now_);
    std::vector<RouterAddress> listed;
    for (const auto& entry : routers_) {
      listed.push_back(entry.second.address_);
      listed.back().storeEpoch_ = listedEpoch_;
    }
    node.OnRouters(listed, now_);
  }

  auto MakeVersion(std::int64_t aVersion) -> RouteTablePointer
  {
    return aVersion == kClosedVersion ? MakeClosedTable()
                                      : MakeTable(aVersion, false);
  }

  auto ReadStore(Router* aRouter) -> void
  {
    auto& node = *aRouter->node_;
    node.OnStoreEpoch(storeEpoch_, now_);
    node.OnConfiguration(MakeVersion(storeVersion_),
                         std::to_string(storeVersion_), now_);
  }

  auto Ask(Router* aRouter) -> void
  {
    IncomingRequest arrival;
    arrival.id_ = nextId_++;
    arrival.host_ = "h";
    arrival.target_ = "/read/x";
    arrival.facts_.attemptId_ = "id-" + std::to_string(arrival.id_);
    arrival.facts_.key_ = "key-a";
    arrival.received_ = now_;
    aRouter->node_->OnArrival(std::move(arrival), now_);
  }

  auto TakeEffects(Router* aRouter) -> void
  {
    auto& node = *aRouter->node_;
    for (auto effects = node.TakeEffects(); !effects.empty();
         effects = node.TakeEffects()) {
      for (const auto& effect : effects) {
        if (const auto* send = std::get_if<SendToRouters>(&effect)) {
          for (const auto& endpoint : send->routers_) {
            messages_.push_back({ endpoint.host_, send->envelope_ });
          }
        } else if (const auto* apply =
                     std::get_if<ApplyConfiguration>(&effect)) {
          node.OnConfiguration(MakeVersion(std::stoll(apply->text_)),
                               apply->text_, apply->asOf_);
        } else if (const auto* run = std::get_if<SendAttempt>(&effect)) {
          aRouter->runs_.push_back(now_);
          node.OnAttemptSent(run->request_, run->attempt_);
          node.OnResponseHead(run->request_, run->attempt_, now_);
          node.OnResponseComplete(run->request_, run->attempt_, true, now_);
        }
      }
    }
  }

  auto RunFor(Duration aDuration) -> void
  {
    for (const auto until = now_ + aDuration; now_ < until;) {
      now_ += kStep;
      for (const auto& message : std::exchange(messages_, {})) {
        auto& router = routers_[message.first];
        if (router.reachesPeers_) {
          router.node_->OnPeer(message.second, now_);
          TakeEffects(&router);
        }
      }
      for (auto& entry : routers_) {
        auto& router = entry.second;
        if (router.reachesStore_) {
          ReadStore(&router);
        }
        Ask(&router);
        router.node_->Tick(now_);
        TakeEffects(&router);
      }
    }
  }

  auto First() -> Router& { return routers_["10.0.0.1"]; }
  auto Second() -> Router& { return routers_["10.0.0.2"]; }

  auto Withdraw() -> Instant
  {
    storeVersion_ = kClosedVersion;
    return now_;
  }

  /// No request ran later than the bound after the key was withdrawn.
  auto ExpectNoLateRuns(Instant aWithdrawnAt) -> void
  {
    for (auto& entry : routers_) {
      const auto& runs = entry.second.runs_;
      ASSERT_FALSE(runs.empty()) << entry.first;
      EXPECT_LE(runs.back() - aWithdrawnAt, kRevokeBound) << entry.first;
    }
  }
};

// A router without the store learns of the withdrawal from its peer.
TEST_F(WithdrawnKeyCatchUpTest, PeerTellsOfTheWithdrawal)
{
  RunFor(2s);
  Second().reachesStore_ = false;
  RunFor(8s);
  // The peer confirms the version in force meanwhile.
  EXPECT_GE(Second().runs_.back(), now_ - 100ms);
  const auto withdrawnAt = Withdraw();
  RunFor(8s);
  EXPECT_EQ(Second().node_->Table()->Version(), kClosedVersion);
  ExpectNoLateRuns(withdrawnAt);
  EXPECT_LT(Second().runs_.back() - withdrawnAt, Duration(1s));
}

// A router that was cut off from the store and its peer while the last key was
// withdrawn hears from the peer first.
TEST_F(WithdrawnKeyCatchUpTest, CutOffRouterHearsOfTheWithdrawalFromItsPeer)
{
  RunFor(2s);
  Second().reachesStore_ = false;
  Second().reachesPeers_ = false;
  const auto withdrawnAt = Withdraw();
  RunFor(7s);
  EXPECT_LT(Second().node_->Table()->Version(), kClosedVersion);
  Second().reachesPeers_ = true;
  RunFor(8s);
  EXPECT_EQ(Second().node_->Table()->Version(), kClosedVersion);
  ExpectNoLateRuns(withdrawnAt);
}

// The last key is withdrawn while a router is stopped; it starts without the
// store and later reads it.
TEST_F(WithdrawnKeyCatchUpTest, RestartedRouterCatchesUpFromItsPeer)
{
  RunFor(2s);
  Second().reachesPeers_ = false;
  Second().reachesStore_ = false;
  const auto withdrawnAt = Withdraw();
  RunFor(5s);
  Start(&Second());
  Second().reachesPeers_ = true;
  RunFor(4s);
  Second().reachesStore_ = true;
  Start(&Second());
  RunFor(4s);
  ExpectNoLateRuns(withdrawnAt);
}

// The store is back without the version that withdrew the last key, and one
// router starts at that moment: its peer still knows that version.
TEST_F(WithdrawnKeyCatchUpTest, RestartOnOlderCopyBesideAPeer)
{
  RunFor(2s);
  const auto withdrawnAt = Withdraw();
  RunFor(6s);
  storeVersion_ = kClosedVersion - 1;
  storeEpoch_ = 2;
  RunFor(200ms);
  Start(&Second());
  RunFor(1700ms);
  storeVersion_ = kClosedVersion;
  RunFor(6s);
  ExpectNoLateRuns(withdrawnAt);
}

// The same where both routers start, and only one of them, which was started
// on the copy before, is in touch with the store.
TEST_F(WithdrawnKeyCatchUpTest, BothRestartOnOlderCopy)
{
  RunFor(2s);
  const auto withdrawnAt = Withdraw();
  RunFor(6s);
  storeVersion_ = kClosedVersion - 1;
  storeEpoch_ = 2;
  Start(&First());
  RunFor(200ms);
  Second().reachesStore_ = false;
  Start(&Second());
  RunFor(1700ms);
  storeVersion_ = kClosedVersion;
  RunFor(6s);
  ExpectNoLateRuns(withdrawnAt);
}

// A router that runs with the withdrawn key's version, out of touch, meets the
// store only after it came back from an older copy.
TEST_F(WithdrawnKeyCatchUpTest, CutOffRouterMeetsTheOlderCopy)
{
  RunFor(2s);
  Second().reachesPeers_ = false;
  Second().reachesStore_ = false;
  const auto withdrawnAt = Withdraw();
  RunFor(6s);
  storeVersion_ = kClosedVersion - 1;
  storeEpoch_ = 2;
  Second().reachesStore_ = true;
  RunFor(1900ms);
  storeVersion_ = kClosedVersion;
  RunFor(6s);
  ExpectNoLateRuns(withdrawnAt);
}

} // namespace
} // namespace burdockring
