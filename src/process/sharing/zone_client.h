#ifndef BURDOCKRING_PROCESS_SHARING_ZONE_CLIENT_H
#define BURDOCKRING_PROCESS_SHARING_ZONE_CLIENT_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"
#include "process/sharing/fair_queue.h"
#include "process/sharing/sharing_options.h"
#include "process/sharing/target_slots.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace burdockring {

/// A router's client for one zone's scheduler of one service. Tracks the slots
/// held, the tags received, and the demand and charges to report.
class ZoneClient
{
  struct AccountState
  {
    /// The tag received from the scheduler plus charges reported since.
    ServiceAmount reportedTag_ = 0;
    ServiceAmount unreported_ = 0;
    /// Running total of charges.
    ServiceAmount charged_ = 0;
    int reportedWaiting_ = 0;
    /// Whether the scheduler has sent the tag since the account began to wait
    /// here.
    bool isTagKnown_ = false;
    /// Whether the scheduler was sent this router's initial tag.
    bool isInitialTagSent_ = false;
    ServiceAmount sentEstimate_ = 0;
  };

  struct HeldSlots
  {
    int held_ = 0;
    int busy_ = 0;
    Instant idleSince_{};
    Instant avoidUntil_{};
  };

  struct SentReport
  {
    int sequence_ = 0;
    Instant sentAt_{};
  };

  const SharingOptions* options_;
  ServiceId service_;
  ZoneId zone_;
  bool isHomeZone_;
  std::optional<RouterId> scheduler_;
  std::int64_t schedulerIncarnation_ = 0;
  /// Identifies the scheduler's record of this router, as given in its grants.
  std::int64_t schedulerEpoch_ = 0;
  std::map<AccountId, AccountState> accounts_;
  std::map<TargetId, HeldSlots> slots_;
  /// Slots granted for an account and not yet used.
  std::map<AccountId, int> credits_;
  std::map<TargetId, TargetStats> targetStats_;
  std::set<TargetId> leaving_;
  std::deque<SentReport> sentReports_;
  int reportSequence_ = 0;
  int grantsSeen_ = 0;
  Instant leaseEnd_{};
  Instant lastSent_{};
  Instant lastFullReport_{};
  Instant lastPeriodicReport_{};
  ServiceAmount floor_ = 0;
  bool isContended_ = false;
  bool isUrgentReportDue_ = false;
  bool isFullReportDue_ = true;

  [[nodiscard]] auto IsAvoided(TargetId aTarget,
                               const HeldSlots& aSlots,
                               Instant aNow) const -> bool;
  auto ReturnAvoided(Instant aNow) -> void;
  auto ReturnTimedOutIdle(Instant aNow) -> void;
  [[nodiscard]] auto IsReportDue(Instant aNow,
                                 const std::map<AccountId, int>& aDemand) const
    -> bool;
  [[nodiscard]] auto HasUrgentDemand(
    const std::map<AccountId, int>& aDemand) const -> bool;
  static auto IsEstimateChanged(const AccountState& aState,
                                ServiceAmount aEstimate) -> bool;
  /// Makes the next report a full one that includes the initial tags.
  auto Resynchronize() -> void;
  /// Adds the rows that changed. Small changes are included in periodic and
  /// full reports only.
  auto FillDemand(bool aIsPeriodic,
                  const std::map<AccountId, int>& aDemand,
                  const std::map<AccountId, ServiceAmount>& aEstimates,
                  wire::DemandReport* aReport) -> void;
  auto FillSlots(Instant aNow, wire::DemandReport* aReport) -> void;

public:
  ZoneClient(const SharingOptions* aOptions,
             ServiceId aService,
             ZoneId aZone,
             bool aIsHomeZone);

  /// Sets the router that currently schedules the zone, or none.
  auto SetScheduler(std::optional<RouterId> aScheduler,
                    std::int64_t aIncarnation) -> void;
  auto SetLeaving(const std::set<TargetId>& aLeaving) -> void;
  /// Applies a grant batch. Returns false if it is not from the zone's current
  /// scheduler or was already seen.
  auto OnGrants(RouterId aFrom, const wire::GrantBatch& aBatch, Instant aNow)
    -> bool;
  /// Drops idle slots if the lease has expired, and returns those that are
  /// avoided or were idle for too long.
  auto Tick(Instant aNow) -> void;

  /// Whether held slots may be used for new attempts.
  [[nodiscard]] auto IsLeaseValid(Instant aNow) const -> bool;
  /// Number of idle slots that may be used now.
  [[nodiscard]] auto Idle(Instant aNow) const -> int;
  [[nodiscard]] auto Held() const -> int;
  [[nodiscard]] auto Busy() const -> int;
  [[nodiscard]] auto Tag(AccountId aAccount) const -> ServiceAmount;
  [[nodiscard]] auto KnowsTag(AccountId aAccount) const -> bool;
  [[nodiscard]] auto Floor() const -> ServiceAmount;
  [[nodiscard]] auto IsContended() const -> bool;
  [[nodiscard]] auto Scheduler() const -> std::optional<RouterId>;
  /// Whether a slot granted for the account is not yet used.
  [[nodiscard]] auto HasCredit(AccountId aAccount) const -> bool;

  /// Allocates an idle slot to an attempt of the account.
  auto TakeSlot(AccountId aAccount, Instant aNow) -> std::optional<TargetId>;
  /// Marks an attempt's slot idle; the router still holds it.
  auto ReleaseSlot(TargetId aTarget, Instant aNow) -> void;
  /// Returns every idle slot to the scheduler.
  auto ReturnIdle() -> void;
  /// Discards the record of accounts that slots were granted for.
  auto ClearCredits() -> void;
  /// Starts no new attempts on a target until aUntil.
  auto Avoid(TargetId aTarget, Instant aUntil) -> void;
  /// Charges service provided by this zone's slots. The amount is negative when
  /// the estimate was too high.
  auto Charge(AccountId aAccount, ServiceAmount aAmount) -> void;
  auto Observe(TargetId aTarget, const TargetStats& aStats) -> void;

  /// Whether the scheduler is known and the minimum report interval has passed.
  [[nodiscard]] auto MayReport(Instant aNow) const -> bool;
  /// Returns the report that is due, if any. aDemand is the number of waiting
  /// requests by account.
  auto BuildReport(Instant aNow,
                   const std::map<AccountId, int>& aDemand,
                   const std::map<AccountId, ServiceAmount>& aEstimates)
    -> std::optional<wire::DemandReport>;
};

} // namespace burdockring

#endif
