#ifndef BURDOCKRING_PROCESS_SHARING_SHARING_OPTIONS_H
#define BURDOCKRING_PROCESS_SHARING_SHARING_OPTIONS_H

#include "base/time.h"
#include "process/sharing/service_amount.h"

namespace burdockring {

/// Parameters of slot sharing. All routers of a fleet must use the same values.
struct SharingOptions
{
  /// How far an account's tag may exceed the lowest backlogged tag for a router
  /// to reuse a held slot without a new grant, in tokens by weight.
  ServiceAmount reuseSlack_ = 512;
  /// Minimum time between two reports to one scheduler.
  Duration minReportInterval_ = 5ms;
  /// Minimum unreported charge for an account's row to be included in a report
  /// between two periodic ones, in tokens by weight.
  ServiceAmount urgentCharge_ = 64;
  /// Maximum time between two reports while there is anything to report.
  Duration maxReportInterval_ = 250ms;
  /// Time between two full reports, which hold every row.
  Duration fullReportInterval_ = 5s;
  /// How long slots may be used for new attempts after sending the last report
  /// that the scheduler has acknowledged.
  Duration lease_ = 1s;
  /// Extra time before a scheduler reclaims slots after a lease, which allows
  /// for differing clock rates.
  Duration leaseMargin_ = 100ms;
  /// How long a request waits before it is reported to other zones.
  Duration spillDelay_ = 20ms;
  /// How long a router keeps an idle slot of the home zone.
  Duration homeIdleTimeout_ = 1s;
  /// How long a router keeps an idle slot of another zone.
  Duration spillIdleTimeout_ = 50ms;
  /// How long an account must be without demand before its tag is raised to the
  /// virtual time on its return, so that idle time earns no service.
  Duration idleBeforeTagRaise_ = 300ms;
  /// Minimum time between two exchanges with other zones' schedulers.
  Duration exchangeInterval_ = 100ms;
  /// Bandwidth limit for a scheduler's exchanges.
  std::int64_t exchangeBytesPerSecond_ = 8'000;
  /// Maximum by which a tag may exceed the virtual time after a router or zone
  /// rejoins, in tokens by weight.
  ServiceAmount maxTagExcess_ = 20'000;
  /// How long a router starts no new attempt on a target that failed or
  /// refused.
  Duration targetPenalty_ = 500ms;
};

} // namespace burdockring

#endif
