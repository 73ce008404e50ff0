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

/// A request to start on a target now.
struct DispatchOrder
{
  RequestId request_ = 0;
  AccountId account_;
  ZoneId zone_;
  TargetId target_;
  /// Tokens charged for the attempt at dispatch.
  double chargedTokens_ = 0;
};

struct AddressedReport
{
  RouterId scheduler_;
  wire::DemandReport report_;
};

/// Fair sharing of one service on one router: its waiting requests and the
/// slots it holds from each zone's scheduler. Demand is reported to the home
/// zone at once and to a few other zones after a delay, so that no zone's
/// capacity stays idle while requests wait elsewhere.
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
  /// Zones that receive this router's demand, including the home zone.
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
  /// Returns the requests to start on the idle slots held here.
  auto Dispatch(Instant aNow) -> std::vector<DispatchOrder>;
  /// Charges tokens in addition to those charged at dispatch.
  auto Charge(ZoneId aZone, AccountId aAccount, double aTokens) -> void;
  /// Records the result of an attempt and marks its slot idle. A target that
  /// failed or refused gets no new attempt for targetPenalty_.
  auto EndAttempt(ZoneId aZone,
                  TargetId aTarget,
                  const TargetStats& aStats,
                  Instant aNow) -> void;
  /// Adds the cost of a complete response to the estimates.
  auto AddCostSample(AccountId aAccount, double aTokens) -> void;
  auto TakeReports(Instant aNow) -> std::vector<AddressedReport>;

  [[nodiscard]] auto Waiting(AccountId aAccount) const -> int;
  [[nodiscard]] auto TotalWaiting() const -> int;
  [[nodiscard]] auto Busy() const -> int;
  [[nodiscard]] auto Held() const -> int;
};

} // namespace burdockring

#endif
