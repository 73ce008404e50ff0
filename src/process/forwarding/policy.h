#ifndef BURDOCKRING_PROCESS_FORWARDING_POLICY_H
#define BURDOCKRING_PROCESS_FORWARDING_POLICY_H

#include "base/time.h"

#include <bitset>
#include <cstddef>
#include <optional>
#include <string_view>

namespace burdockring {

/// A part of how requests are placed, kept waiting and turned away. Each can be
/// left out, to see what it is worth. The comment says which load it answers.
enum class Mechanism
{
  /// Many routers with a request now and then: a few place for all.
  kLeads,
  /// Dozens of routers with work at dozens of targets: only changes are told.
  kReportDeltas,
  /// Beginnings that another router had read: engines copy those as well.
  kCacheReports,
  /// A beginning's engine is full: the next one copies what the first has read.
  kCacheCopies,
  /// Many prompts that share beginnings: each has its own few engines.
  kPreferredEngines,
  /// Heavy beginnings in bursts: they are read at their own engines only.
  kLongPrefixes,
  /// Long prompts: an engine's memory is not overfilled.
  kMemoryLimit,
  /// A flood while others are turned away: the flood stands back further.
  kPressure,
  /// One account at many times its usual: it finds less room than the others.
  kShareLimits,
  /// A pool that gives less than promised: shares go by what it gives.
  kSaturation,
  /// Engines slower than others of their service.
  kSpeedLearning,
  /// Targets that fail.
  kFailureBackoff,
  /// Targets that go on failing.
  kExponentialBackoff,
  /// A small router that callers flood.
  kOverloadControl,
  /// The same: the balancer sends its callers elsewhere.
  kBalancerOptOut,
  /// Many turned away at once: they come back one after the other.
  kRetryAfterSpread,
  /// Clumps of requests: room comes within a part of their aims.
  kQueueing,
  /// Requests that break or that a target refuses.
  kRetries,
  /// Many routers before a store whose calls are limited.
  kReadTurns,
};

constexpr std::size_t kMechanismCount = 19;

auto MechanismName(Mechanism aMechanism) -> std::string_view;
auto MechanismByName(std::string_view aName) -> std::optional<Mechanism>;

/// A part of a time, as of an aim.
auto ScaleDuration(Duration aDuration, double aFactor) -> Duration;

/// What may stand before a request at an engine, and what else speaks against
/// one, as parts of the shortest aim of the service's streams: the same limits
/// then fit engines and callers of any speed.
struct EngineLimits
{
  /// Reading that may wait before a request whose account is within its share
  /// of what is sure, within that of what is given, beyond it, and beyond it
  /// while others are turned away.
  double guaranteedBacklog_ = 0.67;
  double fairBacklog_ = 0.47;
  double beyondShareBacklog_ = 0.17;
  double pressureBacklog_ = 0.017;
  /// What may wait more at an own engine of a heavy beginning, and at most
  /// where it has none.
  double preferredBacklog_ = 0.4;
  double otherBacklog_ = 0.1;
  /// A beginning that takes longer to read is heavy.
  double longPrefixThreshold_ = 0.14;
  /// What each further choice of a beginning's engines counts as later.
  double rankPenalty_ = 0.13;
};

/// How long requests wait for room, and when those that were turned away come
/// back.
struct QueueLimits
{
  /// Part of the aim that may pass before a request is turned away.
  double maxWaitFraction_ = 0.2;
  /// Times to come back lie between the first, a part of the shortest aim, and
  /// the second, a part of the caller's patience.
  double minRetryAfterFraction_ = 0.5;
  double maxRetryAfterFraction_ = 0.15;
};

/// How requests are placed, kept waiting and turned away. A value; built by
/// PolicyBuilder.
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

/// Builds a policy from the usual one.
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
