#ifndef BURDOCKRING_PROCESS_SHARING_SERVICE_POOL_H
#define BURDOCKRING_PROCESS_SHARING_SERVICE_POOL_H

#include "process/sharing/cost_estimator.h"
#include "process/sharing/fair_queue.h"
#include "process/sharing/zone_client.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace burdockring {

/// A request that may start on a target now.
struct DispatchOrder
{
  RequestId request_ = 0;
  AccountId account_;
  ZoneId zone_;
  TargetId target_;
  /// Charged for the attempt so far, in tokens.
  double chargedTokens_ = 0;
};

struct AddressedReport
{
  RouterId scheduler_;
  wire::DemandReport report_;
};

/// One router's part in sharing one service: what waits here, and the slots
/// held from each zone's scheduler. Demand goes to the home zone first and to
/// a few other zones when it has waited, so that no zone's capacity idles while
/// work waits elsewhere.
class ServicePool
{
  const SharingOptions* options_;
  ServiceId service_;
  ZoneId homeZone_;
  RouterId localRouter_;
  ConfigSetPointer set_ = std::make_shared<const ConfigSet>();
  FairQueue queue_;
  CostEstimator estimator_;
  std::map<RequestId, double> tokenHints_;
  std::map<ZoneId, ZoneClient> zones_;
  std::set<TargetId> leaving_;
  /// The zones that hear of this router's demand, the home zone among them.
  std::set<ZoneId> reportedZones_;

  auto ChooseReportedZones() -> void;
  [[nodiscard]] auto DemandFor(ZoneId aZone, Instant aNow) const
    -> std::map<AccountId, int>;
  [[nodiscard]] auto Estimates(const std::map<AccountId, int>& aDemand) const
    -> std::map<AccountId, ServiceAmount>;
  [[nodiscard]] auto ChooseAccount(const ZoneClient& aClient) const
    -> std::optional<AccountId>;
  auto DispatchFrom(ZoneId aZone,
                    ZoneClient* aClient,
                    Instant aNow,
                    std::vector<DispatchOrder>* aOrders) -> void;

public:
  ServicePool(const SharingOptions* aOptions,
              ServiceId aService,
              ZoneId aHomeZone,
              RouterId aLocalRouter);

  auto Configure(ConfigSetPointer aSet) -> void;
  auto SetLeaving(const std::set<TargetId>& aLeaving) -> void;
  auto SetScheduler(ZoneId aZone,
                    std::optional<RouterId> aScheduler,
                    std::int64_t aIncarnation) -> void;
  [[nodiscard]] auto Zones() const -> std::vector<ZoneId>;

  auto Push(AccountId aAccount,
            const WaitingRequest& aRequest,
            std::optional<double> aHintTokens) -> void;
  auto PushFront(AccountId aAccount, const WaitingRequest& aRequest) -> void;
  auto Remove(RequestId aRequest) -> bool;
  auto PopExpired(Instant aNow) -> std::vector<RequestId>;

  auto OnGrants(RouterId aFrom, const wire::GrantBatch& aBatch, Instant aNow)
    -> void;
  auto Tick(Instant aNow) -> void;
  /// Starts what held slots allow.
  auto Dispatch(Instant aNow) -> std::vector<DispatchOrder>;
  /// Charges tokens beyond what was charged at dispatch.
  auto Charge(ZoneId aZone, AccountId aAccount, double aTokens) -> void;
  /// Ends an attempt and gives its slot back.
  auto EndAttempt(ZoneId aZone,
                  TargetId aTarget,
                  const TargetStats& aStats,
                  Instant aNow) -> void;
  /// Learns what a whole answer cost.
  auto AddCostSample(AccountId aAccount, double aTokens) -> void;
  auto TakeReports(Instant aNow) -> std::vector<AddressedReport>;

  [[nodiscard]] auto Waiting(AccountId aAccount) const -> int;
  [[nodiscard]] auto TotalWaiting() const -> int;
  [[nodiscard]] auto Busy() const -> int;
  [[nodiscard]] auto Held() const -> int;
};

} // namespace burdockring

#endif
