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
                  OddName{ "HighByte", "k\xff" },
                  OddName{ "Long", std::string(250, '%') }),
  [](const testing::TestParamInfo<OddName>& aInfo) {
    return aInfo.param.label_;
  });

// Guards against a read that never ends, and fills the memory, since the store
// doesn't go on behind the key that it was given.
TEST_F(NewestPagesTest, PagesThatRepeatEndTheRead)
{
  constexpr int kMaxPages = 20;
  PutTargets(10);
  store_.SetPageFault(PageFault::kIgnoresKeys);
  Start();
  EXPECT_TRUE(RunUntil([&] { return HasTargets(kPageRecords); }));
  context_.run_for(std::chrono::seconds(1));
  EXPECT_LE(store_.PageCalls(kTargets), kMaxPages);
}

// Guards against a part of a list that is taken for all of it.
TEST_F(NewestPagesTest, PageWithoutRecordsIsNotTheEnd)
{
  PutTargets(10);
  store_.SetPageFault(PageFault::kSendsNothing);
  EXPECT_CALL(log_, Write(testing::_, testing::_)).Times(testing::AnyNumber());
  EXPECT_CALL(log_, Write(testing::Eq("list_incomplete"), testing::_))
    .Times(testing::AtLeast(1));
  Start();
  EXPECT_TRUE(RunUntil([&] { return HasTargets(kPageRecords); }));
  store_.SetPageFault(PageFault::kNone);
  EXPECT_TRUE(RunUntil([&] { return HasTargets(10); }));
}

// Guards against a lost page that throws away those before it: with many pages
// a list is never read whole then.
TEST_F(NewestPagesTest, LostPageIsReadAgainAlone)
{
  constexpr int kPages = 24;
  constexpr int kMaxPages = 2 * kPages;
  PutTargets(kPages * static_cast<int>(kPageRecords));
  store_.SetPageFault(PageFault::kFailsAtTimes);
  Start();
  EXPECT_TRUE(RunUntil([&] { return HasTargets(kPages * kPageRecords); }));
  EXPECT_LE(store_.PageCalls(kTargets), kMaxPages);
  // Pages that come between end the back-off.
  EXPECT_EQ(sink_.mostFailuresInARow_, 1);
}

class UnreadRestTest
  : public NewestPagesTest
  , public testing::WithParamInterface<PageFault>
{
};

// Guards against a router that serves nobody, although it knows targets, since
// the rest of their list can't be read; and against one that keeps such targets
// when they are gone.
TEST_P(UnreadRestTest, LeavesTheTargetsThatWereRead)
{
  PutTargets(10);
  store_.SetPageFault(GetParam());
  Start();
  EXPECT_TRUE(RunUntil([&] { return HasTargets(kPageRecords); }));
  store_.Put(kTargets, { "t-001", std::nullopt });
  // A target writes its entry again and again.
  PutTarget("t-007");
  EXPECT_TRUE(RunUntil([&] {
    return sink_.targets_ == std::set<std::string>{ "t-000", "t-002", "t-007" };
  }));
}

// Guards against a configuration that is trusted without the records that were
// not read, such as a zone's drain.
TEST_P(UnreadRestTest, LeavesTheConfigurationUnconfirmed)
{
  for (const auto* zone : { "z1", "z2", "z3", "z4" }) {
    store_.Put(kOperator, EncodeStandinZoneDrain(zone, true));
  }
  store_.SetPageFault(GetParam());
  Start();
  context_.run_for(std::chrono::seconds(2));
  EXPECT_EQ(sink_.confirmed_, 0);
  store_.SetPageFault(PageFault::kNone);
  EXPECT_TRUE(
    RunUntil([&] { return sink_.confirmed_ > 0 && sink_.drains_["z4"]; }));
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         UnreadRestTest,
                         testing::Values(PageFault::kRejectsKeys,
                                         PageFault::kFails,
                                         PageFault::kIgnoresKeys,
                                         PageFault::kSendsNothing),
                         [](const testing::TestParamInfo<PageFault>& aInfo)
                           -> std::string {
                           switch (aInfo.param) {
                             case PageFault::kRejectsKeys:
                               return "Rejected";
                             case PageFault::kFails:
                               return "Failed";
                             case PageFault::kIgnoresKeys:
                               return "Repeated";
                             default:
                               return "Empty";
                           }
                         });

} // namespace
} // namespace burdockring
