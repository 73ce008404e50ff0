#include "process/placement/policy.h"

#include <array>

namespace burdockring {
namespace {

struct MechanismRow
{
  Mechanism mechanism_;
  std::string_view name_;
};

constexpr std::array kMechanismTable{
  MechanismRow{ Mechanism::kLeads, "leads" },
  MechanismRow{ Mechanism::kReportDeltas, "report_deltas" },
  MechanismRow{ Mechanism::kCacheReports, "told_reads" },
  MechanismRow{ Mechanism::kCacheCopies, "copies" },
  MechanismRow{ Mechanism::kPreferredEngines, "keepers" },
  MechanismRow{ Mechanism::kLongPrefixes, "heavy_beginnings" },
  MechanismRow{ Mechanism::kMemoryLimit, "memory_bound" },
  MechanismRow{ Mechanism::kPressure, "pressed" },
  MechanismRow{ Mechanism::kShareLimits, "standings" },
  MechanismRow{ Mechanism::kSaturation, "saturation" },
  MechanismRow{ Mechanism::kSpeedLearning, "pace_learning" },
  MechanismRow{ Mechanism::kFailureBackoff, "avoidance" },
  MechanismRow{ Mechanism::kExponentialBackoff, "longer_avoidance" },
  MechanismRow{ Mechanism::kOverloadControl, "own_capacity" },
  MechanismRow{ Mechanism::kBalancerOptOut, "closed_balancer" },
  MechanismRow{ Mechanism::kRetryAfterSpread, "spread_returns" },
  MechanismRow{ Mechanism::kQueueing, "waiting" },
  MechanismRow{ Mechanism::kRetries, "retries" },
  MechanismRow{ Mechanism::kReadTurns, "read_turns" },
};

static_assert(kMechanismTable.size() == kMechanismCount);

} // namespace

auto MechanismName(Mechanism aMechanism) -> std::string_view
{
  return kMechanismTable.at(static_cast<std::size_t>(aMechanism)).name_;
}

auto MechanismByName(std::string_view aName) -> std::optional<Mechanism>
{
  for (const auto& row : kMechanismTable) {
    if (row.name_ == aName) {
      return row.mechanism_;
    }
  }
  return std::nullopt;
}

auto ScaleDuration(Duration aDuration, double aFactor) -> Duration
{
  return std::chrono::duration_cast<Duration>(aDuration * aFactor);
}

auto ForwardingPolicy::IsEnabled(Mechanism aMechanism) const -> bool
{
  return !disabled_.test(static_cast<std::size_t>(aMechanism));
}

auto ForwardingPolicy::Engines() const -> const EngineLimits&
{
  return engines_;
}

auto ForwardingPolicy::Queue() const -> const QueueLimits&
{
  return queue_;
}

auto PolicyBuilder::Disable(Mechanism aMechanism) -> PolicyBuilder&
{
  policy_.disabled_.set(static_cast<std::size_t>(aMechanism));
  return *this;
}

auto PolicyBuilder::SetEngineLimits(const EngineLimits& aLimits)
  -> PolicyBuilder&
{
  policy_.engines_ = aLimits;
  return *this;
}

auto PolicyBuilder::SetQueueLimits(const QueueLimits& aLimits) -> PolicyBuilder&
{
  policy_.queue_ = aLimits;
  return *this;
}

auto PolicyBuilder::Build() const -> ForwardingPolicy
{
  return policy_;
}

} // namespace burdockring
