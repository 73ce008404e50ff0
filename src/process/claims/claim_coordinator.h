#ifndef BURDOCKRING_PROCESS_CLAIMS_CLAIM_COORDINATOR_H
#define BURDOCKRING_PROCESS_CLAIMS_CLAIM_COORDINATOR_H

#include "process/claims/claim_table.h"
#include "request/answer.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdockring {

/// Times that claims go by. All routers of a fleet use the same.
struct ClaimOptions
{
  /// Oldest key that is taken; the log must keep records for longer.
  WallTime keyWindow_ = 10min;
  /// How far a key's time may be ahead of this router's clock.
  WallTime maxAhead_ = 1min;
  /// Longest time a caller waits for its claim.
  Duration claimTimeout_ = 1s;
  /// How long an append with a lost reply is looked for before it is repeated.
  Duration settleTime_ = 500ms;
  /// How long the log may be silent before keyed requests are refused.
  Duration logSilence_ = 1500ms;
  /// Appends a second of the whole fleet.
  double fleetAppends_ = 250.0;
  double appendBurst_ = 3.0;
  /// Largest answer body that an outcome keeps, in bytes.
  std::size_t maxOutcomeBody_ = 4096;
};

/// An append to the log. A lost reply is settled by reading the log.
struct AppendOrder
{
  std::int64_t token_ = 0;
  std::vector<LogRecord> records_;
};

/// What became of a claim.
struct ClaimVerdict
{
  RequestId request_ = 0;
  bool won_ = false;
  /// The caller's answer where the claim was not won.
  Response answer_;
};

/// Router's side of claiming idempotency keys on the log. A claim is won only
/// when replaying the log shows it first, never by an append's reply. An owner
/// that gives up before it sent anything logs that the key is free again.
class ClaimCoordinator
{
  struct Pending
  {
    std::string key_;
    AttemptId attempt_;
    std::int64_t keyMillis_ = 0;
    Instant since_{};
    bool won_ = false;
  };

  struct AbandonedClaim
  {
    std::string key_;
    std::int64_t keyMillis_ = 0;
  };

  struct InFlight
  {
    std::vector<LogRecord> records_;
    Instant since_{};
    bool lost_ = false;
  };

  ClaimOptions options_;
  RouterId self_;
  std::int64_t incarnation_;
  std::function<bool(const AttemptId&)> isOwnerLive_;
  ClaimTable table_;
  std::int64_t nextSequence_ = 1;
  std::int64_t nextToken_ = 1;
  std::map<RequestId, Pending> pending_;
  std::map<std::string, std::set<RequestId>> pendingByKey_;
  /// Attempts given up before the log showed them, by attempt.
  std::map<AttemptId, AbandonedClaim> abandoned_;
  std::vector<LogRecord> queue_;
  std::map<std::int64_t, InFlight> inFlight_;
  std::vector<ClaimVerdict> verdicts_;
  Instant lastRead_{};
  bool caughtUp_ = false;
  double appendCredit_ = 0;
  Instant lastCredit_{};

  auto Settle(const std::string& aKey) -> void;
  auto ErasePending(RequestId aRequest) -> void;
  [[nodiscard]] auto IsSettled(const LogRecord& aRecord) const -> bool;
  auto Abandon(const Pending& aPending) -> void;
  auto TakeQueued() -> std::vector<LogRecord>;
  auto ExpirePending(Instant aNow) -> void;
  auto RepeatLost(Instant aNow) -> void;
  [[nodiscard]] auto AnswerFor(const ClaimEntry& aEntry) const -> Response;

public:
  ClaimCoordinator(const ClaimOptions& aOptions,
                   RouterId aSelf,
                   std::int64_t aIncarnation,
                   std::function<bool(const AttemptId&)> aIsOwnerLive);

  /// Begins a claim. An answer ends the request at once; none says that a
  /// verdict follows.
  auto Begin(RequestId aRequest,
             AccountId aAccount,
             const std::string& aUuid,
             WallTime aWallTime,
             Instant aNow) -> std::optional<Response>;
  /// Ends a claimed request with what became of its run.
  auto Finish(RequestId aRequest,
              OutcomeKind aKind,
              int aStatus,
              std::string aBody) -> void;

  auto Apply(const ClaimRecord& aClaim) -> void;
  auto Apply(const OutcomeRecord& aOutcome) -> void;
  /// Notes a read of the log, and whether it reached the log's end.
  auto OnLogRead(bool aAtEnd, Instant aNow) -> void;
  /// Takes an append's reply; aKnown is false where the reply was lost.
  auto OnAppendReply(std::int64_t aToken, bool aKnown, Instant aNow) -> void;

  /// Queues a record of another kind for the next append.
  auto QueueRecord(LogRecord aRecord) -> void;
  /// Appends that are due at this rate for a fleet of aLiveRouters.
  auto Tick(Instant aNow, WallTime aWallTime, int aLiveRouters)
    -> std::vector<AppendOrder>;
  auto TakeVerdicts() -> std::vector<ClaimVerdict>;

  [[nodiscard]] auto IsLogUsable(Instant aNow) const -> bool;
  [[nodiscard]] auto IsCaughtUp() const -> bool;
  [[nodiscard]] auto Table() const -> const ClaimTable&;
};

} // namespace burdockring

#endif
