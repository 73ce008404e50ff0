#ifndef BURDOCKRING_MAIN_DEMO_FLEET_H
#define BURDOCKRING_MAIN_DEMO_FLEET_H

#include "absl/status/status.h"
#include "main/deployment.h"
#include "main/router_process.h"
#include "standin/engine_standin.h"
#include "standin/log_standin.h"
#include "standin/service_standin.h"
#include "standin/vms_standin.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace burdockring {

/// A whole deployment in one process: stand-ins on one thread, each router on
/// threads of its own, all over loopback addresses.
class DemoFleet
{
  struct RunningRouter
  {
    std::unique_ptr<RouterProcess> process_;
    std::thread thread_;
  };

  Deployment deployment_;
  boost::asio::io_context context_{ 1 };
  std::unique_ptr<LogStandin> log_;
  std::unique_ptr<VmsStandin> vms_;
  std::vector<std::unique_ptr<EngineStandin>> engines_;
  std::vector<std::unique_ptr<ServiceStandin>> services_;
  std::thread standinThread_;
  std::vector<RunningRouter> routers_;

public:
  explicit DemoFleet(Deployment aDeployment);
  ~DemoFleet();
  DemoFleet(const DemoFleet&) = delete;
  auto operator=(const DemoFleet&) -> DemoFleet& = delete;

  /// Starts the stand-ins, publishes the configuration and starts the routers.
  auto Start(const EngineOptions& aEngines) -> absl::Status;
  /// Starts one router anew.
  auto StartRouter(std::size_t aIndex) -> absl::Status;
  /// Stops one router gracefully and waits for its end.
  auto StopRouter(std::size_t aIndex) -> void;
  /// Ends one router at once, with its connections.
  auto KillRouter(std::size_t aIndex) -> void;
  /// Whether every running router is ready, by its own /ready page.
  [[nodiscard]] auto IsReady() const -> bool;
  [[nodiscard]] auto Layout() const -> const Deployment&;
};

} // namespace burdockring

#endif
