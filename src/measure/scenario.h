#ifndef BURDOCKRING_MEASURE_SCENARIO_H
#define BURDOCKRING_MEASURE_SCENARIO_H

#include "base/time.h"
#include "measure/fleet_layout.h"

#include <string_view>
#include <vector>

namespace burdockring {

/// How the accounts' callers are spread over routers.
enum class Spread
{
  /// Each request comes to any router.
  kEven,
  /// All requests come to one router.
  kOneRouter,
  /// One account comes to one router, the others to any.
  kSkewed,
  /// Each account comes to the routers of one zone.
  kZonePerAccount,
};

/// What goes wrong, in the middle third of a run.
enum class SimFault
{
  kNone,
  kSchedulerDies,
  kSchedulerPaused,
  kZoneCut,
  kPlatformCut,
  kRouterRestarts,
  kZoneRestarts,
  kSlowTarget,
  kLeavingTarget,
  kTargetDies,
  kOneWayCut,
};

/// One measurement: a layout, a load and a fault.
struct Scenario
{
  std::string_view name_;
  std::string_view summary_;
  Spread spread_ = Spread::kEven;
  SimFault fault_ = SimFault::kNone;
  int zones_ = 4;
  int routers_ = 9;
  int targets_ = 12;
  int accounts_ = 16;
  /// Accounts that always have requests waiting; the others are light.
  int backlogged_ = 16;
  /// Outstanding requests of a backlogged account.
  int outstanding_ = 24;
  /// How many times as much the first account sends.
  int flood_ = 1;
  double meanTokens_ = 128;
  int maxTokens_ = 1024;
  /// Hints are this many times too high or too low, by turns.
  double hintError_ = 1;
  /// Requests of every fourth account are this many times as long.
  double longFactor_ = 1;
  /// Requests a second of a light account.
  double lightRate_ = 1;
  bool teranga_ = false;
  /// Sized as one of eleven services at the size of two years.
  bool scaled_ = false;
  Duration length_ = 20s;

  /// The same service for another number of routers.
  auto ScaleTo(int aRouters) -> void;
  [[nodiscard]] auto Layout() const -> FleetLayout;
};

/// All scenarios, in the order of the tables.
auto ScenarioTable() -> const std::vector<Scenario>&;

/// The scenario of this name, or null.
auto FindScenario(std::string_view aName) -> const Scenario*;

} // namespace burdockring

#endif
