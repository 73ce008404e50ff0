#ifndef BURDOCKRING_TESTS_SUPPORT_FORWARD_PROCESS_H
#define BURDOCKRING_TESTS_SUPPORT_FORWARD_PROCESS_H

#include "platform/standin/standin_records.h"
#include "platform/standin/store_standin.h"
#include "standin/child_process.h"
#include "standin/scripted_target.h"

#include <chrono>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <thread>

namespace burdockring {

/// A good answer to the request.
inline auto Good(const std::string& aRequest, const std::string& aBody)
  -> std::string
{
  return GoodHead(RequestIdOf(aRequest), aBody.size()) + aBody;
}

/// The real program between a stand-in of the store and two scripted targets.
class ForwardProcess : public testing::Test
{
protected:
  static constexpr std::uint16_t kStorePort = 24081;
  static constexpr std::uint16_t kCallerPort = 24083;
  static constexpr std::uint16_t kReadyPort = 24080;
  static constexpr std::uint16_t kFirstTargetPort = 24091;
  static constexpr std::uint16_t kSecondTargetPort = 24092;
  static constexpr std::uint16_t kFirstInternalPort = 24074;
  static constexpr std::uint16_t kLastInternalPort = 24079;
  static constexpr int kPolls = 400;

  StoreStandin store_{ kStorePort };
  ScriptedTarget first_{ kFirstTargetPort };
  ScriptedTarget second_{ kSecondTargetPort };
  ChildProcess process_;
  /// More than one shows that unsafe work isn't sent again all the same.
  int attemptsOfUnsafe_ = 1;
  /// Memory of the router's VM; zero: the settings don't name it.
  int memoryMb_ = 0;
  /// Descriptors of the router's process; zero: the settings don't name them.
  int maxDescriptors_ = 0;
  /// Longest time without progress of a caller's connection.
  Duration idleTimeout_ = 15s;
  std::uint64_t bodyBytes_ = 100'000;
  std::string settings_ =
    testing::TempDir() + "burdockring-forward-settings.json";

  auto SetUp() -> void override
  {
    WriteSettings();
    FillStore();
    ASSERT_TRUE(process_
                  .Start(BURDOCKRING_PROGRAM,
                         { "forward", "--settings=" + settings_ }, "/dev/null")
                  .ok());
    SetScripts([](const std::string& aRequest) {
      return ScriptedAnswer{ Good(aRequest, "whole"), false };
    });
    ASSERT_TRUE(WaitUntil([] { return ReadyStatus() == "200"; }));
  }

  auto WriteSettings() -> void
  {
    StandinRouter router;
    router.name_ = "r1";
    router.zone_ = "z";
    router.callers_ = kCallerPort;
    router.ready_ = kReadyPort;
    router.firstInternal_ = kFirstInternalPort;
    router.lastInternal_ = kLastInternalPort;
    router.store_ = kStorePort;
    router.grace_ = 6s;
    router.memoryMb_ = memoryMb_;
    router.maxDescriptors_ = maxDescriptors_;
    std::ofstream(settings_) << EncodeStandinSettings(router);
  }

  auto FillStore() -> void
  {
    StandinConfiguration configuration;
    configuration.version_ = 3;
    configuration.idleTimeout_ = idleTimeout_;
    configuration.bodyBytes_ = bodyBytes_;
    configuration.routes_[1].public_ = true;
    configuration.routes_[1].maxAttempts_ = attemptsOfUnsafe_;
    configuration.routes_[2].public_ = true;
    ExtendConfiguration(&configuration);
    store_.Put(std::string(kStandinConfigurationTopic),
               EncodeStandinConfiguration(configuration));
    const std::string targets(kStandinTargetTopic);
    store_.Put(targets, EncodeStandinTarget({ "i-1", "z", kFirstTargetPort }));
    store_.Put(targets, EncodeStandinTarget({ "i-2", "z", kSecondTargetPort }));
    store_.Put(targets, { "i-3", "\xff garbled" });
  }

  /// What a test's configuration has besides.
  virtual auto ExtendConfiguration(StandinConfiguration* /*aConfiguration*/)
    -> void
  {
  }

  static auto ReadyStatus() -> std::string
  {
    const auto answer =
      SendRaw(kReadyPort,
              "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return answer.size() < 12 ? std::string() : answer.substr(9, 3);
  }

  static auto WaitUntil(const std::function<bool()>& aCondition) -> bool
  {
    for (int i = 0; i < kPolls; ++i) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(25));
    }
    return false;
  }

  auto SetScripts(const ScriptedTarget::Script& aScript) -> void
  {
    first_.SetScript(aScript);
    second_.SetScript(aScript);
  }

  /// Requests that reached either target.
  auto Seen() -> std::vector<std::string>
  {
    auto seen = first_.TakeRequests();
    for (auto& request : second_.TakeRequests()) {
      seen.push_back(std::move(request));
    }
    return seen;
  }

  static auto Ask(const std::string& aPath,
                  const std::string& aBody = "body",
                  const std::string& aFields = "") -> std::string
  {
    return SendRaw(kCallerPort,
                   "POST " + aPath +
                     " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n" + aFields +
                     "Connection: close\r\nContent-Length: " +
                     std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  }

  static auto Status(const std::string& aAnswer) -> std::string
  {
    return aAnswer.size() < 12 ? std::string() : aAnswer.substr(9, 3);
  }
};

} // namespace burdockring

#endif
