#ifndef BURDOCKRING_MAIN_COMMAND_TABLE_H
#define BURDOCKRING_MAIN_COMMAND_TABLE_H

#include <string>
#include <string_view>
#include <vector>

namespace burdockring {

/// Exit codes of the program.
enum class ExitCode
{
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
};

using CommandArguments = std::vector<std::string>;

auto RunServe(const CommandArguments& aArguments) -> ExitCode;
auto RunForward(const CommandArguments& aArguments) -> ExitCode;
auto RunCheck(const CommandArguments& aArguments) -> ExitCode;
auto RunPublish(const CommandArguments& aArguments) -> ExitCode;
auto RunStatus(const CommandArguments& aArguments) -> ExitCode;
auto RunHistory(const CommandArguments& aArguments) -> ExitCode;
auto RunStandin(const CommandArguments& aArguments) -> ExitCode;
auto RunDemo(const CommandArguments& aArguments) -> ExitCode;
auto RunLoad(const CommandArguments& aArguments) -> ExitCode;
auto RunMeasure(const CommandArguments& aArguments) -> ExitCode;

/// One subcommand of the program.
struct CommandRow
{
  std::string_view name_;
  std::string_view usage_;
  std::string_view summary_;
  std::vector<std::string_view> flags_;
  auto(*run_)(const CommandArguments& aArguments) -> ExitCode;
};

/// All subcommands, in the order of the help.
auto CommandTable() -> const std::vector<CommandRow>&;

} // namespace burdockring

#endif
