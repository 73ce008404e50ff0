#include "process/claims/claim_coordinator.h"

#include "process/claims/claim_key.h"

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck.h>

namespace burdockring {
namespace {

constexpr WallTime kWallStart{ 1'700'000'000'000 };
const AccountId kAccount{ 1 };

auto WallAt(Instant aNow) -> WallTime
{
  return kWallStart + std::chrono::duration_cast<WallTime>(aNow);
}

/// A coordinator whose log is replayed explicitly by the test.
class ClaimCoordinatorTest : public testing::Test
{
protected:
  bool ownerLive_ = true;
  Instant now_ = 1s;
  ClaimCoordinator claims_{ {}, RouterId{ 1 }, 1, [this](const AttemptId&) {
                             return ownerLive_;
                           } };
  std::string key_ = MakeUuid7(WallAt(1s), 1, 1);

  ClaimCoordinatorTest() { claims_.OnLogRead(true, now_); }

  auto Begin(RequestId aRequest) -> std::optional<Response>
  {
    return claims_.Begin(aRequest, kAccount, key_, WallAt(now_), now_);
  }

  auto Replay(const std::vector<LogRecord>& aRecords) -> void
  {
    for (const auto& record : aRecords) {
      if (const auto* claim = std::get_if<ClaimRecord>(&record)) {
        claims_.Apply(*claim);
      } else if (const auto* outcome = std::get_if<OutcomeRecord>(&record)) {
        claims_.Apply(*outcome);
      }
    }
    claims_.OnLogRead(true, now_);
  }

  auto Tick(Duration aStep) -> std::vector<AppendRequest>
  {
    now_ += aStep;
    return claims_.Tick(now_, WallAt(now_), 1);
  }
};

TEST_F(ClaimCoordinatorTest, AcquiredOnlyWhenTheLogShowsTheClaim)
{
  EXPECT_FALSE(Begin(1));
  const auto appendRequests = Tick(10ms);
  ASSERT_EQ(appendRequests.size(), 1U);
  claims_.OnAppendReply(appendRequests[0].token_, true, now_);
  EXPECT_TRUE(claims_.TakeResults().empty());
  Replay(appendRequests[0].records_);
  const auto results = claims_.TakeResults();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_TRUE(results[0].isAcquired_);
}

TEST_F(ClaimCoordinatorTest, LosesToAnEarlierClaim)
{
  EXPECT_FALSE(Begin(1));
  const auto appendRequests = Tick(10ms);
  Replay(
    { ClaimRecord{ MakeClaimKey(kAccount, key_),
                   AttemptId{ RouterId{ 2 }, 1, 1 }, WallAt(1s).count() } });
  Replay(appendRequests[0].records_);
  const auto results = claims_.TakeResults();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_FALSE(results[0].isAcquired_);
  EXPECT_EQ(results[0].response_.code_, ResponseCode::kKeyRunning);
}

TEST_F(ClaimCoordinatorTest, RepeatedKeyGetsTheOutcome)
{
  EXPECT_FALSE(Begin(1));
  Replay(Tick(10ms)[0].records_);
  claims_.TakeResults();
  claims_.Finish(1, OutcomeKind::kDone, 200, "answer");
  Replay(Tick(100ms)[0].records_);
  const auto response = Begin(2);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->replayedStatus_, 200);
  EXPECT_EQ(response->replayedBody_, "answer");
}

TEST_F(ClaimCoordinatorTest, DeadOwnerMakesTheOutcomeUnknown)
{
  Replay(
    { ClaimRecord{ MakeClaimKey(kAccount, key_),
                   AttemptId{ RouterId{ 2 }, 1, 1 }, WallAt(1s).count() } });
  EXPECT_EQ(Begin(1)->code_, ResponseCode::kKeyRunning);
  ownerLive_ = false;
  EXPECT_EQ(Begin(2)->code_, ResponseCode::kKeyOutcomeUnknown);
}

TEST_F(ClaimCoordinatorTest, LostReplyIsResolvedByReadingTheLog)
{
  EXPECT_FALSE(Begin(1));
  const auto appendRequests = Tick(10ms);
  claims_.OnAppendReply(appendRequests[0].token_, false, now_);
  Replay(appendRequests[0].records_);
  EXPECT_TRUE(claims_.TakeResults()[0].isAcquired_);
  EXPECT_TRUE(Tick(600ms).empty());
}

TEST_F(ClaimCoordinatorTest, LostAppendIsRetried)
{
  EXPECT_FALSE(Begin(1));
  const auto appendRequests = Tick(10ms);
  claims_.OnAppendReply(appendRequests[0].token_, false, now_);
  claims_.OnLogRead(true, now_);
  const auto repeated = Tick(600ms);
  ASSERT_EQ(repeated.size(), 1U);
  EXPECT_EQ(std::get<ClaimRecord>(repeated[0].records_[0]).attempt_,
            std::get<ClaimRecord>(appendRequests[0].records_[0]).attempt_);
}

TEST_F(ClaimCoordinatorTest, AbandonedClaimAppendedLateReleasesItsKey)
{
  EXPECT_FALSE(Begin(1));
  const auto appendRequests = Tick(10ms);
  const auto later = Tick(1500ms);
  const auto results = claims_.TakeResults();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].response_.runState_, RunState::kNotRun);
  Replay(appendRequests[0].records_);
  EXPECT_TRUE(claims_.TakeResults().empty());
  const auto release = Tick(100ms);
  ASSERT_EQ(release.size(), 1U);
  const auto& outcome = std::get<OutcomeRecord>(release[0].records_[0]);
  EXPECT_EQ(outcome.kind_, OutcomeKind::kNotRun);
  Replay(release[0].records_);
  EXPECT_FALSE(Begin(2));
  // A late duplicate of the abandoned claim does not acquire the key again.
  Replay(appendRequests[0].records_);
  Replay(Tick(100ms)[0].records_);
  EXPECT_TRUE(claims_.TakeResults()[0].isAcquired_);
}

TEST_F(ClaimCoordinatorTest, RejectsImmediatelyWhileTheLogIsUnreadable)
{
  now_ += 2s;
  EXPECT_EQ(Begin(1)->code_, ResponseCode::kLogUnavailable);
  EXPECT_EQ(Begin(1)->runState_, RunState::kNotRun);
}

TEST_F(ClaimCoordinatorTest, RejectsOldAndMalformedKeys)
{
  now_ += 11min;
  claims_.OnLogRead(true, now_);
  EXPECT_EQ(Begin(1)->code_, ResponseCode::kKeyTooOld);
  key_ = "x";
  EXPECT_EQ(Begin(2)->code_, ResponseCode::kKeyMalformed);
  key_ = MakeUuid7(WallAt(now_ + 2min), 1, 1);
  EXPECT_EQ(Begin(3)->code_, ResponseCode::kKeyMalformed);
}

TEST_F(ClaimCoordinatorTest, LimitsAppendsToItsShareOfTheFleetRate)
{
  int appends = 0;
  for (int i = 0; i < 2000; ++i) {
    key_ = MakeUuid7(WallAt(now_), static_cast<std::uint64_t>(i), 7);
    claims_.OnLogRead(true, now_);
    (void)Begin(static_cast<RequestId>(i));
    now_ += 5ms;
    appends += static_cast<int>(claims_.Tick(now_, WallAt(now_), 100).size());
  }
  // 250 appends per second shared by 100 routers over 10 s, plus the burst.
  EXPECT_LE(appends, 28);
}

/// Simulates several routers that share one log, with lost replies, lost and
/// delayed appends, lagging readers, pauses and restarts. Counts the runs of
/// each key and records the run state reported to each caller.
class ClaimSimulation
{
  struct Node
  {
    std::unique_ptr<ClaimCoordinator> claims_;
    std::int64_t incarnation_ = 0;
    std::size_t readPosition_ = 0;
    std::map<RequestId, std::string> running_;
  };

  std::vector<Node> nodes_{ 3 };
  std::vector<LogRecord> log_;
  std::vector<LogRecord> delayedRecords_;
  std::int64_t nextIncarnation_ = 1;
  RequestId nextRequest_ = 1;
  Instant now_ = 1s;

public:
  std::map<std::string, int> runsByKey_;
  std::map<RequestId, std::string> keyByRequest_;
  std::map<RequestId, bool> ran_;
  std::map<RequestId, RunState> reportedRunState_;

  ClaimSimulation()
  {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Restart(i);
    }
  }

  auto Restart(std::size_t aNode) -> void
  {
    auto& node = nodes_[aNode];
    node.incarnation_ = nextIncarnation_++;
    node.readPosition_ = 0;
    node.running_.clear();
    const RouterId self{ static_cast<std::int32_t>(aNode) };
    node.claims_ = std::make_unique<ClaimCoordinator>(
      ClaimOptions{}, self, node.incarnation_, [this](const AttemptId& aOwner) {
        const auto index = static_cast<std::size_t>(aOwner.router_.value_);
        return nodes_[index].incarnation_ == aOwner.incarnation_;
      });
  }

  auto Read(std::size_t aNode) -> void
  {
    auto& node = nodes_[aNode];
    for (; node.readPosition_ < log_.size(); ++node.readPosition_) {
      const auto& record = log_[node.readPosition_];
      if (const auto* claim = std::get_if<ClaimRecord>(&record)) {
        node.claims_->Apply(*claim);
      } else if (const auto* end = std::get_if<OutcomeRecord>(&record)) {
        node.claims_->Apply(*end);
      }
    }
    node.claims_->OnLogRead(true, now_);
    for (const auto& result : node.claims_->TakeResults()) {
      HandleResult(&node, result);
    }
  }

  auto HandleResult(Node* aNode, const ClaimResult& aResult) -> void
  {
    const auto& key = keyByRequest_[aResult.request_];
    if (!aResult.isAcquired_) {
      reportedRunState_[aResult.request_] = aResult.response_.runState_;
      return;
    }
    ++runsByKey_[key];
    ran_[aResult.request_] = true;
    aNode->running_[aResult.request_] = key;
  }

  auto Begin(std::size_t aNode, int aKey) -> void
  {
    const auto uuid =
      MakeUuid7(WallAt(1s), static_cast<std::uint64_t>(aKey), 1);
    const auto request = nextRequest_++;
    keyByRequest_[request] = uuid;
    const auto response =
      nodes_[aNode].claims_->Begin(request, kAccount, uuid, WallAt(now_), now_);
    if (response) {
      reportedRunState_[request] = response->runState_;
    }
  }

  auto Tick(std::size_t aNode, int aFate) -> void
  {
    auto& node = nodes_[aNode];
    for (const auto& appendRequest :
         node.claims_->Tick(now_, WallAt(now_), 1)) {
      const bool appended = aFate != 0;
      const bool isDelayed = aFate == 1;
      auto& destination = isDelayed ? delayedRecords_ : log_;
      if (appended) {
        destination.insert(destination.end(), appendRequest.records_.begin(),
                           appendRequest.records_.end());
      }
      node.claims_->OnAppendReply(appendRequest.token_, aFate == 3, now_);
    }
    for (const auto& result : node.claims_->TakeResults()) {
      HandleResult(&node, result);
    }
  }

  auto DeliverDelayed() -> void
  {
    log_.insert(log_.end(), delayedRecords_.begin(), delayedRecords_.end());
    delayedRecords_.clear();
  }

  auto Finish(std::size_t aNode, OutcomeKind aKind) -> void
  {
    auto& node = nodes_[aNode];
    if (node.running_.empty()) {
      return;
    }
    const auto request = node.running_.begin()->first;
    node.running_.erase(node.running_.begin());
    node.claims_->Finish(request, aKind, 200, "body");
  }

  auto AdvanceTime(Duration aTime) -> void { now_ += aTime; }
};

TEST(ClaimSimulationFuzz, NoKeyRunsTwiceAndNotRunIsReportedCorrectly)
{
  EXPECT_TRUE(rc::check("claims", [] {
    ClaimSimulation simulation;
    const int steps = *rc::gen::inRange(5, 80);
    for (int i = 0; i < steps; ++i) {
      const auto node = *rc::gen::inRange<std::size_t>(0, 3);
      switch (*rc::gen::inRange(0, 9)) {
        case 0:
        case 1:
          simulation.Begin(node, *rc::gen::inRange(0, 3));
          break;
        case 2:
        case 3:
          simulation.Tick(node, *rc::gen::inRange(0, 4));
          break;
        case 4:
        case 5:
          simulation.Read(node);
          break;
        case 6:
          simulation.Finish(
            node, *rc::gen::element(OutcomeKind::kDone, OutcomeKind::kUnknown));
          break;
        case 7:
          simulation.DeliverDelayed();
          break;
        default:
          simulation.AdvanceTime(
            *rc::gen::element<Duration>(10ms, 700ms, 1500ms));
          if (*rc::gen::inRange(0, 4) == 0) {
            simulation.Restart(node);
          }
          break;
      }
    }
    for (const auto& entry : simulation.runsByKey_) {
      RC_ASSERT(entry.second <= 1);
    }
    for (const auto& entry : simulation.reportedRunState_) {
      RC_ASSERT(entry.second != RunState::kNotRun ||
                !simulation.ran_[entry.first]);
    }
  }));
}

} // namespace
} // namespace burdockring
