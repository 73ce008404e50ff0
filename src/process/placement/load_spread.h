#ifndef BURDOCKRING_PROCESS_PLACEMENT_LOAD_SPREAD_H
#define BURDOCKRING_PROCESS_PLACEMENT_LOAD_SPREAD_H

#include "base/ids.h"
#include "base/time.h"
#include "process/placement/even_load.h"
#include "process/placement/prefill_estimator.h"
#include "process/placement/target_load.h"

#include <cstddef>
#include <map>
#include <optional>

namespace burdockring {

/// What one choice among a service's engines needs to differ from that of other
/// routers at the same moment.
struct SpreadContext
{
  UnseenLoad unseen_;
  /// Greatest uncertainty that is spread over.
  Duration limit_{};
  /// Index of this router among those that place requests, and their number.
  std::size_t router_ = 0;
  std::size_t routers_ = 1;

  /// Added to the cost of the engine with index aEngine in the service's list.
  /// aCachedCost is what it would cost to compute the prompt parts elsewhere
  /// that this engine has cached: the penalty stays below it.
  [[nodiscard]] auto CostChange(std::size_t aEngine,
                                const TargetLoad& aLoad,
                                Duration aCachedCost,
                                Instant aNow) const -> Duration;
};

/// Learns how much work the other routers place at the engines of each service
/// whose targets report their load, and so how outdated their reports are. For
/// other services there is no context, and choices are not spread.
///
/// Load pattern: as for TurnPenalty.
class LoadSpread
{
  /// A service whose targets stop to report their load is no longer spread.
  static constexpr Duration kReportingTimeout = 10s;
  /// Time over which the rate of a router is averaged.
  static constexpr Duration kRateMemory = 500ms;
  /// Transit of a report between leads.
  static constexpr Duration kTransit = 1ms;
  /// The reports of a router that is silent for longer say nothing of its rate.
  static constexpr Duration kMaxAge = 500ms;
  /// A router with a smaller share of the work does not take part in the order.
  static constexpr double kMinShare = 0.02;
  static constexpr double kSmoothingFactor = 0.05;

  struct Sender
  {
    Instant at_{};
    double tokensPerSecond_ = 0;
  };

  struct Service
  {
    Instant reportedAt_{};
    double meanTokens_ = 0;
    std::map<RouterId, Sender> senders_;
  };

  RouterId self_;
  std::map<ServiceId, Service> services_;

public:
  auto SetSelf(RouterId aSelf) -> void;
  /// A target of the service reported its load. Returns whether it is the first
  /// to do so.
  auto OnTargetReport(ServiceId aService, Instant aNow) -> bool;
  /// This router placed a request.
  auto OnPlaced(ServiceId aService, int aPrefillTokens) -> void;
  /// Whether any service reports its load.
  [[nodiscard]] auto IsActive() const -> bool;
  /// A router reported its load, which has grown by the given prompt tokens at
  /// the engines of each service.
  auto OnPeerReport(RouterId aPeer,
                    const std::map<ServiceId, double>& aAddedTokens,
                    Instant aNow) -> void;
  /// Prompt tokens of an average request.
  [[nodiscard]] auto MeanTokens(ServiceId aService) const -> double;
  /// Empty if the service reports no load.
  [[nodiscard]] auto ContextFor(ServiceId aService,
                                std::size_t aEngines,
                                const PrefillEstimator& aPrefill,
                                Duration aLimit,
                                Instant aNow) const
    -> std::optional<SpreadContext>;
};

} // namespace burdockring

#endif
