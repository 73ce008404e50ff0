#include "process/forwarding/policy.h"

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
  MechanismRow{ Mechanism::kToldReads, "told_reads" },
  MechanismRow{ Mechanism::kCopies, "copies" },
  MechanismRow{ Mechanism::kKeepers, "keepers" },
  MechanismRow{ Mechanism::kHeavyBeginnings, "heavy_beginnings" },
  MechanismRow{ Mechanism::kMemoryBound, "memory_bound" },
  MechanismRow{ Mechanism::kPressed, "pressed" },
  MechanismRow{ Mechanism::kStandings, "standings" },
  MechanismRow{ Mechanism::kSaturation, "saturation" },
  MechanismRow{ Mechanism::kPaceLearning, "pace_learning" },
  MechanismRow{ Mechanism::kAvoidance, "avoidance" },
  MechanismRow{ Mechanism::kLongerAvoidance, "longer_avoidance" },
  MechanismRow{ Mechanism::kOwnCapacity, "own_capacity" },
  MechanismRow{ Mechanism::kClosedBalancer, "closed_balancer" },
  MechanismRow{ Mechanism::kSpreadReturns, "spread_returns" },
  MechanismRow{ Mechanism::kWaiting, "waiting" },
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

auto PartOf(Duration aDuration, double aPart) -> Duration
{
  return std::chrono::duration_cast<Duration>(aDuration * aPart);
}

auto ForwardingPolicy::Has(Mechanism aMechanism) const -> bool
{
  return !absent_.test(static_cast<std::size_t>(aMechanism));
}

auto ForwardingPolicy::Engines() const -> const EngineLimits&
{
  return engines_;
}

auto ForwardingPolicy::Waits() const -> const WaitLimits&
{
  return waits_;
}

auto PolicyBuilder::Without(Mechanism aMechanism) -> PolicyBuilder&
{
  policy_.absent_.set(static_cast<std::size_t>(aMechanism));
  return *this;
}

auto PolicyBuilder::SetEngines(const EngineLimits& aLimits) -> PolicyBuilder&
{
  policy_.engines_ = aLimits;
  return *this;
}

auto PolicyBuilder::SetWaits(const WaitLimits& aLimits) -> PolicyBuilder&
{
  policy_.waits_ = aLimits;
  return *this;
}

auto PolicyBuilder::Build() const -> ForwardingPolicy
{
  return policy_;
}

} // namespace burdockring
