#ifndef BURDOCKRING_PROCESS_FORWARDING_REPORT_DELTA_H
#define BURDOCKRING_PROCESS_FORWARDING_REPORT_DELTA_H

#include "base/time.h"
#include "peer_types.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

namespace burdockring {

/// Leaves out of a load report what the peers were told before. Rows hold whole
/// values, so a report that is lost leaves a peer with old ones only until they
/// change again or the next whole report comes.
///
/// Load pattern: dozens of routers that each have work at dozens of targets,
/// where a few rows change between two reports.
class ReportDelta
{
  /// How often a report holds every row.
  static constexpr Duration kWholeInterval = 2s;
  /// An account's row is told again when it has moved by one of so many parts,
  /// and by no less than this many tokens.
  static constexpr std::int64_t kAccountParts = 10;
  static constexpr std::int64_t kLeastTokens = 500;

  std::map<std::int32_t, wire::TargetUse> targets_;
  std::map<std::int32_t, wire::AccountUse> accounts_;
  Instant lastWhole_{};
  bool wholeIsDue_ = true;

  static auto HasMoved(const wire::AccountUse& aTold,
                       const wire::AccountUse& aNew) -> bool;
  auto ReduceTargets(wire::LoadReport* aReport) -> void;
  auto ReduceAccounts(wire::LoadReport* aReport) -> void;

public:
  /// The next report holds every row, as there is a peer that knows none.
  auto ForceWhole() -> void;
  /// Makes a whole report one of changes, unless a whole one is due.
  auto Reduce(wire::LoadReport* aReport, Instant aNow) -> void;
};

} // namespace burdockring

#endif
