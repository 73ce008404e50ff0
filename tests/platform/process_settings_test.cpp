#include "platform/process_settings.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

const std::string kSettings = R"({"nodeName":"front-1","ip":"10.1.0.33",
 "zone":"z","bind":{"front":"10.1.0.33:8783","ready":"10.1.0.33:8780"},
 "internalPorts":[7400,7415],"unknown":{"x":1},
 "bounds":{"revokeMs":5000,"drainMs":2000,"budgetSlack":56,"coldOver":1.5,
 "coldSlack":5,"graceS":8},
 "platform":{"address":"10.200.1.7:8781"}})";

TEST(ProcessSettings, AreReadAndUnknownFieldsIgnored)
{
  FindingList findings;
  const auto settings = ReadProcessSettings(kSettings, "f", &findings);
  ASSERT_TRUE(settings) << findings.ToText();
  EXPECT_EQ(settings->self_.name_, "front-1");
  EXPECT_EQ(settings->callers_.port_, 8783);
  EXPECT_EQ(settings->metrics_.port_, 7401);
  EXPECT_EQ(settings->store_.address_.port_, 8781);
  EXPECT_EQ(settings->forwarding_.maxConfigAgeForKeys_, Duration(5s));
  EXPECT_DOUBLE_EQ(settings->forwarding_.retries_.slack_, 56);
  EXPECT_DOUBLE_EQ(settings->forwarding_.coldStarts_.burstFactor_, 1.5);
  EXPECT_DOUBLE_EQ(settings->forwarding_.coldStarts_.slack_, 5);
}

TEST(ProcessSettings, AllFindingsAreReportedTogether)
{
  FindingList findings;
  const auto settings = ReadProcessSettings(
    R"({"nodeName":7,"bind":{"front":"nowhere"},"bounds":{"graceS":-1}})", "f",
    &findings);
  EXPECT_FALSE(settings);
  EXPECT_GE(findings.ErrorCount(), 5U);
  EXPECT_NE(findings.ToText().find("/bounds/graceS"), std::string::npos);
}

TEST(ProcessSettings, NoJsonIsAFinding)
{
  FindingList findings;
  EXPECT_FALSE(ReadProcessSettings("nonsense", "f", &findings));
  EXPECT_TRUE(findings.HasErrors());
}

} // namespace
} // namespace burdockring
