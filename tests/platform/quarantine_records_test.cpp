#include "platform/quarantine_records.h"

#include "platform/standin/store_standin.h"
#include "support/context_runner.h"
#include "support/forwarding_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace burdockring {
namespace {

using testing::_;
using testing::NiceMock;

constexpr std::uint16_t kStorePort = 24281;
const std::string kTopic(kQuarantineTopic);
const StoredQuarantine kQuarantine{ { 7, 9 }, 600s, 1 };

class MockSink : public DiscoverySink
{
public:
  MOCK_METHOD(void,
              OnConfiguration,
              (RouteTablePointer, std::string, Instant),
              (override));
  MOCK_METHOD(void, OnConfigurationConfirmed, (Instant), (override));
  MOCK_METHOD(void,
              OnZoneDrains,
              (const std::vector<ZoneDrainRecord>&, bool, std::int64_t),
              (override));
  MOCK_METHOD(void,
              OnTarget,
              (const std::string&, RegisteredTarget),
              (override));
  MOCK_METHOD(void, OnTargetRemoved, (const std::string&), (override));
  MOCK_METHOD(void,
              OnTargets,
              ((std::vector<std::pair<std::string, RegisteredTarget>>)),
              (override));
  MOCK_METHOD(void,
              OnTargetsInPart,
              ((std::vector<std::pair<std::string, RegisteredTarget>>)),
              (override));
  MOCK_METHOD(void, OnTargetListRead, (bool), (override));
  MOCK_METHOD(void, OnRouters, (const std::vector<RouterAddress>&), (override));
  MOCK_METHOD(void, OnStoredQuarantine, (const StoredQuarantine&), (override));
  auto OnStoreEpoch(std::optional<std::int64_t> /*aEpoch*/)
    -> EpochOrder override
  {
    return EpochOrder::kCurrent;
  }
  auto TimeToRead(SharedList /*aList*/, bool /*aFirst*/) -> Duration override
  {
    return 0us;
  }
  MOCK_METHOD(void,
              OnListRead,
              (SharedList, bool, std::optional<wire::ListNews>),
              (override));
};

/// The quarantines of a router before a stand-in of the store.
class QuarantineRecordsTest
  : public testing::Test
  , protected ContextRunner
{
protected:
  StoreStandin store_{ kStorePort };
  NiceMock<MockEventLog> log_;
  NiceMock<MockSink> sink_;
  QuarantineRecords quarantines_{
    &context_, { "127.0.0.1", kStorePort }, &sink_, &log_
  };
  std::vector<PartIds> restored_;

  auto SetUp() -> void override
  {
    ON_CALL(sink_, OnStoredQuarantine(_))
      .WillByDefault([this](const StoredQuarantine& aQuarantine) {
        restored_.push_back(aQuarantine.parts_);
      });
  }

  auto Start() -> void
  {
    boost::asio::co_spawn(context_, quarantines_.Run(), boost::asio::detached);
  }

  auto PutStored(const PartIds& aParts) -> void
  {
    store_.Put(
      kTopic, { QuarantineKey(aParts), EncodeQuarantine({ aParts, 600s, 0 }) });
  }

  auto Stored() -> std::string
  {
    return store_.NewestValue(kTopic, QuarantineKey(kQuarantine.parts_));
  }
};

TEST_F(QuarantineRecordsTest, StoredOnesAreReadAtTheStart)
{
  PutStored({ 3 });
  PutStored({ 4, 5 });
  store_.Put(kTopic, { "odd", "\xff garbled" });
  Start();
  EXPECT_TRUE(RunUntil([&] { return restored_.size() == 2; }));
  EXPECT_EQ(quarantines_.MalformedCount(), 1);
  const auto calls = quarantines_.Calls();
  context_.run_for(std::chrono::milliseconds(300));
  EXPECT_EQ(quarantines_.Calls(), calls) << "reads are priced";
}

// Guards against records of another writer, or lost pages, that hide
// quarantines from a started router.
TEST_F(QuarantineRecordsTest, OddKeysAndLostPagesHideNone)
{
  store_.SetMaxPageRecords(3);
  store_.SetPageFault(PageFault::kFailsAtTimes);
  for (const auto* key : { "a b", "c&d", "e#f", "g+h", "i%41", "j\xff" }) {
    for (const auto* number : { "1", "2", "3" }) {
      store_.Put(kTopic, { std::string(key) + number, "odd" });
    }
  }
  PutStored({ 3 });
  store_.Put(kTopic, { "~last", EncodeQuarantine({ { 4 }, 600s, 0 }) });
  Start();
  EXPECT_TRUE(RunUntil([&] { return restored_.size() == 2; }));
}

// Guards against quarantines that are imposed again and again, as the read of
// them never ends.
TEST_F(QuarantineRecordsTest, PagesThatRepeatEndTheRead)
{
  store_.SetMaxPageRecords(1);
  store_.SetPageFault(PageFault::kIgnoresKeys);
  PutStored({ 3 });
  PutStored({ 4 });
  Start();
  EXPECT_TRUE(RunUntil([&] { return !restored_.empty(); }));
  context_.run_for(std::chrono::milliseconds(500));
  EXPECT_LE(quarantines_.Calls(), 3);
}

TEST_F(QuarantineRecordsTest, ChangesAreWrittenAndDeleted)
{
  Start();
  quarantines_.Store({ kQuarantine, true });
  EXPECT_TRUE(RunUntil([&] { return !Stored().empty(); }));
  quarantines_.Store({ kQuarantine, false });
  EXPECT_TRUE(RunUntil([&] { return Stored().empty(); }));
}

// The process starts, or a part is found, while the store is away.
TEST_F(QuarantineRecordsTest, OutageOnlyDelaysReadsAndWrites)
{
  PutStored({ 3 });
  store_.SetFault(StoreFault::kDown);
  Start();
  quarantines_.Store({ kQuarantine, true });
  context_.run_for(std::chrono::milliseconds(500));
  EXPECT_TRUE(restored_.empty());
  EXPECT_LE(quarantines_.Calls(), 10);
  store_.SetFault(StoreFault::kNone);
  EXPECT_TRUE(RunUntil([&] { return !Stored().empty(); }));
  EXPECT_TRUE(RunUntil([&] { return !restored_.empty(); }));
}

// An append whose answer is lost is made again, and a newer value goes last.
TEST_F(QuarantineRecordsTest, LostAnswerLeavesTheNewestValue)
{
  Start();
  ASSERT_TRUE(RunUntil([&] { return quarantines_.Calls() > 0; }));
  store_.SetFault(StoreFault::kLosesReplies);
  quarantines_.Store({ kQuarantine, true });
  EXPECT_TRUE(RunUntil([&] { return !Stored().empty(); }));
  quarantines_.Store({ kQuarantine, false });
  store_.SetFault(StoreFault::kNone);
  EXPECT_TRUE(RunUntil([&] { return Stored().empty(); }));
}

// The first write takes effect only after the newer one.
TEST_F(QuarantineRecordsTest, WriteThatIsExecutedLateIsWrittenOver)
{
  Start();
  ASSERT_TRUE(RunUntil([&] { return quarantines_.Calls() > 0; }));
  store_.SetFault(StoreFault::kLosesReplies);
  quarantines_.Store({ kQuarantine, true });
  ASSERT_TRUE(RunUntil([&] { return !Stored().empty(); }));
  store_.SetFault(StoreFault::kNone);
  quarantines_.Store({ kQuarantine, false });
  ASSERT_TRUE(RunUntil([&] { return Stored().empty(); }));
  PutStored(kQuarantine.parts_);
  ASSERT_FALSE(Stored().empty());
  context_.run_for(std::chrono::milliseconds(10'500));
  EXPECT_TRUE(Stored().empty());
}

} // namespace
} // namespace burdockring
