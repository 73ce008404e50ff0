#ifndef BURDOCKRING_PROCESS_QUARANTINE_PART_QUARANTINE_H
#define BURDOCKRING_PROCESS_QUARANTINE_PART_QUARANTINE_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"
#include "process/forwarding/event_log.h"
#include "process/quarantine/crash_evidence.h"
#include "process/quarantine/part_ids.h"
#include "process/quarantine/stored_quarantine.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace burdockring {

/// Counts since the process started.
struct QuarantineCounters
{
  /// Quarantines that this router imposed, and those that it took over.
  std::int64_t imposed_ = 0;
  std::int64_t learned_ = 0;
  std::int64_t lifted_ = 0;
  std::int64_t renewed_ = 0;
  /// Quarantines taken from the store.
  std::int64_t restored_ = 0;
  /// Rows of peers that could not be decoded.
  std::int64_t malformed_ = 0;
};

/// Keeps requests with a prompt part that crashes targets from reaching further
/// ones, in the whole fleet.
///
/// Every router reports to the leads which requests targets lost and how far
/// their answers had come, and which targets refuse connections. Leads clear
/// parts whose answers go on, and impose a quarantine on a part that is found
/// to be the cause of crashes (CrashEvidence). Quarantines spread like the age
/// of the configuration: each lead repeats all of them to the other leads and
/// to its zone, so a lost message or a restarted router only delays them.
///
/// The quarantine ends when an answer with the part is whole after all. After
/// kDuration one request is tried, by one router; if its target loses it, the
/// quarantine is renewed for twice as long, at the cost of one crash.
///
/// Changes are to be stored outside the fleet, so that the quarantines are
/// known again if all leads restart at the same time; only the evidence of
/// parts that were not yet found is lost then.
class PartQuarantine
{
public:
  static constexpr Duration kDuration = 10min;
  static constexpr int kMaxDoublings = 5;
  /// How long a request that is tried after the quarantine may take until its
  /// answer is whole before another one is tried.
  static constexpr Duration kTrialTimeout = 30s;
  /// How long a lifted quarantine is still reported to peers.
  static constexpr Duration kLiftedLifetime = 30s;
  /// Quarantines without a trial for this long are dropped.
  static constexpr Duration kMaxIdle = 24h;
  static constexpr std::size_t kMaxQuarantines = 64;

private:
  /// Reports in which each event is sent, as datagrams may be lost.
  static constexpr int kReportCount = 3;
  static constexpr std::size_t kMaxEvents = 64;
  /// Parts to be reported whose answers went on.
  static constexpr std::size_t kMaxClearedParts = 128;
  /// Minimum interval between judgements of the evidence, which cost most when
  /// many targets crash at once.
  static constexpr Duration kJudgeInterval = 50ms;
  /// Parts of one request that are reported.
  static constexpr std::size_t kMaxReportedParts = 32;

  struct Quarantine
  {
    /// When it was imposed, renewed or lifted.
    Instant changedAt_{};
    Instant until_{};
    int renewals_ = 0;
    bool isLifted_ = false;
    /// The request that is tried after until_, and since when.
    std::optional<RequestId> trial_;
    Instant trialSince_{};
  };

  /// Something to be reported to the leads.
  struct Event
  {
    wire::CrashNews news_;
    Instant at_{};
    int reportsLeft_ = kReportCount;
  };

  EventLog* log_;
  CrashEvidence evidence_;
  /// By their parts, ascending.
  std::map<PartIds, Quarantine> quarantines_;
  std::deque<Event> events_;
  /// The same for parts whose answers went on.
  std::deque<Event> cleared_;
  /// Quarantines that changed since the changes to be stored were last taken.
  std::set<PartIds> unstored_;
  QuarantineCounters counters_;
  /// Until when evidence may have changed that has not been judged.
  Instant judgeUntil_{};
  Instant lastJudgement_{};
  Instant lastObservation_{};
  bool hasUrgentNews_ = false;
  bool hasChanged_ = false;

  auto AddEvent(wire::CrashNews aNews, Instant aAt) -> void;
  auto ReportAnswer(std::uint64_t aPart, const AnswerProgress& aAnswer) -> void;
  auto Impose(const CrashCause& aCause, Instant aNow) -> void;
  /// Ends quarantines of more parts that one of only these parts covers.
  auto LiftSupersets(const PartIds& aParts, Instant aNow) -> void;
  auto SetLifted(const PartIds& aParts, Quarantine* aQuarantine, Instant aAt)
    -> void;
  /// Renews quarantines whose trial a target lost.
  auto RenewAfterTrial(const PartIds& aParts, Instant aAt) -> void;
  /// Removes the part from quarantines that it can't be the cause of.
  auto Lift(std::uint64_t aPart, Instant aAt) -> void;
  /// Returns whether the answer clears the part of a crash or ends a
  /// quarantine.
  auto AddAnswer(std::uint64_t aPart, const AnswerProgress& aAnswer) -> bool;
  auto AddLoss(TargetId aTarget,
               const PartIds& aParts,
               const std::optional<LostAnswer>& aAnswer,
               Instant aAt) -> void;
  auto MergeRow(const wire::QuarantineRow& aRow, Instant aNow) -> void;
  auto MakeRoom() -> void;
  /// Drops quarantines that ended long ago.
  auto DropExpired(Instant aNow) -> void;
  auto Log(std::string_view aEvent,
           const PartIds& aParts,
           const Quarantine& aQuarantine,
           std::int64_t aCrashes) -> void;

public:
  explicit PartQuarantine(EventLog* aLog);

  /// A target lost a request of this router, and its answer if that had begun.
  auto OnLost(TargetId aTarget,
              const PartIds& aParts,
              const std::optional<LostAnswer>& aAnswer,
              Instant aNow) -> void;
  /// A target refused this router's connection.
  auto OnDown(TargetId aTarget, Instant aNow) -> void;
  /// Whether the progress of all answers is to be passed to OnAnswer now.
  auto NeedsAnswers(Instant aNow) -> bool;
  /// An answer to a request with these parts goes on or is whole.
  auto OnAnswer(const PartIds& aParts, const AnswerProgress& aAnswer) -> void;
  auto OnPeerNews(const wire::CrashNews& aNews, Instant aNow) -> void;

  /// Whether a request with these parts may be sent to a target. aMayTry:
  /// whether this router tries requests after the end of a quarantine.
  auto Admits(RequestId aRequest,
              const PartIds& aParts,
              bool aMayTry,
              Instant aNow) -> bool;
  /// Time until a request with these parts may be tried again.
  [[nodiscard]] auto Remaining(const PartIds& aParts, Instant aNow) const
    -> Duration;
  /// Whether a request that a target lost is likely to crash the next one.
  [[nodiscard]] auto IsSuspicious(const PartIds& aParts) const -> bool;

  /// Drops what has expired. aMayImpose: whether this router, as a lead, knows
  /// enough to impose quarantines.
  auto Tick(bool aMayImpose, Instant aNow) -> void;
  /// Whether a quarantine was imposed or learned since the last call.
  auto HasChanged() -> bool;
  /// Whether events are to be reported to the leads.
  [[nodiscard]] auto HasEvents() const -> bool;
  /// Events for the next report to the leads.
  auto TakeEvents(Instant aNow) -> wire::CrashNews;
  [[nodiscard]] auto HasRows() const -> bool;
  /// Rows for all quarantines.
  [[nodiscard]] auto Rows(Instant aNow) const
    -> std::vector<wire::QuarantineRow>;
  /// Has the rows sent again soon, if there are any.
  auto RepeatRows() -> void;
  /// Whether the rows are to be sent at once: a quarantine has changed since
  /// the last call, or they were asked for.
  auto TakeUrgentNews() -> bool;

  /// Takes a quarantine that was stored before this process started. What peers
  /// know of it goes before it.
  auto Restore(const StoredQuarantine& aQuarantine, Instant aNow) -> void;
  /// Has all quarantines stored again, as the store may have lost them.
  auto StoreAgain() -> void;
  /// Changes to be stored since the last call.
  auto TakeChangesToStore(Instant aNow) -> std::vector<StoreQuarantine>;

  /// Quarantines in force.
  [[nodiscard]] auto Count() const -> std::size_t;
  [[nodiscard]] auto Counters() const -> const QuarantineCounters&;
};

} // namespace burdockring

#endif
