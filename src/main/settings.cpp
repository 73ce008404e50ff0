#include "main/settings.h"

#include "base/yaml_reader.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace burdockring {
namespace {

constexpr std::array<std::string_view, 3> kLogLevels{ "info", "warning",
                                                      "error" };

/// Reads the parts of a settings file.
class SettingsReader
{
  std::string file_;
  FindingList* findings_;

  auto Address(YamlReader* aReader,
               const std::string& aKey,
               std::optional<std::string> aDefault) -> Endpoint
  {
    const auto text = aReader->Text(aKey, std::move(aDefault));
    if (text.empty()) {
      return {};
    }
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint.ok()) {
      findings_->Add(aReader->LocationOf(aKey), FindingCode::kBadAddress,
                     "'" + aKey +
                       "': " + std::string(endpoint.status().message()));
      return {};
    }
    return *endpoint;
  }

  auto ReadPeer(const YAML::Node& aNode) -> RouterAddress
  {
    RouterAddress peer;
    YamlReader reader(aNode, file_, findings_);
    if (!aNode.IsMap()) {
      findings_->Add(reader.LocationOf(aNode), FindingCode::kWrongType,
                     "an item of 'peers' must be a mapping");
      return peer;
    }
    peer.name_ = reader.Text("name", std::nullopt);
    peer.zoneName_ = reader.Text("zone", std::nullopt);
    const auto address = Address(&reader, "address", std::nullopt);
    const auto operators = Address(&reader, "operators", std::string());
    peer.host_ = address.host_;
    peer.peerPort_ = address.port_;
    peer.operatorPort_ = operators.port_;
    peer.id_ = MakeId<RouterId>(peer.name_);
    peer.zone_ = MakeId<ZoneId>(peer.zoneName_);
    reader.ReportUnknownKeys();
    return peer;
  }

  template<typename ReadFields>
  auto Section(YamlReader* aTop, const char* aKey, ReadFields aReadFields)
    -> void
  {
    const auto node = aTop->Section(aKey);
    if (!node) {
      return;
    }
    YamlReader reader(*node, file_, findings_);
    aReadFields(&reader);
    reader.ReportUnknownKeys();
  }

  auto ReadLimits(YamlReader* aReader, HttpLimits* aLimits) -> void
  {
    aLimits->headerBytes_ = static_cast<std::uint32_t>(
      aReader->Integer("header_bytes", aLimits->headerBytes_, 256, 1 << 20));
    aLimits->bodyBytes_ = static_cast<std::uint64_t>(aReader->Integer(
      "body_bytes", static_cast<std::int64_t>(aLimits->bodyBytes_), 1,
      1 << 28));
    aLimits->connections_ = static_cast<int>(
      aReader->Integer("connections", aLimits->connections_, 1, 1'000'000));
    aLimits->readTimeout_ = std::chrono::milliseconds(
      aReader->Integer("read_timeout_ms", 15'000, 1, 3'600'000));
    aLimits->writeTimeout_ = std::chrono::milliseconds(
      aReader->Integer("write_timeout_ms", 30'000, 1, 3'600'000));
  }

  auto ReadSharing(YamlReader* aReader, SharingOptions* aOptions) -> void
  {
    aOptions->reuseSlack_ = aReader->Integer(
      "reuse_slack_tokens", aOptions->reuseSlack_, 0, 1'000'000);
    aOptions->lease_ = std::chrono::milliseconds(
      aReader->Integer("lease_ms", 1000, 100, 60'000));
    aOptions->spillDelay_ = std::chrono::milliseconds(
      aReader->Integer("spill_delay_ms", 20, 0, 60'000));
  }

  auto ReadClaims(YamlReader* aReader, ClaimOptions* aOptions) -> void
  {
    aOptions->keyWindow_ = std::chrono::seconds(
      aReader->Integer("key_window_s", 600, 1, 7 * 24 * 3600));
    aOptions->claimTimeout_ = std::chrono::milliseconds(
      aReader->Integer("timeout_ms", 1000, 10, 60'000));
    aOptions->maxFleetAppendsPerSecond_ = aReader->Number(
      "fleet_appends_per_s", aOptions->maxFleetAppendsPerSecond_, 0.1, 100'000);
  }

public:
  SettingsReader(std::string aFile, FindingList* aFindings)
    : file_(std::move(aFile))
    , findings_(aFindings)
  {
  }

  auto Read(const YAML::Node& aNode) -> Settings
  {
    Settings settings;
    YamlReader top(aNode, file_, findings_);
    settings.name_ = top.Text("name", std::nullopt);
    settings.zone_ = top.Text("zone", std::nullopt);
    settings.callers_ = Address(&top, "callers", std::nullopt);
    settings.operators_ = Address(&top, "operators", std::nullopt);
    settings.peers_ = Address(&top, "peer_listener", std::nullopt);
    settings.log_ = Address(&top, "log", std::nullopt);
    const auto vmList = Address(&top, "vm_list", std::string());
    if (vmList.port_ != 0) {
      settings.vmList_ = vmList;
    }
    for (const auto& item : top.Items("peers", false)) {
      settings.peerList_.push_back(ReadPeer(item));
    }
    settings.trafficThreads_ =
      static_cast<int>(top.Integer("traffic_threads", 2, 1, 64));
    settings.logLevel_ = top.Text("log_level", "info");
    if (std::find(kLogLevels.begin(), kLogLevels.end(), settings.logLevel_) ==
        kLogLevels.end()) {
      findings_->Add(top.LocationOf("log_level"), FindingCode::kOutOfRange,
                     "'log_level' must be info, warning or error");
    }
    Section(&top, "limits", [&](YamlReader* aReader) {
      ReadLimits(aReader, &settings.callerLimits_);
    });
    Section(&top, "sharing", [&](YamlReader* aReader) {
      ReadSharing(aReader, &settings.node_.sharing_);
    });
    Section(&top, "claims", [&](YamlReader* aReader) {
      ReadClaims(aReader, &settings.node_.claims_);
    });
    top.ReportUnknownKeys();
    return settings;
  }
};

} // namespace

auto Settings::Self() const -> RouterAddress
{
  RouterAddress self;
  self.name_ = name_;
  self.zoneName_ = zone_;
  self.id_ = MakeId<RouterId>(name_);
  self.zone_ = MakeId<ZoneId>(zone_);
  self.host_ = peers_.host_;
  self.peerPort_ = peers_.port_;
  self.operatorPort_ = operators_.port_;
  return self;
}

auto ReadSettings(const std::string& aText,
                  const std::string& aFile,
                  FindingList* aFindings) -> std::optional<Settings>
{
  const auto top = ParseYaml(aText, aFile, aFindings);
  if (!top) {
    return std::nullopt;
  }
  auto settings = SettingsReader(aFile, aFindings).Read(*top);
  aFindings->Sort();
  if (aFindings->HasErrors()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace burdockring
