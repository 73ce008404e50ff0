#include "base/boot_clock.h"
#include "platform/standin/standin_records.h"
#include "platform/standin/store_standin.h"
#include "platform/store_source.h"
#include "support/context_runner.h"
#include "support/forwarding_fixture.h"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace burdockring {
namespace {

using testing::NiceMock;

constexpr std::uint16_t kStorePort = 24182;
const std::string kOperator(kStandinConfigurationTopic);
const std::string kRouterEntries(kStandinRouterTopic);

/// The decisions of one router that reads all lists itself. Records which
/// version was in force each time the store confirmed it to be the newest.
class ConfirmationSink : public DiscoverySink
{
  NiceMock<MockEventLog> log_;
  ForwardingNode node_;
  Instant confirmedAt_ = -24h;

  static auto Self() -> RouterAddress
  {
    RouterAddress self;
    self.name_ = "r1";
    self.id_ = MakeId<RouterId>("r1");
    self.zone_ = MakeId<ZoneId>("z");
    return self;
  }

  auto RecordConfirmation() -> void
  {
    const auto now = BootNow();
    const auto confirmedAt = now - node_.ConfigAge(now);
    if (confirmedAt > confirmedAt_) {
      confirmedAt_ = confirmedAt;
      confirmed_.push_back({ node_.Table()->Version(), confirmedAt });
    }
  }

public:
  struct Confirmation
  {
    std::int64_t version_;
    Instant at_;
  };

  std::vector<Confirmation> confirmed_;

  ConfirmationSink()
    : node_(ForwardingOptions{}, Self(), 1, &log_)
  {
  }

  [[nodiscard]] auto Version() const -> std::int64_t
  {
    return node_.Table()->Version();
  }

  auto OnConfiguration(RouteTablePointer aTable,
                       std::string aText,
                       Instant aAsOf) -> void override
  {
    node_.OnConfiguration(std::move(aTable), std::move(aText), aAsOf);
    RecordConfirmation();
  }
  auto OnConfigurationConfirmed(Instant aAsOf) -> void override
  {
    node_.OnConfigurationConfirmed(aAsOf);
    RecordConfirmation();
  }
  auto OnZoneDrains(const std::vector<ZoneDrainRecord>& /*aRecords*/,
                    bool /*aIsSnapshot*/,
                    std::int64_t /*aOffset*/) -> void override
  {
  }
  auto OnTarget(const std::string& /*aKey*/, RegisteredTarget /*aTarget*/)
    -> void override
  {
  }
  auto OnTargetRemoved(const std::string& /*aKey*/) -> void override {}
  auto OnTargets(std::vector<std::pair<std::string, RegisteredTarget>> /*aAll*/)
    -> void override
  {
  }
  auto OnTargetsInPart(
    std::vector<std::pair<std::string, RegisteredTarget>> /*aPart*/)
    -> void override
  {
  }
  auto OnTargetListRead(bool /*aSuccess*/) -> void override {}
  auto OnStoredQuarantine(const StoredQuarantine& /*aQuarantine*/)
    -> void override
  {
  }
  auto OnRouters(const std::vector<RouterAddress>& aRouters) -> void override
  {
    node_.OnRouters(aRouters, BootNow());
  }
  auto OnStoreEpoch(std::optional<std::int64_t> aEpoch) -> EpochOrder override
  {
    return node_.OnStoreEpoch(aEpoch, BootNow());
  }
  auto TimeToRead(SharedList /*aList*/, bool /*aIsFirstRead*/)
    -> Duration override
  {
    return 0us;
  }
  auto OnListRead(SharedList /*aList*/,
                  bool /*aSuccess*/,
                  std::optional<wire::ListNews> /*aNews*/) -> void override
  {
  }
};

/// Routers that follow a stand-in of the store and check keys by what they
/// read.
class ConfigurationTrustTest : public testing::Test
{
protected:
  /// One process of a router; ends with the object.
  struct Router : ContextRunner
  {
    NiceMock<MockEventLog> log_;
    ConfirmationSink sink_;
    Instant startedAt_ = BootNow();
    StoreSource source_;

    explicit Router(const std::string& aName)
      : source_(&context_, Settings(aName), &sink_, &log_)
    {
      source_.Start();
    }

    static auto Settings(const std::string& aName) -> ProcessSettings
    {
      ProcessSettings settings;
      settings.self_.name_ = aName;
      settings.self_.host_ = "127.0.0.1";
      settings.self_.peerPort_ = 1;
      settings.store_.address_ = { "127.0.0.1", kStorePort };
      settings.store_.configWait_ = 50ms;
      settings.store_.targetInterval_ = 20ms;
      return settings;
    }
  };

  StoreStandin store_{ kStorePort };

  auto PutVersion(int aVersion) -> void
  {
    StandinConfiguration configuration;
    configuration.version_ = aVersion;
    store_.Put(kOperator, EncodeStandinConfiguration(configuration));
  }

  /// A configuration whose list of accounts can't be read.
  auto PutUnreadable() -> void
  {
    store_.Put(kOperator, { "config", R"({"version":99,"routes":[],
      "tenants":{}})" });
  }

  /// The store epoch that a router's entry names; 0 if it has no entry.
  auto EpochInEntry(const std::string& aName) -> std::int64_t
  {
    const auto entry =
      DecodeRouter(aName, store_.NewestValue(kRouterEntries, aName));
    return entry.ok() ? entry->storeEpoch_.value_or(0) : 0;
  }
};

// A read that ended before the log's end confirmed the versions in it, which
// had been replaced when it began: keys that the last one withdrew ran.
TEST_F(ConfigurationTrustTest, PartOfTheMissedVersionsConfirmsNothing)
{
  PutVersion(3);
  Router router("r1");
  ASSERT_TRUE(
    router.RunUntil([&] { return !router.sink_.confirmed_.empty(); }));
  store_.SetFault(StoreFault::kDown);
  router.context_.run_for(std::chrono::milliseconds(200));
  for (int version = 4; version <= 8; ++version) {
    PutVersion(version);
  }
  router.sink_.confirmed_.clear();
  store_.SetMaxReadRecords(2);
  store_.SetFault(StoreFault::kNone);
  ASSERT_TRUE(
    router.RunUntil([&] { return !router.sink_.confirmed_.empty(); }));
  EXPECT_EQ(router.sink_.confirmed_.front().version_, 8);
}

// The same, where the last version withdraws keys but can't be read: the
// version before it was confirmed by the read that returned both.
TEST_F(ConfigurationTrustTest, VersionBeforeAnUnreadableOneIsNotConfirmed)
{
  PutVersion(3);
  Router router("r1");
  ASSERT_TRUE(
    router.RunUntil([&] { return !router.sink_.confirmed_.empty(); }));
  store_.SetFault(StoreFault::kDown);
  router.context_.run_for(std::chrono::milliseconds(200));
  PutVersion(4);
  PutUnreadable();
  router.sink_.confirmed_.clear();
  store_.SetFault(StoreFault::kNone);
  ASSERT_TRUE(router.RunUntil([&] { return router.sink_.Version() == 4; }));
  router.context_.run_for(std::chrono::milliseconds(300));
  EXPECT_TRUE(router.sink_.confirmed_.empty());
  PutVersion(5);
  ASSERT_TRUE(
    router.RunUntil([&] { return !router.sink_.confirmed_.empty(); }));
  EXPECT_EQ(router.sink_.confirmed_.front().version_, 5);
}

/// The store comes back from a copy without version 4, which withdrew a key,
/// while no router runs.
class RestartOnOlderCopyTest : public ConfigurationTrustTest
{
protected:
  auto SetUp() -> void override
  {
    PutVersion(3);
    {
      Router first("r1");
      Router second("r2");
      ASSERT_TRUE(
        first.RunUntil([&] { return !first.sink_.confirmed_.empty(); }));
      ASSERT_TRUE(
        second.RunUntil([&] { return !second.sink_.confirmed_.empty(); }));
      ASSERT_TRUE(first.RunUntil([&] { return EpochInEntry("r1") == 1; }));
      ASSERT_TRUE(second.RunUntil([&] { return EpochInEntry("r2") == 1; }));
    }
    store_.TakeCopy();
    PutVersion(4);
    store_.RestoreCopy();
  }

  /// The store confirmed nothing to the router within the time in which the
  /// operator writes again what was lost.
  static auto ExpectGracePeriod(Router* aRouter) -> void
  {
    ASSERT_TRUE(
      aRouter->RunUntil([&] { return !aRouter->sink_.confirmed_.empty(); }));
    EXPECT_GE(aRouter->sink_.confirmed_.front().at_ - aRouter->startedAt_,
              kRewriteGracePeriod);
  }
};

// Each router wrote its own entry, with the new epoch, before it read the
// list. So after a restart of all routers no entry of the older epoch was left,
// and version 3 was confirmed at once.
TEST_F(RestartOnOlderCopyTest, AllRoutersWaitForTheOperator)
{
  Router first("r1");
  Router second("r2");
  for (int i = 0; i < 30; ++i) {
    first.context_.run_for(std::chrono::milliseconds(10));
    second.context_.run_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(first.sink_.Version(), 3);
  EXPECT_EQ(second.sink_.Version(), 3);
  ExpectGracePeriod(&first);
  ExpectGracePeriod(&second);
}

// A router that starts twice within that time finds its entry as the first
// process left it.
TEST_F(RestartOnOlderCopyTest, SecondRestartWaitsToo)
{
  {
    Router router("r1");
    router.context_.run_for(std::chrono::milliseconds(800));
  }
  {
    Router router("r2");
    router.context_.run_for(std::chrono::milliseconds(800));
  }
  Router router("r1");
  ExpectGracePeriod(&router);
}

// The configuration was confirmed after half a second where the routers'
// entries could not be read until then.
TEST_F(RestartOnOlderCopyTest, NothingIsConfirmedBeforeTheRoutersAreRead)
{
  store_.FailReadsOf(kRouterEntries);
  Router router("r1");
  ASSERT_TRUE(router.RunUntil([&] { return router.sink_.Version() == 3; }));
  router.context_.run_for(std::chrono::milliseconds(500));
  EXPECT_TRUE(router.sink_.confirmed_.empty());
  store_.FailReadsOf({});
  const auto readableAt = BootNow();
  ExpectGracePeriod(&router);
  EXPECT_GE(router.sink_.confirmed_.front().at_ - readableAt,
            kRewriteGracePeriod);
}

// A router that was running as the store came back wrote its entry with the new
// epoch up to 1.5 s later, and routers that started again in the rest of the
// grace period did not see the return.
TEST_F(ConfigurationTrustTest, EntryShowsTheOlderEpochForTheGracePeriod)
{
  PutVersion(3);
  Router router("r1");
  ASSERT_TRUE(router.RunUntil([&] { return EpochInEntry("r1") == 1; }));
  store_.TakeCopy();
  const auto restoredAt = BootNow();
  store_.RestoreCopy();
  ASSERT_TRUE(router.RunUntil([&] { return EpochInEntry("r1") == 2; }));
  EXPECT_GE(BootNow() - restoredAt, kRewriteGracePeriod);
}

} // namespace
} // namespace burdockring
