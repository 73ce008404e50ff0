#ifndef BURDOCKRING_MAIN_PROCESS_DEMO_H
#define BURDOCKRING_MAIN_PROCESS_DEMO_H

#include "main/process_fleet.h"

#include <string>

namespace burdockring {

struct ProcessDemoOptions
{
  ProcessFleetOptions fleet_;
  double seconds_ = 8;
  int callers_ = 8;
};

/// What came of the requests of one route.
struct RouteOutcome
{
  std::int64_t sent_ = 0;
  std::int64_t whole_ = 0;
  /// Answered with an error that says that nothing has run.
  std::int64_t notRun_ = 0;
  /// Ended without a word on whether it ran.
  std::int64_t unknown_ = 0;
  /// Another answer than its own, or one that is cut and looks whole.
  std::int64_t wrong_ = 0;
  /// Unsafe requests that ran twice, or ran although "not run" was told.
  std::int64_t untrue_ = 0;
  std::vector<double> totalMs_;
};

struct ProcessDemoResult
{
  std::map<std::string, RouteOutcome> routes_;

  [[nodiscard]] auto KeepsPromises() const -> bool;
  [[nodiscard]] auto ToText() const -> std::string;
};

/// Serves callers while the store goes away for a while, a router is stopped
/// and started again, and another is killed and started again.
auto PlayProcessDemo(const ProcessDemoOptions& aOptions)
  -> absl::StatusOr<ProcessDemoResult>;

} // namespace burdockring

#endif
