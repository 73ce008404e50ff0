#include "platform/standin/standin_records.h"
#include "platform/standin/store_standin.h"
#include "support/context_runner.h"
#include "support/forwarding_fixture.h"
#include "support/recording_sink.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace burdockring {
namespace {

using testing::NiceMock;

constexpr std::uint16_t kStorePort = 24181;
const std::string kOperator(kStandinConfigurationTopic);
const std::string kTargets(kStandinTargetTopic);
const std::string kRouters(kStandinRouterTopic);

/// A router that starts when its lists take several pages of the store.
class NewestPagesTest
  : public testing::Test
  , protected ContextRunner
{
protected:
  static constexpr std::size_t kPageRecords = 3;

  StoreStandin store_{ kStorePort };
  NiceMock<MockEventLog> log_;
  RecordingSink sink_;
  std::unique_ptr<StoreSource> source_;

  auto SetUp() -> void override
  {
    store_.SetMaxPageRecords(kPageRecords);
    store_.Put(kOperator, EncodeStandinConfiguration({}));
  }

  auto Start() -> void
  {
    source_ = std::make_unique<StoreSource>(
      &context_, MakeSourceSettings(kStorePort), &sink_, &log_);
    source_->Start();
  }

  auto PutTarget(const std::string& aName) -> void
  {
    store_.Put(kTargets, EncodeStandinTarget({ aName, "z", 24199 }));
  }

  /// Puts targets t-000, t-001 and so on.
  auto PutTargets(int aCount) -> void
  {
    for (int i = 0; i < aCount; ++i) {
      PutTarget(fmt::format("t-{:03}", i));
    }
  }

  auto HasTargets(std::size_t aCount) -> bool
  {
    return sink_.targets_.size() == aCount;
  }
};

struct OddName
{
  const char* label_;
  std::string name_;
};

auto operator<<(std::ostream& aStream, const OddName& aName) -> std::ostream&
{
  return aStream << aName.label_;
}

class OddNamesTest
  : public NewestPagesTest
  , public testing::WithParamInterface<OddName>
{
};

// Guards against names that other writers chose and that, in a call's query,
// break the call or change its meaning: a started router read no list, or the
// same page for ever.
TEST_P(OddNamesTest, HideNoTargets)
{
  constexpr int kNames = 10;
  constexpr int kMaxPages = 30;
  PutTarget("a-first");
  for (int i = 0; i < kNames; ++i) {
    store_.Put(kTargets, { fmt::format("{}{:02}", GetParam().name_, i), "{}" });
    // Behind another name of the kind, so that a page may end with any.
    store_.Put(kTargets, { fmt::format("{:02}{}", i, GetParam().name_), "{}" });
  }
  PutTarget("m-middle");
  PutTarget("~last");
  Start();
  EXPECT_TRUE(RunUntil([&] { return HasTargets(3); }));
  EXPECT_LE(store_.PageCalls(kTargets), kMaxPages);
}

INSTANTIATE_TEST_SUITE_P(
  Names,
  OddNamesTest,
  testing::Values(OddName{ "Space", "lab stand " },
                  OddName{ "Ampersand", "k&l" },
                  OddName{ "Parameter", "k&after=a" },
                  OddName{ "Number", "k#l" },
                  OddName{ "Plus", "k+l" },
                  OddName{ "Escape", "k%41" },
                  OddName{ "Percent", "k%" },
                  OddName{ "LineEnd", "k\r\nHost: other\r\n\r\n" },
                  OddName{ "Nul", std::string("k\0l", 3) },
                  OddName{ "Text", "k\u00e9\u4e2d" },
                  OddName{ "LowByte", "k\x80" },
                  OddName{ "Long", std::string(250, '%') }),
  [](const testing::TestParamInfo<OddName>& aInfo) {
    return aInfo.param.label_;
  });

} // namespace
} // namespace burdockring
