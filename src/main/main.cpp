#include "main/command_table.h"
#include "main/flags.h"

#include <algorithm>
#include <iostream>

namespace burdockring {
namespace {

auto PrintHelp(std::ostream& aStream) -> void
{
  aStream << "usage: burdockring COMMAND [FLAGS]\n\ncommands:\n";
  for (const auto& row : CommandTable()) {
    aStream << "  " << row.name_ << ' ' << row.usage_ << "\n      "
            << row.summary_ << '\n';
  }
  aStream << "\nburdockring COMMAND --help shows the command's flags.\n";
}

auto RunCommand(const CommandRow& aRow, const CommandArguments& aArguments)
  -> ExitCode
{
  if (std::find(aArguments.begin(), aArguments.end(), "--help") !=
      aArguments.end()) {
    std::cout << "usage: burdockring " << aRow.name_ << ' ' << aRow.usage_
              << '\n'
              << aRow.summary_ << '\n'
              << DescribeFlags(aRow.flags_);
    return ExitCode::kOk;
  }
  const auto others = ParseFlags(aArguments, aRow.flags_);
  if (!others.ok()) {
    std::cerr << "burdockring " << aRow.name_ << ": "
              << others.status().message() << '\n';
    return ExitCode::kUsage;
  }
  return aRow.run_(*others);
}

auto RunMain(const CommandArguments& aArguments) -> ExitCode
{
  if (aArguments.empty()) {
    PrintHelp(std::cerr);
    return ExitCode::kUsage;
  }
  if (aArguments.front() == "--help" || aArguments.front() == "help") {
    PrintHelp(std::cout);
    return ExitCode::kOk;
  }
  for (const auto& row : CommandTable()) {
    if (row.name_ == aArguments.front()) {
      return RunCommand(row, { aArguments.begin() + 1, aArguments.end() });
    }
  }
  std::cerr << "burdockring: unknown command '" << aArguments.front() << "'\n";
  return ExitCode::kUsage;
}

} // namespace
} // namespace burdockring

auto main(int aCount, char** aValues) -> int
{
  const burdockring::CommandArguments arguments(aValues + 1, aValues + aCount);
  return static_cast<int>(burdockring::RunMain(arguments));
}
