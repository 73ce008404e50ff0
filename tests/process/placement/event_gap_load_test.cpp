#include "support/gap_load.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

/// Sums the replays of a load with a few seeds.
auto ReplaySeeds(GapLoad aLoad, GapMethod aMethod) -> GapLoadResult
{
  constexpr std::uint32_t kSeeds = 3;
  aLoad.method_ = aMethod;
  GapLoadResult sum;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    aLoad.seed_ = seed;
    const auto result = ReplayGapLoad(aLoad);
    sum.arrived_ += result.arrived_;
    sum.rejected_ += result.rejected_;
    sum.ran_ += result.ran_;
    sum.lateFirstEvents_ += result.lateFirstEvents_;
    sum.streams_ += result.streams_;
    sum.streamsOverLimit_ += result.streamsOverLimit_;
    sum.promptsOverLimit_ += result.promptsOverLimit_;
    sum.tokensRead_ += result.tokensRead_;
  }
  return sum;
}

/// Share of long streams over their limit that the objective allows.
constexpr double kAllowedShare = 0.05;

// Load pattern: prompts of 12,000 tokens, half cached, keep arriving beside
// long streams with a limit of 300 ms. Without pacing, prompts that follow each
// other make an engine read without a break, and all its streams are late.
TEST(EventGapLoadTest, FewStreamsExceedTheirLimitBesideLongPrompts)
{
  GapLoad load;
  load.promptsPerSecond_ = 115;
  const auto present = ReplaySeeds(load, GapMethod::kPresent);
  const auto paced = ReplaySeeds(load, GapMethod::kPaced);
  SCOPED_TRACE("present " + present.ToText() + "\npaced " + paced.ToText());
  // The load is one that the present choice fails, as that of the deployment.
  EXPECT_GT(present.OverLimitShare(), 4 * kAllowedShare);
  EXPECT_LT(paced.OverLimitShare(), kAllowedShare);
  EXPECT_LE(paced.rejected_, present.rejected_);
  EXPECT_LE(paced.lateFirstEvents_, present.lateFirstEvents_);
}

// Other ways to the same objective. Separate engines meet it for the streams,
// but the long prompts then run into each other, and each response to one has a
// gap too; and what the separate engines can't take is rejected.
TEST(EventGapLoadTest, SeparateEnginesCostRejectionsAndOtherGaps)
{
  GapLoad load;
  load.promptsPerSecond_ = 110;
  load.promptEngines_ = 9;
  const auto paced = ReplaySeeds(load, GapMethod::kPaced);
  const auto separate = ReplaySeeds(load, GapMethod::kSeparateEngines);
  const auto avoid = ReplaySeeds(load, GapMethod::kStreamsAvoidReaders);
  SCOPED_TRACE("paced " + paced.ToText() + "\nseparate " + separate.ToText() +
               "\navoid " + avoid.ToText());
  EXPECT_LT(separate.OverLimitShare(), kAllowedShare);
  EXPECT_GT(separate.rejected_, paced.rejected_);
  EXPECT_GT(separate.promptsOverLimit_ + separate.streamsOverLimit_,
            paced.promptsOverLimit_ + paced.streamsOverLimit_);
  EXPECT_GT(avoid.OverLimitShare(), kAllowedShare);
}

// Failure: prompts exceed what engines can read within the limit. They must be
// served as before, late for the streams, and not be rejected.
TEST(EventGapLoadTest, OverloadIsNotRejectedForTheLimit)
{
  GapLoad load;
  load.promptsPerSecond_ = 130;
  load.length_ = 20s;
  const auto present = ReplaySeeds(load, GapMethod::kPresent);
  const auto paced = ReplaySeeds(load, GapMethod::kPaced);
  SCOPED_TRACE("present " + present.ToText() + "\npaced " + paced.ToText());
  EXPECT_LE(paced.rejected_, present.rejected_);
  EXPECT_LE(paced.OverLimitShare(), present.OverLimitShare());
}

// Failure: engines that are too slow for the limit at any load. Pacing can't
// help and must not cost anything.
TEST(EventGapLoadTest, EnginesTooSlowForTheLimitAreNotPaced)
{
  GapLoad load;
  load.figures_.baseStep_ = 40ms;
  load.promptsPerSecond_ = 20;
  load.streamsPerSecond_ = 8;
  load.length_ = 20s;
  const auto present = ReplaySeeds(load, GapMethod::kPresent);
  const auto paced = ReplaySeeds(load, GapMethod::kPaced);
  SCOPED_TRACE("present " + present.ToText() + "\npaced " + paced.ToText());
  EXPECT_LE(paced.rejected_, present.rejected_);
}

// Engines of another speed, chunk and event length, without any setting.
TEST(EventGapLoadTest, LearnsTheFiguresOfOtherEngines)
{
  GapLoad load;
  load.figures_ = { 6ms, 100us, 40, 1024, 8 };
  load.promptsPerSecond_ = 60;
  load.promptTokens_ = 4000;
  load.sharedTokens_ = 2000;
  load.streamsPerSecond_ = 20;
  load.streamPrompt_ = 300;
  load.limit_ = 230ms;
  const auto present = ReplaySeeds(load, GapMethod::kPresent);
  const auto paced = ReplaySeeds(load, GapMethod::kPaced);
  SCOPED_TRACE("present " + present.ToText() + "\npaced " + paced.ToText());
  EXPECT_GT(present.OverLimitShare(), kAllowedShare);
  EXPECT_LT(paced.OverLimitShare(), kAllowedShare);
  EXPECT_LE(paced.rejected_, present.rejected_);
}

// Load pattern: the same with 3 leads, which learn of each other's prompts
// after 16 ms. What another lead sent a moment ago is not known, so that the
// objective of few streams over the limit is not reached.
TEST(EventGapLoadTest, LeadsWithStaleReportsHalveTheStreamsOverTheLimit)
{
  GapLoad load;
  load.leads_ = 3;
  load.reportDelay_ = 16ms;
  load.promptsPerSecond_ = 110;
  const auto present = ReplaySeeds(load, GapMethod::kPresent);
  const auto paced = ReplaySeeds(load, GapMethod::kPaced);
  SCOPED_TRACE("present " + present.ToText() + "\npaced " + paced.ToText());
  EXPECT_LT(paced.OverLimitShare(), present.OverLimitShare() / 2);
  EXPECT_LE(paced.rejected_, present.rejected_);
}

} // namespace
} // namespace burdockring
