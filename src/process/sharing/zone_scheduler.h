#ifndef BURDOCKRING_PROCESS_SHARING_ZONE_SCHEDULER_H
#define BURDOCKRING_PROCESS_SHARING_ZONE_SCHEDULER_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"
#include "process/sharing/sharing_options.h"
#include "process/sharing/target_slots.h"
#include "version/config_set.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace burdockring {

/// A grant batch for one router.
struct AddressedGrants
{
  RouterId router_;
  wire::GrantBatch batch_;
};

/// A charge exchange for another zone's scheduler.
struct AddressedExchange
{
  ZoneId zone_;
  wire::ZoneExchange exchange_;
};

/// Schedules the slots of one service's targets in one zone. Its state is soft:
/// a new scheduler collects the slots in use and the accounts' tags from router
/// reports for one lease, plus a margin, before it grants anything.
///
/// Each free slot is granted to the waiting account with the lowest tag. A tag
/// is the account's weighted service over all zones: charges that routers
/// report for this zone, plus charges exchanged by other zones' schedulers.
/// Charges are reported as running totals, so a lost or duplicate message
/// neither loses nor doubles any.
class ZoneScheduler
{
  struct RouterDemand
  {
    int waiting_ = 0;
    int granted_ = 0;
    ServiceAmount charged_ = 0;
    ServiceAmount estimate_ = 0;
    bool hasBaseline_ = false;
  };

  struct SentBatch
  {
    int sequence_ = 0;
    std::vector<wire::GrantRow> rows_;
    /// Provisional charge of each row, in the order of rows_.
    std::vector<ServiceAmount> charges_;
  };

  struct Router
  {
    std::int64_t incarnation_ = 0;
    /// Identifies this record; each record has its own grant sequence.
    std::int64_t epoch_ = 0;
    int reportSeen_ = 0;
    bool isInSequence_ = false;
    bool wantFull_ = false;
    Instant lastHeard_{};
    Instant lastSent_{};
    bool replyDue_ = false;
    bool sentContended_ = false;
    int idle_ = 0;
    int grantSequence_ = 0;
    std::map<AccountId, RouterDemand> demand_;
    std::map<AccountId, ServiceAmount> sentTags_;
    std::map<TargetId, int> held_;
    std::deque<SentBatch> unacknowledged_;
    std::vector<wire::GrantRow> newGrants_;
    std::vector<ServiceAmount> newCharges_;
  };

  struct Account
  {
    ServiceAmount tag_ = 0;
    /// Provisional charges for grants not yet acknowledged by a report.
    ServiceAmount pendingCharge_ = 0;
    /// Waiting requests without a grant, over all routers.
    int unmet_ = 0;
    Instant lastUnmetChange_{};
    /// Running total of charges for this zone's slots.
    ServiceAmount zoneCharged_ = 0;
    /// Key in accountsByTag_, valid while isOrdered_.
    ServiceAmount orderKey_ = 0;
    bool isOrdered_ = false;
  };

  struct OrderKey
  {
    ServiceAmount tag_ = 0;
    AccountId account_;

    auto operator<=>(const OrderKey&) const = default;
  };

  /// What was last sent to another zone's scheduler.
  struct Receiver
  {
    Instant lastFullExchange_{};
    std::map<AccountId, ServiceAmount> sentCharges_;
  };

  /// What was last received from another zone's scheduler.
  struct ExchangeSource
  {
    std::int64_t incarnation_ = 0;
    std::int64_t epoch_ = 0;
    Instant lastHeard_{};
    std::map<AccountId, ServiceAmount> charged_;
  };

  const SharingOptions* options_;
  ServiceId service_;
  ZoneId zone_;
  Instant warmUpEnd_{};
  std::int64_t epoch_ = 0;
  std::int64_t nextRouterEpoch_ = 0;
  ServiceAmount virtualTime_ = 0;
  TargetSlots targets_;
  /// Other zones with targets of the service.
  std::vector<ZoneId> otherZones_;
  std::map<AccountId, Account> accounts_;
  /// Accounts with unmet demand, by tag including provisional charges.
  std::set<OrderKey> accountsByTag_;
  std::map<RouterId, Router> routers_;
  std::map<ZoneId, ExchangeSource> exchangeSources_;
  std::map<ZoneId, Receiver> receivers_;
  std::size_t nextReceiver_ = 0;
  Instant nextExchange_{};
  bool isContended_ = false;

  auto ApplyDemandRow(const wire::DemandRow& aRow,
                      Router* aRouter,
                      bool aClampTag,
                      Instant aNow) -> void;
  auto Reorder(AccountId aId, Account* aAccount) -> void;
  [[nodiscard]] auto IsWarmingUp(Instant aNow) const -> bool;
  auto SetUnmet(AccountId aId, Account* aAccount, int aChange, Instant aNow)
    -> void;
  auto Acknowledge(Router* aRouter, int aGrantsSeen) -> void;
  auto ReleaseSentBatch(Router* aRouter, const SentBatch& aBatch) -> void;
  auto ClearMissingRows(const wire::DemandReport& aReport,
                        Router* aRouter,
                        Instant aNow) -> void;
  auto ReplaceHeld(const wire::DemandReport& aReport, Router* aRouter) -> void;
  auto Observe(const wire::DemandReport& aReport, Instant aNow) -> void;
  auto ClampTag(Account* aAccount) -> void;
  auto RaiseVirtualTime() -> void;
  [[nodiscard]] auto LowestAccount() -> std::map<AccountId, Account>::iterator;
  auto ChooseRouter(AccountId aAccount) -> Router*;
  auto Grant(AccountId aId, Account* aAccount, TargetId aTarget, Instant aNow)
    -> bool;
  auto ExpireRouters(Instant aNow) -> void;
  auto RemoveRouter(RouterId aRouter, Instant aNow) -> void;
  auto BuildExchange(ZoneId aReceiver, Instant aNow)
    -> std::optional<wire::ZoneExchange>;
  auto BuildBatch(Router* aRouter, Instant aNow) -> wire::GrantBatch;
  [[nodiscard]] auto IsBatchDue(const Router& aRouter, Instant aNow) const
    -> bool;

public:
  ZoneScheduler(const SharingOptions* aOptions,
                ServiceId aService,
                ZoneId aZone,
                Instant aNow);

  auto Configure(const ConfigSet& aSet) -> void;
  auto SetLeaving(const std::set<TargetId>& aLeaving) -> void;
  auto OnReport(RouterId aFrom,
                std::int64_t aIncarnation,
                const wire::DemandReport& aReport,
                Instant aNow) -> void;
  /// Applies the charges from another zone's scheduler.
  auto OnExchange(std::int64_t aIncarnation,
                  const wire::ZoneExchange& aExchange,
                  Instant aNow) -> void;
  /// Reclaims the slots and grants of a dead router.
  auto Forget(RouterId aRouter, Instant aNow) -> void;
  /// Grants free slots. Call it after events and on each tick.
  auto Schedule(Instant aNow) -> void;
  /// Returns the grant batches that are due.
  auto TakeBatches(Instant aNow) -> std::vector<AddressedGrants>;
  /// Returns the exchanges that are due, for a few of the other zones in
  /// round-robin order. They are paced so that a scheduler's bandwidth does not
  /// grow with the number of zones.
  auto TakeExchanges(Instant aNow) -> std::vector<AddressedExchange>;

  [[nodiscard]] auto Targets() const -> const TargetSlots&;
  [[nodiscard]] auto Tag(AccountId aAccount) const -> ServiceAmount;
  [[nodiscard]] auto Unmet() const -> int;
  /// The lowest tag of a waiting account, or else the virtual time.
  [[nodiscard]] auto Floor() const -> ServiceAmount;
  [[nodiscard]] auto IsContended() const -> bool;
};

} // namespace burdockring

#endif
