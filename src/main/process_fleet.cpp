#include "main/process_fleet.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <thread>
#include <utility>

namespace burdockring {
namespace {

/// Ports from the base on: the store's, then targets, then routers.
constexpr int kFirstTargetPort = 10;
constexpr int kFirstRouterPort = 100;
constexpr int kPortsOfRouter = 10;
constexpr int kReadyOffset = 1;
constexpr int kInternalOffset = 2;
constexpr int kZones = 2;
constexpr Duration kReadyTimeout = 10s;
constexpr Duration kPoll = 20ms;

auto EventText(const std::string& aRequestId, int aNumber) -> std::string
{
  return fmt::format("id: {}\ndata: {} of {}\n\n", aNumber, aNumber,
                     aRequestId);
}

} // namespace

auto ProcessFleet::PortOf(int aOffset) const -> std::uint16_t
{
  return static_cast<std::uint16_t>(options_.basePort_ + aOffset);
}

auto ProcessFleet::SettingsPath(int aRouter) const -> std::string
{
  return fmt::format("{}/r{}.json", options_.folder_, aRouter);
}

auto ProcessFleet::WriteSettings(int aRouter) -> void
{
  const int first = kFirstRouterPort + aRouter * kPortsOfRouter;
  StandinRouter router;
  router.name_ = fmt::format("r{}", aRouter);
  router.zone_ = fmt::format("z{}", aRouter % kZones);
  router.callers_ = PortOf(first);
  router.ready_ = PortOf(first + kReadyOffset);
  router.firstInternal_ = PortOf(first + kInternalOffset);
  router.lastInternal_ = PortOf(first + kPortsOfRouter - 1);
  router.store_ = PortOf(0);
  std::ofstream(SettingsPath(aRouter)) << EncodeStandinSettings(router);
}

auto ProcessFleet::AnswerOf(const std::string& aRequest) -> ScriptedAnswer
{
  const auto id = RequestIdOf(aRequest);
  {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
  }
  if (aRequest.find("/talk/") == std::string::npos) {
    const auto body = WholeBody(id, false);
    return { GoodHead(id, body.size()) + body };
  }
  ScriptedAnswer answer{ GoodStreamHead(id), true };
  answer.pause_ = options_.eventInterval_;
  for (int i = LastEventOf(aRequest) + 1; i <= options_.events_; ++i) {
    answer.later_.push_back(EventText(id, i));
  }
  return answer;
}

ProcessFleet::ProcessFleet(ProcessFleetOptions aOptions)
  : options_(std::move(aOptions))
  , store_(PortOf(0))
  , routers_(static_cast<std::size_t>(options_.routers_))
{
  for (int i = 0; i < options_.targets_; ++i) {
    targets_.push_back(std::make_unique<ScriptedTarget>(TargetPort(i)));
    targets_.back()->KeepNoRequests();
    targets_.back()->SetScript(
      [this](const std::string& aRequest) { return AnswerOf(aRequest); });
    const StandinTarget target{ fmt::format("i-{}", i),
                                fmt::format("z{}", i % kZones), TargetPort(i) };
    store_.Put(std::string(kStandinTargetTopic), EncodeStandinTarget(target));
  }
  store_.Put(std::string(kStandinConfigurationTopic),
             EncodeStandinConfiguration({}));
}

auto ProcessFleet::Start() -> absl::Status
{
  absl::Status status;
  for (int i = 0; i < options_.routers_; ++i) {
    WriteSettings(i);
    status.Update(StartRouter(i));
  }
  const auto end = std::chrono::steady_clock::now() + kReadyTimeout;
  for (int i = 0; i < options_.routers_ && status.ok(); ++i) {
    while (!IsReady(i) && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(kPoll);
    }
    if (!IsReady(i)) {
      status = absl::DeadlineExceededError(
        fmt::format("router r{} is not ready; its log: {}/r{}.log", i,
                    options_.folder_, i));
    }
  }
  return status;
}

auto ProcessFleet::StartRouter(int aRouter) -> absl::Status
{
  return Router(aRouter).Start(
    options_.program_, { "forward", "--settings=" + SettingsPath(aRouter) },
    fmt::format("{}/r{}.log", options_.folder_, aRouter));
}

auto ProcessFleet::Router(int aRouter) -> ChildProcess&
{
  return routers_[static_cast<std::size_t>(aRouter)];
}

auto ProcessFleet::Store() -> StoreStandin&
{
  return store_;
}

auto ProcessFleet::IsReady(int aRouter) const -> bool
{
  const auto port = CallerPort(aRouter) + kReadyOffset;
  const auto answer =
    SendRaw(static_cast<std::uint16_t>(port),
            "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  return answer.starts_with("HTTP/1.1 200");
}

auto ProcessFleet::CallerPort(int aRouter) const -> std::uint16_t
{
  return PortOf(kFirstRouterPort + aRouter * kPortsOfRouter);
}

auto ProcessFleet::TargetPort(int aTarget) const -> std::uint16_t
{
  return PortOf(kFirstTargetPort + aTarget);
}

auto ProcessFleet::Options() const -> const ProcessFleetOptions&
{
  return options_;
}

auto ProcessFleet::RunsOf(const std::string& aRequestId) -> int
{
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(aRequestId);
  return found == runs_.end() ? 0 : found->second;
}

auto ProcessFleet::WholeBody(const std::string& aRequestId,
                             bool aIsStream) const -> std::string
{
  if (!aIsStream) {
    return "answer to " + aRequestId;
  }
  std::string body;
  for (int i = 1; i <= options_.events_; ++i) {
    body += EventText(aRequestId, i);
  }
  return body;
}

} // namespace burdockring
