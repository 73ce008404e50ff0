#include "measure/scenario.h"

#include <algorithm>

namespace burdockring {
namespace {

auto Make(std::string_view aName, std::string_view aSummary) -> Scenario
{
  Scenario scenario;
  scenario.name_ = aName;
  scenario.summary_ = aSummary;
  return scenario;
}

auto MakeFault(std::string_view aName,
               std::string_view aSummary,
               SimFault aFault) -> Scenario
{
  auto scenario = Make(aName, aSummary);
  scenario.fault_ = aFault;
  scenario.length_ = 30s;
  return scenario;
}

auto MakeTable() -> std::vector<Scenario>
{
  std::vector<Scenario> table;
  table.push_back(Make("even", "bureau, 16 accounts over all routers"));
  auto teranga = Make("even-teranga", "teranga, 16 accounts over all routers");
  teranga.teranga_ = true;
  teranga.zones_ = 3;
  teranga.targets_ = 18;
  teranga.outstanding_ = 36;
  table.push_back(teranga);
  auto skewed = Make("skewed", "one account on one router, 15 over all");
  skewed.spread_ = Spread::kSkewed;
  table.push_back(skewed);
  auto one = Make("one-router", "all accounts on one router");
  one.spread_ = Spread::kOneRouter;
  table.push_back(one);
  auto zones = Make("zone-per-account", "each account in one zone");
  zones.spread_ = Spread::kZonePerAccount;
  table.push_back(zones);
  auto flood = Make("flood", "one account sends 100 times as much");
  flood.flood_ = 100;
  table.push_back(flood);
  auto hints = Make("hints-wrong", "hints 10 times too high and too low");
  hints.hintError_ = 10;
  table.push_back(hints);
  auto mixed = Make("long-among-short", "every fourth account 8 times as long");
  mixed.longFactor_ = 8;
  mixed.maxTokens_ = 4096;
  table.push_back(mixed);
  auto many = Make("many-accounts", "100 of 1000 accounts backlogged");
  many.accounts_ = 1000;
  many.backlogged_ = 100;
  many.outstanding_ = 6;
  many.lightRate_ = 0.02;
  table.push_back(many);
  table.push_back(MakeFault("scheduler-dies", "a zone's scheduler is killed",
                            SimFault::kSchedulerDies));
  table.push_back(MakeFault("scheduler-paused",
                            "a zone's scheduler sleeps past its lease",
                            SimFault::kSchedulerPaused));
  table.push_back(MakeFault("zone-cut", "a zone is cut off and comes back",
                            SimFault::kZoneCut));
  table.push_back(MakeFault("platform-cut", "the log and the VM list are gone",
                            SimFault::kPlatformCut));
  table.push_back(MakeFault("router-restarts", "a router restarts empty",
                            SimFault::kRouterRestarts));
  table.push_back(MakeFault("zone-restarts", "all routers of a zone restart",
                            SimFault::kZoneRestarts));
  table.push_back(MakeFault("slow-target", "a target runs at a fifth",
                            SimFault::kSlowTarget));
  table.push_back(
    MakeFault("leaving-target", "a target leaves", SimFault::kLeavingTarget));
  table.push_back(
    MakeFault("target-dies", "a target dies", SimFault::kTargetDies));
  table.push_back(MakeFault("one-way-cut", "a router is not heard by another",
                            SimFault::kOneWayCut));
  auto scale = Make("scale", "one of 11 services, a tenth backlogged");
  scale.scaled_ = true;
  scale.lightRate_ = 0.05;
  scale.meanTokens_ = 200;
  scale.ScaleTo(9);
  table.push_back(scale);
  return table;
}

} // namespace

auto Scenario::ScaleTo(int aRouters) -> void
{
  constexpr int kRoutersPerZone = 10;
  constexpr double kTargetsPerRouter = 1000.0 / 370.0;
  constexpr double kAccountsPerRouter = 300.0 / 370.0;
  constexpr int kSlots = 8;
  constexpr double kOutstandingPerSlot = 1.3;
  routers_ = aRouters;
  zones_ = std::max(4, aRouters / kRoutersPerZone + 1);
  targets_ = static_cast<int>(aRouters * kTargetsPerRouter);
  accounts_ = std::max(16, static_cast<int>(aRouters * kAccountsPerRouter));
  backlogged_ = std::max(2, accounts_ / 10);
  outstanding_ =
    static_cast<int>(targets_ * kSlots * kOutstandingPerSlot) / backlogged_;
}

auto Scenario::Layout() const -> FleetLayout
{
  FleetLayout layout;
  layout.zones_ = zones_;
  layout.routers_ = routers_;
  layout.targets_ = targets_;
  layout.accounts_ = accounts_;
  if (teranga_) {
    layout.betweenZones_ = 1500us;
  }
  if (scaled_) {
    layout.timePerToken_ = 20ms;
    layout.betweenZones_ = 20ms;
  }
  return layout;
}

auto ScenarioTable() -> const std::vector<Scenario>&
{
  static const auto table = MakeTable();
  return table;
}

auto FindScenario(std::string_view aName) -> const Scenario*
{
  for (const auto& scenario : ScenarioTable()) {
    if (scenario.name_ == aName) {
      return &scenario;
    }
  }
  return nullptr;
}

} // namespace burdockring
