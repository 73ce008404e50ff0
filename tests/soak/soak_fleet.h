#ifndef BURDOCKRING_TESTS_SOAK_SOAK_FLEET_H
#define BURDOCKRING_TESTS_SOAK_SOAK_FLEET_H

#include "platform/standin/standin_records.h"
#include "platform/standin/store_standin.h"
#include "soak/loopback_proxy.h"
#include "soak/promise_book.h"
#include "standin/child_process.h"
#include "standin/scripted_target.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace burdockring {

struct SoakOptions
{
  std::string program_;
  /// Where settings files and logs go.
  std::string folder_;
  std::uint32_t seed_ = 1;
  int routers_ = 4;
  int targets_ = 3;
  int callers_ = 8;
  std::chrono::milliseconds time_{ 10'000 };
  std::uint16_t basePort_ = 25'000;
};

/// The real program as several processes, each with links of its own to the
/// store, and targets behind links that can be harmed.
class SoakFleet
{
  using Clock = std::chrono::steady_clock;

  struct Router
  {
    ChildProcess process_;
    bool paused_ = false;
    std::string settings_;
    std::unique_ptr<LoopbackProxy> storeLink_;
  };

  struct Target
  {
    std::unique_ptr<ScriptedTarget> server_;
    std::unique_ptr<LoopbackProxy> link_;
    /// From when on it must get no more.
    std::atomic<std::int64_t> leftAt_{ 0 };
    /// Until when it is cold, and its requests within the last second of that.
    std::atomic<std::int64_t> coldUntil_{ 0 };
    std::mutex coldMutex_;
    std::deque<std::int64_t> coldArrivals_;
    /// How often of a thousand it misbehaves.
    std::atomic<int> faulty_{ 0 };
  };

  SoakOptions options_;
  PromiseBook* book_;
  std::unique_ptr<StoreStandin> store_;
  std::vector<Router> routers_;
  std::vector<std::unique_ptr<Target>> targets_;
  int version_ = 1;
  /// The last configuration that was published.
  KeyedRecord published_;
  std::atomic<std::int64_t> revokedAt_{ 0 };

  [[nodiscard]] auto PortOf(int aOffset) const -> std::uint16_t;
  auto WriteSettings(int aRouter) -> void;
  auto ListTarget(int aTarget, bool aLeaving) -> void;
  /// Counts a request that came to a cold target.
  auto CheckColdRate(Target* aTarget, const std::string& aRequestId) -> void;
  auto AnswerOf(int aTarget, const std::string& aRequest) -> ScriptedAnswer;

public:
  static constexpr int kMisbehaves = 150;

  SoakFleet(SoakOptions aOptions, PromiseBook* aBook);
  ~SoakFleet();
  SoakFleet(const SoakFleet&) = delete;
  auto operator=(const SoakFleet&) -> SoakFleet& = delete;

  auto StartRouter(int aRouter) -> void;
  /// Sends a signal; SIGKILL also waits for the end.
  auto Signal(int aRouter, int aSignal) -> void;
  /// Starts again a router whose process has ended.
  auto Revive(int aRouter) -> void;
  auto SetStoreLink(int aRouter, LinkFault aFault) -> void;
  auto SetTargetLink(int aTarget, LinkFault aFault) -> void;
  auto SetTargetFaulty(int aTarget, bool aFaulty) -> void;
  auto SetStoreFault(StoreFault aFault) -> void;
  /// The store comes back as it was before the last publication; what the
  /// operator and the targets wrote since is soon written again.
  auto RestoreStore() -> void;
  auto CompactStore() -> void;
  /// Writes a version, with the second account's key or without it.
  auto Publish(bool aWithSecondKey) -> void;
  auto PutGarbage() -> void;
  auto DrainTarget(int aTarget, std::chrono::milliseconds aBound) -> void;
  /// Drains the zone of a target; its targets must get no more after the bound.
  auto DrainZoneOf(int aTarget, std::chrono::milliseconds aBound) -> void;
  /// Takes the zone of a target back; its targets are cold.
  auto ReturnZoneOf(int aTarget) -> void;
  /// Ends all faults.
  auto Heal() -> void;

  [[nodiscard]] auto CallerPort(int aRouter) const -> std::uint16_t;
  [[nodiscard]] auto IsReady(int aRouter) const -> bool;
  /// Whether the second key must not run by now.
  [[nodiscard]] auto IsRevoked() const -> bool;
  [[nodiscard]] auto Options() const -> const SoakOptions&;
};

} // namespace burdockring

#endif
