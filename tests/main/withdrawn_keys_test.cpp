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

} // namespace
} // namespace burdockring
