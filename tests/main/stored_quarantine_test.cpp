#include "platform/quarantine_codec.h"
#include "support/stream_answers.h"

#include <csignal>

namespace burdockring {
namespace {

constexpr std::uint64_t kDeadlyPart = 0xdead;

/// Targets that crash some events into answers on a part of prompts.
class StoredQuarantineProcessTest : public StreamAnswerTest
{
protected:
  static constexpr int kMaxRequests = 12;

  int count_ = 0;

  auto SetUp() -> void override
  {
    ForwardProcess::SetUp();
    SetScripts([](const std::string& aRequest) {
      if (RawField(aRequest, "X-Prompt-Prefix").find("dead:") ==
          std::string::npos) {
        return ScriptedAnswer{ kUnframedStream + kFirstEvent, true };
      }
      ScriptedAnswer lost{ kUnframedStream + kFirstEvent };
      lost.later_ = { "" };
      lost.pause_ = 200ms;
      lost.reset_ = true;
      return lost;
    });
  }

  /// A request whose prompt has the deadly part.
  auto AskDeadly() -> std::string
  {
    return Ask("/talk/x", "body",
               "X-Prompt-Prefix: aa:10,dead:10," + std::to_string(++count_) +
                 ":10\r\n");
  }

  auto IsStored() -> bool
  {
    return !store_
              .NewestValue(std::string(kQuarantineTopic),
                           QuarantineKey({ kDeadlyPart }))
              .empty();
  }

  auto KillAndStart() -> void
  {
    process_.Signal(SIGKILL);
    ASSERT_TRUE(process_
                  .Start(BURDOCKRING_PROGRAM,
                         { "forward", "--settings=" + settings_ }, "/dev/null")
                  .ok());
    ASSERT_TRUE(WaitUntil([] { return ReadyStatus() == "200"; }));
  }
};

// All routers were killed, and the part crashed targets again.
TEST_F(StoredQuarantineProcessTest, OutlivesAKillOfAllRouters)
{
  for (int i = 0; i < kMaxRequests && !IsStored(); ++i) {
    AskDeadly();
    // Keeps the parts of sound requests out of the quarantine.
    Ask("/talk/x", "body", "X-Prompt-Prefix: aa:10,bb:10,1:10\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
  }
  ASSERT_TRUE(IsStored());
  for (int kill = 0; kill < 2; ++kill) {
    KillAndStart();
    Seen();
    const auto answer = AskDeadly();
    EXPECT_EQ(Status(answer), "503");
    EXPECT_TRUE(Has(answer, "quarantined")) << answer;
    EXPECT_TRUE(Seen().empty());
    EXPECT_EQ(
      Status(Ask("/talk/x", "body", "X-Prompt-Prefix: aa:10,bb:10,1:10\r\n")),
      "200");
  }
}

} // namespace
} // namespace burdockring
