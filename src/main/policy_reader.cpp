#include "main/policy_reader.h"

#include "base/yaml_reader.h"

#include <array>

namespace burdockring {
namespace {

/// Most that a limit may be, as a multiple of the shortest aim.
constexpr double kMostPart = 1000;

struct LimitRow
{
  const char* key_;
  double EngineLimits::*limit_;
};

constexpr std::array kLimitTable{
  LimitRow{ "owed_backlog", &EngineLimits::owedBacklog_ },
  LimitRow{ "fair_backlog", &EngineLimits::fairBacklog_ },
  LimitRow{ "beyond_backlog", &EngineLimits::beyondBacklog_ },
  LimitRow{ "pressed_backlog", &EngineLimits::pressedBacklog_ },
  LimitRow{ "keeper_backlog", &EngineLimits::keeperBacklog_ },
  LimitRow{ "elsewhere_backlog", &EngineLimits::elsewhereBacklog_ },
  LimitRow{ "heavy_reading", &EngineLimits::heavyReading_ },
  LimitRow{ "rank_penalty", &EngineLimits::rankPenalty_ },
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
      aFindings->Add(aReader->PlaceOf(item), FindingCode::kUnknownReference,
                     "no mechanism is called '" + name + "'");
    }
  }
}

auto ReadEngines(const YAML::Node& aNode,
                 const std::string& aFile,
                 FindingList* aFindings) -> EngineLimits
{
  EngineLimits limits;
  YamlReader reader(aNode, aFile, aFindings);
  for (const auto& row : kLimitTable) {
    auto& limit = limits.*row.limit_;
    limit = reader.Number(row.key_, limit, 0, kMostPart);
  }
  reader.Finish();
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
    builder.SetEngines(ReadEngines(*engines, aFile, aFindings));
  }
  reader.Finish();
  if (aFindings->HasErrors()) {
    return std::nullopt;
  }
  return builder.Build();
}

} // namespace burdockring
