#include "process/forwarding/crash_evidence.h"

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
    evidence_.AddLoss(aTarget, aParts, aAt);
    evidence_.AddDown(aTarget, aAt + 300ms);
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

TEST_F(CrashEvidenceTest, AnswerThatBeginsClearsItsParts)
{
  Crash(kTarget1, { 6, 7 }, 1s);
  Crash(kTarget2, { 6, 7 }, 2s);
  EXPECT_TRUE(evidence_.AddBegun(6, 2500ms));
  EXPECT_FALSE(evidence_.AddBegun(6, 2600ms));
  Crash(kTarget3, { 6, 7 }, 3s);
  EXPECT_EQ(Causes(4s), (std::vector<PartIds>{ { 7 } }));
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

TEST_F(CrashEvidenceTest, LostConnectionsAloneNeedMoreEvidence)
{
  for (int i = 0; i < CrashEvidence::kUnconfirmedCrashes; ++i) {
    EXPECT_TRUE(Causes(9s).empty()) << i;
    evidence_.AddLoss(TargetId{ i }, { 7 }, 1s + i * 1s);
  }
  EXPECT_EQ(Causes(9s), (std::vector<PartIds>{ { 7 } }));
}

TEST_F(CrashEvidenceTest, RefusedConnectionKnownBeforeTheLossConfirmsIt)
{
  for (int i = 0; i < CrashEvidence::kConfirmedCrashes; ++i) {
    evidence_.AddDown(TargetId{ i }, 1200ms + i * 1s);
    evidence_.AddLoss(TargetId{ i }, { 7 }, 1s + i * 1s);
  }
  EXPECT_EQ(Causes(9s).size(), 1U);
}

TEST_F(CrashEvidenceTest, TwoCausesAreBothFound)
{
  Crash(kTarget1, { 1, 7 }, 1s);
  Crash(kTarget2, { 1, 8 }, 2s);
  Crash(kTarget3, { 2, 7 }, 3s);
  Crash(kTarget4, { 2, 8 }, 4s);
  evidence_.AddBegun(1, 4500ms);
  evidence_.AddBegun(2, 4500ms);
  Crash(kTarget1, { 1, 7 }, 5s);
  Crash(kTarget2, { 1, 8 }, 6s);
  EXPECT_EQ(Causes(9s), (std::vector<PartIds>{ { 7 }, { 8 } }));
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
  evidence_.AddBegun(7, 3s);
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
                        1s + crash * 200ms);
    }
  }
  EXPECT_EQ(evidence_.CrashCount(), CrashEvidence::kMaxCrashes);
  EXPECT_TRUE(Causes(1000s).empty());
  evidence_.Tick(1000s + CrashEvidence::kLifetime);
  EXPECT_EQ(evidence_.CrashCount(), 0U);
}

} // namespace
} // namespace burdockring
