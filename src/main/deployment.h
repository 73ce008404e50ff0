#ifndef BURDOCKRING_MAIN_DEPLOYMENT_H
#define BURDOCKRING_MAIN_DEPLOYMENT_H

#include "adapter/http_fetch.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockring {

/// Where one router of a deployment listens.
struct DeployedRouter
{
  std::string name_;
  std::string zone_;
  Endpoint callers_;
  Endpoint operators_;
  Endpoint peers_;
};

/// An example deployment on loopback addresses: zones, routers, targets and
/// client accounts, with the files that describe them.
class Deployment
{
  std::string name_;
  std::uint16_t nextPort_;
  std::vector<std::string> zones_;
  Endpoint log_;
  Endpoint vmList_;
  std::vector<DeployedRouter> routers_;
  std::vector<Endpoint> engines_;
  std::vector<Endpoint> services_;
  std::string config_;

  auto NextEndpoint() -> Endpoint;
  auto AddRouters(int aCount) -> void;
  auto WriteAccounts(const std::string& aPrefix) -> void;
  auto WriteTargets(const std::string& aService,
                    const std::string& aPrefix,
                    int aCount,
                    int aSlots,
                    std::vector<Endpoint>* aEndpoints) -> void;

  Deployment(std::string aName, std::uint16_t aBasePort);

public:
  /// The deployment of this name (bureau or teranga), or none.
  static auto Make(const std::string& aName, std::uint16_t aBasePort)
    -> std::optional<Deployment>;

  [[nodiscard]] auto Log() const -> const Endpoint&;
  [[nodiscard]] auto VmList() const -> const Endpoint&;
  [[nodiscard]] auto Routers() const -> const std::vector<DeployedRouter>&;
  [[nodiscard]] auto Engines() const -> const std::vector<Endpoint>&;
  [[nodiscard]] auto Services() const -> const std::vector<Endpoint>&;
  /// The service that engines serve, and the plain one.
  [[nodiscard]] auto EngineService() const -> std::string;
  [[nodiscard]] auto PlainService() const -> std::string;
  [[nodiscard]] auto ConfigText() const -> const std::string&;
  [[nodiscard]] auto SettingsText(const DeployedRouter& aRouter) const
    -> std::string;
  [[nodiscard]] auto VmListText() const -> std::string;
  /// Writes config.yaml, vms.json, addresses.env and the routers' settings.
  [[nodiscard]] auto WriteFiles(const std::string& aFolder) const -> bool;
};

} // namespace burdockring

#endif
