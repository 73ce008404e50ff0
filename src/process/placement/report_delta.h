#ifndef BURDOCKRING_PROCESS_PLACEMENT_REPORT_DELTA_H
#define BURDOCKRING_PROCESS_PLACEMENT_REPORT_DELTA_H

#include "base/time.h"
#include "peer_types.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

namespace burdockring {

/// Removes from a load report what was sent to the peers before. Rows hold
/// absolute values, so after a lost report a peer has outdated ones only until
/// they change again or the next full report arrives.
///
/// Load pattern: dozens of routers that each have requests running at dozens of
/// targets, of which a few rows change between two reports.
class ReportDelta
{
  /// Interval between reports that hold every row.
  static constexpr Duration kFullReportInterval = 2s;
  /// An account's row is sent again once it has changed by at least its last
  /// sent value divided by this, and by at least kMinAccountChange tokens.
  static constexpr std::int64_t kAccountChangeDivisor = 10;
  static constexpr std::int64_t kMinAccountChange = 500;

  std::map<std::int32_t, wire::TargetUse> sentTargets_;
  std::map<std::int32_t, wire::AccountUse> sentAccounts_;
  Instant lastFullReport_{};
  bool fullReportDue_ = true;

  static auto HasChangedEnough(const wire::AccountUse& aSent,
                               const wire::AccountUse& aNew) -> bool;
  auto RemoveUnchangedTargets(wire::LoadReport* aReport) -> void;
  auto RemoveUnchangedAccounts(wire::LoadReport* aReport) -> void;

public:
  /// Makes the next report hold every row, for a peer that has received none.
  auto ForceFullReport() -> void;
  /// Reduces a full report to its changes, unless a full one is due.
  auto Reduce(wire::LoadReport* aReport, Instant aNow) -> void;
};

} // namespace burdockring

#endif
