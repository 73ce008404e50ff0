#include "version/log_record.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace burdockring {
namespace {

TEST(LogRecord, RoundTripsEveryKind)
{
  const AttemptId attempt{ RouterId{ -5 }, 7, 9 };
  const std::vector<LogRecord> records{
    ConfigChange{ "id", 3, "op", "text \n\"quoted\"" },
    ConfigSnapshot{ 4, 17, "id", "text" },
    ClaimRecord{ "1:key", attempt, 123 },
    OutcomeRecord{ "1:key", attempt, OutcomeKind::kDone, 201, "body" },
    LeaseRecord{ "resource", attempt, 5s },
  };
  const auto decoded = DecodeRecords(EncodeRecords(records));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  ASSERT_EQ(decoded->size(), records.size());
  EXPECT_EQ(std::get<ConfigChange>((*decoded)[0]).text_, "text \n\"quoted\"");
  EXPECT_EQ(std::get<ConfigSnapshot>((*decoded)[1]).decidedTo_, 17);
  EXPECT_EQ(std::get<ClaimRecord>((*decoded)[2]).attempt_, attempt);
  EXPECT_EQ(std::get<OutcomeRecord>((*decoded)[3]).status_, 201);
  EXPECT_EQ(std::get<LeaseRecord>((*decoded)[4]).length_, 5s);
}

TEST(LogRecord, MalformedPayloadIsAnErrorAndNeverCrashes)
{
  EXPECT_FALSE(DecodeRecords("").ok());
  EXPECT_FALSE(DecodeRecords("{}").ok());
  EXPECT_FALSE(DecodeRecords("[{\"type\":\"claim\"}]").ok());
  EXPECT_FALSE(DecodeRecords("[{\"type\":\"change\",\"id\":7}]").ok());
  EXPECT_TRUE(rc::check(
    "garbage", [](const std::string& aBytes) { (void)DecodeRecords(aBytes); }));
}

TEST(LogRecord, ChangeIdDependsOnTextAndBase)
{
  EXPECT_EQ(MakeChangeId(1, "a"), MakeChangeId(1, "a"));
  EXPECT_NE(MakeChangeId(1, "a"), MakeChangeId(2, "a"));
  EXPECT_NE(MakeChangeId(1, "a"), MakeChangeId(1, "b"));
}

} // namespace
} // namespace burdockring
