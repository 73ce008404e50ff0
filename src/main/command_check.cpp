#include "base/yaml_reader.h"
#include "main/command_table.h"
#include "main/flags.h"
#include "platform/process_settings.h"
#include "version/config_reader.h"

#include <iostream>

namespace burdockring {
namespace {

constexpr std::string_view kSettingsEnding = ".json";

auto Report(const FindingList& aFindings) -> ExitCode
{
  std::cout << (FLAGS_json ? aFindings.ToJson() + '\n' : aFindings.ToText());
  if (aFindings.HasErrors()) {
    std::cerr << aFindings.ErrorCount() << " errors\n";
    return ExitCode::kFailed;
  }
  return ExitCode::kOk;
}

/// Checks the settings of one process on the platform.
auto CheckProcessSettings(const std::string& aPath) -> ExitCode
{
  FindingList findings;
  const auto text = ReadTextFile(aPath, &findings);
  const auto settings =
    text ? ReadProcessSettings(*text, aPath, &findings) : std::nullopt;
  const auto code = Report(findings);
  if (settings && !FLAGS_json) {
    std::cout << "good: settings of " << settings->self_.name_ << " in "
              << settings->self_.zoneName_ << '\n';
  }
  return code;
}

} // namespace

auto RunCheck(const CommandArguments& aArguments) -> ExitCode
{
  if (aArguments.empty()) {
    std::cerr << "burdockring check: name at least one file\n";
    return ExitCode::kUsage;
  }
  if (aArguments.size() == 1 && aArguments[0].ends_with(kSettingsEnding)) {
    return CheckProcessSettings(aArguments[0]);
  }
  FindingList findings;
  std::vector<ConfigSource> sources;
  for (const auto& path : aArguments) {
    auto text = ReadTextFile(path, &findings);
    if (text) {
      sources.push_back({ path, std::move(*text) });
    }
  }
  const auto set = ReadConfigSet(sources, &findings);
  const auto code = Report(findings);
  if (code != ExitCode::kOk) {
    return code;
  }
  if (!FLAGS_json) {
    std::cout << "good: " << set->accounts_.size() << " client accounts, "
              << set->services_.size() << " services, " << set->targets_.size()
              << " targets\n";
  }
  return code;
}

} // namespace burdockring
