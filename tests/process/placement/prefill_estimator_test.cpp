#include "process/placement/prefill_estimator.h"

#include <gtest/gtest.h>
#include <random>

namespace burdockring {
namespace {

constexpr Duration kFirstEventOverhead = 25ms;

/// Adds first events of an engine that prefills a token in aMs; a third of the
/// samples are outliers.
auto AddSamples(PrefillEstimator* aPace,
                double aMs,
                int aSamples,
                int aSeed = 1) -> void
{
  std::mt19937 random(static_cast<std::uint32_t>(aSeed));
  std::uniform_int_distribution<int> tokens(2000, 20'000);
  std::uniform_real_distribution<double> odds(0, 1);
  for (int i = 0; i < aSamples; ++i) {
    const int count = tokens(random);
    const double draw = odds(random);
    const double factor = draw < 0.17 ? 0.2 : draw < 0.33 ? 4.0 : 1.0;
    aPace->AddSample(count, kFirstEventOverhead +
                              std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double, std::milli>(
                                  count * aMs * factor)));
  }
}

TEST(PrefillEstimatorTest, StartsAtTheConfiguredRate)
{
  PrefillEstimator pace;
  pace.SetInitialRate(590'000, 18);
  EXPECT_NEAR(pace.MsPerToken(), 18.0 / 590.0, 1e-6);
}

// Load pattern: engines of any speed, whatever the configured rate.
TEST(PrefillEstimatorTest, ConvergesForAnyEngineSpeedDespiteOutliers)
{
  for (const double ms : { 0.005, 0.02, 0.1, 0.2 }) {
    PrefillEstimator pace;
    pace.SetInitialRate(500'000, 18);
    AddSamples(&pace, ms, 400);
    EXPECT_NEAR(pace.MsPerToken() / ms, 1.0, 0.25) << ms;
  }
}

// Load pattern: all engines of a service become four times as slow.
TEST(PrefillEstimatorTest, FollowsSpeedChange)
{
  PrefillEstimator pace;
  AddSamples(&pace, 0.02, 300);
  AddSamples(&pace, 0.08, 200, 2);
  EXPECT_NEAR(pace.MsPerToken() / 0.08, 1.0, 0.25);
}

TEST(PrefillEstimatorTest, KeepsLearnedCorrectionWhenTheInitialRateIsSetAgain)
{
  PrefillEstimator pace;
  pace.SetInitialRate(500'000, 10);
  AddSamples(&pace, 0.04, 300);
  const auto before = pace.MsPerToken();
  pace.SetInitialRate(500'000, 10);
  EXPECT_DOUBLE_EQ(pace.MsPerToken(), before);
}

TEST(PrefillEstimatorTest, ShortPrefillGivesNoTokenSample)
{
  PrefillEstimator pace;
  EXPECT_FALSE(pace.AddSample(100, 27ms));
  EXPECT_TRUE(pace.AddSample(20'000, 500ms));
}

// Load pattern: engines with long steps, and short prompts.
TEST(PrefillEstimatorTest, FindsTheFirstEventOverhead)
{
  for (const Duration first : { 5ms, 47ms, 190ms }) {
    PrefillEstimator pace;
    for (int i = 0; i < 300; ++i) {
      pace.AddSample(100, first + 2500us);
      pace.AddSample(10'000, first + 250ms);
    }
    EXPECT_NEAR(std::chrono::duration<double>(pace.FirstEventOverhead()) /
                  std::chrono::duration<double>(first),
                1.0, 0.15);
  }
}

} // namespace
} // namespace burdockring
