#include "process/quarantine/lost_answer.h"

#include "process/placement/policy.h"

namespace burdockring {
namespace {

/// Busy targets write slower than others, and some events are on their way when
/// a target crashes.
constexpr double kSurvivalFactor = 1.5;
constexpr Duration kSurvivalMargin = 150ms;
constexpr int kSurvivalEvents = 3;

constexpr double kSameAgeFactor = 1.2;
constexpr Duration kSameAgeMargin = 20ms;

constexpr double kExactAgeFactor = 1.05;
constexpr Duration kMinExactAge = 50ms;
constexpr int kMinExactEvents = 10;

} // namespace

auto SurvivedAge(Duration aAge) -> Duration
{
  return ScaleDuration(aAge, kSurvivalFactor) + kSurvivalMargin;
}

auto SurvivedEvents(int aEvents) -> double
{
  return aEvents == 0 ? 0.0 : aEvents * kSurvivalFactor + kSurvivalEvents;
}

auto Outlives(const LostAnswer& aAnswer, const LostAnswer& aLost) -> bool
{
  return aAnswer.age_ >= SurvivedAge(aLost.age_) &&
         aAnswer.events_ >= SurvivedEvents(aLost.events_);
}

auto IsLostAlike(const std::optional<LostAnswer>& aLeft,
                 const std::optional<LostAnswer>& aRight) -> bool
{
  const auto left = aLeft.value_or(LostAnswer());
  const auto right = aRight.value_or(LostAnswer());
  return !Outlives(left, right) && !Outlives(right, left);
}

auto IsSameAge(Duration aAge, Duration aOldest) -> bool
{
  return aOldest <= ScaleDuration(aAge, kSameAgeFactor) + kSameAgeMargin;
}

auto AreSameEvents(int aEvents, int aMost) -> bool
{
  return aMost > 0 && aMost <= aEvents * kSameAgeFactor;
}

auto IsExactAge(Duration aAge, Duration aOldest) -> bool
{
  return aAge > kMinExactAge && aOldest <= ScaleDuration(aAge, kExactAgeFactor);
}

auto AreExactEvents(int aEvents, int aMost) -> bool
{
  return aMost >= kMinExactEvents && aMost <= aEvents * kExactAgeFactor + 1;
}

} // namespace burdockring
