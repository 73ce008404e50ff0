#include "process/sharing/fair_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace burdockring {
namespace {

const AccountId kAccount1{ 1 };
const AccountId kAccount2{ 2 };

auto MakeRequest(RequestId aId, Instant aSince, RequestClass aClass)
  -> WaitingRequest
{
  return { aId, aClass, aSince, aSince + 60s };
}

TEST(FairQueue, InteractiveIsPoppedBeforeBatch)
{
  FairQueue queue;
  queue.Push(kAccount1, MakeRequest(1, 0s, RequestClass::kBatch));
  queue.Push(kAccount1, MakeRequest(2, 1s, RequestClass::kInteractive));
  EXPECT_EQ(queue.Pop(kAccount1, 2s)->id_, 2U);
  EXPECT_EQ(queue.Pop(kAccount1, 2s)->id_, 1U);
  EXPECT_FALSE(queue.Pop(kAccount1, 2s));
}

TEST(FairQueue, LongWaitingBatchRequestIsNotStarved)
{
  FairQueue queue;
  queue.Push(kAccount1, MakeRequest(1, 0s, RequestClass::kBatch));
  queue.Push(kAccount1, MakeRequest(2, 1s, RequestClass::kInteractive));
  EXPECT_EQ(queue.Pop(kAccount1, 11s)->id_, 1U);
}

TEST(FairQueue, ExpiresByDeadline)
{
  FairQueue queue;
  queue.Push(kAccount1, MakeRequest(1, 0s, RequestClass::kBatch));
  queue.Push(kAccount2, MakeRequest(2, 30s, RequestClass::kBatch));
  EXPECT_EQ(queue.PopExpired(60s), std::vector<RequestId>{ 1 });
  EXPECT_EQ(queue.Waiting(kAccount1), 0);
  EXPECT_EQ(queue.Waiting(kAccount2), 1);
}

TEST(FairQueue, CountsMatchAReferenceModel)
{
  EXPECT_TRUE(rc::check("counts", [] {
    FairQueue queue;
    std::map<RequestId, AccountId> expected;
    RequestId next = 1;
    const int steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
      const AccountId account{ *rc::gen::inRange(0, 3) };
      const auto now = Instant(std::chrono::seconds(i));
      if (*rc::gen::inRange(0, 2) == 0) {
        queue.Push(account, MakeRequest(next, now, RequestClass::kInteractive));
        expected[next++] = account;
      } else if (const auto popped = queue.Pop(account, now)) {
        RC_ASSERT(expected.at(popped->id_) == account);
        expected.erase(popped->id_);
      } else {
        RC_ASSERT(queue.Waiting(account) == 0);
      }
      RC_ASSERT(queue.Size() == static_cast<int>(expected.size()));
    }
  }));
}

} // namespace
} // namespace burdockring
