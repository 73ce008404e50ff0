#ifndef BURDOCKRING_PROCESS_QUARANTINE_CRASH_EVIDENCE_H
#define BURDOCKRING_PROCESS_QUARANTINE_CRASH_EVIDENCE_H

#include "base/ids.h"
#include "base/time.h"
#include "process/quarantine/crash_tally.h"
#include "process/quarantine/lost_answer.h"
#include "process/quarantine/part_ids.h"

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

/// How far an answer had come when it was observed.
struct AnswerProgress
{
  Instant at_{};
  /// Time since the answer began. Not used if it is whole.
  Duration age_{};
  /// Whether the answer was complete.
  bool isWhole_ = false;
  /// Whole events of a stream.
  int events_ = 0;
};

/// Finds the prompt parts that crash targets (a "query of death").
///
/// A target that crashes takes all its requests with it, also those that did
/// not cause the crash. Whether an answer had begun doesn't tell them apart, as
/// the target may write a part of the answer before it ends. What does is the
/// age of the answer: a part that crashes its target does so at about the same
/// age each time, so no answer to a request with the part outlives that age.
/// The age counts in time and in events, as the cause may lie in either, and a
/// busy target takes longer for the same events.
///
/// So the crash is held against the parts of all requests that it ended, and an
/// answer with the part that outlives the lost one anywhere afterwards, in time
/// and in events, or ends whole, clears the part of the crash. A part is a
/// cause if it was a suspect in several crashes of which it was not cleared,
/// and nearly all of these ended answers about as far on; the closer, the fewer
/// it takes. Of several such parts the one that explains the most crashes is
/// the cause.
///
/// Crashes at nearly the same time count once, as they may have another common
/// cause: a rack, a zone, a release, or a cut of this router's own links.
///
/// Load pattern: a share of the requests of a class has one part that crashes
/// engines, before an answer or some way into it, together with innocent parts
/// that many share; beside it engines crash for other reasons, also many at
/// once, and connections are reset.
class CrashEvidence
{
public:
  /// So many crashes within kCommonCauseSpan that a part doesn't explain have
  /// another common cause, if it explains fewer of them.
  static constexpr int kCommonCauseCrashes = 3;
  /// Answers lost up to this age were lost early.
  static constexpr Duration kEarlyAge = 50ms;
  /// Crashes that make a part suspicious enough not to retry its requests.
  static constexpr int kSuspectCrashes = 2;
  /// Time in which answers that clear a part are heard from other routers, and
  /// the same where an answer had gone on for longer than kEarlyAge.
  static constexpr Duration kSettleTime = 150ms;
  static constexpr Duration kLateSettleTime = 400ms;
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
    /// Other crashes within kCommonCauseSpan.
    int simultaneous_ = 0;
  };

  /// A crash that is held against a part.
  struct Suspicion
  {
    const Crash* crash_ = nullptr;
    /// Age of the oldest answer with the part that the crash ended, and events
    /// of the one that had most.
    Duration answerAge_{};
    int answerEvents_ = 0;
    /// Whether the crash ended a request with the part before its answer began.
    bool beforeAnswer_ = false;
    /// Whether an answer with the part was whole after the crash, and one that
    /// went on after it: one that outlives the lost one, or else the oldest.
    /// Kept, as an older answer that the crash ended may become known later.
    bool isWholeSince_ = false;
    LostAnswer survivor_;

    /// Whether an answer shows that the part did not cause the crash.
    [[nodiscard]] auto IsCleared() const -> bool;
    /// Takes the progress of an answer with the part.
    auto Add(const AnswerProgress& aAnswer) -> void;
  };

  struct Suspect
  {
    /// In the order in which they were learned.
    std::vector<Suspicion> suspicions_;
    /// When an answer to a request with the part was last whole, if ever.
    std::optional<Instant> lastWhole_;
  };

  struct Score
  {
    CrashCounter all_;
    /// Crashes that ended answers early, and those that ended them about as far
    /// on as the one that had come furthest, in time and in events.
    CrashTally early_;
    LateTally time_;
    LateTally events_;
    /// All crashes, whether simultaneous or not.
    std::set<const Crash*> evidence_;

    /// Answers lost at the same age are the stronger evidence: the cause of a
    /// crash is lost at about the same age each time, others at any.
    [[nodiscard]] auto Weight() const -> int;
  };

  /// Crashes that causes explain, each with the smallest deviation of the age
  /// of its answer (AgeDeviation).
  using ExplainedCrashes = std::map<const Crash*, Duration>;

  /// References to the elements stay valid while others are added and dropped.
  std::deque<Crash> crashes_;
  std::map<std::uint64_t, Suspect> suspects_;
  /// When targets last refused a connection.
  std::map<TargetId, Instant> down_;

  [[nodiscard]] auto FindCrash(TargetId aTarget, Instant aAt) -> Crash*;
  /// The crash of the target at that time, added if it is not known.
  [[nodiscard]] auto CrashAt(TargetId aTarget, Instant aAt) -> Crash*;
  /// Holds the crash against the part. Returns whether it was not yet.
  auto Hold(std::uint64_t aPart,
            const Crash* aCrash,
            const std::optional<LostAnswer>& aAnswer) -> bool;
  /// Whether the crash is one of many within kCommonCauseSpan of which most
  /// did not end a request of the suspect.
  [[nodiscard]] static auto HasCommonCause(const Suspicion& aSuspicion,
                                           const Suspect& aSuspect) -> bool;
  /// Whether answers that clear the part of the crash have been heard of.
  [[nodiscard]] static auto IsSettled(const Suspicion& aSuspicion, Instant aNow)
    -> bool;
  /// The score by the suspect's crashes that aCounts selects.
  template<typename Counts>
  [[nodiscard]] static auto ScoreOf(const Suspect& aSuspect, Counts aCounts)
    -> Score;
  [[nodiscard]] static auto IsCause(const Score& aScore) -> bool;
  /// By how much the answer that the crash ended was younger than the oldest
  /// one with the part that crashes ended.
  [[nodiscard]] static auto AgeDeviation(const Suspicion& aSuspicion,
                                         const Suspect& aSuspect) -> Duration;
  /// Adds the crashes that the cause explains.
  auto Explain(const PartIds& aCause, ExplainedCrashes* aExplained) const
    -> void;
  /// Whether none of the causes explains the crash better than the suspect.
  [[nodiscard]] static auto IsOpen(const Suspicion& aSuspicion,
                                   const Suspect& aSuspect,
                                   const ExplainedCrashes& aExplained) -> bool;
  /// The part, or indistinguishable parts, with the most evidence among the
  /// crashes that are not explained. Parts of aAmbiguous, causes of several
  /// parts each, keep the evidence that led to those.
  [[nodiscard]] auto FindStrongest(const ExplainedCrashes& aExplained,
                                   const std::set<std::uint64_t>& aAmbiguous,
                                   Instant aNow) const
    -> std::pair<PartIds, Score>;
  auto DropOldest() -> void;

public:
  /// A target lost a request, and its answer if that had begun. Returns whether
  /// this adds a crash or a suspect.
  auto AddLoss(TargetId aTarget,
               const PartIds& aParts,
               const std::optional<LostAnswer>& aAnswer,
               Instant aAt) -> bool;
  /// A target refused a connection. Returns whether it confirms a crash.
  auto AddDown(TargetId aTarget, Instant aAt) -> bool;
  /// An answer to a request with the part goes on or is whole. Returns whether
  /// that clears the part of a crash.
  auto AddAnswer(std::uint64_t aPart, const AnswerProgress& aAnswer) -> bool;
  /// When an answer to a request with the suspected part was last whole.
  [[nodiscard]] auto LastWhole(std::uint64_t aPart) const
    -> std::optional<Instant>;
  /// Whether one of the parts was lost before an answer began in
  /// kSuspectCrashes crashes of which it was not cleared.
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
