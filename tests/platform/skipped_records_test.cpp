#include "platform/skipped_records.h"

#include "support/forwarding_fixture.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

using testing::_;

// Guards against thousands of records of another writer whose lines displace
// all others of the log.
TEST(SkippedRecords, LogsEachKeyOnceAndFewInAPeriod)
{
  constexpr int kKeys = 10'000;
  constexpr auto kLimit = static_cast<int>(SkippedRecords::kMaxKeys);
  MockEventLog log;
  SkippedRecords skipped(&log);
  EXPECT_CALL(log, Write(testing::Eq("record_skipped"), _)).Times(kLimit);
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < kKeys; ++i) {
      skipped.Add("topic", "key " + std::to_string(i), "no object", 1s);
    }
  }
  EXPECT_EQ(skipped.Count(), 3 * kKeys);
  testing::Mock::VerifyAndClearExpectations(&log);
  EXPECT_CALL(log, Write(testing::Eq("record_skipped"), _)).Times(1);
  skipped.Add("topic", "key", "no object", 1s + SkippedRecords::kPeriod);
}

TEST(SkippedRecords, SameKeyOfTwoTopicsIsLoggedForEach)
{
  MockEventLog log;
  SkippedRecords skipped(&log);
  EXPECT_CALL(log, Write(_, _)).Times(2);
  for (const auto* topic : { "a", "b", "a" }) {
    skipped.Add(topic, "key", "no object", 1s);
  }
}

} // namespace
} // namespace burdockring
