#ifndef BURDOCKRING_PROCESS_FORWARDING_DISPATCHER_H
#define BURDOCKRING_PROCESS_FORWARDING_DISPATCHER_H

#include "process/forwarding/account_shares.h"
#include "process/forwarding/placement.h"
#include "process/forwarding/report_delta.h"
#include "process/forwarding/target_directory.h"
#include "process/forwarding/target_load.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockring {

/// Why a request is turned away.
enum class RejectReason
{
  kNoTarget,
  kNoRoom,
  kLate,
  kOverShare,
  /// All targets want nothing for a while.
  kResting,
};

auto RejectReasonName(RejectReason aReason) -> std::string_view;

/// Send the request to a target now.
struct StartWork
{
  RequestId request_ = 0;
  TargetId target_;
  Duration expectedWait_{};
  /// An engine that the target copies the shared beginning from.
  std::optional<TargetId> copyFrom_;
  /// What the run adds to the target's load.
  LoadAmounts addedLoad_;
  /// How its account stood against its share.
  ShareStanding standing_ = ShareStanding::kGuaranteed;
};

/// Turn the request away.
struct RejectWork
{
  RequestId request_ = 0;
  RejectReason reason_ = RejectReason::kNoRoom;
  Duration retryAfter_{};
  Duration expectedWait_{};
  /// How its account stood against its share.
  ShareStanding standing_ = ShareStanding::kGuaranteed;
  /// The lead that decided so; nothing for this router itself.
  std::optional<RouterId> decidedBy_;
};

using DispatchVerdict = std::variant<StartWork, RejectWork>;

/// How a run at a target ended. The numbers go over the wire.
enum class RunEnd
{
  kWhole = 0,
  /// The target answered with an error of its own.
  kError = 1,
  /// The target did not run it.
  kRefused = 2,
  /// The target failed, or the way to it.
  kFailed = 3,
  /// The caller left or the time was up.
  kCancelled = 4,
};

constexpr int kRunEndCount = 5;

/// What placements at a service's engines go by.
struct EngineBelief
{
  ServiceId service_;
  double msPerToken_ = 0;
  Duration firstEventTime_{};
};

/// Decides which request starts, waits or is turned away, and where it runs.
/// No I/O: requests and what became of them go in, verdicts come out.
///
/// A request starts at once where its first event is expected on time. One
/// whose account is beyond its share starts only where the engine would be on
/// time by a wide margin. One that can't start waits a small part of its aim
/// for room, or is turned away at once where room can't come by then, with a
/// time to come back.
///
/// Load pattern: arrivals of up to three times what the engines can do, in
/// waves and clumps, with one account far above its usual.
class Dispatcher
{
  /// Longest wait of a stream that goes on.
  static constexpr Duration kGoesOnWait = 200ms;
  /// Part of the aim within which a first event must be expected.
  static constexpr double kOnTimePart = 0.9;
  /// The shortest aim where no stream names one, and the longest that limits
  /// are parts of: what waits longer is better kept here, where its order can
  /// still change, than at an engine.
  static constexpr Duration kUsualAim = 500ms;
  static constexpr Duration kLongestAim = 500ms;
  /// Part of a target's slots that accounts beyond their share may use, and
  /// while others are turned away.
  static constexpr double kLesserSlots = 0.85;
  static constexpr double kPressedSlots = 0.6;
  /// How long they stand back after others were turned away.
  static constexpr Duration kPressedTime = 1s;
  /// The longest time to come back.
  static constexpr Duration kMaxRetryAfter = 4s;
  /// How often what waits is looked at though nothing is known to have changed.
  static constexpr Duration kFullLookInterval = 25ms;
  /// Requests in a row that find no room before the rest is left for the next
  /// look: they stand behind in the order of shares, and each look costs a
  /// look at every target.
  static constexpr int kFailedLooks = 12;
  /// Reads that one report tells of; the rest goes unsaid, as it costs but a
  /// copy that finds nothing.
  static constexpr std::size_t kMaxReadsTold = 500;

  struct Run
  {
    TargetId target_;
    ServiceId service_;
    LoadAmounts addedLoad_;
    Instant started_{};
    int tokensAhead_ = 0;
    /// What the run counts for in its account's share.
    AccountId account_;
    std::int64_t givenTokens_ = 0;
    /// Shared parts of its prompt.
    std::vector<std::uint64_t> parts_;
    bool begun_ = false;
  };

  struct Waiting
  {
    WorkItem item_;
    Instant giveUpAt_{};
    /// What the account had been given as of the last look, in tokens.
    std::int64_t given_ = 0;
  };

  TargetDirectory* directory_;
  ForwardingPolicy policy_;
  TargetSelector placement_;
  /// How the engines of each service read.
  std::map<ServiceId, PrefillEstimator> paces_;
  TargetLoadTable loads_;
  AccountShares shares_;
  RouteTablePointer table_;
  std::vector<Waiting> waiting_;
  std::map<RequestId, Run> runs_;
  std::vector<DispatchVerdict> verdicts_;
  ReportDelta delta_;
  /// What targets have read since the last report to the peers.
  std::vector<wire::PartRead> reads_;
  std::mt19937 random_;
  /// Until when accounts beyond their share stand back, by this router's own
  /// refusals and by its peers'.
  Instant ownPressedUntil_{};
  Instant peersPressedUntil_{};
  std::int64_t targetsAsOf_ = 0;
  std::map<ServiceId, std::vector<UsableTarget>> targets_;
  /// Whether room may have come since the last look at what waits.
  bool mayHaveRoom_ = false;
  Instant lastFullLook_{};
  /// Whether the own load has changed since the last report.
  bool loadChanged_ = false;
  std::int64_t decisions_ = 0;

  auto TargetsOf(ServiceId aService) -> const std::vector<UsableTarget>&;
  /// Puts those first whose account was given least.
  auto SortWaiting(Instant aNow) -> void;
  /// Longest wait for a first event on time; nothing where none can be.
  auto OnTimeWait(const WorkItem& aItem, Instant aNow)
    -> std::optional<Duration>;
  /// What a target must offer for the request, with its account standing so.
  auto LimitsFor(const WorkItem& aItem,
                 const RoutedService& aService,
                 ShareStanding aStanding,
                 Instant aNow) -> SelectionLimits;
  /// Whether a request for the same engines waits whose account was given less.
  auto IsBehindOthers(const WorkItem& aItem, Instant aNow) -> bool;
  /// How the request's account stands against its share of the pool; plain
  /// services have no shares.
  auto StandingOf(const WorkItem& aItem,
                  const RoutedService& aService,
                  Instant aNow) -> ShareStanding;
  /// Learns from a first event how fast its engine reads.
  auto LearnPrefillSpeed(const Run& aRun, Instant aNow) -> void;
  auto OnSaturated(Instant aNow) -> void;
  /// The shortest aim that the service's limits are parts of.
  [[nodiscard]] static auto LimitingAim(const RoutedService& aService)
    -> Duration;
  /// The shortest time to come back.
  [[nodiscard]] auto FirstReturn(const WorkItem& aItem) const -> Duration;
  auto TryStart(const WorkItem& aItem, Instant aNow, RejectWork* aRefusal)
    -> bool;
  auto Start(const WorkItem& aItem,
             const Candidate& aCandidate,
             const RoutedService& aService,
             ShareStanding aStanding,
             Instant aNow) -> void;
  /// Whether accounts within their share were turned away a moment ago.
  [[nodiscard]] auto IsPressed(Instant aNow) const -> bool;
  auto Reject(const WorkItem& aItem, RejectWork aRefusal, Instant aNow) -> void;
  /// How long all targets of a service want nothing; zero: one may be used.
  auto RestOfAll(ServiceId aService, Instant aNow) -> Duration;
  auto ComeBackTime(const WorkItem& aItem, Instant aNow) -> Duration;
  /// Whether all targets rest for longer than what waits until aGiveUpAt may.
  [[nodiscard]] static auto IsHopeless(const RejectWork& aRefusal,
                                       Instant aGiveUpAt,
                                       Instant aNow) -> bool;
  [[nodiscard]] static auto Tokens(const WorkItem& aItem) -> std::int64_t;

public:
  Dispatcher(TargetDirectory* aDirectory,
             ZoneId aHome,
             std::uint32_t aSeed,
             const ForwardingPolicy& aPolicy = {});

  /// When a request that finds no room is turned away.
  [[nodiscard]] auto GiveUpTime(const WorkItem& aItem) const -> Instant;

  auto SetTable(RouteTablePointer aTable) -> void;
  /// Takes a request; its verdict comes at once or by a later Pump.
  auto Submit(WorkItem aItem, Instant aNow) -> void;
  /// The request needs no verdict any more.
  auto Withdraw(RequestId aRequest) -> void;
  /// The first event of a run came.
  auto OnFirstEvent(RequestId aRequest, Instant aNow) -> void;
  auto OnRunEnd(RequestId aRequest, RunEnd aEnd, Instant aNow) -> void;
  /// Takes over a run that another router placed.
  auto Adopt(RequestId aRequest,
             TargetId aTarget,
             const LoadAmounts& aAdds,
             bool aBegun) -> void;
  /// The target wants nothing until then.
  auto Rest(TargetId aTarget, Instant aUntil) -> void;
  /// Looks again at what waits.
  auto Pump(Instant aNow) -> void;
  auto TakeVerdicts() -> std::vector<DispatchVerdict>;

  auto OnPeerReport(RouterId aPeer,
                    const wire::LoadReport& aReport,
                    Instant aNow) -> void;
  /// What has changed since the last report, or all of it where a peer knows
  /// nothing yet.
  auto MakeReport(bool aWhole, Instant aNow) -> wire::LoadReport;
  /// Whether the next report would tell of other runs than the last.
  [[nodiscard]] auto HasLoadChanged() const -> bool;
  auto Tick(Instant aNow) -> void;

  [[nodiscard]] auto WaitingCount() const -> std::size_t;
  [[nodiscard]] auto RunningCount() const -> std::size_t;
  [[nodiscard]] auto Loads() const -> const TargetLoadTable&;
  [[nodiscard]] auto EngineBeliefs() const -> std::vector<EngineBelief>;
  [[nodiscard]] auto ShareLevels() const -> const AccountShares::Levels&;
  /// Requests that were started or turned away since the process started.
  [[nodiscard]] auto DecisionCount() const -> std::int64_t;
};

} // namespace burdockring

#endif
