#include "base/yaml_reader.h"
#include "main/command_table.h"
#include "main/flags.h"
#include "main/forwarding_process.h"
#include "main/policy_reader.h"

#include <cstdlib>
#include <iostream>

namespace burdockring {
namespace {

/// Names the settings file where no flag does.
constexpr const char* kSettingsVariable = "BURDOCKRING_SETTINGS";

auto ReadPolicyFile(const std::string& aPath, FindingList* aFindings)
  -> std::optional<ForwardingPolicy>
{
  if (aPath.empty()) {
    return ForwardingPolicy();
  }
  const auto text = ReadTextFile(aPath, aFindings);
  return text ? ReadPolicy(*text, aPath, aFindings) : std::nullopt;
}

} // namespace

auto RunForward(const CommandArguments& aArguments) -> ExitCode
{
  auto path = FLAGS_settings;
  const char* variable = std::getenv(kSettingsVariable);
  if (path.empty() && variable != nullptr) {
    path = variable;
  }
  if (!aArguments.empty() || path.empty()) {
    std::cerr << "burdockring forward: give --settings FILE or set "
              << kSettingsVariable << '\n';
    return ExitCode::kUsage;
  }
  FindingList findings;
  const auto text = ReadTextFile(path, &findings);
  auto settings =
    text ? ReadProcessSettings(*text, path, &findings) : std::nullopt;
  const auto policy = ReadPolicyFile(FLAGS_policy, &findings);
  std::cerr << findings.ToText();
  if (!settings || !policy) {
    return ExitCode::kFailed;
  }
  settings->forwarding_.policy_ = *policy;
  ForwardingProcess process(std::move(*settings), path, *text);
  const auto listening = process.Listen();
  if (!listening.ok()) {
    std::cerr << "burdockring forward: " << listening.message() << '\n';
    return ExitCode::kFailed;
  }
  process.Run();
  return ExitCode::kOk;
}

} // namespace burdockring
