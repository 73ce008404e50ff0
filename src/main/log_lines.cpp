#include "main/log_lines.h"

#include <array>
#include <easylogging++.h>
#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

struct LevelRow
{
  LogLevel level_;
  std::string_view name_;
  el::Level library_;
};

constexpr std::array kLevelTable{
  LevelRow{ LogLevel::kInfo, "info", el::Level::Info },
  LevelRow{ LogLevel::kWarning, "warning", el::Level::Warning },
  LevelRow{ LogLevel::kError, "error", el::Level::Error },
};

} // namespace

auto SetUpLogging(std::string_view aLevel) -> void
{
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(
    el::ConfigurationType::Format,
    "{\"time\":\"%datetime{%Y-%M-%dT%H:%m:%s.%g}\",%msg}");
  bool enabled = false;
  for (const auto& row : kLevelTable) {
    enabled = enabled || row.name_ == aLevel;
    configurations.set(row.library_, el::ConfigurationType::Enabled,
                       enabled ? "true" : "false");
  }
  el::Loggers::reconfigureAllLoggers(configurations);
}

auto LogStateChange(LogLevel aLevel,
                    std::string_view aRouter,
                    std::string_view aComponent,
                    std::string_view aSubject,
                    std::string_view aChange) -> void
{
  const auto& row = kLevelTable.at(static_cast<std::size_t>(aLevel));
  const nlohmann::ordered_json line = { { "level", row.name_ },
                                        { "router", aRouter },
                                        { "component", aComponent },
                                        { "subject", aSubject },
                                        { "change", aChange } };
  auto text =
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // The format adds the time and the braces.
  text = text.substr(1, text.size() - 2);
  switch (aLevel) {
    case LogLevel::kInfo:
      LOG(INFO) << text;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << text;
      break;
    case LogLevel::kError:
      LOG(ERROR) << text;
      break;
  }
}

} // namespace burdockring
