#ifndef BURDOCKRING_PROCESS_CLAIMS_CLAIM_COORDINATOR_H
#define BURDOCKRING_PROCESS_CLAIMS_CLAIM_COORDINATOR_H

#include "process/claims/claim_table.h"
#include "request/response.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdockring {

/// Limits and timeouts of idempotency claims. All routers of a fleet must use
/// the same values.
struct ClaimOptions
{
  /// Maximum age of an accepted key. The log must retain records for longer.
  WallTime keyWindow_ = 10min;
  /// Maximum time by which a key's timestamp may be ahead of this router's
  /// clock.
  WallTime maxKeyAhead_ = 1min;
  /// Maximum time a caller waits for its claim to be decided.
  Duration claimTimeout_ = 1s;
  /// Time to look for an append in the log, after its reply was lost, before
  /// the append is retried.
  Duration lostAppendRetryDelay_ = 500ms;
  /// Time without a read of the log after which new claims are rejected.
  Duration logReadTimeout_ = 1500ms;
  /// Maximum rate of log appends of the whole fleet, in appends per second.
  double maxFleetAppendsPerSecond_ = 250.0;
  double appendBurst_ = 3.0;
  /// Maximum response body that is stored in an outcome, in bytes. A larger
  /// body is left out.
  std::size_t maxOutcomeBodyBytes_ = 4096;
};

/// A request to append records to the log. If the reply is lost, reading the
/// log shows whether the records were appended.
struct AppendRequest
{
  std::int64_t token_ = 0;
  std::vector<LogRecord> records_;
};

/// The result of a claim.
struct ClaimResult
{
  RequestId request_ = 0;
  bool isAcquired_ = false;
  /// The response to the caller if the claim was not acquired.
  Response response_;
};

/// Claims idempotency keys for this router through the shared log. A claim is
/// acquired only when replaying the log shows that it is the first for a free
/// key, never because an append was acknowledged. An owner that gives up before
/// sending anything logs a "not run" outcome, which frees the key. If a claim
/// was abandoned before it was seen in the log, this happens once it is.
class ClaimCoordinator
{
  struct Pending
  {
    std::string key_;
    AttemptId attempt_;
    std::int64_t keyMillis_ = 0;
    Instant since_{};
    bool isAcquired_ = false;
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
    bool isReplyLost_ = false;
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
  /// Claims abandoned before they were seen in the log, by attempt.
  std::map<AttemptId, AbandonedClaim> abandoned_;
  std::vector<LogRecord> queue_;
  std::map<std::int64_t, InFlight> inFlight_;
  std::vector<ClaimResult> results_;
  Instant lastRead_{};
  bool caughtUp_ = false;
  double appendCredit_ = 0;
  Instant lastCredit_{};

  auto ResolvePending(const std::string& aKey) -> void;
  auto ErasePending(RequestId aRequest) -> void;
  /// Returns whether a record of a lost append need not be appended again.
  [[nodiscard]] auto IsResolved(const LogRecord& aRecord) const -> bool;
  auto Abandon(const Pending& aPending) -> void;
  auto TakeQueuedRecords() -> std::vector<LogRecord>;
  auto ExpirePending(Instant aNow) -> void;
  auto RetryLostAppends(Instant aNow) -> void;
  [[nodiscard]] auto MakeEntryResponse(const ClaimEntry& aEntry) const
    -> Response;

public:
  ClaimCoordinator(const ClaimOptions& aOptions,
                   RouterId aSelf,
                   std::int64_t aIncarnation,
                   std::function<bool(const AttemptId&)> aIsOwnerLive);

  /// Starts a claim. A returned response ends the request immediately. Without
  /// one, the claim is pending and its result comes from TakeResults().
  auto Begin(RequestId aRequest,
             AccountId aAccount,
             const std::string& aUuid,
             WallTime aWallTime,
             Instant aNow) -> std::optional<Response>;
  /// Ends a request and queues the outcome of its run. A claim that was not
  /// acquired yet is abandoned instead.
  auto Finish(RequestId aRequest,
              OutcomeKind aKind,
              int aStatus,
              std::string aBody) -> void;

  auto Apply(const ClaimRecord& aClaim) -> void;
  auto Apply(const OutcomeRecord& aOutcome) -> void;
  /// Records that the log was read, and whether the read reached its end.
  auto OnLogRead(bool aAtEnd, Instant aNow) -> void;
  /// Handles the reply to an append. aKnown is false if the reply was lost.
  auto OnAppendReply(std::int64_t aToken, bool aKnown, Instant aNow) -> void;

  /// Queues a record that is neither a claim nor an outcome for the next
  /// append.
  auto QueueRecord(LogRecord aRecord) -> void;
  /// Handles timeouts and returns the appends that are due. The fleet's append
  /// rate is divided equally among aLiveRouters.
  auto Tick(Instant aNow, WallTime aWallTime, int aLiveRouters)
    -> std::vector<AppendRequest>;
  auto TakeResults() -> std::vector<ClaimResult>;

  [[nodiscard]] auto IsLogUsable(Instant aNow) const -> bool;
  [[nodiscard]] auto IsCaughtUp() const -> bool;
  [[nodiscard]] auto Table() const -> const ClaimTable&;
};

} // namespace burdockring

#endif
