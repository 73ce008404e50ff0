#include "process/admission/retry_budget_share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace burdockring {
namespace {

TEST(RetryBudgetShare, SlackIsDividedAmongTheRouters)
{
  RetryBudgetShare budget;
  const RetryBudgetLimits bounds{ 0.2, 56, 10s };
  int spent = 0;
  while (budget.TrySpend(bounds, 8, 1s)) {
    ++spent;
  }
  EXPECT_EQ(spent, 5);
}

TEST(RetryBudgetShare, RefillsAfterTheWindow)
{
  RetryBudgetShare budget;
  const RetryBudgetLimits bounds{ 0.0, 4, 10s };
  while (budget.TrySpend(bounds, 1, 1s)) {
  }
  EXPECT_FALSE(budget.TrySpend(bounds, 1, 10s));
  EXPECT_TRUE(budget.TrySpend(bounds, 1, 13s));
}

/// Checks the fleet's bound for one router over every span of the window's
/// length: retries <= ratio * requests in the span or in the one before +
/// slack.
RC_GTEST_PROP(RetryBudgetShare, StaysWithinTheBudgetInEveryWindow, ())
{
  const RetryBudgetLimits bounds{ 0.2, 10, 10s };
  RetryBudgetShare budget;
  std::vector<Instant> requests;
  std::vector<Instant> retries;
  Instant now = 1s;
  const auto steps =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
  for (const auto step : steps) {
    now += Duration(step * 1000);
    if (step % 3 != 0) {
      budget.CountRequest(now);
      requests.push_back(now);
    }
    if (budget.TrySpend(bounds, 1, now)) {
      retries.push_back(now);
    }
  }
  const auto count = [](const std::vector<Instant>& aTimes, Instant aFrom,
                        Instant aTo) {
    return std::count_if(aTimes.begin(), aTimes.end(), [&](Instant aAt) {
      return aAt > aFrom && aAt <= aTo;
    });
  };
  for (const auto end : retries) {
    const auto spent = count(retries, end - bounds.window_, end);
    const auto requested =
      std::max(count(requests, end - bounds.window_, end),
               count(requests, end - 2 * bounds.window_, end - bounds.window_));
    RC_ASSERT(static_cast<double>(spent) <=
              bounds.ratio_ * static_cast<double>(requested) + bounds.slack_);
  }
}

} // namespace
} // namespace burdockring
