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

/// Router's side of one zone's scheduler for one service: the slots it holds,
/// what it was told of tags, and what it has to report.
class ZoneClient
{
  struct AccountState
  {
    ServiceAmount reportedTag_ = 0;
    ServiceAmount unreported_ = 0;
    ServiceAmount charged_ = 0;
    int reportedWaiting_ = 0;
    /// Whether the scheduler told the tag since the account waits here.
    bool isTagKnown_ = false;
    /// Whether the scheduler has the tag that this router began with.
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
  /// Names the scheduler's record of this router, as its grants say.
  std::int64_t schedulerEpoch_ = 0;
  std::map<AccountId, AccountState> accounts_;
  std::map<TargetId, HeldSlots> slots_;
  /// Slots that were granted for an account and are not used yet.
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
  bool contended_ = false;
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
  /// Tells the scheduler everything anew.
  auto Resynchronize() -> void;
  /// Fills the rows that changed; the small changes only when aIsPeriodic.
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

  /// Names the router that schedules the zone now, or none.
  auto SetScheduler(std::optional<RouterId> aScheduler,
                    std::int64_t aIncarnation) -> void;
  auto SetLeaving(const std::set<TargetId>& aLeaving) -> void;
  /// Takes grants; false where they are not from the zone's scheduler.
  auto OnGrants(RouterId aFrom, const wire::GrantBatch& aBatch, Instant aNow)
    -> bool;
  /// Drops idle slots whose lease has run out or that nobody here needs.
  auto Tick(Instant aNow) -> void;

  /// Whether the slots may be used for new attempts.
  [[nodiscard]] auto IsLeaseValid(Instant aNow) const -> bool;
  /// Idle slots that may be used now.
  [[nodiscard]] auto Idle(Instant aNow) const -> int;
  [[nodiscard]] auto Held() const -> int;
  [[nodiscard]] auto Busy() const -> int;
  [[nodiscard]] auto Tag(AccountId aAccount) const -> ServiceAmount;
  [[nodiscard]] auto KnowsTag(AccountId aAccount) const -> bool;
  [[nodiscard]] auto Floor() const -> ServiceAmount;
  [[nodiscard]] auto IsContended() const -> bool;
  [[nodiscard]] auto Scheduler() const -> std::optional<RouterId>;
  /// Whether a grant named the account and it is not used up.
  [[nodiscard]] auto HasCredit(AccountId aAccount) const -> bool;

  /// Takes an idle slot for an attempt of the account.
  auto TakeSlot(AccountId aAccount, Instant aNow) -> std::optional<TargetId>;
  /// Gives a slot back after an attempt, idle.
  auto ReleaseSlot(TargetId aTarget, Instant aNow) -> void;
  /// Gives every idle slot back to the scheduler.
  auto ReturnIdle() -> void;
  /// Forgets for which accounts slots were granted.
  auto ClearCredits() -> void;
  /// Keeps new attempts off a target for a while.
  auto Avoid(TargetId aTarget, Instant aUntil) -> void;
  /// Adds service given with this zone's slots; negative when an estimate was
  /// too high.
  auto Charge(AccountId aAccount, ServiceAmount aAmount) -> void;
  auto Observe(TargetId aTarget, const TargetStats& aStats) -> void;

  /// Whether a report could be due now.
  [[nodiscard]] auto MayReport(Instant aNow) const -> bool;
  /// The report that is due, or none. aDemand is what waits, by account.
  auto BuildReport(Instant aNow,
                   const std::map<AccountId, int>& aDemand,
                   const std::map<AccountId, ServiceAmount>& aEstimates)
    -> std::optional<wire::DemandReport>;
};

} // namespace burdockring

#endif
