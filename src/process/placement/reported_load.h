#ifndef BURDOCKRING_PROCESS_PLACEMENT_REPORTED_LOAD_H
#define BURDOCKRING_PROCESS_PLACEMENT_REPORTED_LOAD_H

#include "base/ids.h"
#include "base/time.h"
#include "request/request_metadata.h"

#include <map>
#include <utility>

namespace burdockring {

/// Corrects what this router believes of other routers' requests at a target by
/// what the target reports of itself.
///
/// Load pattern: routers that crash or fall silent while their requests still
/// run, and reports of other routers that are older than those of the target.
class ReportedLoadState
{
  /// How long a difference between the target's report and those of the routers
  /// counts: within this time the routers' own reports tell the same.
  static constexpr Duration kExcessMemory = 40ms;
  /// A difference that two reports this far apart agree on is not explained by
  /// the age of routers' reports: it is work that no router reports, or that
  /// has ended although its router did not say so. It counts until the next
  /// response, but no longer than this.
  static constexpr Duration kLastingAfter = 100ms;
  static constexpr Duration kLastingMemory = 1s;
  /// One request is always on its way between target and routers.
  static constexpr int kTolerance = 1;
  /// The slowness changes many times a second.
  static constexpr Duration kSlownessMemory = 250ms;
  /// Requests are on their way for this long. A report that arrives sooner
  /// after one was sent may lack it.
  static constexpr Duration kTransit = 15ms;
  static constexpr double kMinSlowness = 0.25;
  static constexpr double kMaxSlowness = 8.0;

  Instant lastSent_{};
  /// Requests that the target has beyond those that routers reported.
  int excess_ = 0;
  /// The part of it that lasts.
  int lasting_ = 0;
  int waiting_ = 0;
  Instant reportedAt_{};
  bool isReported_ = false;
  double slowness_ = 1.0;
  Instant slownessAt_{};

  static auto Fade(Duration aAge, Duration aMemory) -> double;
  /// The part of a difference that two reports agree on.
  static auto Lasting(int aBefore, int aNow) -> int;

public:
  /// This router has sent a request to the target.
  auto OnSent(Instant aNow) -> void;
  /// Returns whether the report differs from what the routers know.
  auto OnReport(const ReportedLoad& aLoad,
                int aOwnRunning,
                int aOthersRunning,
                Instant aNow) -> bool;
  /// The routers' reports have caught up with aChange requests.
  auto OnOthersChanged(int aChange) -> void;
  /// Requests that the target has beyond those that routers reported; negative
  /// if some of those have ended.
  [[nodiscard]] auto Excess(Instant aNow) const -> int;
  /// How many of the excess wait to be prefilled.
  [[nodiscard]] auto WaitingExcess(Instant aNow) const -> int;
  /// Time that work takes now, relative to normal.
  [[nodiscard]] auto Slowness(Instant aNow) const -> double;
  /// Age of the last report; the maximum if there is none.
  [[nodiscard]] auto Age(Instant aNow) const -> Duration;
};

/// Selects the reports that are worth passing to a lead along with a note that
/// is sent anyway. A load adds about 12 bytes to a note; the limit keeps this
/// under 500 bytes a second for each lead, 5 in 100 of a router's control
/// traffic.
class LoadNoteFilter
{
  static constexpr int kMaxPerSecond = 40;
  /// A report without changes is passed on again after this time, as the lead's
  /// correction expires.
  static constexpr Duration kRepeatInterval = 500ms;
  static constexpr int kSlownessStep = 10;
  static constexpr std::size_t kMaxEntries = 4096;

  struct Sent
  {
    ReportedLoad load_;
    Instant at_{};
  };

  std::map<std::pair<RouterId, TargetId>, Sent> sent_;
  /// Start of the current second, and the loads passed in it, by lead.
  std::map<RouterId, std::pair<Instant, int>> budgets_;

  static auto IsNews(const ReportedLoad& aOld, const ReportedLoad& aNew)
    -> bool;

public:
  /// Whether to pass on the load; it then counts as passed.
  auto Take(RouterId aLead,
            TargetId aTarget,
            const ReportedLoad& aLoad,
            Instant aNow) -> bool;
};

} // namespace burdockring

#endif
