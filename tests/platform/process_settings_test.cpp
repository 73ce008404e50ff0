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

// Targets that register less often expire only in a longer outage.
TEST(ProcessSettings, ExpiringOutageFollowsTheHeartbeat)
{
  const auto outage = [](const std::string& aField) {
    auto text = kSettings;
    text.insert(1, aField);
    FindingList findings;
    const auto settings = ReadProcessSettings(text, "f", &findings);
    return settings ? settings->forwarding_.minExpiringOutage_ : Duration(0);
  };
  EXPECT_EQ(outage(""), Duration(1800ms));
  EXPECT_EQ(outage(R"("heartbeatMs":4000,)"), Duration(6s));
  EXPECT_EQ(outage(R"("heartbeatMs":"often",)"), Duration(0));
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

TEST(ProcessSettings, BufferFollowsTheMemoryUnlessItIsSet)
{
  const auto bufferMb = [](const std::string& aLimits) {
    auto text = kSettings;
    text.insert(1, R"("limits":)" + aLimits + ",");
    FindingList findings;
    const auto settings = ReadProcessSettings(text, "f", &findings);
    return settings ? settings->bufferBytes_ >> 20U : 0;
  };
  EXPECT_EQ(bufferMb("{}"), 40U);
  EXPECT_EQ(bufferMb(R"({"memoryMb":120})"), 40U);
  EXPECT_EQ(bufferMb(R"({"memoryMb":512})"), 236U);
  EXPECT_EQ(bufferMb(R"({"memoryMb":30})"), 16U);
  EXPECT_EQ(bufferMb(R"({"memoryMb":512,"bufferMb":20})"), 20U);
  EXPECT_EQ(bufferMb(R"({"bufferMb":0.5})"), 0U) << "below the least value";
  EXPECT_EQ(bufferMb(R"({"memoryMb":1e300})"), 499'980U);
}

// Guards against callers that take the descriptors which targets need.
TEST(ProcessSettings, PlacesForCallersFollowTheDescriptors)
{
  const auto maxCallers = [](const std::string& aLimits) -> std::size_t {
    auto text = kSettings;
    text.insert(1, R"("limits":)" + aLimits + ",");
    FindingList findings;
    const auto settings = ReadProcessSettings(text, "f", &findings);
    return settings ? settings->maxCallers_ : 0;
  };
  EXPECT_EQ(maxCallers("{}"), 3300U);
  EXPECT_EQ(maxCallers(R"({"maxFds":4100})"), 3300U);
  EXPECT_EQ(maxCallers(R"({"maxFds":10250})"), 3300U);
  EXPECT_EQ(maxCallers(R"({"maxFds":3075})"), 2275U);
  EXPECT_EQ(maxCallers(R"({"maxFds":400})"), 200U);
  EXPECT_EQ(maxCallers(R"({"maxFds":1})"), 0U) << "below the least value";
}

TEST(ProcessSettings, NoJsonIsAFinding)
{
  FindingList findings;
  EXPECT_FALSE(ReadProcessSettings("nonsense", "f", &findings));
  EXPECT_TRUE(findings.HasErrors());
}

} // namespace
} // namespace burdockring
