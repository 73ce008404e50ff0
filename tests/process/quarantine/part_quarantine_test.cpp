#include "process/quarantine/part_quarantine.h"
#include "support/forwarding_fixture.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

using testing::NiceMock;

const PartIds kParts{ 3, 7 };
constexpr std::uint64_t kDeadly = 7;

class PartQuarantineTest : public testing::Test
{
protected:
  NiceMock<MockEventLog> log_;
  PartQuarantine quarantine_{ &log_ };

  static auto WholeAt(Instant aAt) -> AnswerProgress
  {
    return { aAt, 20ms, true };
  }

  /// Three crashes with a deadly part, seen by this router.
  auto Impose(PartQuarantine* aQuarantine) -> void
  {
    for (int i = 0; i < CrashTally::kConfirmedCrashes; ++i) {
      const auto at = 1s + i * 1s;
      aQuarantine->OnLost(TargetId{ i }, kParts, std::nullopt, at);
      aQuarantine->OnAnswer({ 3 }, WholeAt(at + 100ms));
      aQuarantine->OnDown(TargetId{ i }, at + 200ms);
      aQuarantine->Tick(true, at + 400ms);
    }
  }

  static auto RowsOf(const PartQuarantine& aQuarantine, Instant aNow)
    -> wire::CrashNews
  {
    wire::CrashNews news;
    news.quarantined = aQuarantine.Rows(aNow);
    return news;
  }
};

TEST_F(PartQuarantineTest, RejectsRequestsWithThePartOnly)
{
  Impose(&quarantine_);
  EXPECT_EQ(quarantine_.Count(), 1U);
  EXPECT_FALSE(quarantine_.Admits(1, kParts, true, 5s));
  EXPECT_TRUE(quarantine_.Admits(2, { 3, 8 }, true, 5s));
  EXPECT_GT(quarantine_.Remaining(kParts, 5s), 9min);
}

TEST_F(PartQuarantineTest, RouterThatIsNoLeadImposesNone)
{
  for (int i = 0; i < 5; ++i) {
    quarantine_.OnLost(TargetId{ i }, kParts, std::nullopt, 1s + i * 1s);
    quarantine_.OnDown(TargetId{ i }, 1200ms + i * 1s);
    quarantine_.Tick(false, 1400ms + i * 1s);
  }
  EXPECT_EQ(quarantine_.Count(), 0U);
}

TEST_F(PartQuarantineTest, OneRequestIsTriedAfterTheEnd)
{
  Impose(&quarantine_);
  const auto end = 4s + PartQuarantine::kDuration;
  EXPECT_FALSE(quarantine_.Admits(1, kParts, false, end));
  EXPECT_TRUE(quarantine_.Admits(2, kParts, true, end));
  EXPECT_FALSE(quarantine_.Admits(3, kParts, true, end + 1s));
  EXPECT_TRUE(quarantine_.Admits(2, kParts, true, end + 1s));
  EXPECT_TRUE(
    quarantine_.Admits(4, kParts, true, end + PartQuarantine::kTrialTimeout));
}

TEST_F(PartQuarantineTest, LostTrialRenewsForTwiceAsLong)
{
  Impose(&quarantine_);
  const auto end = 4s + PartQuarantine::kDuration;
  EXPECT_TRUE(quarantine_.Admits(2, kParts, true, end));
  quarantine_.OnLost(TargetId{ 9 }, kParts, std::nullopt, end + 1s);
  EXPECT_FALSE(
    quarantine_.Admits(3, kParts, true, end + 2 * PartQuarantine::kDuration));
  EXPECT_TRUE(quarantine_.Admits(4, kParts, true,
                                 end + 2 * PartQuarantine::kDuration + 2s));
}

TEST_F(PartQuarantineTest, WholeAnswerLiftsItEverywhere)
{
  PartQuarantine other(&log_);
  Impose(&quarantine_);
  other.OnPeerNews(RowsOf(quarantine_, 5s), 5s);
  EXPECT_FALSE(other.Admits(1, kParts, true, 5s));
  quarantine_.OnAnswer(kParts, WholeAt(6s));
  EXPECT_TRUE(quarantine_.Admits(2, kParts, true, 7s));
  other.OnPeerNews(RowsOf(quarantine_, 7s), 7s);
  EXPECT_TRUE(other.Admits(3, kParts, true, 7s));
}

// The answer to the request that is tried begins, and its target crashes.
TEST_F(PartQuarantineTest, AnswerThatOnlyBeganLiftsNothing)
{
  Impose(&quarantine_);
  const auto end = 4s + PartQuarantine::kDuration;
  EXPECT_TRUE(quarantine_.Admits(2, kParts, true, end));
  quarantine_.OnAnswer(kParts, { end + 100ms, 50ms, false });
  EXPECT_EQ(quarantine_.Count(), 1U);
  quarantine_.OnLost(TargetId{ 9 }, kParts, LostAnswer{ 60ms }, end + 110ms);
  EXPECT_FALSE(quarantine_.Admits(3, kParts, true, end + 1s));
}

// A router that lifted it is not brought back by one that has not heard so.
TEST_F(PartQuarantineTest, OutdatedRowDoesNotImposeAgain)
{
  PartQuarantine other(&log_);
  Impose(&quarantine_);
  other.OnPeerNews(RowsOf(quarantine_, 5s), 5s);
  quarantine_.OnAnswer(kParts, WholeAt(6s));
  quarantine_.OnPeerNews(RowsOf(other, 7s), 7s);
  EXPECT_TRUE(quarantine_.Admits(2, kParts, true, 7s));
}

/// A quarantine that the store keeps.
class StoredQuarantineTest : public PartQuarantineTest
{
protected:
  static auto TakeOnly(PartQuarantine* aQuarantine, Instant aNow)
    -> StoreQuarantine
  {
    const auto changes = aQuarantine->TakeChangesToStore(aNow);
    EXPECT_EQ(changes.size(), 1U);
    return changes.empty() ? StoreQuarantine() : changes.front();
  }
};

// All routers restarted at once and forgot which part crashes targets.
TEST_F(StoredQuarantineTest, IsInForceAfterARestart)
{
  Impose(&quarantine_);
  const auto change = TakeOnly(&quarantine_, 5s);
  EXPECT_TRUE(change.isInForce_);
  EXPECT_EQ(change.quarantine_.parts_, PartIds{ kDeadly });
  EXPECT_TRUE(quarantine_.TakeChangesToStore(5s).empty());
  PartQuarantine other(&log_);
  // Clocks of other processes begin elsewhere.
  other.Restore(change.quarantine_, 100s);
  EXPECT_FALSE(other.Admits(1, kParts, true, 100s));
  EXPECT_TRUE(other.Admits(2, { 3, 8 }, true, 100s));
  EXPECT_GT(other.Remaining(kParts, 100s), 9min);
  EXPECT_TRUE(other.HasChanged());
  EXPECT_TRUE(other.TakeChangesToStore(100s).empty());
  // Its end is the same: the trial of one request.
  EXPECT_TRUE(other.Admits(3, kParts, true, 101s + PartQuarantine::kDuration));
}

TEST_F(StoredQuarantineTest, IsDeletedWhenItIsLifted)
{
  Impose(&quarantine_);
  TakeOnly(&quarantine_, 5s);
  quarantine_.OnAnswer(kParts, WholeAt(6s));
  EXPECT_FALSE(TakeOnly(&quarantine_, 7s).isInForce_);
}

// A lead that only heard of the end of a quarantine deletes it too: its own
// write may be the last.
TEST_F(StoredQuarantineTest, IsDeletedByRoutersThatHearOfItsEnd)
{
  PartQuarantine other(&log_);
  Impose(&quarantine_);
  other.OnPeerNews(RowsOf(quarantine_, 5s), 5s);
  EXPECT_TRUE(TakeOnly(&other, 5s).isInForce_);
  quarantine_.OnAnswer(kParts, WholeAt(6s));
  other.OnPeerNews(RowsOf(quarantine_, 7s), 7s);
  EXPECT_FALSE(TakeOnly(&other, 7s).isInForce_);
}

TEST_F(StoredQuarantineTest, IsStoredAgainWhenItIsRenewed)
{
  Impose(&quarantine_);
  TakeOnly(&quarantine_, 5s);
  const auto end = 4s + PartQuarantine::kDuration;
  EXPECT_TRUE(quarantine_.Admits(2, kParts, true, end));
  quarantine_.OnLost(TargetId{ 9 }, kParts, std::nullopt, end + 1s);
  const auto change = TakeOnly(&quarantine_, end + 1s);
  EXPECT_EQ(change.quarantine_.renewals_, 1);
  EXPECT_GT(change.quarantine_.remaining_, PartQuarantine::kDuration);
}

// The store came back from an older copy and lacks the quarantine.
TEST_F(StoredQuarantineTest, IsStoredAgainOnRequest)
{
  Impose(&quarantine_);
  TakeOnly(&quarantine_, 5s);
  quarantine_.StoreAgain();
  EXPECT_TRUE(TakeOnly(&quarantine_, 6s).isInForce_);
}

TEST_F(StoredQuarantineTest, IsDeletedWhenNoRequestCameForLong)
{
  Impose(&quarantine_);
  TakeOnly(&quarantine_, 5s);
  const auto end = 4s + PartQuarantine::kDuration + PartQuarantine::kMaxIdle;
  quarantine_.Tick(true, end + 1s);
  EXPECT_FALSE(TakeOnly(&quarantine_, end + 1s).isInForce_);
}

// A deletion was lost, and a router that starts reads the old quarantine.
TEST_F(StoredQuarantineTest, IsNotBroughtBackToPeersThatLiftedIt)
{
  Impose(&quarantine_);
  const auto stored = TakeOnly(&quarantine_, 5s).quarantine_;
  quarantine_.OnAnswer(kParts, WholeAt(6s));
  PartQuarantine other(&log_);
  other.Restore(stored, 7s);
  quarantine_.OnPeerNews(RowsOf(other, 7s), 7s);
  EXPECT_TRUE(quarantine_.Admits(1, kParts, true, 7s));
  other.OnPeerNews(RowsOf(quarantine_, 8s), 8s);
  EXPECT_TRUE(other.Admits(2, kParts, true, 8s));
  EXPECT_FALSE(TakeOnly(&other, 8s).isInForce_);
}

// The same after the peers no longer report the end of the quarantine.
TEST_F(StoredQuarantineTest, IsEndedByPeersThatSawAWholeAnswer)
{
  Impose(&quarantine_);
  const auto stored = TakeOnly(&quarantine_, 5s).quarantine_;
  quarantine_.OnAnswer(kParts, WholeAt(6s));
  const auto later = 7s + PartQuarantine::kLiftedLifetime;
  quarantine_.Tick(true, later);
  PartQuarantine other(&log_);
  other.Restore(stored, later);
  quarantine_.OnPeerNews(RowsOf(other, later), later);
  EXPECT_TRUE(quarantine_.Admits(1, kParts, true, later));
  other.OnPeerNews(quarantine_.TakeEvents(later), later);
  EXPECT_TRUE(other.Admits(2, kParts, true, later));
}

TEST_F(StoredQuarantineTest, NeverDisplacesOthers)
{
  Impose(&quarantine_);
  for (std::uint64_t part = 100; part < 1000; ++part) {
    quarantine_.Restore({ { part }, 10min, 0 }, 5s);
  }
  quarantine_.Restore({ { kDeadly }, 1ms, 0 }, 5s);
  quarantine_.Restore({}, 5s);
  EXPECT_EQ(quarantine_.Count(), PartQuarantine::kMaxQuarantines);
  EXPECT_GT(quarantine_.Remaining({ kDeadly }, 5s), 9min);
}

TEST_F(PartQuarantineTest, MalformedRowsAreSkipped)
{
  wire::CrashNews news;
  wire::QuarantineRow row;
  row.parts = "short";
  news.quarantined = { row };
  wire::LostRequest lost;
  lost.parts = std::string(8 * 1000, 'x');
  news.lost = { lost };
  row.parts = EncodePartIds({ kDeadly });
  row.ageMicros = -5;
  row.remainingMicros = INT64_MAX;
  row.renewals = 1000;
  news.quarantined.push_back(row);
  quarantine_.OnPeerNews(news, 1s);
  EXPECT_EQ(quarantine_.Counters().malformed_, 2);
  EXPECT_EQ(quarantine_.Count(), 1U);
  EXPECT_LE(quarantine_.Remaining(kParts, 1s), PartQuarantine::kMaxIdle);
}

TEST_F(PartQuarantineTest, NumberOfQuarantinesIsBounded)
{
  wire::CrashNews news;
  for (std::uint64_t part = 1; part <= 1000; ++part) {
    wire::QuarantineRow row;
    row.parts = EncodePartIds({ part });
    row.remainingMicros = 1'000'000;
    news.quarantined.push_back(row);
  }
  quarantine_.OnPeerNews(news, 1s);
  EXPECT_EQ(quarantine_.Count(), PartQuarantine::kMaxQuarantines);
}

// Many requests of one router are lost at once; the likelier causes are kept.
TEST_F(PartQuarantineTest, LossesBeforeTheAnswerAreReportedFirst)
{
  quarantine_.OnLost(TargetId{ 1 }, kParts, std::nullopt, 1s);
  for (std::uint64_t part = 100; part < 300; ++part) {
    quarantine_.OnLost(TargetId{ 1 }, { part }, LostAnswer{ 10ms }, 1s);
  }
  const auto news = quarantine_.TakeEvents(1100ms);
  EXPECT_EQ(news.lost.size(), 64U);
  EXPECT_FALSE(news.lost.front().__isset.answerMicros);
}

// How old a lost answer was reaches the leads, and what clears it.
TEST_F(PartQuarantineTest, ProgressOfAnswersReachesTheLeads)
{
  PartQuarantine lead(&log_);
  for (int i = 0; i < CrashTally::kConfirmedCrashes; ++i) {
    const auto at = 1s + i * 1s;
    quarantine_.OnLost(TargetId{ i }, kParts, LostAnswer{ 40ms }, at);
    quarantine_.OnDown(TargetId{ i }, at + 10ms);
    quarantine_.OnAnswer({ 3 }, { at + 600ms, 590ms, false });
    quarantine_.OnAnswer({ kDeadly }, { at + 600ms, 30ms, false });
    lead.OnPeerNews(quarantine_.TakeEvents(at + 700ms), at + 700ms);
    lead.Tick(true, at + 700ms);
  }
  EXPECT_EQ(lead.Count(), 1U);
  EXPECT_TRUE(lead.Admits(1, { 3 }, false, 4s));
  EXPECT_FALSE(lead.Admits(2, { kDeadly }, false, 4s));
}

TEST_F(PartQuarantineTest, EventsAreSentInSeveralReports)
{
  quarantine_.OnLost(TargetId{ 1 }, kParts, std::nullopt, 1s);
  PartQuarantine other(&log_);
  int reports = 0;
  for (; quarantine_.HasEvents(); ++reports) {
    const auto news = quarantine_.TakeEvents(1100ms);
    ASSERT_EQ(news.lost.size(), 1U);
    EXPECT_EQ(news.lost[0].ageMicros, 100'000);
  }
  EXPECT_EQ(reports, 3);
}

} // namespace
} // namespace burdockring
