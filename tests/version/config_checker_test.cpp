#include "version/config_reader.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

constexpr auto kValid = R"(
zones: [{name: z1}]
client_accounts:
  - {name: a, token_sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa}
models: [{name: m}]
services: [{name: s, model: m}]
targets: [{name: t, service: s, zone: z1, address: "127.0.0.1:9000"}]
)";

constexpr auto kBad = R"(zones:
  - {name: z1}
  - {name: z1}
client_accounts:
  - {name: a, weight: heavy, token_sha256: nothex}
  - {name: b, wieght: 2, token_sha256: bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb}
  - {name: c, max_waiting: 0, token_sha256: bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb}
models:
  - {name: m, fallback: m}
services:
  - {name: s, model: other, kind: magic}
targets:
  - {name: t, service: s, zone: z9, address: nowhere}
  - {service: s, zone: z1, address: "127.0.0.1:9000"}
)";

auto HasCode(const FindingList& aFindings, FindingCode aCode, int aLine) -> bool
{
  for (const auto& finding : aFindings.Findings()) {
    if (finding.code_ == aCode && finding.location_.line_ == aLine) {
      return true;
    }
  }
  return false;
}

TEST(ConfigReader, ReadsGoodSet)
{
  FindingList findings;
  const auto set = ReadConfigSet({ { "good", kValid } }, &findings);
  ASSERT_NE(set, nullptr) << findings.ToText();
  EXPECT_EQ(set->accounts_.size(), 1U);
  EXPECT_NE(set->FindService("s"), nullptr);
  EXPECT_EQ(set->targets_.begin()->second.port_, 9000);
}

TEST(ConfigReader, ReportsEveryMistakeWithItsLocation)
{
  FindingList findings;
  EXPECT_EQ(ReadConfigSet({ { "bad", kBad } }, &findings), nullptr);
  EXPECT_TRUE(HasCode(findings, FindingCode::kDuplicateName, 3));
  EXPECT_TRUE(HasCode(findings, FindingCode::kWrongType, 5));
  EXPECT_TRUE(HasCode(findings, FindingCode::kBadToken, 5));
  EXPECT_TRUE(HasCode(findings, FindingCode::kUnknownKey, 6));
  EXPECT_TRUE(HasCode(findings, FindingCode::kOutOfRange, 7));
  EXPECT_TRUE(HasCode(findings, FindingCode::kDuplicateToken, 7));
  EXPECT_TRUE(HasCode(findings, FindingCode::kFallbackCycle, 9));
  EXPECT_TRUE(HasCode(findings, FindingCode::kUnknownReference, 11));
  EXPECT_TRUE(HasCode(findings, FindingCode::kOutOfRange, 11));
  EXPECT_TRUE(HasCode(findings, FindingCode::kUnknownReference, 13));
  EXPECT_TRUE(HasCode(findings, FindingCode::kBadAddress, 13));
  EXPECT_TRUE(HasCode(findings, FindingCode::kMissingKey, 14));
}

TEST(ConfigReader, ReportsMalformedYamlWithItsLocation)
{
  FindingList findings;
  EXPECT_EQ(ReadConfigSet({ { "broken", "zones: [\n  {name: }}" } }, &findings),
            nullptr);
  EXPECT_TRUE(findings.HasErrors());
  EXPECT_EQ(findings.Findings().front().location_.file_, "broken");
}

TEST(ConfigReader, JoinsSources)
{
  const std::vector<ConfigSource> sources{ { "one", "zones: [{name: z1}]\n" },
                                           { "two", "zones: [{name: z2}]\n" } };
  FindingList findings;
  const auto joined = JoinConfigSources(sources);
  const auto set = ReadConfigSet(
    { { "joined", joined }, { "rest", std::string(kValid).substr(20) } },
    &findings);
  ASSERT_NE(set, nullptr) << findings.ToText();
  EXPECT_EQ(set->zones_.size(), 2U);
}

} // namespace
} // namespace burdockring
