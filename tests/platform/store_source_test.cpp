#include "platform/store_source.h"

#include "platform/standin/standin_records.h"
#include "platform/standin/store_standin.h"
#include "support/context_runner.h"
#include "support/forwarding_fixture.h"
#include "support/recording_sink.h"

#include <gtest/gtest.h>
#include <thread>

namespace burdockring {
namespace {

using testing::NiceMock;

constexpr std::uint16_t kStorePort = 24181;
const std::string kOperator(kStandinConfigurationTopic);
const std::string kTargets(kStandinTargetTopic);
const std::string kRouters(kStandinRouterTopic);

/// The source of a real router's lists before a stand-in of the store.
class StoreSourceTest
  : public testing::Test
  , protected ContextRunner
{
protected:
  StoreStandin store_{ kStorePort };
  NiceMock<MockEventLog> log_;
  RecordingSink sink_;
  std::unique_ptr<StoreSource> source_;

  auto SetUp() -> void override
  {
    PutVersion(3);
    PutTarget("i-1");
    PutTarget("i-2");
    source_ = std::make_unique<StoreSource>(
      &context_, MakeSourceSettings(kStorePort), &sink_, &log_);
    source_->Start();
    ASSERT_TRUE(RunUntil([&] {
      return !sink_.versions_.empty() && sink_.targets_.size() == 2 &&
             !sink_.routers_.empty();
    }));
  }

  auto PutVersion(int aVersion) -> void
  {
    StandinConfiguration configuration;
    configuration.version_ = aVersion;
    store_.Put(kOperator, EncodeStandinConfiguration(configuration));
  }

  auto PutTarget(const std::string& aName) -> void
  {
    store_.Put(kTargets, EncodeStandinTarget({ aName, "z", 24199 }));
  }
};

TEST_F(StoreSourceTest, OffsetsThatAreGivenOutAgainSkipNoRecord)
{
  store_.TakeCopy();
  PutVersion(4);
  PutTarget("i-3");
  PutTarget("i-4");
  ASSERT_TRUE(RunUntil(
    [&] { return sink_.versions_.back() == 4 && sink_.targets_.size() == 4; }));
  store_.RestoreCopy();
  // As many records as were lost: no offset lies beyond the end.
  PutVersion(5);
  PutTarget("i-5");
  PutTarget("i-6");
  EXPECT_TRUE(RunUntil([&] {
    return sink_.versions_.back() == 5 && sink_.targets_.contains("i-5") &&
           sink_.targets_.contains("i-6");
  }));
  EXPECT_FALSE(sink_.targets_.contains("i-3"));
}

TEST_F(StoreSourceTest, OffsetBeyondTheEndStartsWithTheNewest)
{
  store_.TakeCopy();
  PutVersion(4);
  PutTarget("i-3");
  ASSERT_TRUE(RunUntil(
    [&] { return sink_.versions_.back() == 4 && sink_.targets_.size() == 3; }));
  store_.RestoreCopy();
  EXPECT_TRUE(RunUntil(
    [&] { return sink_.versions_.back() == 3 && sink_.targets_.size() == 2; }));
  PutVersion(6);
  PutTarget("i-7");
  EXPECT_TRUE(RunUntil([&] {
    return sink_.versions_.back() == 6 && sink_.targets_.contains("i-7");
  }));
}

TEST_F(StoreSourceTest, OwnEntryIsWrittenAgainInTheNewEpoch)
{
  // A copy from before the routers entered themselves.
  const auto entries = [&] {
    std::int64_t newest = 0;
    for (const auto& router : sink_.routers_) {
      newest = std::max(newest, router.storeEpoch_.value_or(0));
    }
    return newest;
  };
  ASSERT_TRUE(RunUntil([&] { return entries() == 1; }));
  store_.TakeCopy();
  store_.RestoreCopy();
  EXPECT_TRUE(RunUntil([&] { return entries() == 2; }));
}

TEST_F(StoreSourceTest, NewsOfAnOlderEpochIsIgnoredAndOfANewerOneReadsAgain)
{
  sink_.waits_ = true;
  const auto before = source_->Calls();
  wire::ListNews news;
  news.sharedList = static_cast<std::int32_t>(SharedList::kTargets);
  news.reachable = true;
  news.fromOffset = 2;
  news.toOffset = 3;
  news.batch = std::string(16, '\0') +
               EncodeRecord(EncodeStandinTarget({ "i-9", "z", 24199 }));
  news.__set_storeEpoch(0);
  source_->OnPeerNews(SharedList::kTargets, news);
  EXPECT_FALSE(sink_.targets_.contains("i-9"));
  news.__set_storeEpoch(1);
  source_->OnPeerNews(SharedList::kTargets, news);
  EXPECT_TRUE(sink_.targets_.contains("i-9"));
  // A peer saw the store's return first: what this router holds by offsets of
  // the older epoch is read again.
  store_.TakeCopy();
  store_.RestoreCopy();
  news.fromOffset = 3;
  news.toOffset = 4;
  news.__set_storeEpoch(2);
  source_->OnPeerNews(SharedList::kTargets, news);
  EXPECT_TRUE(RunUntil([&] { return !sink_.targets_.contains("i-9"); }));
  EXPECT_GT(source_->Calls(), before);
}

// A router that takes over must learn at once that the store is up, or a
// reader's cut looks like an outage to all others.
TEST_F(StoreSourceTest, TakeoverReadsWithoutWaitingForRecords)
{
  ASSERT_TRUE(RunUntil([&] { return store_.LastWaitMs(kTargets) == "500"; }));
  sink_.waits_ = true;
  context_.run_for(std::chrono::milliseconds(200));
  sink_.waits_ = false;
  EXPECT_TRUE(RunUntil([&] { return store_.LastWaitMs(kTargets) == "0"; }));
  EXPECT_TRUE(RunUntil([&] { return store_.LastWaitMs(kTargets) == "500"; }));
}

TEST_F(StoreSourceTest, AnswerThatComesLateFromAnOlderEpochSaysNothing)
{
  store_.SetFault(StoreFault::kSlow);
  // Reads are under way, to be answered from the older epoch a second later.
  context_.run_for(std::chrono::milliseconds(200));
  PutTarget("i-3");
  const auto versions = sink_.versions_.size();
  EXPECT_EQ(sink_.OnStoreEpoch(7), EpochOrder::kNewer);
  context_.run_for(std::chrono::milliseconds(1500));
  EXPECT_EQ(sink_.versions_.size(), versions);
  EXPECT_FALSE(sink_.targets_.contains("i-3"));
}

// The records of drains come in the topic of the configuration, before the
// first read, while it is followed, and as the end of a key.
TEST_F(StoreSourceTest, ZoneDrainsAreReadWithTheConfiguration)
{
  store_.Put(kOperator, EncodeStandinZoneDrain("z1", true));
  EXPECT_TRUE(RunUntil([&] { return sink_.drains_["z1"]; }));
  store_.Put(kOperator, EncodeStandinZoneDrain("z2", true));
  store_.Put(kOperator, EncodeStandinZoneDrain("z1", false));
  EXPECT_TRUE(
    RunUntil([&] { return sink_.drains_["z2"] && !sink_.drains_["z1"]; }));
  const auto versions = sink_.versions_.size();
  PutVersion(9);
  EXPECT_TRUE(RunUntil([&] { return sink_.versions_.size() > versions; }));
  EXPECT_TRUE(sink_.drains_["z2"]);
}

} // namespace
} // namespace burdockring
