#include "main/policy_reader.h"

#include "base/yaml_reader.h"

#include <array>

namespace burdockring {
namespace {

/// Most that a limit may be, as a multiple of the shortest aim.
constexpr double kMostPart = 1000;

template<typename Limits>
struct LimitRow
{
  const char* key_;
  double Limits::*limit_;
};

using EngineRow = LimitRow<EngineLimits>;
using WaitRow = LimitRow<WaitLimits>;

constexpr std::array kEngineTable{
  EngineRow{ "owed_backlog", &EngineLimits::owedBacklog_ },
  EngineRow{ "fair_backlog", &EngineLimits::fairBacklog_ },
  EngineRow{ "beyond_backlog", &EngineLimits::beyondBacklog_ },
  EngineRow{ "pressed_backlog", &EngineLimits::pressedBacklog_ },
  EngineRow{ "keeper_backlog", &EngineLimits::keeperBacklog_ },
  EngineRow{ "elsewhere_backlog", &EngineLimits::elsewhereBacklog_ },
  EngineRow{ "heavy_reading", &EngineLimits::heavyReading_ },
  EngineRow{ "rank_penalty", &EngineLimits::rankPenalty_ },
};

constexpr std::array kWaitTable{
  WaitRow{ "wait_part", &WaitLimits::waitPart_ },
  WaitRow{ "return_aim", &WaitLimits::returnAim_ },
  WaitRow{ "return_patience", &WaitLimits::returnPatience_ },
};

auto ReadWithout(YamlReader* aReader,
                 FindingList* aFindings,
                 PolicyBuilder* aBuilder) -> void
{
  for (const auto& item : aReader->Items("without", false)) {
    const auto name = item.IsScalar() ? item.Scalar() : std::string();
    const auto mechanism = MechanismByName(name);
    if (mechanism) {
      aBuilder->Without(*mechanism);
    } else {
      aFindings->Add(aReader->LocationOf(item), FindingCode::kUnknownReference,
                     "no mechanism is called '" + name + "'");
    }
  }
}

template<typename Table, typename Limits>
auto ReadLimits(const YAML::Node& aNode,
                const std::string& aFile,
                const Table& aTable,
                Limits aUsual,
                FindingList* aFindings) -> Limits
{
  auto limits = aUsual;
  YamlReader reader(aNode, aFile, aFindings);
  for (const auto& row : aTable) {
    auto& limit = limits.*row.limit_;
    limit = reader.Number(row.key_, limit, 0, kMostPart);
  }
  reader.ReportUnknownKeys();
  return limits;
}

} // namespace

auto ReadPolicy(const std::string& aText,
                const std::string& aFile,
                FindingList* aFindings) -> std::optional<ForwardingPolicy>
{
  const auto top = ParseYaml(aText, aFile, aFindings);
  if (!top) {
    return std::nullopt;
  }
  PolicyBuilder builder;
  YamlReader reader(*top, aFile, aFindings);
  ReadWithout(&reader, aFindings, &builder);
  if (const auto engines = reader.Section("engines")) {
    builder.SetEngines(
      ReadLimits(*engines, aFile, kEngineTable, EngineLimits(), aFindings));
  }
  if (const auto waits = reader.Section("waits")) {
    builder.SetWaits(
      ReadLimits(*waits, aFile, kWaitTable, WaitLimits(), aFindings));
  }
  reader.ReportUnknownKeys();
  if (aFindings->HasErrors()) {
    return std::nullopt;
  }
  return builder.Build();
}

} // namespace burdockring
