#include "process/quarantine/crash_tally.h"

#include "process/quarantine/lost_answer.h"

namespace burdockring {

auto CrashCounter::Add(Instant aAt) -> void
{
  ++targets_;
  if (!first_ || aAt - *first_ > span_) {
    first_ = aAt;
    ++count_;
  }
}

auto CrashTally::Add(Instant aAt, bool aIsConfirmed) -> void
{
  ++targets_;
  if (!first_ || aAt - *first_ > kSimultaneousCrashSpan) {
    first_ = aAt;
    hasConfirmed_ = false;
    isSpread_ = false;
    ++count_;
    ++weight_;
  }
  if (aIsConfirmed && !hasConfirmed_) {
    hasConfirmed_ = true;
    ++weight_;
  }
  if (aAt - *first_ > kCommonCauseSpan && !isSpread_) {
    isSpread_ = true;
    ++weight_;
  }
}

auto CrashTally::Targets() const -> int
{
  return targets_;
}

auto CrashTally::IsEnough() const -> bool
{
  constexpr int kConfirmedWeight = 2;
  return count_ >= kConfirmedCrashes &&
         weight_ >= kConfirmedCrashes * kConfirmedWeight;
}

auto LateTally::AddAge(Duration aAge,
                       Duration aOldest,
                       Instant aAt,
                       bool aIsConfirmed) -> void
{
  if (aOldest > kLongAge) {
    alike_.span_ = kCommonCauseSpan;
  }
  if (aOldest < SurvivedAge(aAge)) {
    alike_.Add(aAt);
  }
  if (IsSameAge(aAge, aOldest)) {
    same_.Add(aAt, aIsConfirmed);
  }
  if (IsExactAge(aAge, aOldest)) {
    exact_.Add(aAt);
  }
}

auto LateTally::AddEvents(int aEvents,
                          int aMost,
                          Instant aAt,
                          bool aIsConfirmed) -> void
{
  if (aMost >= kManyEvents) {
    alike_.span_ = kCommonCauseSpan;
  }
  if (aMost > 0 && aMost < SurvivedEvents(aEvents)) {
    alike_.Add(aAt);
  }
  if (AreSameEvents(aEvents, aMost)) {
    same_.Add(aAt, aIsConfirmed);
  }
  if (AreExactEvents(aEvents, aMost)) {
    exact_.Add(aAt);
  }
}

auto LateTally::SameTargets() const -> int
{
  return same_.Targets();
}

auto LateTally::IsEnough(int aAll) const -> bool
{
  const bool areSame = exact_.count_ >= kExactCrashes ||
                       (same_.Targets() >= kSameCrashes && same_.IsEnough());
  const bool areAlike =
    alike_.count_ >= kAlikeCrashes && alike_.targets_ >= kMinAlikeShare * aAll;
  return (areSame && same_.Targets() >= kMinSameShare * aAll) || areAlike;
}

} // namespace burdockring
