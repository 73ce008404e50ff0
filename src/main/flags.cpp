#include "main/flags.h"

#include "absl/status/status.h"

#include <algorithm>
#include <gflags/gflags.h>

DEFINE_string(settings, "", "the router's settings file (YAML)");
DEFINE_string(policy, "", "a policy file (YAML); the usual policy without");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(log, "127.0.0.1:17001", "address of the platform's log");
DEFINE_string(vms, "127.0.0.1:17002", "address of the platform's VM list");
DEFINE_int64(base, -1, "version that the change is based on; -1: the newest");
DEFINE_double(wait, 0, "seconds to wait until every router has the version");
DEFINE_string(operator_name, "operator", "who publishes, for the history");
DEFINE_string(listen, "", "addresses to listen on, with commas between them");
DEFINE_int32(batch, 8, "requests that a stand-in engine runs at once");
DEFINE_double(token_ms, 5, "milliseconds between an engine's tokens");
DEFINE_double(call_ms, 10, "milliseconds that a stand-in service's call takes");
DEFINE_int32(records, 1000000, "records that the stand-in log keeps");
DEFINE_string(list, "", "file with the stand-in VM list (JSON)");
DEFINE_string(routers, "", "callers' addresses of routers, with commas");
DEFINE_string(config, "", "configuration file that names the accounts");
DEFINE_string(service, "forecast", "service to send requests to");
DEFINE_string(token_prefix,
              "token-",
              "an account's token is this and its name");
DEFINE_double(rate, 50, "requests a second");
DEFINE_double(seconds, 10, "how long to send");
DEFINE_int32(tokens, 40, "mean tokens of an answer");
DEFINE_int64(seed, 1, "seed of all random choices");
DEFINE_bool(keyed, false, "send each request with an idempotency key");
DEFINE_string(plot, "", "file for an SVG plot of the latencies");
DEFINE_string(deployment, "bureau", "bureau or teranga");
DEFINE_int32(base_port, 18000, "first port of the demo");
DEFINE_bool(platform, false, "run routers as processes on the platform's path");
DEFINE_bool(keep, false, "leave the demo running until it is interrupted");
DEFINE_string(write, "", "folder to write the deployment's files to, and end");
DEFINE_string(scenario, "", "scenarios to run, with commas; empty: all");
DEFINE_string(method, "burdockring", "way of sharing to measure");
DEFINE_int32(routers_count, 0, "routers; 0: the scenario's own number");
DEFINE_bool(scenarios, false, "list the scenarios");
DEFINE_string(lengths, "1,4,16", "multiples of a scenario's length to run");
DEFINE_int64(slack, 512, "reuse slack of the sharing, in tokens by weight");
DEFINE_int32(lazy_ms, 250, "lazy report interval of the sharing");
DEFINE_int32(exchange_ms, 100, "exchange interval of the sharing");

namespace burdockring {
namespace {

struct FlagWord
{
  std::string name_;
  std::string value_;
  bool hasValue_ = false;
};

auto SplitWord(const std::string& aArgument) -> FlagWord
{
  const auto start = aArgument.find_first_not_of('-');
  const auto equals = aArgument.find('=');
  FlagWord word;
  word.hasValue_ = equals != std::string::npos;
  word.name_ = aArgument.substr(start, word.hasValue_ ? equals - start
                                                      : std::string::npos);
  word.value_ = word.hasValue_ ? aArgument.substr(equals + 1) : "";
  std::replace(word.name_.begin(), word.name_.end(), '-', '_');
  return word;
}

} // namespace

auto ParseFlags(const std::vector<std::string>& aArguments,
                const std::vector<std::string_view>& aAllowed)
  -> absl::StatusOr<std::vector<std::string>>
{
  std::vector<std::string> others;
  for (std::size_t i = 0; i < aArguments.size(); ++i) {
    const auto& argument = aArguments[i];
    if (!argument.starts_with("--") || argument.size() == 2) {
      others.push_back(argument);
      continue;
    }
    auto word = SplitWord(argument);
    const bool allowed =
      std::find(aAllowed.begin(), aAllowed.end(), word.name_) != aAllowed.end();
    if (!allowed) {
      return absl::InvalidArgumentError("unknown flag '" + argument + "'");
    }
    const auto info = gflags::GetCommandLineFlagInfoOrDie(word.name_.c_str());
    if (!word.hasValue_ && info.type == "bool") {
      word.value_ = "true";
    } else if (!word.hasValue_) {
      if (i + 1 == aArguments.size()) {
        return absl::InvalidArgumentError("'" + argument + "' needs a value");
      }
      word.value_ = aArguments[++i];
    }
    const auto set =
      gflags::SetCommandLineOption(word.name_.c_str(), word.value_.c_str());
    if (set.empty()) {
      return absl::InvalidArgumentError("bad value '" + word.value_ +
                                        "' for --" + word.name_);
    }
  }
  return others;
}

auto DescribeFlags(const std::vector<std::string_view>& aFlags) -> std::string
{
  std::string text;
  for (const auto name : aFlags) {
    const auto info =
      gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
    text += "  --" + info.name + "  " + info.description;
    if (!info.default_value.empty()) {
      text += " (default " + info.default_value + ')';
    }
    text += '\n';
  }
  return text;
}

} // namespace burdockring
