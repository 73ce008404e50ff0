#include "main/command_table.h"
#include "main/flags.h"
#include "measure/balance_model.h"
#include "measure/scenario_runner.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

#include <array>
#include <iostream>
#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

using nlohmann::ordered_json;

/// Scenario that compares ways to choose an engine with outdated load data. It
/// is run only by this name.
constexpr std::string_view kBalanceScenario = "balance";

constexpr std::array<std::string_view, kBalanceMethodCount> kBalanceMethods{
  "perfect",  "least-cost",   "two-random", "weighted-draw", "prediction",
  "discount", "announcement", "partition",  "turns",
};

auto ToJson(const ScenarioFigures& aFigures) -> ordered_json
{
  const auto& counts = aFigures.counts_;
  return { { "max_gap_tokens", aFigures.maxGap_ },
           { "gap_p99_tokens", aFigures.gapP99_ },
           { "min_share", aFigures.minShare_ },
           { "utilisation", aFigures.utilisation_ },
           { "gap_after_fault_tokens", aFigures.gapAfter_ },
           { "utilisation_in_fault", aFigures.utilisationInFault_ },
           { "recovery_s", aFigures.recoverySeconds_ },
           { "leaving_s", aFigures.leavingSeconds_ },
           { "bytes_per_node_s", aFigures.bytesPerNode_ },
           { "max_bytes_per_node_s", aFigures.maxBytesPerNode_ },
           { "messages_per_node_s", aFigures.messagesPerNode_ },
           { "bytes_per_node_s_by_kind",
             { { "heartbeat", aFigures.bytesByKind_[0] },
               { "demand", aFigures.bytesByKind_[1] },
               { "grants", aFigures.bytesByKind_[2] },
               { "exchange", aFigures.bytesByKind_[3] },
               { "config", aFigures.bytesByKind_[4] } } },
           { "most_on_target", aFigures.mostOnTarget_ },
           { "light_wait_p99_s", aFigures.lightWaitP99_ },
           { "submitted", counts.submitted_ },
           { "whole", counts.whole_ },
           { "not_run", counts.notRun_ },
           { "unknown", counts.unknown_ },
           { "router_lost", counts.routerLost_ },
           { "tokens", counts.tokens_ } };
}

auto ChooseScenarios() -> std::vector<Scenario>
{
  std::vector<Scenario> chosen;
  const std::vector<std::string> names =
    absl::StrSplit(FLAGS_scenario, ',', absl::SkipEmpty());
  for (const auto& name : names) {
    const auto* scenario = FindScenario(name);
    if (scenario == nullptr) {
      std::cerr << "burdockring measure: no scenario '" << name << "'\n";
      return {};
    }
    chosen.push_back(*scenario);
  }
  return names.empty() ? ScenarioTable() : chosen;
}

auto LengthFactors() -> std::vector<int>
{
  const std::vector<std::string> words =
    absl::StrSplit(FLAGS_lengths, ',', absl::SkipEmpty());
  std::vector<int> factors;
  for (const auto& word : words) {
    int factor = 0;
    if (absl::SimpleAtoi(word, &factor) && factor > 0) {
      factors.push_back(factor);
    }
  }
  return factors;
}

auto ReadSharing() -> SharingOptions
{
  SharingOptions options;
  options.reuseSlack_ = FLAGS_slack;
  options.maxReportInterval_ = std::chrono::milliseconds(FLAGS_lazy_ms);
  options.exchangeInterval_ = std::chrono::milliseconds(FLAGS_exchange_ms);
  return options;
}

auto PrintHeader() -> void
{
  std::cout << absl::StrFormat(
    "%-18s %-4s %8s %8s %8s %7s %7s %8s %7s %7s %7s %7s %6s %6s\n", "scenario",
    "len", "gap", "gap p99", "omni gap", "share", "util", "omni u", "gap aft",
    "util f", "recov s", "B/node", "msg", "core%");
}

auto PrintRow(const Scenario& aScenario,
              int aFactor,
              const ScenarioFigures& aFigures,
              const ScenarioFigures& aBound) -> void
{
  std::cout << absl::StrFormat(
                 "%-18s %-4s %8.0f %8.0f %8.0f %7.2f %7.4f %8.4f %7.0f %7.4f "
                 "%7.2f %7.0f %6.1f %6.2f\n",
                 std::string(aScenario.name_), absl::StrFormat("%dx", aFactor),
                 aFigures.maxGap_, aFigures.gapP99_, aBound.maxGap_,
                 aFigures.minShare_, aFigures.utilisation_, aBound.utilisation_,
                 aFigures.gapAfter_, aFigures.utilisationInFault_,
                 aFigures.recoverySeconds_, aFigures.bytesPerNode_,
                 aFigures.messagesPerNode_, aFigures.coreShare_ * 100)
            << std::flush;
}

auto BalanceCases(std::uint64_t aSeed) -> std::vector<BalanceCase>
{
  std::vector<BalanceCase> cases;
  for (const bool shared : { false, true }) {
    for (const bool unequal : { false, true }) {
      for (const int routers : { 2, 12, 60 }) {
        for (const Duration age : { 0ms, 20ms, 100ms, 500ms }) {
          cases.push_back({ age, routers, unequal, shared, aSeed });
        }
      }
    }
  }
  return cases;
}

auto PrintBalanceTable(std::uint64_t aSeed) -> void
{
  std::cout << absl::StrFormat("%-7s %-7s %7s %6s %-13s %6s %6s %8s %8s %7s\n",
                               "engines", "prompts", "routers", "age ms",
                               "method", "peak", "idle", "p50 ms", "p99 ms",
                               "cached");
  for (const auto& balanceCase : BalanceCases(aSeed)) {
    for (std::size_t i = 0; i < kBalanceMethods.size(); ++i) {
      const auto figures =
        RunBalanceCase(balanceCase, static_cast<BalanceMethod>(i));
      std::cout << absl::StrFormat(
                     "%-7s %-7s %7d %6d %-13s %6.2f %6.3f %8.1f %8.1f %7.3f\n",
                     balanceCase.unequalEngines_ ? "unequal" : "equal",
                     balanceCase.sharedParts_ ? "shared" : "single",
                     balanceCase.routers_, balanceCase.age_ / 1ms,
                     std::string(kBalanceMethods.at(i)), figures.peakOverMean_,
                     figures.idleShare_, figures.waitP50Ms_, figures.waitP99Ms_,
                     figures.cachedShare_)
                << std::flush;
    }
  }
}

} // namespace

auto RunMeasure(const CommandArguments& aArguments) -> ExitCode
{
  const auto method = ParseMethod(FLAGS_method);
  if (!aArguments.empty() || !method) {
    std::cerr << "burdockring measure: the method is burdockring, omniscient, "
                 "static or gossip\n";
    return ExitCode::kUsage;
  }
  if (FLAGS_scenarios) {
    for (const auto& scenario : ScenarioTable()) {
      std::cout << absl::StrFormat("%-18s %s\n", std::string(scenario.name_),
                                   std::string(scenario.summary_));
    }
    return ExitCode::kOk;
  }
  if (FLAGS_scenario == kBalanceScenario) {
    PrintBalanceTable(static_cast<std::uint64_t>(FLAGS_seed));
    return ExitCode::kOk;
  }
  const auto scenarios = ChooseScenarios();
  if (scenarios.empty()) {
    return ExitCode::kUsage;
  }
  auto rows = ordered_json::array();
  if (!FLAGS_json) {
    PrintHeader();
  }
  const auto seed = static_cast<std::uint64_t>(FLAGS_seed);
  for (auto scenario : scenarios) {
    if (FLAGS_routers_count > 0 && scenario.scaled_) {
      scenario.ScaleTo(FLAGS_routers_count);
    }
    for (const auto factor : LengthFactors()) {
      const bool faulty = scenario.fault_ != SimFault::kNone;
      if (faulty && factor > 1) {
        break;
      }
      const auto figures =
        RunScenario(scenario, *method, ReadSharing(), seed, factor);
      if (FLAGS_json) {
        rows.push_back({ { "scenario", scenario.name_ },
                         { "method", FLAGS_method },
                         { "seed", FLAGS_seed },
                         { "length", factor },
                         { "figures", ToJson(figures) } });
        continue;
      }
      const auto bound =
        RunScenario(scenario, SharingMethod::kOmniscient, {}, seed, factor);
      PrintRow(scenario, factor, figures, bound);
    }
  }
  if (FLAGS_json) {
    std::cout << rows.dump(2) << '\n';
  }
  return ExitCode::kOk;
}

} // namespace burdockring
