#include "version/config_reader.h"

#include "base/yaml_reader.h"
#include "version/config_checker.h"

#include <array>
#include <optional>

namespace burdockring {
namespace {

constexpr int kMaxSlots = 4096;
constexpr int kMaxWaiting = 100'000;
constexpr double kMinWeight = 0.01;
constexpr double kMaxWeight = 1000.0;
constexpr std::int64_t kMaxTimeoutMillis = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxPort = 65535;

struct KindRow
{
  std::string_view name_;
  ServiceKind kind_;
};

constexpr std::array kKindTable{
  KindRow{ "engine", ServiceKind::kEngine },
  KindRow{ "plain", ServiceKind::kPlain },
};

auto ParseKind(std::string_view aName) -> std::optional<ServiceKind>
{
  for (const auto& row : kKindTable) {
    if (row.name_ == aName) {
      return row.kind_;
    }
  }
  return std::nullopt;
}

/// Parses the objects of one source into the shared lists.
class SourceReader
{
  ObjectLists* lists_;
  FindingList* findings_;
  std::string file_;

  template<typename ReadItem>
  auto ReadList(YamlReader* aTop, const char* aKey, ReadItem aReadItem) -> void
  {
    for (const auto& item : aTop->Items(aKey, false)) {
      YamlReader reader(item, file_, findings_);
      if (!item.IsMap()) {
        findings_->Add(reader.LocationOf(item), FindingCode::kWrongType,
                       std::string("an item of '") + aKey +
                         "' must be a mapping");
        continue;
      }
      aReadItem(&reader, reader.LocationOf(item));
      reader.ReportUnknownKeys();
    }
  }

  auto ReadZone(YamlReader* aReader, SourceLocation aLocation) -> void
  {
    ZoneObject zone;
    zone.name_ = aReader->Text("name", std::nullopt);
    zone.region_ = aReader->Text("region", "");
    zone.id_ = MakeId<ZoneId>(zone.name_);
    zone.location_ = std::move(aLocation);
    lists_->zones_.push_back(std::move(zone));
  }

  auto ReadAccount(YamlReader* aReader, SourceLocation aLocation) -> void
  {
    AccountObject account;
    account.name_ = aReader->Text("name", std::nullopt);
    account.weight_ = aReader->Number("weight", 1.0, kMinWeight, kMaxWeight);
    account.tokenSha256_ = aReader->Text("token_sha256", std::nullopt);
    account.maxWaiting_ =
      static_cast<int>(aReader->Integer("max_waiting", 256, 1, kMaxWaiting));
    account.id_ = MakeId<AccountId>(account.name_);
    account.location_ = std::move(aLocation);
    lists_->accounts_.push_back(std::move(account));
  }

  auto ReadModel(YamlReader* aReader, SourceLocation aLocation) -> void
  {
    ModelObject model;
    model.name_ = aReader->Text("name", std::nullopt);
    model.maxTokens_ =
      static_cast<int>(aReader->Integer("max_tokens", 4096, 1, 10'000'000));
    model.fallback_ = aReader->Text("fallback", "");
    model.location_ = std::move(aLocation);
    lists_->models_.push_back(std::move(model));
  }

  auto ReadService(YamlReader* aReader, SourceLocation aLocation) -> void
  {
    ServiceObject service;
    service.name_ = aReader->Text("name", std::nullopt);
    const auto kindName = aReader->Text("kind", "engine");
    const auto kind = ParseKind(kindName);
    if (!kind) {
      findings_->Add(aReader->LocationOf("kind"), FindingCode::kOutOfRange,
                     "'kind' must be engine or plain, not '" + kindName + "'");
    }
    service.kind_ = kind.value_or(ServiceKind::kEngine);
    service.model_ = aReader->Text("model", "");
    service.idempotent_ = aReader->Boolean("idempotent", true);
    service.queueTimeout_ = std::chrono::milliseconds(
      aReader->Integer("queue_timeout_ms", 30'000, 1, kMaxTimeoutMillis));
    service.progressTimeout_ = std::chrono::milliseconds(
      aReader->Integer("progress_timeout_ms", 5'000, 1, kMaxTimeoutMillis));
    service.maxAttempts_ =
      static_cast<int>(aReader->Integer("max_attempts", 3, 1, 10));
    service.id_ = MakeId<ServiceId>(service.name_);
    service.location_ = std::move(aLocation);
    lists_->services_.push_back(std::move(service));
  }

  auto ReadAddress(YamlReader* aReader, TargetObject* aTarget) -> void
  {
    const auto address = aReader->Text("address", std::nullopt);
    const auto colon = address.rfind(':');
    std::int64_t port = 0;
    if (colon != std::string::npos) {
      const auto digits = address.substr(colon + 1);
      const bool numeric =
        !digits.empty() && digits.size() <= 5 &&
        digits.find_first_not_of("0123456789") == std::string::npos;
      port = numeric ? std::stoll(digits) : 0;
    }
    if (port < 1 || port > kMaxPort || colon == 0) {
      if (aReader->HasKey("address")) {
        findings_->Add(aReader->LocationOf("address"), FindingCode::kBadAddress,
                       "'address' must be IP:PORT, not '" + address + "'");
      }
      return;
    }
    aTarget->host_ = address.substr(0, colon);
    aTarget->port_ = static_cast<std::uint16_t>(port);
  }

  auto ReadTarget(YamlReader* aReader, SourceLocation aLocation) -> void
  {
    TargetObject target;
    target.name_ = aReader->Text("name", std::nullopt);
    target.serviceName_ = aReader->Text("service", std::nullopt);
    target.zoneName_ = aReader->Text("zone", std::nullopt);
    ReadAddress(aReader, &target);
    target.slots_ =
      static_cast<int>(aReader->Integer("slots", 8, 1, kMaxSlots));
    target.leaving_ = aReader->Boolean("leaving", false);
    target.checksFencing_ = aReader->Boolean("checks_fencing", false);
    target.id_ = MakeId<TargetId>(target.name_);
    target.service_ = MakeId<ServiceId>(target.serviceName_);
    target.zone_ = MakeId<ZoneId>(target.zoneName_);
    target.location_ = std::move(aLocation);
    lists_->targets_.push_back(std::move(target));
  }

public:
  SourceReader(ObjectLists* aLists, FindingList* aFindings, std::string aFile)
    : lists_(aLists)
    , findings_(aFindings)
    , file_(std::move(aFile))
  {
  }

  auto Read(const YAML::Node& aTop) -> void
  {
    YamlReader top(aTop, file_, findings_);
    ReadList(&top, "zones",
             [this](YamlReader* aReader, SourceLocation aLocation) {
               ReadZone(aReader, std::move(aLocation));
             });
    ReadList(&top, "client_accounts",
             [this](YamlReader* aReader, SourceLocation aLocation) {
               ReadAccount(aReader, std::move(aLocation));
             });
    ReadList(&top, "models",
             [this](YamlReader* aReader, SourceLocation aLocation) {
               ReadModel(aReader, std::move(aLocation));
             });
    ReadList(&top, "services",
             [this](YamlReader* aReader, SourceLocation aLocation) {
               ReadService(aReader, std::move(aLocation));
             });
    ReadList(&top, "targets",
             [this](YamlReader* aReader, SourceLocation aLocation) {
               ReadTarget(aReader, std::move(aLocation));
             });
    top.ReportUnknownKeys();
  }
};

} // namespace

auto ReadConfigSet(const std::vector<ConfigSource>& aSources,
                   FindingList* aFindings) -> ConfigSetPointer
{
  ObjectLists lists;
  for (const auto& source : aSources) {
    const auto top = ParseYaml(source.text_, source.file_, aFindings);
    if (top) {
      SourceReader(&lists, aFindings, source.file_).Read(*top);
    }
  }
  auto set = CheckObjects(lists, aFindings);
  aFindings->Sort();
  return aFindings->HasErrors() ? nullptr : set;
}

auto JoinConfigSources(const std::vector<ConfigSource>& aSources) -> std::string
{
  if (aSources.size() == 1) {
    return aSources.front().text_;
  }
  YAML::Node joined;
  for (const auto& source : aSources) {
    for (const auto& entry : YAML::Load(source.text_)) {
      for (const auto& item : entry.second) {
        joined[entry.first.Scalar()].push_back(item);
      }
    }
  }
  return YAML::Dump(joined) + '\n';
}

} // namespace burdockring
