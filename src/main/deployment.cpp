#include "main/deployment.h"

#include "base/digest.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

constexpr auto kLoopback = "127.0.0.1";
constexpr int kAccounts = 16;
constexpr int kLargeAccounts = 3;
constexpr int kLargeWeight = 4;
constexpr int kRouters = 9;
constexpr int kEngineSlots = 8;
constexpr int kServiceSlots = 16;

auto Address(const Endpoint& aEndpoint) -> std::string
{
  return absl::StrCat(aEndpoint.host_, ":", aEndpoint.port_);
}

auto JoinAddresses(const std::vector<Endpoint>& aEndpoints) -> std::string
{
  std::string text;
  for (const auto& endpoint : aEndpoints) {
    absl::StrAppend(&text, text.empty() ? "" : ",", Address(endpoint));
  }
  return text;
}

auto WriteFile(const std::string& aPath, const std::string& aText) -> bool
{
  std::ofstream stream(aPath);
  stream << aText;
  return stream.good();
}

} // namespace

auto Deployment::NextEndpoint() -> Endpoint
{
  return { kLoopback, nextPort_++ };
}

auto Deployment::AddRouters(int aCount) -> void
{
  for (int i = 0; i < aCount; ++i) {
    DeployedRouter router;
    router.name_ = absl::StrFormat("router-%d", i + 1);
    router.zone_ = zones_[static_cast<std::size_t>(i) % zones_.size()];
    router.callers_ = NextEndpoint();
    router.operators_ = NextEndpoint();
    router.peers_ = NextEndpoint();
    routers_.push_back(std::move(router));
  }
}

auto Deployment::WriteAccounts(const std::string& aPrefix) -> void
{
  absl::StrAppend(&config_, "\nclient_accounts:\n");
  for (int i = 0; i < kAccounts; ++i) {
    const auto name = absl::StrFormat("%s-%02d", aPrefix, i + 1);
    absl::StrAppend(&config_, "  - name: ", name,
                    "\n    weight: ", i < kLargeAccounts ? kLargeWeight : 1,
                    "\n    token_sha256: ", Sha256Hex("token-" + name), "\n");
  }
}

auto Deployment::WriteTargets(const std::string& aService,
                              const std::string& aPrefix,
                              int aCount,
                              int aSlots,
                              std::vector<Endpoint>* aEndpoints) -> void
{
  for (int i = 0; i < aCount; ++i) {
    const auto endpoint = NextEndpoint();
    aEndpoints->push_back(endpoint);
    const auto& zone = zones_[static_cast<std::size_t>(i) % zones_.size()];
    absl::StrAppend(&config_, "  - name: ", aPrefix, "-",
                    absl::StrFormat("%02d", i + 1), "\n    service: ", aService,
                    "\n    zone: ", zone, "\n    address: ", Address(endpoint),
                    "\n    slots: ", aSlots, "\n");
  }
}

Deployment::Deployment(std::string aName, std::uint16_t aBasePort)
  : name_(std::move(aName))
  , nextPort_(aBasePort)
{
}

auto Deployment::Make(const std::string& aName, std::uint16_t aBasePort)
  -> std::optional<Deployment>
{
  Deployment deployment(aName, aBasePort);
  const bool bureau = aName == "bureau";
  if (!bureau && aName != "teranga") {
    return std::nullopt;
  }
  deployment.zones_ =
    bureau ? std::vector<std::string>{ "port-louis", "grand-baie",
                                       "flic-en-flac", "mahebourg" }
           : std::vector<std::string>{ "dakar-a", "dakar-b", "dakar-c" };
  deployment.log_ = deployment.NextEndpoint();
  deployment.vmList_ = deployment.NextEndpoint();
  deployment.AddRouters(kRouters);
  auto& config = deployment.config_;
  config = "zones:\n";
  for (const auto& zone : deployment.zones_) {
    absl::StrAppend(&config, "  - name: ", zone, "\n");
  }
  deployment.WriteAccounts(bureau ? "hotel" : "agency");
  const auto engineService = deployment.EngineService();
  const auto plainService = deployment.PlainService();
  absl::StrAppend(
    &config, "\nmodels:\n  - name: ", engineService,
    "-model\n    max_tokens: 4096\n\nservices:\n  - name: ", engineService,
    "\n    kind: engine\n    model: ", engineService,
    "-model\n  - name: ", plainService,
    "\n    kind: plain\n    idempotent: false\n\ntargets:\n");
  deployment.WriteTargets(engineService, "engine", bureau ? 12 : 18,
                          kEngineSlots, &deployment.engines_);
  deployment.WriteTargets(plainService, plainService, bureau ? 4 : 3,
                          kServiceSlots, &deployment.services_);
  return deployment;
}

auto Deployment::Log() const -> const Endpoint&
{
  return log_;
}

auto Deployment::VmList() const -> const Endpoint&
{
  return vmList_;
}

auto Deployment::Routers() const -> const std::vector<DeployedRouter>&
{
  return routers_;
}

auto Deployment::Engines() const -> const std::vector<Endpoint>&
{
  return engines_;
}

auto Deployment::Services() const -> const std::vector<Endpoint>&
{
  return services_;
}

auto Deployment::EngineService() const -> std::string
{
  return name_ == "bureau" ? "forecast" : "audit";
}

auto Deployment::PlainService() const -> std::string
{
  return name_ == "bureau" ? "records" : "shops";
}

auto Deployment::ConfigText() const -> const std::string&
{
  return config_;
}

auto Deployment::SettingsText(const DeployedRouter& aRouter) const
  -> std::string
{
  return absl::StrCat("name: ", aRouter.name_, "\nzone: ", aRouter.zone_,
                      "\ncallers: ", Address(aRouter.callers_),
                      "\noperators: ", Address(aRouter.operators_),
                      "\npeer_listener: ", Address(aRouter.peers_),
                      "\nlog: ", Address(log_), "\nvm_list: ", Address(vmList_),
                      "\ntraffic_threads: 1\n");
}

auto Deployment::VmListText() const -> std::string
{
  nlohmann::ordered_json list;
  list["routers"] = nlohmann::ordered_json::array();
  for (const auto& router : routers_) {
    list["routers"].push_back({ { "name", router.name_ },
                                { "zone", router.zone_ },
                                { "host", router.peers_.host_ },
                                { "peer_port", router.peers_.port_ },
                                { "operator_port", router.operators_.port_ },
                                { "state", "live" } });
  }
  list["leaving_targets"] = nlohmann::ordered_json::array();
  return list.dump(2) + '\n';
}

auto Deployment::WriteFiles(const std::string& aFolder) const -> bool
{
  std::vector<Endpoint> callers;
  bool good = WriteFile(aFolder + "/config.yaml", config_) &&
              WriteFile(aFolder + "/vms.json", VmListText());
  for (const auto& router : routers_) {
    callers.push_back(router.callers_);
    good = good && WriteFile(aFolder + "/" + router.name_ + ".yaml",
                             SettingsText(router));
  }
  const auto addresses =
    absl::StrCat("LOG=", Address(log_), "\nVMS=", Address(vmList_),
                 "\nENGINES=", JoinAddresses(engines_),
                 "\nSERVICES=", JoinAddresses(services_),
                 "\nROUTERS=", JoinAddresses(callers), "\n");
  return good && WriteFile(aFolder + "/addresses.env", addresses);
}

} // namespace burdockring
