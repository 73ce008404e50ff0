#ifndef BURDOCKRING_PROCESS_SHARING_SHARING_OPTIONS_H
#define BURDOCKRING_PROCESS_SHARING_SHARING_OPTIONS_H

#include "base/time.h"
#include "process/sharing/service_amount.h"

namespace burdockring {

/// Times and amounts that the sharing of slots goes by. All routers of a fleet
/// use the same.
struct SharingOptions
{
  /// How far beyond the lowest backlogged tag a held slot may be reused without
  /// asking, in tokens by weight.
  ServiceAmount reuseSlack_ = 512;
  /// Shortest time between two reports to one scheduler.
  Duration minReportInterval_ = 5ms;
  /// Least charge that a report between two lazy ones repeats, in tokens by
  /// weight.
  ServiceAmount urgentCharge_ = 64;
  /// Longest time between two reports while there is anything to report.
  Duration maxReportInterval_ = 250ms;
  /// Time between two reports that hold every row.
  Duration fullReportInterval_ = 5s;
  /// How long a slot may be used without word from its scheduler.
  Duration lease_ = 1s;
  /// How much longer a scheduler waits before it reclaims, for clock rates.
  Duration leaseMargin_ = 100ms;
  /// How long a request waits before other zones hear of it.
  Duration spillDelay_ = 20ms;
  /// How long an idle slot of the home zone is kept.
  Duration homeIdleTimeout_ = 1s;
  /// How long an idle slot of another zone is kept.
  Duration spillIdleTimeout_ = 50ms;
  /// How long an account must be without demand to lose its tag's credit.
  Duration idleBeforeTagRaise_ = 300ms;
  /// Shortest time between two exchanges of a scheduler with other zones'.
  Duration exchangeInterval_ = 100ms;
  /// Bytes a second that a scheduler's exchanges may take.
  std::int64_t exchangeBytesPerSecond_ = 8'000;
  /// Most that an account may be ahead after a rejoin, in tokens by weight.
  ServiceAmount maxTagExcess_ = 20'000;
  /// How long a target that failed gets no new attempt from the router.
  Duration targetPenalty_ = 500ms;
};

} // namespace burdockring

#endif
