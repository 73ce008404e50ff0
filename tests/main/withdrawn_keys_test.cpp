#include "support/forward_process.h"

#include <csignal>

namespace burdockring {
namespace {

class WithdrawnKeysTest : public ForwardProcess
{
protected:
  static auto StatusWithKey(const std::string& aKey) -> std::string
  {
    return Status(
      Ask("/safe/x", "body", "Authorization: Token " + aKey + "\r\n"));
  }

  auto Configure(int aVersion, std::vector<StandinAccount> aAccounts) -> void
  {
    StandinConfiguration configuration;
    configuration.version_ = aVersion;
    configuration.accounts_ = std::move(aAccounts);
    store_.Put(std::string(kStandinConfigurationTopic),
               EncodeStandinConfiguration(configuration));
  }

  /// Writes a version with this JSON text in place of its list of accounts.
  auto ConfigureWith(int aVersion, const std::string& aAccounts) -> void
  {
    StandinConfiguration configuration;
    configuration.version_ = aVersion;
    configuration.accounts_ = {};
    auto record = EncodeStandinConfiguration(configuration);
    const std::string list = R"("tenants":[])";
    const auto at = record.value_->find(list);
    ASSERT_NE(at, std::string::npos);
    record.value_->replace(at, list.size(), aAccounts);
    store_.Put(std::string(kStandinConfigurationTopic), std::move(record));
  }

  auto Kill() -> void
  {
    process_.Signal(SIGKILL);
    ASSERT_TRUE(WaitUntil([this] { return !process_.IsRunning(); }));
  }

  auto StartAgain() -> void
  {
    ASSERT_TRUE(process_
                  .Start(BURDOCKRING_PROGRAM,
                         { "forward", "--settings=" + settings_ }, "/dev/null")
                  .ok());
    ASSERT_TRUE(WaitUntil([] { return ReadyStatus() == "200"; }));
  }

  /// Nothing with the key that was withdrawn, or with another, reaches a
  /// target.
  auto ExpectClosed() -> void
  {
    Seen();
    EXPECT_NE(StatusWithKey("k1"), "200");
    EXPECT_NE(StatusWithKey("never-held"), "200");
    EXPECT_NE(Status(Ask("/safe/x")), "200");
    EXPECT_TRUE(Seen().empty());
  }
};

// After the last key was taken away, every request ran, whatever its key.
TEST_F(WithdrawnKeysTest, NothingRunsAfterTheLastKeyIsTakenAway)
{
  EXPECT_EQ(StatusWithKey("k1"), "200");
  EXPECT_EQ(StatusWithKey("never-held"), "401");
  Configure(4, {});
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "401"; }));
  Seen();
  EXPECT_EQ(StatusWithKey("k1"), "401");
  EXPECT_EQ(StatusWithKey("never-held"), "401");
  EXPECT_EQ(Status(Ask("/safe/x")), "401");
  EXPECT_TRUE(Seen().empty());
}

// The next version gives a key again.
TEST_F(WithdrawnKeysTest, KeysOfTheNextVersionRun)
{
  Configure(4, {});
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "401"; }));
  Configure(5, { { "hotel", "k2" } });
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k2") == "200"; }));
  EXPECT_EQ(StatusWithKey("k1"), "401");
}

// A process that starts now reads the configuration without keys.
TEST_F(WithdrawnKeysTest, RestartKeepsTheRoutesClosed)
{
  Configure(4, {});
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "401"; }));
  Kill();
  StartAgain();
  Seen();
  EXPECT_EQ(StatusWithKey("k1"), "401");
  EXPECT_TRUE(Seen().empty());
}

// Guards against a restart that applies what the process before it had read.
TEST_F(WithdrawnKeysTest, KeyWithdrawnDuringARestartDoesNotRun)
{
  EXPECT_EQ(StatusWithKey("k1"), "200");
  Kill();
  Configure(4, {});
  StartAgain();
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "401"; }));
  ExpectClosed();
}

// Guards against accounts without keys that are read as no accounts at all.
TEST_F(WithdrawnKeysTest, AccountsWithoutKeysGiveNobodyAccess)
{
  ConfigureWith(4, R"("tenants":[{"name":"hotel"},)"
                   R"({"name":"other","apiKeys":[]},)"
                   R"({"name":"third","apiKeys":null}])");
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "401"; }));
  ExpectClosed();
}

// Guards against a list that can't be read being taken for none, and against a
// version that can't be read confirming the one before it: the key ends at the
// age of the version in force.
TEST_F(WithdrawnKeysTest, UnreadableListOfAccountsConfirmsNoKey)
{
  ConfigureWith(4, R"("tenants":{"name":"hotel","apiKeys":["k1"]})");
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "503"; }));
  std::this_thread::sleep_for(500ms);
  ExpectClosed();
  Configure(5, { { "hotel", "k2" } });
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k2") == "200"; }));
  EXPECT_EQ(StatusWithKey("k1"), "401");
}

// By the platform's protocol keys are required only where a configuration has a
// list. Guards against that outlasting the next version with one.
TEST_F(WithdrawnKeysTest, VersionWithAListAfterOneWithoutRequiresKeys)
{
  ConfigureWith(4, R"("other":[])");
  EXPECT_TRUE(WaitUntil([] { return Status(Ask("/safe/x")) == "200"; }));
  Configure(5, {});
  EXPECT_TRUE(WaitUntil([] { return Status(Ask("/safe/x")) == "401"; }));
  ExpectClosed();
}

// Guards against keys that stay with an account's name.
TEST_F(WithdrawnKeysTest, AccountThatIsAddedAgainHasOnlyItsNewKeys)
{
  Configure(4, { { "other", "k9" } });
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "401"; }));
  Configure(5, { { "hotel", "k2" }, { "other", "k9" } });
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k2") == "200"; }));
  EXPECT_EQ(StatusWithKey("k1"), "401");
  // Its first key is given again, and withdrawn again.
  Configure(6, { { "hotel", "k1" }, { "other", "k9" } });
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "200"; }));
  EXPECT_EQ(StatusWithKey("k2"), "401");
  Configure(7, { { "other", "k9" } });
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "401"; }));
  ExpectClosed();
}

// A router that started on a copy of the store without the withdrawal confirmed
// the copy at once, as its own entry hid the store's return.
TEST_F(WithdrawnKeysTest, RestartOnOlderCopyKeepsTheLastKeyWithdrawn)
{
  store_.TakeCopy();
  Configure(4, {});
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "401"; }));
  Kill();
  store_.RestoreCopy();
  Seen();
  StartAgain();
  const auto startedAt = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - startedAt < 1s) {
    EXPECT_NE(StatusWithKey("k1"), "200");
    std::this_thread::sleep_for(10ms);
  }
  // The operator writes again what was lost.
  Configure(4, {});
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "401"; }));
  ExpectClosed();
}

// The same for a router that was running as the store came back.
TEST_F(WithdrawnKeysTest, OlderCopyOfTheStoreKeepsTheLastKeyWithdrawn)
{
  store_.TakeCopy();
  Configure(4, {});
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "401"; }));
  Seen();
  store_.RestoreCopy();
  const auto restoredAt = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - restoredAt < 1s) {
    EXPECT_NE(StatusWithKey("k1"), "200");
    std::this_thread::sleep_for(10ms);
  }
  Configure(4, {});
  EXPECT_TRUE(WaitUntil([] { return StatusWithKey("k1") == "401"; }));
  ExpectClosed();
}

} // namespace
} // namespace burdockring
