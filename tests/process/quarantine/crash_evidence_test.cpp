#include "process/quarantine/crash_evidence.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

constexpr TargetId kTarget1{ 1 };
constexpr TargetId kTarget2{ 2 };
constexpr TargetId kTarget3{ 3 };
constexpr TargetId kTarget4{ 4 };

class CrashEvidenceTest : public testing::Test
{
protected:
  CrashEvidence evidence_;

  /// A crash that took one request with the parts with it.
  auto Crash(TargetId aTarget, const PartIds& aParts, Instant aAt) -> void
  {
    evidence_.AddLoss(aTarget, aParts, std::nullopt, aAt);
    evidence_.AddDown(aTarget, aAt + 300ms);
  }

  /// The same, with an answer that had begun.
  auto CrashIn(TargetId aTarget,
               const PartIds& aParts,
               Duration aAnswerAge,
               Instant aAt) -> void
  {
    evidence_.AddLoss(aTarget, aParts, LostAnswer{ aAnswerAge }, aAt);
    evidence_.AddDown(aTarget, aAt + 300ms);
  }

  auto Whole(std::uint64_t aPart, Instant aAt) -> bool
  {
    return evidence_.AddAnswer(aPart, { aAt, 20ms, true });
  }

  /// An answer that goes on.
  auto Goes(std::uint64_t aPart, Duration aAge, Instant aAt) -> bool
  {
    return evidence_.AddAnswer(aPart, { aAt, aAge, false });
  }

  auto Causes(Instant aNow, const std::vector<PartIds>& aKnown = {})
    -> std::vector<PartIds>
  {
    std::vector<PartIds> parts;
    for (auto& cause : evidence_.FindCauses(aKnown, aNow)) {
      parts.push_back(std::move(cause.parts_));
    }
    return parts;
  }
};

TEST_F(CrashEvidenceTest, PartOfThreeCrashesIsTheCause)
{
  Crash(kTarget1, { 7, 8 }, 1s);
  Crash(kTarget2, { 7, 9 }, 2s);
  EXPECT_TRUE(Causes(4s).empty());
  Crash(kTarget3, { 5, 7 }, 3s);
  EXPECT_EQ(Causes(4s), (std::vector<PartIds>{ { 7 } }));
}

TEST_F(CrashEvidenceTest, WholeAnswerClearsItsParts)
{
  Crash(kTarget1, { 6, 7 }, 1s);
  Crash(kTarget2, { 6, 7 }, 2s);
  EXPECT_TRUE(Whole(6, 2500ms));
  EXPECT_FALSE(Whole(6, 2600ms));
  Crash(kTarget3, { 6, 7 }, 3s);
  EXPECT_EQ(Causes(4s), (std::vector<PartIds>{ { 7 } }));
}

// Answers with the part begin each time, and end at the same age.
TEST_F(CrashEvidenceTest, AnswerThatOnlyBeganClearsNothing)
{
  CrashIn(kTarget1, { 7 }, 5ms, 1s);
  EXPECT_FALSE(Goes(7, 0ms, 1500ms));
  CrashIn(kTarget2, { 7 }, 8ms, 2s);
  EXPECT_FALSE(Goes(7, 6ms, 2500ms));
  Crash(kTarget3, { 7 }, 3s);
  EXPECT_EQ(Causes(4s), (std::vector<PartIds>{ { 7 } }));
}

TEST_F(CrashEvidenceTest, AnswerThatOutlivesTheLostOneClearsItsParts)
{
  CrashIn(kTarget1, { 6, 7 }, 50ms, 1s);
  EXPECT_FALSE(Goes(6, 100ms, 1600ms));
  EXPECT_TRUE(Goes(6, 500ms, 2s));
  CrashIn(kTarget2, { 6, 7 }, 45ms, 3s);
  CrashIn(kTarget3, { 6, 7 }, 40ms, 4s);
  EXPECT_EQ(Causes(5s), (std::vector<PartIds>{ { 7 } }));
}

// A crash ends answers with a popular part at every age.
TEST_F(CrashEvidenceTest, LateCrashesNeedMoreEvidence)
{
  for (int i = 0; i < LateTally::kSameCrashes; ++i) {
    EXPECT_TRUE(Causes(9s).empty()) << i;
    CrashIn(TargetId{ i }, { 7 }, 500ms, 1s + i * 1s);
  }
  EXPECT_EQ(Causes(9s), (std::vector<PartIds>{ { 7 } }));
}

// Nobody is refused a connection by targets that all avoid after a crash, so
// few of the crashes were confirmed. Requests with the part were lost at the
// same age each time, and some crashed a second target when they were retried.
TEST_F(CrashEvidenceTest, CrashesAtTheSameAgeNeedFewConfirmations)
{
  const auto lose = [&](int aTarget, Duration aAge, Instant aAt) {
    evidence_.AddLoss(TargetId{ aTarget }, { 7 }, LostAnswer{ aAge }, aAt);
  };
  lose(1, 300ms, 1s);
  CrashIn(kTarget2, { 7 }, 310ms, 2s);
  lose(3, 290ms, 3s);
  lose(4, 300ms, 4s);
  EXPECT_TRUE(Causes(9s).empty());
  lose(5, 305ms, 4040ms);
  EXPECT_EQ(Causes(9s), (std::vector<PartIds>{ { 7 } }));
}

TEST_F(CrashEvidenceTest, CrashesAtOtherAgesNeedMoreConfirmations)
{
  const auto lose = [&](int aTarget, Duration aAge, Instant aAt) {
    evidence_.AddLoss(TargetId{ aTarget }, { 7 }, LostAnswer{ aAge }, aAt);
  };
  lose(1, 900ms, 1s);
  CrashIn(kTarget2, { 7 }, 310ms, 2s);
  lose(3, 500ms, 3s);
  lose(4, 700ms, 4s);
  lose(5, 100ms, 4040ms);
  EXPECT_TRUE(Causes(9s).empty());
}

// A session lost answers of every age when half of the targets went down, three
// times, and was put in quarantine.
TEST_F(CrashEvidenceTest, ConfirmedCrashesAtManyAgesAreNoEvidence)
{
  CrashIn(kTarget1, { 7 }, 869ms, 1s);
  CrashIn(kTarget2, { 7 }, 862ms, 8s);
  CrashIn(kTarget3, { 7 }, 809ms, 8001ms);
  CrashIn(kTarget4, { 7 }, 555ms, 8600ms);
  CrashIn(TargetId{ 5 }, { 7 }, 568ms, 8601ms);
  CrashIn(TargetId{ 6 }, { 7 }, 119ms, 8601ms);
  EXPECT_TRUE(Causes(9500ms).empty());
}

TEST_F(CrashEvidenceTest, EarlyCrashesNeedFewConfirmations)
{
  const auto lose = [&](int aTarget, Instant aAt) {
    evidence_.AddLoss(TargetId{ aTarget }, { 7 }, std::nullopt, aAt);
  };
  Crash(kTarget1, { 7 }, 1s);
  Crash(kTarget2, { 7 }, 2s);
  lose(3, 3s);
  EXPECT_TRUE(Causes(9s).empty());
  lose(4, 3040ms);
  EXPECT_EQ(Causes(9s), (std::vector<PartIds>{ { 7 } }));
}

// A rack goes down within milliseconds, without a refused connection.
TEST_F(CrashEvidenceTest, CrashesWithinMillisecondsWeighNoMoreThanOne)
{
  Crash(kTarget1, { 7 }, 1s);
  Crash(kTarget2, { 7 }, 2s);
  for (int i = 3; i < 9; ++i) {
    evidence_.AddLoss(TargetId{ i }, { 7 }, std::nullopt, 3s + i * 2ms);
  }
  EXPECT_TRUE(Causes(9s).empty());
}

// The second crash ended an answer that was much older than the first one's.
TEST_F(CrashEvidenceTest, LostAnswerClearsEarlierCrashesAtALowerAge)
{
  CrashIn(kTarget1, { 7 }, 10ms, 1s);
  CrashIn(kTarget2, { 7 }, 500ms, 2s);
  CrashIn(kTarget3, { 7 }, 10ms, 3s);
  CrashIn(kTarget4, { 7 }, 10ms, 4s);
  EXPECT_TRUE(Causes(9s).empty());
}

// How far into an answer a part crashes targets is not known.
TEST_F(CrashEvidenceTest, OldAnswersAreEvidenceToo)
{
  for (int i = 0; i < LateTally::kSameCrashes; ++i) {
    EXPECT_TRUE(Causes(59s).empty()) << i;
    CrashIn(TargetId{ i }, { 7 }, 8s, 10s + i * 9s);
  }
  EXPECT_EQ(Causes(59s), (std::vector<PartIds>{ { 7 } }));
}

// Streams of a popular part are in every crash, and go on elsewhere.
TEST_F(CrashEvidenceTest, OldAnswersOfPopularPartsAreNoEvidence)
{
  for (int i = 0; i < 20; ++i) {
    CrashIn(TargetId{ i }, { 7 }, 2s, 10s + i * 1s);
    EXPECT_TRUE(Whole(7, 10200ms + i * 1s));
  }
  EXPECT_TRUE(Causes(40s).empty());
}

// A part crashes targets after some events, which a busy one makes slowly: an
// answer of a slow target cleared the part of the crashes of fast ones.
TEST_F(CrashEvidenceTest, EventsCountWhereTargetsDifferInSpeed)
{
  const auto lose = [&](int aTarget, Duration aAge, Instant aAt) {
    evidence_.AddLoss(TargetId{ aTarget }, { 7 }, LostAnswer{ aAge, 20 }, aAt);
    evidence_.AddDown(TargetId{ aTarget }, aAt + 300ms);
  };
  lose(1, 800ms, 1s);
  lose(2, 2500ms, 4s);
  lose(3, 1s, 7s);
  EXPECT_FALSE(evidence_.AddAnswer(7, { 9s, 2s, false, 19 }));
  lose(4, 4s, 14s);
  EXPECT_TRUE(Causes(16s).empty());
  lose(5, 900ms, 17s);
  EXPECT_EQ(Causes(19s), (std::vector<PartIds>{ { 7 } }));
}

TEST_F(CrashEvidenceTest, AnswerMustOutliveTheLostOneInTimeAndInEvents)
{
  evidence_.AddLoss(kTarget1, { 7 }, LostAnswer{ 1s, 20 }, 10s);
  EXPECT_FALSE(evidence_.AddAnswer(7, { 12s, 5s, false, 32 }));
  EXPECT_FALSE(evidence_.AddAnswer(7, { 12s, 1600ms, false, 100 }));
  EXPECT_TRUE(evidence_.AddAnswer(7, { 12s, 1650ms, false, 33 }));
}

TEST(LostAnswers, AreAlikeWithinTheMarginsOfSurvival)
{
  EXPECT_TRUE(IsLostAlike(std::nullopt, std::nullopt));
  EXPECT_TRUE(IsLostAlike(std::nullopt, LostAnswer{ 100ms, 2 }));
  EXPECT_FALSE(IsLostAlike(std::nullopt, LostAnswer{ 2s, 20 }));
  EXPECT_TRUE(IsLostAlike(LostAnswer{ 2s, 20 }, LostAnswer{ 2500ms, 25 }));
  EXPECT_FALSE(IsLostAlike(LostAnswer{ 2s, 20 }, LostAnswer{ 5s, 50 }));
  // The same number of events at targets of unequal speed.
  EXPECT_TRUE(IsLostAlike(LostAnswer{ 2s, 20 }, LostAnswer{ 5s, 20 }));
  EXPECT_FALSE(IsLostAlike(LostAnswer{ 2s }, LostAnswer{ 5s }));
}

// Requests with a popular part are lost at every age.
TEST_F(CrashEvidenceTest, OldestLostAnswerDecidesWhatClears)
{
  CrashIn(kTarget1, { 7 }, 10ms, 1s);
  CrashIn(kTarget1, { 7 }, 600ms, 1s);
  EXPECT_FALSE(Goes(7, 900ms, 1900ms));
  EXPECT_TRUE(Goes(7, 1200ms, 2s));
}

// A rack or a zone dies: all at once, with the requests that they had.
TEST_F(CrashEvidenceTest, SimultaneousCrashesCountOnce)
{
  Crash(kTarget1, { 7 }, 1s);
  Crash(kTarget2, { 7 }, 1020ms);
  Crash(kTarget3, { 7 }, 1040ms);
  Crash(kTarget4, { 7 }, 1090ms);
  EXPECT_TRUE(Causes(4s).empty());
}

// A zone dies again and again, and a session loses its only request each time.
TEST_F(CrashEvidenceTest, CrashesOfAZoneAreHeldAgainstNoPart)
{
  for (int round = 0; round < 5; ++round) {
    const auto at = 1s + round * 1s;
    Crash(kTarget1, { 7 }, at);
    for (int other = 0; other < CrashEvidence::kCommonCauseCrashes; ++other) {
      const auto part = static_cast<std::uint64_t>(100 + 10 * round + other);
      Crash(TargetId{ 10 + other }, { part }, at + 10ms);
    }
  }
  EXPECT_TRUE(Causes(9s).empty());
}

TEST_F(CrashEvidenceTest, LostConnectionsAloneNeedMoreEvidence)
{
  for (int i = 0; i < LateTally::kAlikeCrashes; ++i) {
    EXPECT_TRUE(Causes(9s).empty()) << i;
    evidence_.AddLoss(TargetId{ i }, { 7 }, std::nullopt, 1s + i * 1s);
  }
  EXPECT_EQ(Causes(9s), (std::vector<PartIds>{ { 7 } }));
}

TEST_F(CrashEvidenceTest, RefusedConnectionKnownBeforeTheLossConfirmsIt)
{
  for (int i = 0; i < CrashTally::kConfirmedCrashes; ++i) {
    evidence_.AddDown(TargetId{ i }, 1200ms + i * 1s);
    evidence_.AddLoss(TargetId{ i }, { 7 }, std::nullopt, 1s + i * 1s);
  }
  EXPECT_EQ(Causes(9s).size(), 1U);
}

TEST_F(CrashEvidenceTest, TwoCausesAreBothFound)
{
  Crash(kTarget1, { 1, 7 }, 1s);
  Crash(kTarget2, { 1, 8 }, 2s);
  Crash(kTarget3, { 2, 7 }, 3s);
  Crash(kTarget4, { 2, 8 }, 4s);
  Whole(1, 4500ms);
  Whole(2, 4500ms);
  Crash(kTarget1, { 1, 7 }, 5s);
  Crash(kTarget2, { 1, 8 }, 6s);
  EXPECT_EQ(Causes(9s), (std::vector<PartIds>{ { 7 }, { 8 } }));
}

// A second part crashed targets that also ran requests with a part known to
// crash targets. These crashes were put down to the known part alone, so the
// second one lacked evidence.
TEST_F(CrashEvidenceTest, KnownCauseExplainsNoCrashBeforeItsUsualAge)
{
  for (int i = 0; i < LateTally::kSameCrashes; ++i) {
    CrashIn(TargetId{ i }, { 7 }, 300ms, 1s + i * 1s);
  }
  const auto known = Causes(9s);
  EXPECT_EQ(known, (std::vector<PartIds>{ { 7 } }));
  for (int i = 0; i < LateTally::kSameCrashes; ++i) {
    const TargetId target{ 10 + i };
    CrashIn(target, { 7 }, 100ms, 11s + i * 1s);
    CrashIn(target, { 8 }, 300ms, 11s + i * 1s);
  }
  EXPECT_EQ(Causes(19s, known), (std::vector<PartIds>{ { 8 } }));
}

TEST_F(CrashEvidenceTest, KnownCauseExplainsTheCrashesOfItsVictims)
{
  const std::vector<Duration> ages{ 900ms, 500ms, 700ms, 300ms, 200ms };
  for (std::size_t i = 0; i < ages.size(); ++i) {
    const TargetId target{ static_cast<std::int32_t>(i) };
    CrashIn(target, { 7 }, 300ms, 1s + i * 1s);
    CrashIn(target, { 9 }, ages[i], 1s + i * 1s);
  }
  const auto known = Causes(9s);
  EXPECT_EQ(known, (std::vector<PartIds>{ { 7 } }));
  EXPECT_TRUE(Causes(9s, known).empty());
}

// Parts that always came together are one cause until a request has only one.
TEST_F(CrashEvidenceTest, PartsThatCameTogetherAreToldApartByTheNextCrash)
{
  Crash(kTarget1, { 7, 8 }, 1s);
  Crash(kTarget2, { 7, 8 }, 2s);
  Crash(kTarget3, { 7, 8 }, 3s);
  const auto together = Causes(4s);
  EXPECT_EQ(together, (std::vector<PartIds>{ { 7, 8 } }));
  EXPECT_TRUE(Causes(4s, together).empty());
  Crash(kTarget4, { 7 }, 5s);
  EXPECT_EQ(Causes(6s, together), (std::vector<PartIds>{ { 7 } }));
}

TEST_F(CrashEvidenceTest, SecondCrashMakesThePartSuspicious)
{
  Crash(kTarget1, { 7 }, 1s);
  EXPECT_FALSE(evidence_.IsSuspicious({ 7 }));
  Crash(kTarget2, { 7 }, 2s);
  EXPECT_TRUE(evidence_.IsSuspicious({ 6, 7 }));
  Whole(7, 3s);
  EXPECT_FALSE(evidence_.IsSuspicious({ 7 }));
}

// A resumable stream that crashes took with them is not given up for it.
TEST_F(CrashEvidenceTest, CrashesWithinAnswersMakeNoPartSuspicious)
{
  CrashIn(kTarget1, { 7 }, 10ms, 1s);
  CrashIn(kTarget2, { 7 }, 10ms, 2s);
  EXPECT_FALSE(evidence_.IsSuspicious({ 7 }));
}

// A flood of new parts while a whole fleet of targets crashes.
TEST_F(CrashEvidenceTest, EvidenceIsBounded)
{
  std::uint64_t part = 0;
  for (int crash = 0; crash < 1000; ++crash) {
    for (int request = 0; request < 100; ++request) {
      part += 4;
      evidence_.AddLoss(TargetId{ crash }, { part, part + 1, part + 2 },
                        std::nullopt, 1s + crash * 200ms);
    }
  }
  EXPECT_EQ(evidence_.CrashCount(), CrashEvidence::kMaxCrashes);
  EXPECT_TRUE(Causes(1000s).empty());
  evidence_.Tick(1000s + CrashEvidence::kLifetime);
  EXPECT_EQ(evidence_.CrashCount(), 0U);
}

} // namespace
} // namespace burdockring
