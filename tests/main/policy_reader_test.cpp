#include "main/policy_reader.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

auto Read(const std::string& aText, FindingList* aFindings)
  -> std::optional<ForwardingPolicy>
{
  return ReadPolicy(aText, "policy.yaml", aFindings);
}

TEST(PolicyReaderTest, LeavesOutWhatIsNamedAndKeepsTheRest)
{
  FindingList findings;
  const auto policy = Read("without: [copies, waiting]\n"
                           "engines: { owed_backlog: 0.5 }\n",
                           &findings);
  ASSERT_TRUE(policy) << findings.ToText();
  EXPECT_FALSE(policy->IsEnabled(Mechanism::kCacheCopies));
  EXPECT_FALSE(policy->IsEnabled(Mechanism::kQueueing));
  EXPECT_TRUE(policy->IsEnabled(Mechanism::kPreferredEngines));
  EXPECT_DOUBLE_EQ(policy->Engines().guaranteedBacklog_, 0.5);
  EXPECT_DOUBLE_EQ(policy->Engines().fairBacklog_, EngineLimits().fairBacklog_);
}

TEST(PolicyReaderTest, EveryMechanismHasANameOfItsOwn)
{
  for (std::size_t i = 0; i < kMechanismCount; ++i) {
    const auto mechanism = static_cast<Mechanism>(i);
    EXPECT_EQ(MechanismByName(MechanismName(mechanism)), mechanism);
  }
}

TEST(PolicyReaderTest, MistakesAreReportedTogetherWithTheirPlaces)
{
  FindingList findings;
  EXPECT_FALSE(Read("without: [copys]\n"
                    "engines: { owed_backlog: -1, far: 2 }\n",
                    &findings));
  const auto text = findings.ToText();
  EXPECT_EQ(findings.ErrorCount(), 3U) << text;
  EXPECT_NE(text.find("policy.yaml:1:11"), std::string::npos) << text;
}

} // namespace
} // namespace burdockring
