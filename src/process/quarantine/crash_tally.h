#ifndef BURDOCKRING_PROCESS_QUARANTINE_CRASH_TALLY_H
#define BURDOCKRING_PROCESS_QUARANTINE_CRASH_TALLY_H

#include "base/time.h"

#include <optional>

namespace burdockring {

/// Crashes within this time of the first of them count once.
constexpr Duration kSimultaneousCrashSpan = 100ms;
/// The same where other causes than the suspect hardly end crashes so: a rack
/// or a zone goes down at once.
constexpr Duration kCommonCauseSpan = 25ms;

/// Counts crashes, added in the order of time, that are not simultaneous.
struct CrashCounter
{
  /// Crashes within this time of the first of them count once.
  Duration span_ = kSimultaneousCrashSpan;
  int count_ = 0;
  /// All that were added.
  int targets_ = 0;
  /// The first crash of those counted last.
  std::optional<Instant> first_ = std::nullopt;

  auto Add(Instant aAt) -> void;
};

/// Weighs crashes that ended answers at about the same age, added in the order
/// of time. Simultaneous ones weigh 1 together, 1 more if a target is known to
/// have gone down, and 1 more if they are further apart than kCommonCauseSpan,
/// as a request that is retried crashes one target after the other.
class CrashTally
{
public:
  /// Crashes that are enough where all targets are known to have gone down.
  static constexpr int kConfirmedCrashes = 3;

private:
  int targets_ = 0;
  /// Crashes that are not simultaneous.
  int count_ = 0;
  int weight_ = 0;
  /// The first crash of those counted last, and what these weigh.
  std::optional<Instant> first_;
  bool hasConfirmed_ = false;
  bool isSpread_ = false;

public:
  auto Add(Instant aAt, bool aIsConfirmed) -> void;
  /// All crashes that were added.
  [[nodiscard]] auto Targets() const -> int;
  /// Whether the crashes weigh as much as kConfirmedCrashes confirmed ones.
  [[nodiscard]] auto IsEnough() const -> bool;
};

/// Counts crashes by how close the answers that they ended had come to the one
/// that had come furthest. The closer, the fewer make a part a cause.
///
/// Load pattern: targets crash one after the other for other reasons, and
/// hardly an answer ends whole. All parts are lost then, at every age, while a
/// cause is lost at about the same age nearly each time.
class LateTally
{
public:
  /// Crashes that are not simultaneous, within the margins of survival.
  static constexpr int kAlikeCrashes = 6;
  /// Crashes of single targets at about the same age, which must weigh enough
  /// too.
  static constexpr int kSameCrashes = 5;
  /// Crashes at equal ages, further apart than kCommonCauseSpan.
  static constexpr int kExactCrashes = 5;

private:
  /// Least shares of all crashes of the part.
  static constexpr double kMinAlikeShare = 0.9;
  static constexpr double kMinSameShare = 0.66;
  /// From here on simultaneous crashes of other causes hardly end answers about
  /// as far on.
  static constexpr Duration kLongAge = 1s;
  static constexpr int kManyEvents = 10;

  CrashCounter alike_;
  CrashTally same_;
  CrashCounter exact_{ kCommonCauseSpan };

public:
  /// Adds a crash that ended an answer of that age, of which the oldest was
  /// aOldest.
  auto AddAge(Duration aAge, Duration aOldest, Instant aAt, bool aIsConfirmed)
    -> void;
  /// The same by the number of events.
  auto AddEvents(int aEvents, int aMost, Instant aAt, bool aIsConfirmed)
    -> void;
  /// Crashes at about the same age.
  [[nodiscard]] auto SameTargets() const -> int;
  /// Whether the crashes make a part a cause that was lost in aAll crashes.
  [[nodiscard]] auto IsEnough(int aAll) const -> bool;
};

} // namespace burdockring

#endif
