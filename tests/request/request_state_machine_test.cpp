#include "request/request_state_machine.h"

#include "request/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace burdockring {
namespace {

auto MakeEvent(int aNumber) -> RequestEvent
{
  switch (aNumber) {
    case 0:
      return ClaimAcquired{};
    case 1:
      return AttemptStarted{};
    case 2:
      return BytesSent{};
    case 3:
      return RejectedBeforeRun{};
    case 4:
      return AttemptInterrupted{};
    case 5:
      return EndMarkerReceived{};
    case 6:
      return GivenUp{};
    default:
      return CallerDisconnected{};
  }
}

TEST(RequestStateMachine, CompleteResponseNeedsTheEndMarker)
{
  RequestStateMachine machine;
  EXPECT_EQ(machine.State(), RequestState::kClaiming);
  EXPECT_TRUE(machine.Process(ClaimAcquired{}));
  EXPECT_FALSE(machine.Process(EndMarkerReceived{}));
  EXPECT_TRUE(machine.Process(AttemptStarted{}));
  EXPECT_TRUE(machine.Process(BytesSent{}));
  EXPECT_TRUE(machine.Process(EndMarkerReceived{}));
  EXPECT_EQ(machine.State(), RequestState::kWhole);
  EXPECT_TRUE(machine.IsFinal());
}

TEST(RequestStateMachine, InterruptedAfterSendingIsUnknown)
{
  RequestStateMachine machine;
  machine.Process(ClaimAcquired{});
  machine.Process(AttemptStarted{});
  machine.Process(BytesSent{});
  machine.Process(AttemptInterrupted{});
  EXPECT_EQ(machine.GiveUpState(), RunState::kUnknown);
  machine.Process(GivenUp{});
  EXPECT_EQ(machine.State(), RequestState::kUnknown);
}

/// The oracle counts the sends that were not undone by a rejection.
TEST(RequestStateMachine, NeverReportsNotRunIfTheRequestMayHaveRun)
{
  EXPECT_TRUE(rc::check("walk", [] {
    RequestStateMachine machine;
    int unrefusedSends = 0;
    const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    for (const auto step : steps) {
      const bool accepted = machine.Process(MakeEvent(step));
      unrefusedSends += accepted && step == 2 ? 1 : 0;
      unrefusedSends -= accepted && step == 3 ? 1 : 0;
      if (machine.State() == RequestState::kNotRun) {
        RC_ASSERT(unrefusedSends == 0);
      }
      if (!machine.IsFinal()) {
        RC_ASSERT((machine.GiveUpState() == RunState::kNotRun) ==
                  (unrefusedSends == 0));
      } else {
        RC_ASSERT(!machine.Process(ClaimAcquired{}));
      }
    }
  }));
}

TEST(RetryBudget, LimitsRetriesToATenthOfFirstAttempts)
{
  RetryBudget budget;
  while (budget.TrySpend()) {
  }
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.CountRequest();
    retries += budget.TrySpend() ? 1 : 0;
  }
  EXPECT_LE(retries, 100);
  EXPECT_GE(retries, 99);
}

} // namespace
} // namespace burdockring
