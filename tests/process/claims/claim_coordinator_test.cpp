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

/// A coordinator with a log that the test moves by hand.
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

  auto Tick(Duration aStep) -> std::vector<AppendOrder>
  {
    now_ += aStep;
    return claims_.Tick(now_, WallAt(now_), 1);
  }
};

TEST_F(ClaimCoordinatorTest, WinsOnlyWhenTheLogShowsItsClaim)
{
  EXPECT_FALSE(Begin(1));
  const auto orders = Tick(10ms);
  ASSERT_EQ(orders.size(), 1U);
  claims_.OnAppendReply(orders[0].token_, true, now_);
  EXPECT_TRUE(claims_.TakeVerdicts().empty());
  Replay(orders[0].records_);
  const auto verdicts = claims_.TakeVerdicts();
  ASSERT_EQ(verdicts.size(), 1U);
  EXPECT_TRUE(verdicts[0].won_);
}

TEST_F(ClaimCoordinatorTest, LosesToAnEarlierClaim)
{
  EXPECT_FALSE(Begin(1));
  const auto orders = Tick(10ms);
  Replay(
    { ClaimRecord{ MakeClaimKey(kAccount, key_),
                   AttemptId{ RouterId{ 2 }, 1, 1 }, WallAt(1s).count() } });
  Replay(orders[0].records_);
  const auto verdicts = claims_.TakeVerdicts();
  ASSERT_EQ(verdicts.size(), 1U);
  EXPECT_FALSE(verdicts[0].won_);
  EXPECT_EQ(verdicts[0].answer_.code_, ResponseCode::kKeyRunning);
}

TEST_F(ClaimCoordinatorTest, RepeatGetsTheOutcome)
{
  EXPECT_FALSE(Begin(1));
  Replay(Tick(10ms)[0].records_);
  claims_.TakeVerdicts();
  claims_.Finish(1, OutcomeKind::kDone, 200, "answer");
  Replay(Tick(100ms)[0].records_);
  const auto answer = Begin(2);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->replayedStatus_, 200);
  EXPECT_EQ(answer->replayedBody_, "answer");
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

TEST_F(ClaimCoordinatorTest, LostReplyIsSettledByReading)
{
  EXPECT_FALSE(Begin(1));
  const auto orders = Tick(10ms);
  claims_.OnAppendReply(orders[0].token_, false, now_);
  Replay(orders[0].records_);
  EXPECT_TRUE(claims_.TakeVerdicts()[0].won_);
  EXPECT_TRUE(Tick(600ms).empty());
}

TEST_F(ClaimCoordinatorTest, LostAppendIsRepeated)
{
  EXPECT_FALSE(Begin(1));
  const auto orders = Tick(10ms);
  claims_.OnAppendReply(orders[0].token_, false, now_);
  claims_.OnLogRead(true, now_);
  const auto repeated = Tick(600ms);
  ASSERT_EQ(repeated.size(), 1U);
  EXPECT_EQ(std::get<ClaimRecord>(repeated[0].records_[0]).attempt_,
            std::get<ClaimRecord>(orders[0].records_[0]).attempt_);
}

TEST_F(ClaimCoordinatorTest, GivenUpClaimThatLandsLateFreesItsKey)
{
  EXPECT_FALSE(Begin(1));
  const auto orders = Tick(10ms);
  const auto later = Tick(1500ms);
  const auto verdicts = claims_.TakeVerdicts();
  ASSERT_EQ(verdicts.size(), 1U);
  EXPECT_EQ(verdicts[0].answer_.runState_, RunState::kNotRun);
  Replay(orders[0].records_);
  EXPECT_TRUE(claims_.TakeVerdicts().empty());
  const auto release = Tick(100ms);
  ASSERT_EQ(release.size(), 1U);
  const auto& outcome = std::get<OutcomeRecord>(release[0].records_[0]);
  EXPECT_EQ(outcome.kind_, OutcomeKind::kNotRun);
  Replay(release[0].records_);
  EXPECT_FALSE(Begin(2));
  // A late duplicate of the given-up claim does not take the key again.
  Replay(orders[0].records_);
  Replay(Tick(100ms)[0].records_);
  EXPECT_TRUE(claims_.TakeVerdicts()[0].won_);
}

TEST_F(ClaimCoordinatorTest, RefusesAtOnceWhileTheLogIsSilent)
{
  now_ += 2s;
  EXPECT_EQ(Begin(1)->code_, ResponseCode::kLogUnavailable);
  EXPECT_EQ(Begin(1)->runState_, RunState::kNotRun);
}

TEST_F(ClaimCoordinatorTest, RefusesOldAndMalformedKeys)
{
  now_ += 11min;
  claims_.OnLogRead(true, now_);
  EXPECT_EQ(Begin(1)->code_, ResponseCode::kKeyTooOld);
  key_ = "x";
  EXPECT_EQ(Begin(2)->code_, ResponseCode::kKeyMalformed);
  key_ = MakeUuid7(WallAt(now_ + 2min), 1, 1);
  EXPECT_EQ(Begin(3)->code_, ResponseCode::kKeyMalformed);
}

TEST_F(ClaimCoordinatorTest, KeepsToTheFleetsAppends)
{
  int appends = 0;
  for (int i = 0; i < 2000; ++i) {
    key_ = MakeUuid7(WallAt(now_), static_cast<std::uint64_t>(i), 7);
    claims_.OnLogRead(true, now_);
    (void)Begin(static_cast<RequestId>(i));
    now_ += 5ms;
    appends += static_cast<int>(claims_.Tick(now_, WallAt(now_), 100).size());
  }
  // 250 a second for 100 routers over 10 s, and the burst.
  EXPECT_LE(appends, 28);
}

/// Several routers over one log, with lost replies, lost appends, lag, pauses
/// and restarts. The oracle counts how often each key was run.
class ClaimWorld
{
  struct Node
  {
    std::unique_ptr<ClaimCoordinator> claims_;
    std::int64_t incarnation_ = 0;
    std::size_t read_ = 0;
    std::map<RequestId, std::string> running_;
  };

  std::vector<Node> nodes_{ 3 };
  std::vector<LogRecord> log_;
  std::vector<LogRecord> floating_;
  std::int64_t nextIncarnation_ = 1;
  RequestId nextRequest_ = 1;
  Instant now_ = 1s;

public:
  std::map<std::string, int> runs_;
  std::map<RequestId, std::string> keyOf_;
  std::map<RequestId, bool> ran_;
  std::map<RequestId, RunState> told_;

  ClaimWorld()
  {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Restart(i);
    }
  }

  auto Restart(std::size_t aNode) -> void
  {
    auto& node = nodes_[aNode];
    node.incarnation_ = nextIncarnation_++;
    node.read_ = 0;
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
    for (; node.read_ < log_.size(); ++node.read_) {
      const auto& record = log_[node.read_];
      if (const auto* claim = std::get_if<ClaimRecord>(&record)) {
        node.claims_->Apply(*claim);
      } else if (const auto* end = std::get_if<OutcomeRecord>(&record)) {
        node.claims_->Apply(*end);
      }
    }
    node.claims_->OnLogRead(true, now_);
    for (const auto& verdict : node.claims_->TakeVerdicts()) {
      Hear(&node, verdict);
    }
  }

  auto Hear(Node* aNode, const ClaimVerdict& aVerdict) -> void
  {
    const auto& key = keyOf_[aVerdict.request_];
    if (!aVerdict.won_) {
      told_[aVerdict.request_] = aVerdict.answer_.runState_;
      return;
    }
    ++runs_[key];
    ran_[aVerdict.request_] = true;
    aNode->running_[aVerdict.request_] = key;
  }

  auto Begin(std::size_t aNode, int aKey) -> void
  {
    const auto uuid =
      MakeUuid7(WallAt(1s), static_cast<std::uint64_t>(aKey), 1);
    const auto request = nextRequest_++;
    keyOf_[request] = uuid;
    const auto answer =
      nodes_[aNode].claims_->Begin(request, kAccount, uuid, WallAt(now_), now_);
    if (answer) {
      told_[request] = answer->runState_;
    }
  }

  auto Tick(std::size_t aNode, int aFate) -> void
  {
    auto& node = nodes_[aNode];
    for (const auto& order : node.claims_->Tick(now_, WallAt(now_), 1)) {
      const bool appended = aFate != 0;
      const bool late = aFate == 1;
      auto& place = late ? floating_ : log_;
      if (appended) {
        place.insert(place.end(), order.records_.begin(), order.records_.end());
      }
      node.claims_->OnAppendReply(order.token_, aFate == 3, now_);
    }
    for (const auto& verdict : node.claims_->TakeVerdicts()) {
      Hear(&node, verdict);
    }
  }

  auto Land() -> void
  {
    log_.insert(log_.end(), floating_.begin(), floating_.end());
    floating_.clear();
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

  auto Pass(Duration aTime) -> void { now_ += aTime; }
};

TEST(ClaimWorldFuzz, NoKeyRunsTwiceAndNotRunIsTrue)
{
  EXPECT_TRUE(rc::check("claims", [] {
    ClaimWorld world;
    const int steps = *rc::gen::inRange(5, 80);
    for (int i = 0; i < steps; ++i) {
      const auto node = *rc::gen::inRange<std::size_t>(0, 3);
      switch (*rc::gen::inRange(0, 9)) {
        case 0:
        case 1:
          world.Begin(node, *rc::gen::inRange(0, 3));
          break;
        case 2:
        case 3:
          world.Tick(node, *rc::gen::inRange(0, 4));
          break;
        case 4:
        case 5:
          world.Read(node);
          break;
        case 6:
          world.Finish(
            node, *rc::gen::element(OutcomeKind::kDone, OutcomeKind::kUnknown));
          break;
        case 7:
          world.Land();
          break;
        default:
          world.Pass(*rc::gen::element<Duration>(10ms, 700ms, 1500ms));
          if (*rc::gen::inRange(0, 4) == 0) {
            world.Restart(node);
          }
          break;
      }
    }
    for (const auto& entry : world.runs_) {
      RC_ASSERT(entry.second <= 1);
    }
    for (const auto& entry : world.told_) {
      RC_ASSERT(entry.second != RunState::kNotRun || !world.ran_[entry.first]);
    }
  }));
}

} // namespace
} // namespace burdockring
