// A randomized soak: the real program as several processes, with faults from
// outside, checked from both ends. usage:
//   burdockring_soak --program build/src/main/burdockring --seed 7
#include "soak/soak_callers.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <fmt/core.h>
#include <gflags/gflags.h>

DEFINE_string(program, "", "the program to run");
DEFINE_uint32(seed, 1, "seed of the faults, the callers and the targets");
DEFINE_uint32(seeds, 1, "how many seeds to play, from --seed on");
DEFINE_int32(seconds, 10, "length of a run with faults");
DEFINE_int32(routers, 4, "router processes");
DEFINE_int32(targets, 3, "targets");
DEFINE_int32(callers, 8, "callers, each with a kept connection");
DEFINE_uint32(base_port, 25000, "first port of the range that is used");

namespace burdockring {
namespace {

using namespace std::chrono_literals;

constexpr auto kStartTime = 8s;
/// After the last fault all must be well again within this time.
constexpr auto kRecoverTime = 6s;
constexpr auto kDrainBound = 2000ms;
constexpr auto kDrainWatch = 3500ms;
/// The bound on how late a drained zone may get requests.
constexpr auto kZoneDrainBound = 5000ms;
constexpr auto kZoneDrainTime = 3000ms;
constexpr auto kColdWatch = 2500ms;
/// Their zones differ.
constexpr int kLeavingTarget = 0;
constexpr int kDrainedTarget = 1;
constexpr int kLeastServed = 20;

struct StoreFaultRow
{
  StoreFault fault_;
  const char* name_;
};

constexpr std::array kStoreFaults{
  StoreFaultRow{ StoreFault::kDown, "down" },
  StoreFaultRow{ StoreFault::kTooManyCalls, "refuses calls" },
  StoreFaultRow{ StoreFault::kLosesReplies, "loses replies" },
  StoreFaultRow{ StoreFault::kSlow, "slow" },
};

/// Plays faults until the time is over; several overlap.
class FaultScript
{
  SoakFleet* fleet_;
  std::mt19937 random_;
  /// Draws the store's faults apart, so that a seed's other faults stay.
  std::mt19937 storeRandom_;
  bool verbose_;

  auto Draw(int aBelow) -> int
  {
    return static_cast<int>(random_() % static_cast<std::uint32_t>(aBelow));
  }

  auto Say(const std::string& aWhat) -> void
  {
    if (verbose_) {
      fmt::print("  {}\n", aWhat);
      std::fflush(stdout);
    }
  }

  auto HarmRouter(int aRouter) -> void
  {
    switch (Draw(6)) {
      case 0:
        Say(fmt::format("kill r{}", aRouter));
        fleet_->Signal(aRouter, SIGKILL);
        break;
      case 1:
        Say(fmt::format("terminate r{}", aRouter));
        fleet_->Signal(aRouter, SIGTERM);
        break;
      case 2:
        Say(fmt::format("pause r{}", aRouter));
        fleet_->Signal(aRouter, SIGSTOP);
        break;
      case 3:
        Say(fmt::format("continue r{}", aRouter));
        fleet_->Signal(aRouter, SIGCONT);
        break;
      default: {
        const auto fault = static_cast<LinkFault>(Draw(kLinkFaultCount));
        Say(
          fmt::format("store link of r{}: {}", aRouter, LinkFaultName(fault)));
        fleet_->SetStoreLink(aRouter, fault);
      }
    }
  }

  auto HarmTarget(int aTarget) -> void
  {
    if (Draw(2) == 0) {
      const bool faulty = Draw(2) == 0;
      Say(fmt::format("target {} {}", aTarget,
                      faulty ? "misbehaves" : "behaves"));
      fleet_->SetTargetFaulty(aTarget, faulty);
      return;
    }
    const auto fault = static_cast<LinkFault>(Draw(kLinkFaultCount));
    Say(fmt::format("link of target {}: {}", aTarget, LinkFaultName(fault)));
    fleet_->SetTargetLink(aTarget, fault);
  }

  auto HarmStore() -> void
  {
    switch (Draw(4)) {
      case 0: {
        const auto& row = kStoreFaults.at(storeRandom_() % kStoreFaults.size());
        Say(fmt::format("store {}", row.name_));
        fleet_->SetStoreFault(row.fault_);
        break;
      }
      case 1:
        Say("garbled entries, and old records forgotten");
        fleet_->PutGarbage();
        fleet_->CompactStore();
        break;
      case 2: {
        const bool with = Draw(2) == 0;
        Say(with ? "a version with both keys" : "a version without one key");
        fleet_->Publish(with);
        break;
      }
      default:
        if (storeRandom_() % 2 == 0) {
          Say("store back from an older copy");
          fleet_->RestoreStore();
          break;
        }
        Say("store up");
        fleet_->SetStoreFault(StoreFault::kNone);
    }
  }

public:
  FaultScript(SoakFleet* aFleet, bool aVerbose)
    : fleet_(aFleet)
    , random_(aFleet->Options().seed_)
    , storeRandom_(aFleet->Options().seed_)
    , verbose_(aVerbose)
  {
  }

  auto Run() -> void
  {
    const auto& options = fleet_->Options();
    const auto end = std::chrono::steady_clock::now() + options.time_;
    while (std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50 + Draw(400)));
      switch (Draw(4)) {
        case 0:
          HarmTarget(Draw(options.targets_));
          break;
        case 1:
          HarmStore();
          break;
        default:
          HarmRouter(Draw(options.routers_));
      }
      if (Draw(3) == 0) {
        fleet_->Revive(Draw(options.routers_));
      }
    }
  }
};

auto AllReady(const SoakFleet& aFleet) -> bool
{
  for (int i = 0; i < aFleet.Options().routers_; ++i) {
    if (!aFleet.IsReady(i)) {
      return false;
    }
  }
  return true;
}

auto WaitForReady(SoakFleet* aFleet, std::chrono::milliseconds aTime) -> bool
{
  const auto end = std::chrono::steady_clock::now() + aTime;
  while (!AllReady(*aFleet)) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    for (int i = 0; i < aFleet->Options().routers_; ++i) {
      aFleet->Revive(i);
    }
    std::this_thread::sleep_for(50ms);
  }
  return true;
}

/// Plays one seed; returns what was broken.
auto Play(const SoakOptions& aOptions, bool aVerbose)
  -> std::vector<std::string>
{
  PromiseBook book;
  std::vector<std::string> broken;
  {
    SoakFleet fleet(aOptions, &book);
    if (!WaitForReady(&fleet, kStartTime)) {
      return { "routers that start are ready within 8 s" };
    }
    SoakCallers callers(&fleet, &book);
    FaultScript(&fleet, aVerbose).Run();
    fleet.Heal();
    fleet.Publish(true);
    if (!WaitForReady(&fleet, kRecoverTime)) {
      broken.emplace_back("routers recover within 6 s of the last fault");
    }
    std::this_thread::sleep_for(1s);
    const auto before = book.Served();
    fleet.DrainZoneOf(kDrainedTarget, kZoneDrainBound);
    std::this_thread::sleep_for(kZoneDrainTime);
    fleet.DrainTarget(kLeavingTarget, kDrainBound);
    std::this_thread::sleep_for(kDrainWatch);
    // A router that restarts doesn't know what it sent to the cold targets.
    fleet.ReturnZoneOf(kDrainedTarget);
    fleet.Signal(0, SIGKILL);
    fleet.Revive(0);
    std::this_thread::sleep_for(kColdWatch);
    if (book.Served() - before < kLeastServed) {
      broken.emplace_back("callers are served again after the last fault");
    }
    callers.Stop();
  }
  book.Close();
  for (auto& text : book.Broken()) {
    broken.push_back(std::move(text));
  }
  fmt::print("seed {}: {}\n", aOptions.seed_, book.Summary());
  return broken;
}

auto Main() -> int
{
  int failures = 0;
  for (std::uint32_t i = 0; i < FLAGS_seeds; ++i) {
    SoakOptions options;
    options.program_ = FLAGS_program;
    options.seed_ = FLAGS_seed + i;
    options.routers_ = FLAGS_routers;
    options.targets_ = FLAGS_targets;
    options.callers_ = FLAGS_callers;
    options.time_ = std::chrono::seconds(FLAGS_seconds);
    options.basePort_ = static_cast<std::uint16_t>(FLAGS_base_port);
    options.folder_ = fmt::format(
      "{}/burdockring-soak-{}", std::filesystem::temp_directory_path().string(),
      options.seed_);
    std::filesystem::remove_all(options.folder_);
    std::filesystem::create_directories(options.folder_);
    const auto broken = Play(options, FLAGS_seeds == 1);
    for (const auto& text : broken) {
      fmt::print("BROKEN with seed {}: {}\n", options.seed_, text);
    }
    if (broken.empty()) {
      std::filesystem::remove_all(options.folder_);
    } else {
      ++failures;
      fmt::print("logs stay in {}\n", options.folder_);
    }
  }
  return failures == 0 ? 0 : 1;
}

} // namespace
} // namespace burdockring

auto main(int aCount, char** aValues) -> int
{
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  std::signal(SIGPIPE, SIG_IGN);
  return burdockring::Main();
}
