#ifndef BURDOCKRING_MEASURE_BALANCE_MODEL_H
#define BURDOCKRING_MEASURE_BALANCE_MODEL_H

#include "base/time.h"

#include <cstdint>

namespace burdockring {

/// Ways to choose an engine with outdated load data.
enum class BalanceMethod
{
  /// The engine of least cost by the true load.
  kPerfect,
  /// The engine of least cost by the load that the router knows.
  kLeastCost,
  /// The better of two engines drawn at random.
  kTwoRandom,
  /// A weighted random draw among the engines within the uncertainty.
  kWeightedDraw,
  /// The engine of least cost after the others' expected requests have been
  /// placed in the same way.
  kPrediction,
  /// The others' load counts less the older it is.
  kDiscount,
  /// Each placement is announced to the other routers at once.
  kAnnouncement,
  /// Each router has engines of its own and leaves them only for much better
  /// ones.
  kPartition,
  /// The decision of this project (even_load.h).
  kTurns,
};

constexpr int kBalanceMethodCount = 9;

/// One measurement.
struct BalanceCase
{
  /// Age of what a router knows of the others' requests.
  Duration age_{};
  int routers_ = 12;
  /// Whether the slowest engine is less than half as fast as the fastest.
  bool unequalEngines_ = false;
  /// Whether half of the prompts begin with a part that two engines have
  /// cached.
  bool sharedParts_ = false;
  std::uint64_t seed_ = 1;
};

struct BalanceFigures
{
  /// Greatest backlog of an engine over the mean one, in time.
  double peakOverMean_ = 0;
  /// Share of engines idle while requests queue at others.
  double idleShare_ = 0;
  /// Time until the engine begins with a request.
  double waitP50Ms_ = 0;
  double waitP99Ms_ = 0;
  /// Share of the requests with a cached part that went to one of its engines.
  double cachedShare_ = 0;
};

/// Places requests of constant rate at engines that serve them in order of
/// arrival, in virtual time.
auto RunBalanceCase(const BalanceCase& aCase, BalanceMethod aMethod)
  -> BalanceFigures;

} // namespace burdockring

#endif
