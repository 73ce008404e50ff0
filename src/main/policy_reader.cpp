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
using WaitRow = LimitRow<QueueLimits>;

constexpr std::array kEngineTable{
  EngineRow{ "owed_backlog", &EngineLimits::guaranteedBacklog_ },
  EngineRow{ "fair_backlog", &EngineLimits::fairBacklog_ },
  EngineRow{ "beyond_backlog", &EngineLimits::beyondShareBacklog_ },
  EngineRow{ "pressed_backlog", &EngineLimits::pressureBacklog_ },
  EngineRow{ "keeper_backlog", &EngineLimits::preferredBacklog_ },
  EngineRow{ "elsewhere_backlog", &EngineLimits::otherBacklog_ },
  EngineRow{ "heavy_reading", &EngineLimits::longPrefixThreshold_ },
  EngineRow{ "rank_penalty", &EngineLimits::rankPenalty_ },
};

constexpr std::array kWaitTable{
  WaitRow{ "wait_part", &QueueLimits::maxWaitFraction_ },
  WaitRow{ "return_aim", &QueueLimits::minRetryAfterFraction_ },
  WaitRow{ "return_patience", &QueueLimits::maxRetryAfterFraction_ },
};

auto ReadWithout(YamlReader* aReader,
                 FindingList* aFindings,
                 PolicyBuilder* aBuilder) -> void
{
  for (const auto& item : aReader->Items("without", false)) {
    const auto name = item.IsScalar() ? item.Scalar() : std::string();
    const auto mechanism = MechanismByName(name);
    if (mechanism) {
      aBuilder->Disable(*mechanism);
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
    builder.SetEngineLimits(
      ReadLimits(*engines, aFile, kEngineTable, EngineLimits(), aFindings));
  }
  if (const auto waits = reader.Section("waits")) {
    builder.SetQueueLimits(
      ReadLimits(*waits, aFile, kWaitTable, QueueLimits(), aFindings));
  }
  reader.ReportUnknownKeys();
  if (aFindings->HasErrors()) {
    return std::nullopt;
  }
  return builder.Build();
}

} // namespace burdockring
