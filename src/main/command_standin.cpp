#include "absl/strings/str_split.h"
#include "base/yaml_reader.h"
#include "main/command_table.h"
#include "main/flags.h"
#include "standin/engine_standin.h"
#include "standin/log_standin.h"
#include "standin/service_standin.h"
#include "standin/vms_standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

namespace burdockring {
namespace {

auto Millis(double aMillis) -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMillis));
}

/// Listens with one stand-in for each address and serves until a signal.
template<typename Make>
auto ServeAll(Make aMake) -> ExitCode
{
  boost::asio::io_context context(1);
  std::vector<decltype(aMake(&context))> standins;
  const std::vector<std::string> addresses =
    absl::StrSplit(FLAGS_listen, ',', absl::SkipEmpty());
  for (const auto& address : addresses) {
    const auto endpoint = ParseEndpoint(address);
    auto status = endpoint.status();
    if (status.ok()) {
      standins.push_back(aMake(&context));
      status = standins.back()->Listen(*endpoint);
    }
    if (!status.ok()) {
      std::cerr << "burdockring standin: " << status.message() << '\n';
      return ExitCode::kFailed;
    }
  }
  if (standins.empty()) {
    std::cerr << "burdockring standin: give --listen IP:PORT\n";
    return ExitCode::kUsage;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
    [&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return ExitCode::kOk;
}

} // namespace

auto RunStandin(const CommandArguments& aArguments) -> ExitCode
{
  const auto kind = aArguments.size() == 1 ? aArguments.front() : "";
  if (kind == "engine") {
    EngineOptions options;
    options.batch_ = FLAGS_batch;
    options.timePerToken_ = Millis(FLAGS_token_ms);
    return ServeAll([&](boost::asio::io_context* aContext) {
      return std::make_unique<EngineStandin>(aContext, options);
    });
  }
  if (kind == "service") {
    return ServeAll([](boost::asio::io_context* aContext) {
      return std::make_unique<ServiceStandin>(aContext, Millis(FLAGS_call_ms));
    });
  }
  if (kind == "log") {
    return ServeAll([](boost::asio::io_context* aContext) {
      return std::make_unique<LogStandin>(
        aContext, static_cast<std::size_t>(FLAGS_records));
    });
  }
  if (kind == "vms") {
    FindingList findings;
    const auto list = ReadTextFile(FLAGS_list, &findings);
    std::cerr << findings.ToText();
    if (!list) {
      return ExitCode::kFailed;
    }
    return ServeAll([&](boost::asio::io_context* aContext) {
      return std::make_unique<VmsStandin>(aContext, *list);
    });
  }
  std::cerr << "burdockring standin: name engine, service, log or vms\n";
  return ExitCode::kUsage;
}

} // namespace burdockring
