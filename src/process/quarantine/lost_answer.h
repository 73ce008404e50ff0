#ifndef BURDOCKRING_PROCESS_QUARANTINE_LOST_ANSWER_H
#define BURDOCKRING_PROCESS_QUARANTINE_LOST_ANSWER_H

#include "base/time.h"

#include <optional>

namespace burdockring {

/// How far an answer had come when its target lost it, or when it was observed.
/// Counts in time and in events: what crashes a target may lie in either, and a
/// busy target takes longer for the same events.
struct LostAnswer
{
  /// Time since it began.
  Duration age_{};
  /// Whole events of a stream; 0 for another answer.
  int events_ = 0;
};

/// The age that an answer must reach to outlive one lost at this age.
auto SurvivedAge(Duration aAge) -> Duration;
/// The events that an answer must reach to outlive one lost after so many.
auto SurvivedEvents(int aEvents) -> double;

/// Whether an answer has come so much further than a lost one, in time and in
/// events, that what ended that one would have ended this one too.
auto Outlives(const LostAnswer& aAnswer, const LostAnswer& aLost) -> bool;

/// Whether two answers were lost about as far on: neither outlives the other.
/// Empty: the answer had not begun.
auto IsLostAlike(const std::optional<LostAnswer>& aLeft,
                 const std::optional<LostAnswer>& aRight) -> bool;

/// Whether answers were lost at about the same age, or after about the same
/// number of events, as the one that had come furthest. The margins are smaller
/// than those of survival.
auto IsSameAge(Duration aAge, Duration aOldest) -> bool;
auto AreSameEvents(int aEvents, int aMost) -> bool;

/// Whether answers had come equally far but for 5 in 100. Short ones never
/// count, as they are lost equally far on by chance.
auto IsExactAge(Duration aAge, Duration aOldest) -> bool;
auto AreExactEvents(int aEvents, int aMost) -> bool;

} // namespace burdockring

#endif
