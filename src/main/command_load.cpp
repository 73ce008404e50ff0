#include "absl/strings/str_split.h"
#include "base/yaml_reader.h"
#include "main/command_table.h"
#include "main/flags.h"
#include "main/load_driver.h"
#include "version/config_reader.h"

#include <fstream>
#include <iostream>

namespace burdockring {
namespace {

auto ReadOptions(LoadOptions* aOptions) -> absl::Status
{
  const std::vector<std::string> addresses =
    absl::StrSplit(FLAGS_routers, ',', absl::SkipEmpty());
  for (const auto& address : addresses) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint.ok()) {
      return endpoint.status();
    }
    aOptions->routers_.push_back(*endpoint);
  }
  FindingList findings;
  const auto text = ReadTextFile(FLAGS_config, &findings);
  if (!text || aOptions->routers_.empty()) {
    return absl::InvalidArgumentError("give --routers and --config");
  }
  const auto set = ReadConfigSet({ { FLAGS_config, *text } }, &findings);
  if (!set) {
    return absl::InvalidArgumentError(findings.ToText());
  }
  const auto* service = set->FindService(FLAGS_service);
  if (service == nullptr) {
    return absl::InvalidArgumentError("no service '" + FLAGS_service + "'");
  }
  aOptions->accounts_ = AccountsOf(*set, FLAGS_token_prefix);
  aOptions->service_ = FLAGS_service;
  aOptions->kind_ = service->kind_;
  aOptions->rate_ = FLAGS_rate;
  aOptions->seconds_ = FLAGS_seconds;
  aOptions->meanTokens_ = FLAGS_tokens;
  aOptions->seed_ = static_cast<std::uint64_t>(FLAGS_seed);
  aOptions->keyed_ = FLAGS_keyed;
  return absl::OkStatus();
}

} // namespace

auto RunLoad(const CommandArguments& aArguments) -> ExitCode
{
  LoadOptions options;
  const auto status = ReadOptions(&options);
  if (!aArguments.empty() || !status.ok()) {
    std::cerr << "burdockring load: " << status.message() << '\n';
    return ExitCode::kUsage;
  }
  boost::asio::io_context context(1);
  LoadDriver driver(std::move(options), &context);
  driver.Start(
    [](double aSeconds) { std::cerr << "sending, " << aSeconds << " s\n"; });
  context.run();
  std::cout << (FLAGS_json ? LoadJson(driver) : LoadTable(driver));
  if (!FLAGS_plot.empty()) {
    std::ofstream(FLAGS_plot) << LoadPlot(driver);
  }
  const auto total = driver.Total();
  return total.whole_ == total.sent_ ? ExitCode::kOk : ExitCode::kFailed;
}

} // namespace burdockring
