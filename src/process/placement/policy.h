#ifndef BURDOCKRING_PROCESS_PLACEMENT_POLICY_H
#define BURDOCKRING_PROCESS_PLACEMENT_POLICY_H

#include "base/time.h"

#include <bitset>
#include <cstddef>
#include <optional>
#include <string_view>

namespace burdockring {

/// A mechanism of request placement, queueing or rejection. Each can be
/// disabled to measure its effect. The comment names the load that it is for.
enum class Mechanism
{
  /// Many routers with a request now and then: a few lead routers place
  /// requests for all.
  kLeads,
  /// Dozens of routers with work at dozens of targets: load reports carry only
  /// changes.
  kReportDeltas,
  /// Prefixes whose caching another router observed: engines copy those as
  /// well.
  kCacheReports,
  /// The preferred engine of a prefix is full: the next one copies its cached
  /// prefix.
  kCacheCopies,
  /// Many prompts with shared prefixes: each prefix has a few preferred
  /// engines.
  kPreferredEngines,
  /// Bursts of long prefixes: they are prefilled at their preferred engines
  /// only.
  kLongPrefixes,
  /// Long prompts: an engine's memory is not overcommitted.
  kMemoryLimit,
  /// A flood while other accounts are being rejected: the flooding account gets
  /// a shorter backlog.
  kPressure,
  /// One account at many times its usual load: it gets less capacity than the
  /// others.
  kShareLimits,
  /// A pool that delivers less than its configured rate: shares follow the
  /// measured throughput.
  kSaturation,
  /// Engines that are slower than others of their service.
  kSpeedLearning,
  /// Targets that fail: they are avoided for a short time.
  kFailureBackoff,
  /// Targets that keep failing: the avoidance doubles with each failure.
  kExponentialBackoff,
  /// A small router that callers flood: it limits its open requests.
  kOverloadControl,
  /// The same load: the balancer sends new connections to other routers.
  kBalancerOptOut,
  /// Many requests rejected at once: their retry times are spread out.
  kRetryAfterSpread,
  /// Bursts of requests: they queue for a fraction of their latency objective.
  kQueueing,
  /// Requests that break off or that a target rejects: they are retried.
  kRetries,
  /// Many routers that poll a store with limited calls: they take turns.
  kReadTurns,
};

constexpr std::size_t kMechanismCount = 19;

auto MechanismName(Mechanism aMechanism) -> std::string_view;
auto MechanismByName(std::string_view aName) -> std::optional<Mechanism>;

/// Multiplies a duration, such as a latency objective, by a factor.
auto ScaleDuration(Duration aDuration, double aFactor) -> Duration;

/// Limits and penalties for engines, as multiples of the shortest latency
/// objective of the service's streams, so that the same values fit engines and
/// callers of any speed.
struct EngineLimits
{
  /// Longest prefill backlog ahead of a request whose account is within its
  /// guaranteed share, within its share of the current throughput, beyond its
  /// share, and beyond it while other accounts are being rejected.
  double guaranteedBacklog_ = 0.67;
  double fairBacklog_ = 0.47;
  double beyondShareBacklog_ = 0.17;
  double pressureBacklog_ = 0.017;
  /// Additional backlog allowed at a preferred engine of a long prefix, and the
  /// longest backlog at any other engine.
  double preferredBacklog_ = 0.4;
  double otherBacklog_ = 0.1;
  /// A prefix whose prefill takes at least this long counts as long.
  double longPrefixThreshold_ = 0.14;
  /// Cost added per rank among the preferred engines of a prefix.
  double rankPenalty_ = 0.13;
};

/// How long requests queue for capacity, and the range of Retry-After for
/// rejected ones.
struct QueueLimits
{
  /// Fraction of the latency objective that a request may queue before it is
  /// rejected.
  double maxWaitFraction_ = 0.2;
  /// Retry-After lies between the first, a fraction of the shortest latency
  /// objective, and the second, a fraction of the time that is left to the
  /// caller's deadline.
  double minRetryAfterFraction_ = 0.5;
  double maxRetryAfterFraction_ = 0.15;
};

/// Settings for how requests are placed, queued and rejected. An immutable
/// value, built by PolicyBuilder.
class ForwardingPolicy
{
  friend class PolicyBuilder;

  std::bitset<kMechanismCount> disabled_;
  EngineLimits engines_;
  QueueLimits queue_;

public:
  [[nodiscard]] auto IsEnabled(Mechanism aMechanism) const -> bool;
  [[nodiscard]] auto Engines() const -> const EngineLimits&;
  [[nodiscard]] auto Queue() const -> const QueueLimits&;
};

/// Builds a policy, starting from the defaults.
class PolicyBuilder
{
  ForwardingPolicy policy_;

public:
  auto Disable(Mechanism aMechanism) -> PolicyBuilder&;
  auto SetEngineLimits(const EngineLimits& aLimits) -> PolicyBuilder&;
  auto SetQueueLimits(const QueueLimits& aLimits) -> PolicyBuilder&;
  [[nodiscard]] auto Build() const -> ForwardingPolicy;
};

} // namespace burdockring

#endif
