#include "main/command_table.h"
#include "main/demo_fleet.h"
#include "main/flags.h"
#include "main/load_driver.h"
#include "main/log_lines.h"
#include "main/process_demo.h"
#include "version/config_reader.h"

#include "absl/strings/str_format.h"

#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace burdockring {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr Duration kPoll = 50ms;
constexpr Duration kReadyTimeout = 15s;
constexpr Duration kFetchTimeout = 2s;

auto WaitReady(const DemoFleet& aFleet) -> bool
{
  const auto end = Clock::now() + kReadyTimeout;
  while (!aFleet.IsReady()) {
    if (Clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

auto MakeLoad(const Deployment& aLayout) -> LoadOptions
{
  FindingList findings;
  const auto set =
    ReadConfigSet({ { "demo", aLayout.ConfigText() } }, &findings);
  LoadOptions options;
  options.accounts_ = AccountsOf(*set, "token-");
  for (const auto& router : aLayout.Routers()) {
    options.routers_.push_back(router.callers_);
  }
  options.service_ = aLayout.EngineService();
  options.rate_ = FLAGS_rate;
  options.seconds_ = FLAGS_seconds;
  options.meanTokens_ = FLAGS_tokens;
  options.seed_ = static_cast<std::uint64_t>(FLAGS_seed);
  return options;
}

/// Service given by weight to each account, and how far apart they are.
auto ShareTable(const LoadDriver& aDriver, const LoadOptions& aOptions)
  -> std::string
{
  std::string text = "\nservice by weight (tokens / weight):\n";
  for (const auto& account : aOptions.accounts_) {
    const auto found = aDriver.Results().find(account.name_);
    const auto tokens =
      found == aDriver.Results().end() ? 0 : found->second.tokens_;
    absl::StrAppendFormat(&text, "  %-14s %10.1f\n", account.name_,
                          static_cast<double>(tokens) / account.weight_);
  }
  return text;
}

auto ControlReport(const Deployment& aLayout, double aSeconds) -> std::string
{
  std::int64_t bytes = 0;
  std::int64_t messages = 0;
  for (const auto& router : aLayout.Routers()) {
    const auto reply = FetchBlocking(router.operators_, HttpMethod::kGet,
                                     "/status", {}, kFetchTimeout);
    if (!reply.ok()) {
      continue;
    }
    const auto status = json::parse(reply->body_, nullptr, false);
    bytes += status["counters"]["peer_bytes_out"].get<std::int64_t>();
    messages += status["counters"]["peer_messages_out"].get<std::int64_t>();
  }
  const auto nodes = static_cast<double>(aLayout.Routers().size());
  return absl::StrFormat(
    "\ncontrol traffic: %.2f KB/s and %.1f messages/s for each router\n",
    static_cast<double>(bytes) / 1000.0 / aSeconds / nodes,
    static_cast<double>(messages) / aSeconds / nodes);
}

auto UtilisationReport(const Deployment& aLayout) -> std::string
{
  std::int64_t finished = 0;
  int most = 0;
  for (const auto& engine : aLayout.Engines()) {
    const auto reply =
      FetchBlocking(engine, HttpMethod::kGet, "/v1/record", {}, kFetchTimeout);
    if (!reply.ok()) {
      continue;
    }
    const auto record = json::parse(reply->body_, nullptr, false);
    finished += record["finished"].get<std::int64_t>();
    most = std::max(most, record["most_running"].get<int>());
  }
  return absl::StrFormat(
    "engines finished %d answers; at most %d ran on one engine at once\n",
    finished, most);
}

auto WaitForInterrupt() -> void
{
  boost::asio::io_context context(1);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](const boost::system::error_code&, int) {});
  context.run();
}

auto PrintCurl(const Deployment& aLayout) -> void
{
  const auto account =
    aLayout.EngineService() == "forecast" ? "hotel-01" : "agency-01";
  const auto& router = aLayout.Routers().front();
  std::cout << absl::StrFormat(
    "\ntry: curl -N -H 'Authorization: Bearer token-%s' -H 'Accept: "
    "application/x-ndjson' -d '{\"prompt\":\"eggs\",\"max_tokens\":20}' "
    "http://%s:%d/v1/%s\n     curl http://%s:%d/metrics\n",
    account, router.callers_.host_, router.callers_.port_,
    aLayout.EngineService(), router.operators_.host_, router.operators_.port_);
}

auto RunProcessDemo() -> ExitCode
{
  namespace fs = std::filesystem;
  ProcessDemoOptions options;
  options.fleet_.program_ = fs::read_symlink("/proc/self/exe").string();
  options.fleet_.folder_ =
    absl::StrFormat("%s/burdockring-demo-%d",
                    fs::temp_directory_path().string(), FLAGS_base_port);
  options.fleet_.basePort_ = static_cast<std::uint16_t>(FLAGS_base_port);
  options.seconds_ = FLAGS_seconds;
  fs::create_directories(options.fleet_.folder_);
  const auto result = PlayProcessDemo(options);
  if (!result.ok()) {
    std::cerr << "burdockring demo: " << result.status().message() << '\n';
    return ExitCode::kFailed;
  }
  const bool kept = result->KeepsPromises();
  std::cout << result->ToText()
            << (kept ? "every answer was whole, and every refusal true\n"
                     : "NOT every answer was whole and every refusal true\n")
            << "the routers' logs are in " << options.fleet_.folder_ << '\n';
  return kept ? ExitCode::kOk : ExitCode::kFailed;
}

} // namespace

auto RunDemo(const CommandArguments& aArguments) -> ExitCode
{
  if (aArguments.empty() && FLAGS_platform) {
    return RunProcessDemo();
  }
  auto layout = Deployment::Make(FLAGS_deployment,
                                 static_cast<std::uint16_t>(FLAGS_base_port));
  if (!aArguments.empty() || !layout) {
    std::cerr << "burdockring demo: the deployment is bureau or teranga\n";
    return ExitCode::kUsage;
  }
  if (!FLAGS_write.empty()) {
    return layout->WriteFiles(FLAGS_write) ? ExitCode::kOk : ExitCode::kFailed;
  }
  SetUpLogging("error");
  DemoFleet fleet(std::move(*layout));
  const auto started = Clock::now();
  const auto status = fleet.Start(EngineOptions{});
  if (!status.ok() || !WaitReady(fleet)) {
    std::cerr << "burdockring demo: the fleet did not start: "
              << status.message() << '\n';
    return ExitCode::kFailed;
  }
  std::cout << "the fleet is ready: " << fleet.Layout().Routers().size()
            << " routers, " << fleet.Layout().Engines().size() << " engines\n";
  const auto options = MakeLoad(fleet.Layout());
  boost::asio::io_context context(1);
  LoadDriver driver(options, &context);
  driver.Start([](double aSeconds) {
    std::cout << absl::StrFormat("sending, %.1f s\n", aSeconds) << std::flush;
  });
  context.run();
  const auto seconds =
    std::chrono::duration<double>(Clock::now() - started).count();
  std::cout << LoadTable(driver) << ShareTable(driver, options)
            << ControlReport(fleet.Layout(), seconds)
            << UtilisationReport(fleet.Layout());
  if (FLAGS_keep) {
    PrintCurl(fleet.Layout());
    WaitForInterrupt();
  }
  const auto total = driver.Total();
  const bool whole = total.whole_ == total.sent_;
  std::cout << (whole ? "every answer came whole\n"
                      : "NOT every answer came\n");
  return whole ? ExitCode::kOk : ExitCode::kFailed;
}

} // namespace burdockring
