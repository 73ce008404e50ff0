#include "base/yaml_reader.h"
#include "main/command_table.h"
#include "main/flags.h"
#include "main/log_lines.h"
#include "main/router_process.h"
#include "main/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <thread>

namespace burdockring {

auto RunServe(const CommandArguments& aArguments) -> ExitCode
{
  if (!aArguments.empty() || FLAGS_settings.empty()) {
    std::cerr << "burdockring serve: give --settings FILE and no more\n";
    return ExitCode::kUsage;
  }
  FindingList findings;
  const auto text = ReadTextFile(FLAGS_settings, &findings);
  auto settings =
    text ? ReadSettings(*text, FLAGS_settings, &findings) : std::nullopt;
  std::cerr << findings.ToText();
  if (!settings) {
    return ExitCode::kFailed;
  }
  SetUpLogging(settings->logLevel_);
  RouterProcess process(std::move(*settings));
  const auto listening = process.Listen();
  if (!listening.ok()) {
    std::cerr << "burdockring serve: " << listening.message() << '\n';
    return ExitCode::kFailed;
  }
  boost::asio::io_context signals(1);
  boost::asio::signal_set set(signals, SIGTERM, SIGINT);
  set.async_wait([&](const boost::system::error_code& aError, int /*aSignal*/) {
    if (!aError) {
      process.Stop();
    }
  });
  std::thread waiter([&] { signals.run(); });
  process.Run();
  signals.stop();
  waiter.join();
  return ExitCode::kOk;
}

} // namespace burdockring
