#include "main/command_table.h"

namespace burdockring {

auto CommandTable() -> const std::vector<CommandRow>&
{
  static const std::vector<CommandRow> table{
    { "serve", "--settings FILE", "run one router", { "settings" }, RunServe },
    { "forward",
      "[--settings FILE] [--policy FILE]",
      "run one router that passes requests on whole, on the platform",
      { "settings", "policy" },
      RunForward },
    { "check",
      "FILE... [--json]",
      "check a whole configuration set, or a process's settings (.json)",
      { "json" },
      RunCheck },
    { "publish",
      "FILE... [--base N] [--wait SECONDS]",
      "check a configuration set and publish it",
      { "log", "vms", "base", "wait", "operator_name", "json" },
      RunPublish },
    { "status",
      "[--json]",
      "show every router of the VM list",
      { "vms", "json" },
      RunStatus },
    { "history",
      "[--json]",
      "show the judged changes in the log",
      { "log", "json" },
      RunHistory },
    { "standin",
      "engine|service|log|vms --listen ADDRESS",
      "run a small stand-in of an outside system",
      { "listen", "batch", "token_ms", "call_ms", "records", "list" },
      RunStandin },
    { "demo",
      "[--deployment NAME] [--keep] | --platform",
      "run a whole fleet in one process under load, or as processes of their "
      "own with troubles",
      { "deployment", "base_port", "seconds", "rate", "tokens", "keep", "write",
        "seed", "platform" },
      RunDemo },
    { "load",
      "--routers ADDRESSES --config FILE",
      "drive a running fleet and report",
      { "routers", "config", "service", "token_prefix", "rate", "seconds",
        "tokens", "seed", "keyed", "json", "plot" },
      RunLoad },
    { "measure",
      "[--scenario NAMES] [--seed N] [--json]",
      "run the measurements in virtual time",
      { "scenario", "seed", "json", "method", "routers_count", "scenarios",
        "lengths", "slack", "lazy_ms", "exchange_ms" },
      RunMeasure },
  };
  return table;
}

} // namespace burdockring
