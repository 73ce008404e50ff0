#ifndef BURDOCKRING_MAIN_PROCESS_FLEET_H
#define BURDOCKRING_MAIN_PROCESS_FLEET_H

#include "absl/status/status.h"
#include "platform/standin/standin_records.h"
#include "platform/standin/store_standin.h"
#include "standin/child_process.h"
#include "standin/scripted_target.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace burdockring {

struct ProcessFleetOptions
{
  /// The program that is run as each router.
  std::string program_;
  /// Where settings files and logs go.
  std::string folder_;
  std::uint16_t basePort_ = 23'000;
  int routers_ = 4;
  int targets_ = 4;
  /// Events of a whole stream, and the time from one to the next.
  int events_ = 8;
  Duration eventInterval_ = 5ms;
};

/// Routers as processes of their own on the platform's path, between a stand-in
/// of its store and targets that count what they run.
class ProcessFleet
{
  ProcessFleetOptions options_;
  StoreStandin store_;
  std::vector<std::unique_ptr<ScriptedTarget>> targets_;
  std::vector<ChildProcess> routers_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;

  [[nodiscard]] auto PortOf(int aOffset) const -> std::uint16_t;
  [[nodiscard]] auto SettingsPath(int aRouter) const -> std::string;
  auto WriteSettings(int aRouter) -> void;
  auto AnswerOf(const std::string& aRequest) -> ScriptedAnswer;

public:
  explicit ProcessFleet(ProcessFleetOptions aOptions);

  /// Starts all routers and waits until they are ready.
  auto Start() -> absl::Status;
  auto StartRouter(int aRouter) -> absl::Status;
  auto Router(int aRouter) -> ChildProcess&;
  auto Store() -> StoreStandin&;
  [[nodiscard]] auto IsReady(int aRouter) const -> bool;
  [[nodiscard]] auto CallerPort(int aRouter) const -> std::uint16_t;
  [[nodiscard]] auto TargetPort(int aTarget) const -> std::uint16_t;
  [[nodiscard]] auto Options() const -> const ProcessFleetOptions&;
  /// How often a request ran, over all targets.
  auto RunsOf(const std::string& aRequestId) -> int;

  /// The whole body for a request, also behind its first events.
  [[nodiscard]] auto WholeBody(const std::string& aRequestId,
                               bool aIsStream) const -> std::string;
};

} // namespace burdockring

#endif
