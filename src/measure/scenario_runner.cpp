#include "measure/scenario_runner.h"

#include <algorithm>
#include <array>

namespace burdockring {
namespace {

constexpr Duration kWarmUp = 4s;
constexpr Duration kSampleInterval = 5ms;
constexpr Duration kShareInterval = 1s;
constexpr Duration kRecoveryStep = 100ms;
constexpr Duration kRecoveryBound = 5s;
constexpr double kRecoveredUtilisation = 0.9;
constexpr int kFaultTarget = 0;
constexpr int kFaultZone = 1;
constexpr double kSlowFactor = 5.0;

struct MethodRow
{
  SharingMethod method_;
  std::string_view name_;
};

constexpr std::array kMethodTable{
  MethodRow{ SharingMethod::kBurdockring, "burdockring" },
  MethodRow{ SharingMethod::kOmniscient, "omniscient" },
  MethodRow{ SharingMethod::kStaticSplit, "static" },
  MethodRow{ SharingMethod::kGossip, "gossip" },
};

auto Seconds(Duration aDuration) -> double
{
  return std::chrono::duration<double>(aDuration).count();
}

auto Weights(const FleetLayout& aLayout) -> std::vector<double>
{
  std::vector<double> weights;
  for (int i = 0; i < aLayout.accounts_; ++i) {
    weights.push_back(aLayout.Weight(i));
  }
  return weights;
}

/// One run: the queue, the load, the meter and whatever shares the slots out.
class ScenarioRun
{
  const Scenario* scenario_;
  FleetLayout layout_;
  Duration length_;
  EventQueue queue_;
  FairnessMeter meter_;
  LoadSource load_;
  std::unique_ptr<SharingModel> model_;
  SimFleet* fleet_ = nullptr;
  ScenarioFigures figures_;
  Instant faultStart_{};
  Instant healAt_{};
  int faultRouter_ = 0;

  auto Sample() -> void
  {
    meter_.SampleSlots(model_->BusySlots(), model_->TotalSlots(), queue_.Now());
    queue_.After(kSampleInterval, [this] { Sample(); });
  }

  auto SampleShares() -> void
  {
    meter_.SampleShares(queue_.Now());
    queue_.After(kShareInterval, [this] { SampleShares(); });
  }

  /// The last router of the fault's zone that schedules, or its first.
  auto ChooseFaultRouter() -> int
  {
    const auto scheduler = fleet_->FindScheduler(kFaultZone);
    return scheduler >= 0 ? scheduler : kFaultZone;
  }

  template<typename Action>
  auto ForZoneRouters(Action aAction) -> void
  {
    for (int i = 0; i < layout_.routers_; ++i) {
      if (layout_.ZoneOfRouter(i) == kFaultZone) {
        aAction(i);
      }
    }
  }

  auto BeginFault() -> void
  {
    faultRouter_ = ChooseFaultRouter();
    switch (scenario_->fault_) {
      case SimFault::kNone:
        break;
      case SimFault::kSchedulerDies:
      case SimFault::kRouterRestarts:
        fleet_->Kill(faultRouter_);
        break;
      case SimFault::kSchedulerPaused:
        fleet_->Freeze(faultRouter_, 3s);
        break;
      case SimFault::kZoneCut:
        fleet_->CutZone(kFaultZone, true);
        break;
      case SimFault::kPlatformCut:
        fleet_->CutPlatform(true);
        break;
      case SimFault::kZoneRestarts:
        ForZoneRouters([this](int aRouter) { fleet_->Kill(aRouter); });
        break;
      case SimFault::kSlowTarget:
        fleet_->Target(kFaultTarget).SetSlow(kSlowFactor);
        break;
      case SimFault::kLeavingTarget:
        fleet_->SetLeaving(kFaultTarget);
        break;
      case SimFault::kTargetDies:
        fleet_->KillTarget(kFaultTarget);
        break;
      case SimFault::kOneWayCut:
        for (int i = 0; i < layout_.routers_; ++i) {
          fleet_->CutLink(faultRouter_, i, true);
        }
        break;
    }
  }

  auto EndFault() -> void
  {
    switch (scenario_->fault_) {
      case SimFault::kRouterRestarts:
        fleet_->Restart(faultRouter_);
        break;
      case SimFault::kZoneCut:
        fleet_->CutZone(kFaultZone, false);
        break;
      case SimFault::kPlatformCut:
        fleet_->CutPlatform(false);
        break;
      case SimFault::kZoneRestarts:
        ForZoneRouters([this](int aRouter) { fleet_->Restart(aRouter); });
        break;
      case SimFault::kSlowTarget:
        fleet_->Target(kFaultTarget).SetSlow(1.0);
        break;
      case SimFault::kOneWayCut:
        for (int i = 0; i < layout_.routers_; ++i) {
          fleet_->CutLink(faultRouter_, i, false);
        }
        break;
      default:
        break;
    }
  }

  /// How long the fault lasts: a restart's gap is short, a cut's is long.
  auto FaultLength() const -> Duration
  {
    switch (scenario_->fault_) {
      case SimFault::kSchedulerDies:
      case SimFault::kTargetDies:
      case SimFault::kLeavingTarget:
        return 0s;
      case SimFault::kRouterRestarts:
      case SimFault::kZoneRestarts:
        return 2s;
      case SimFault::kSchedulerPaused:
        return 3s;
      default:
        return length_ / 3;
    }
  }

  auto WatchRecovery() -> void
  {
    const auto recent = meter_.TakeRecentUtilisation();
    if (recent >= kRecoveredUtilisation) {
      figures_.recoverySeconds_ = Seconds(queue_.Now() - healAt_);
      return;
    }
    queue_.After(kRecoveryStep, [this] { WatchRecovery(); });
  }

  auto PlanFault() -> void
  {
    const auto at = kWarmUp + length_ / 3;
    const auto length = FaultLength();
    queue_.After(at, [this] {
      faultStart_ = queue_.Now();
      figures_.utilisation_ = meter_.Utilisation();
      figures_.maxGap_ = meter_.MaxGap();
      meter_.Reset(queue_.Now());
      BeginFault();
    });
    queue_.After(at + length, [this] {
      EndFault();
      healAt_ = queue_.Now();
      (void)meter_.TakeRecentUtilisation();
      queue_.After(kRecoveryStep, [this] { WatchRecovery(); });
    });
    queue_.After(at + length + kRecoveryBound, [this] {
      figures_.utilisationInFault_ = meter_.Utilisation();
      meter_.Reset(queue_.Now());
    });
  }

  auto ReadControl(const std::vector<ControlTraffic>& aBefore,
                   const std::vector<double>& aBusyBefore) -> void
  {
    const auto seconds = Seconds(length_);
    for (int i = 0; i < layout_.routers_; ++i) {
      const auto index = static_cast<std::size_t>(i);
      const auto& sent = fleet_->Sent(i);
      const auto bytes =
        static_cast<double>(sent.bytes_ - aBefore[index].bytes_) / seconds;
      const auto messages =
        static_cast<double>(sent.messages_ - aBefore[index].messages_) /
        seconds;
      for (std::size_t kind = 0; kind < kTrafficKinds; ++kind) {
        figures_.bytesByKind_.at(kind) +=
          static_cast<double>(sent.bytesByKind_.at(kind) -
                              aBefore[index].bytesByKind_.at(kind)) /
          seconds / layout_.routers_;
      }
      const auto core =
        (fleet_->HandleSeconds(i) - aBusyBefore[index]) / seconds;
      figures_.bytesPerNode_ += bytes / layout_.routers_;
      figures_.messagesPerNode_ += messages / layout_.routers_;
      figures_.maxBytesPerNode_ = std::max(figures_.maxBytesPerNode_, bytes);
      figures_.coreShare_ += core / layout_.routers_;
      figures_.maxCoreShare_ = std::max(figures_.maxCoreShare_, core);
    }
    for (int i = 0; i < layout_.targets_; ++i) {
      figures_.mostOnTarget_ =
        std::max(figures_.mostOnTarget_, fleet_->Target(i).MostAdmitted());
    }
    if (scenario_->fault_ == SimFault::kLeavingTarget) {
      figures_.leavingSeconds_ = std::max(
        0.0, Seconds(fleet_->Target(kFaultTarget).LastBegin() - faultStart_));
    }
  }

public:
  ScenarioRun(const Scenario& aScenario,
              SharingMethod aMethod,
              const SharingOptions& aOptions,
              std::uint64_t aSeed,
              int aFactor)
    : scenario_(&aScenario)
    , layout_(aScenario.Layout())
    , length_(aScenario.length_ * aFactor)
    , meter_(Weights(layout_))
    , load_(&queue_, &aScenario, &meter_, aSeed)
  {
    if (aMethod == SharingMethod::kBurdockring) {
      NodeOptions options;
      options.sharing_ = aOptions;
      auto fleet =
        std::make_unique<SimFleet>(&queue_, layout_, options, &load_);
      fleet_ = fleet.get();
      model_ = std::move(fleet);
    } else {
      model_ =
        std::make_unique<GroupedModel>(&queue_, layout_, aMethod, &load_);
    }
  }

  auto Run() -> ScenarioFigures
  {
    model_->Start();
    queue_.RunUntil(queue_.Now() + kWarmUp / 2);
    load_.Start(model_.get());
    queue_.RunUntil(queue_.Now() + kWarmUp);
    std::vector<ControlTraffic> before;
    std::vector<double> busyBefore;
    for (int i = 0; fleet_ != nullptr && i < layout_.routers_; ++i) {
      before.push_back(fleet_->Sent(i));
      busyBefore.push_back(fleet_->HandleSeconds(i));
    }
    meter_.Reset(queue_.Now());
    Sample();
    SampleShares();
    const bool faulty = scenario_->fault_ != SimFault::kNone && fleet_;
    const auto end = queue_.Now() + length_;
    if (faulty) {
      PlanFault();
    }
    queue_.RunUntil(end);
    meter_.Close();
    if (faulty) {
      figures_.gapAfter_ = meter_.MaxGap();
    } else {
      figures_.maxGap_ = meter_.MaxGap();
      figures_.utilisation_ = meter_.Utilisation();
    }
    figures_.gapP99_ = meter_.GapPercentile(99);
    figures_.minShare_ = meter_.MinShare();
    figures_.lightWaitP99_ = load_.LightWait(99);
    figures_.counts_ = load_.Counts();
    if (fleet_ != nullptr) {
      ReadControl(before, busyBefore);
    }
    return figures_;
  }
};

} // namespace

auto ParseMethod(std::string_view aName) -> std::optional<SharingMethod>
{
  for (const auto& row : kMethodTable) {
    if (row.name_ == aName) {
      return row.method_;
    }
  }
  return std::nullopt;
}

auto MethodName(SharingMethod aMethod) -> std::string_view
{
  for (const auto& row : kMethodTable) {
    if (row.method_ == aMethod) {
      return row.name_;
    }
  }
  return "";
}

auto RunScenario(const Scenario& aScenario,
                 SharingMethod aMethod,
                 const SharingOptions& aOptions,
                 std::uint64_t aSeed,
                 int aFactor) -> ScenarioFigures
{
  return ScenarioRun(aScenario, aMethod, aOptions, aSeed, aFactor).Run();
}

} // namespace burdockring
