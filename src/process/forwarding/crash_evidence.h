#ifndef BURDOCKRING_PROCESS_FORWARDING_CRASH_EVIDENCE_H
#define BURDOCKRING_PROCESS_FORWARDING_CRASH_EVIDENCE_H

#include "base/ids.h"
#include "base/time.h"
#include "process/forwarding/part_ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace burdockring {

/// Parts of a prompt that crash targets, with the evidence for it.
struct CrashCause
{
  /// Ascending. More than one where the evidence can't tell them apart: then a
  /// request that has all of them crashes targets.
  PartIds parts_;
  int crashes_ = 0;
};

/// Finds the prompt parts that crash targets (a "query of death").
///
/// A target that crashes takes all its requests with it. Those whose answer had
/// begun are victims; the others are suspects, mostly a few. So the parts of a
/// suspect's prompt are held against them, and an answer to any request with a
/// part that begins anywhere afterwards clears the part. A part is a cause if
/// it was a suspect in several crashes since it was last cleared. Of several
/// such parts the one that explains the most crashes is the cause.
///
/// Crashes at nearly the same time count once, as they may have another common
/// cause: a rack, a zone, a release, or a cut of this router's own links.
///
/// Load pattern: a share of the requests of a class has one part that crashes
/// engines, together with innocent parts that many share; beside it engines
/// crash for other reasons, also many at once, and connections are reset.
class CrashEvidence
{
public:
  /// Crashes within this time of the first of them count once.
  static constexpr Duration kSimultaneous = 100ms;
  /// Crashes, counted so, that make a part a cause: where the targets are known
  /// to have gone down, and otherwise. Without that knowledge the connections
  /// may have been reset.
  static constexpr int kConfirmedCrashes = 3;
  static constexpr int kUnconfirmedCrashes = 6;
  /// Crashes that make a part suspicious enough not to retry its requests.
  static constexpr int kSuspectCrashes = 2;
  /// Time in which answers that clear a part are heard from other routers.
  static constexpr Duration kSettleTime = 150ms;
  /// Requests that a target loses within this time are lost by one crash.
  static constexpr Duration kSameCrash = 500ms;
  /// A target that refuses connections within this time after a loss crashed.
  static constexpr Duration kConfirmTime = 2s;
  static constexpr Duration kLifetime = 10min;
  static constexpr std::size_t kMaxCrashes = 128;
  static constexpr std::size_t kMaxSuspectParts = 256;

private:
  struct Crash
  {
    TargetId target_;
    Instant at_{};
    bool isConfirmed_ = false;
    std::set<std::uint64_t> suspects_;
  };

  struct Suspect
  {
    /// In the order in which they were learned.
    std::vector<const Crash*> crashes_;
    Instant lastCrash_{};
    /// When an answer to a request with the part last began, if ever.
    std::optional<Instant> begun_;
  };

  struct Score
  {
    int crashes_ = 0;
    int confirmed_ = 0;
    /// All crashes, whether simultaneous or not.
    std::set<const Crash*> evidence_;
  };

  /// References to the elements stay valid while others are added and dropped.
  std::deque<Crash> crashes_;
  std::map<std::uint64_t, Suspect> suspects_;
  /// When targets last refused a connection.
  std::map<TargetId, Instant> down_;

  [[nodiscard]] auto FindCrash(TargetId aTarget, Instant aAt) -> Crash*;
  /// The score by the suspect's crashes that aCounts selects.
  template<typename Counts>
  [[nodiscard]] static auto ScoreOf(const Suspect& aSuspect, Counts aCounts)
    -> Score;
  [[nodiscard]] static auto IsCause(const Score& aScore) -> bool;
  /// The part, or indistinguishable parts, with the most evidence among
  /// the crashes in aOpen. Parts of aAmbiguous, causes of several parts each,
  /// keep the evidence that led to those.
  [[nodiscard]] auto FindStrongest(const std::set<const Crash*>& aOpen,
                                   const std::set<std::uint64_t>& aAmbiguous,
                                   Instant aNow) const
    -> std::pair<PartIds, Score>;
  auto DropOldest() -> void;

public:
  /// A target lost a request before its answer began. Returns whether this
  /// adds a crash or a suspect.
  auto AddLoss(TargetId aTarget, const PartIds& aParts, Instant aAt) -> bool;
  /// A target refused a connection. Returns whether it confirms a crash.
  auto AddDown(TargetId aTarget, Instant aAt) -> bool;
  /// An answer to a request with the part began. Returns whether that clears
  /// it of a crash.
  auto AddBegun(std::uint64_t aPart, Instant aAt) -> bool;
  /// When an answer to a request with the suspected part last began.
  [[nodiscard]] auto LastBegun(std::uint64_t aPart) const
    -> std::optional<Instant>;
  /// Whether one of the parts was a suspect in kSuspectCrashes crashes since it
  /// was last cleared.
  [[nodiscard]] auto IsSuspicious(const PartIds& aParts) const -> bool;
  /// The parts that crash targets and are not covered by aKnown, causes that
  /// were found before.
  [[nodiscard]] auto FindCauses(const std::vector<PartIds>& aKnown,
                                Instant aNow) const -> std::vector<CrashCause>;
  /// Drops evidence that has expired.
  auto Tick(Instant aNow) -> void;
  [[nodiscard]] auto CrashCount() const -> std::size_t;
};

/// Whether aParts, in any order, has all of aRequired, which is ascending.
auto HasAllParts(const PartIds& aParts, const PartIds& aRequired) -> bool;

} // namespace burdockring

#endif
