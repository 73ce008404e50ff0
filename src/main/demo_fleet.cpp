#include "main/demo_fleet.h"

#include "base/yaml_reader.h"
#include "version/log_record.h"

#include <utility>

namespace burdockring {
namespace {

constexpr std::size_t kLogRecords = 1'000'000;
constexpr Duration kCallTime = 10ms;
constexpr Duration kFetchTimeout = 2s;

auto ReadDemoSettings(const Deployment& aDeployment,
                      const DeployedRouter& aRouter) -> Settings
{
  FindingList findings;
  auto settings =
    ReadSettings(aDeployment.SettingsText(aRouter), aRouter.name_, &findings);
  return std::move(*settings);
}

} // namespace

DemoFleet::DemoFleet(Deployment aDeployment)
  : deployment_(std::move(aDeployment))
  , log_(std::make_unique<LogStandin>(&context_, kLogRecords))
  , vms_(std::make_unique<VmsStandin>(&context_, deployment_.VmListText()))
  , routers_(deployment_.Routers().size())
{
}

DemoFleet::~DemoFleet()
{
  for (auto& router : routers_) {
    if (router.process_) {
      router.process_->Stop();
    }
  }
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    StopRouter(i);
  }
  context_.stop();
  if (standinThread_.joinable()) {
    standinThread_.join();
  }
}

auto DemoFleet::Start(const EngineOptions& aEngines) -> absl::Status
{
  auto status = log_->Listen(deployment_.Log());
  status.Update(vms_->Listen(deployment_.VmList()));
  for (const auto& endpoint : deployment_.Engines()) {
    engines_.push_back(std::make_unique<EngineStandin>(&context_, aEngines));
    status.Update(engines_.back()->Listen(endpoint));
  }
  for (const auto& endpoint : deployment_.Services()) {
    services_.push_back(std::make_unique<ServiceStandin>(&context_, kCallTime));
    status.Update(services_.back()->Listen(endpoint));
  }
  if (!status.ok()) {
    return status;
  }
  standinThread_ = std::thread([this] { context_.run(); });
  ConfigChange change;
  change.text_ = deployment_.ConfigText();
  change.operator_ = "demo";
  change.changeId_ = MakeChangeId(0, change.text_);
  status.Update(LogClient(deployment_.Log())
                  .AppendBlocking(EncodeRecords({ change }), kFetchTimeout)
                  .status());
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    status.Update(StartRouter(i));
  }
  return status;
}

auto DemoFleet::StartRouter(std::size_t aIndex) -> absl::Status
{
  auto& router = routers_[aIndex];
  router.process_ = std::make_unique<RouterProcess>(
    ReadDemoSettings(deployment_, deployment_.Routers()[aIndex]));
  auto status = router.process_->Listen();
  if (!status.ok()) {
    router.process_.reset();
    return status;
  }
  router.thread_ = std::thread([&router] { router.process_->Run(); });
  return status;
}

auto DemoFleet::StopRouter(std::size_t aIndex) -> void
{
  auto& router = routers_[aIndex];
  if (!router.process_) {
    return;
  }
  router.process_->Stop();
  router.thread_.join();
  router.process_.reset();
}

auto DemoFleet::KillRouter(std::size_t aIndex) -> void
{
  auto& router = routers_[aIndex];
  if (!router.process_) {
    return;
  }
  router.process_->Kill();
  router.thread_.join();
  router.process_.reset();
}

auto DemoFleet::IsReady() const -> bool
{
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    if (!routers_[i].process_) {
      continue;
    }
    const auto reply =
      FetchBlocking(deployment_.Routers()[i].operators_, HttpMethod::kGet,
                    "/ready", {}, kFetchTimeout);
    if (!reply.ok() || reply->status_ != 200) {
      return false;
    }
  }
  return true;
}

auto DemoFleet::Layout() const -> const Deployment&
{
  return deployment_;
}

} // namespace burdockring
