#include "process/placement/even_load.h"

#include <algorithm>
#include <cmath>

namespace burdockring {
namespace {

/// Standard deviations of the unseen work that the positions are spread over.
/// In the model of src/measure, 3 left the p99 of the wait with two routers and
/// unequal engines at 47 ms, above its bound of 40 ms; 4 gives 18 ms.
constexpr double kDeviations = 4;

auto Scale(Duration aDuration, double aFactor) -> Duration
{
  return Duration(
    std::llround(static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

auto SinceReport(const UnseenLoad& aUnseen, Duration aReportAge) -> UnseenLoad
{
  if (aReportAge >= aUnseen.age_) {
    return aUnseen;
  }
  auto rest = aUnseen;
  rest.age_ = std::max<Duration>(aReportAge, 0us);
  rest.expected_ =
    Scale(aUnseen.expected_, static_cast<double>(rest.age_.count()) /
                               static_cast<double>(aUnseen.age_.count()));
  return rest;
}

auto BacklogNow(Duration aOwn, Duration aOthers, Duration aAge) -> Duration
{
  const auto total = aOwn + aOthers;
  if (total <= 0us || aOthers <= 0us) {
    return total;
  }
  const double share =
    static_cast<double>(aOthers.count()) / static_cast<double>(total.count());
  return total - std::min<Duration>(aOthers, Scale(aAge, share));
}

auto CostUncertainty(const UnseenLoad& aUnseen, Duration aLimit) -> Duration
{
  const auto expected = static_cast<double>(aUnseen.expected_.count());
  const double largest =
    expected + static_cast<double>(aUnseen.perRequest_.count());
  const Duration uncertainty(
    std::llround(kDeviations * std::sqrt(expected * largest)));
  return std::clamp<Duration>(uncertainty, 0us,
                              std::max<Duration>(aLimit, 0us));
}

auto TurnAt(std::size_t aTarget, std::size_t aRouter, std::size_t aRouters)
  -> double
{
  return aRouters == 0 ? 0.0
                       : static_cast<double>((aTarget + aRouter) % aRouters) /
                           static_cast<double>(aRouters);
}

auto TurnPenalty(Duration aUncertainty, double aTurn) -> Duration
{
  return Scale(aUncertainty, aTurn);
}

} // namespace burdockring
