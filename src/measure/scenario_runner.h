#ifndef BURDOCKRING_MEASURE_SCENARIO_RUNNER_H
#define BURDOCKRING_MEASURE_SCENARIO_RUNNER_H

#include "measure/grouped_model.h"
#include "measure/load_source.h"
#include "measure/scenario.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockring {

/// Figures of one run. All but the processor time are the same for the same
/// seed.
struct ScenarioFigures
{
  double maxGap_ = 0;
  double gapP99_ = 0;
  double minShare_ = 1;
  double utilisation_ = 0;
  /// The largest gap from 5 s after the fault's end on.
  double gapAfter_ = 0;
  /// Utilisation over the fault and its recovery.
  double utilisationInFault_ = 0;
  /// From the fault's end until nine tenths of the slots are busy again.
  double recoverySeconds_ = 0;
  /// The last start of a request on a leaving target, after it was listed.
  double leavingSeconds_ = 0;
  double bytesPerNode_ = 0;
  double maxBytesPerNode_ = 0;
  double messagesPerNode_ = 0;
  std::array<double, kTrafficKinds> bytesByKind_{};
  int mostOnTarget_ = 0;
  double lightWaitP99_ = 0;
  LoadCounts counts_;
  /// Processor time of decisions, as a share of one core per node.
  double coreShare_ = 0;
  double maxCoreShare_ = 0;
};

/// The method of this name, or none.
auto ParseMethod(std::string_view aName) -> std::optional<SharingMethod>;
auto MethodName(SharingMethod aMethod) -> std::string_view;

/// Runs a scenario for its length times a factor.
auto RunScenario(const Scenario& aScenario,
                 SharingMethod aMethod,
                 const SharingOptions& aOptions,
                 std::uint64_t aSeed,
                 int aFactor) -> ScenarioFigures;

} // namespace burdockring

#endif
