#include "main/settings.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

constexpr auto kGood = R"(name: r1
zone: z1
callers: 127.0.0.1:8001
operators: 127.0.0.1:8002
peer_listener: 127.0.0.1:8003
log: 127.0.0.1:8004
limits: {body_bytes: 100}
peers:
  - {name: r2, zone: z2, address: "127.0.0.1:9003"}
)";

TEST(Settings, ReadsGoodFile)
{
  FindingList findings;
  const auto settings = ReadSettings(kGood, "good", &findings);
  ASSERT_TRUE(settings) << findings.ToText();
  EXPECT_EQ(settings->callers_.port_, 8001);
  EXPECT_EQ(settings->callerLimits_.bodyBytes_, 100U);
  EXPECT_EQ(settings->peerList_.size(), 1U);
  EXPECT_FALSE(settings->vmList_);
}

TEST(Settings, ReportsEveryMistakeWithItsPlace)
{
  FindingList findings;
  EXPECT_FALSE(ReadSettings("name: r1\n"
                            "zone: [z]\n"
                            "callers: nowhere\n"
                            "colour: red\n"
                            "traffic_threads: 1000\n"
                            "log_level: chatty\n"
                            "sharing: 7\n"
                            "claims: {timeout_ms: soon, extra: 1}\n",
                            "bad", &findings));
  std::set<int> lines;
  for (const auto& finding : findings.Findings()) {
    EXPECT_EQ(finding.location_.file_, "bad");
    lines.insert(finding.location_.line_);
  }
  EXPECT_EQ(lines, (std::set<int>{ 1, 2, 3, 4, 5, 6, 7, 8 }))
    << findings.ToText();
}

} // namespace
} // namespace burdockring
