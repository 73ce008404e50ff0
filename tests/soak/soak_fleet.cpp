#include "soak/soak_fleet.h"

#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace burdockring {
namespace {

/// Ports of a router, from its first on.
constexpr int kPortsOfRouter = 10;
constexpr int kFirstRouterPort = 100;
constexpr int kReadyOffset = 1;
constexpr int kStoreLinkOffset = 2;
constexpr int kPeerOffset = 3;
/// Of a target: its own and its link's.
constexpr int kFirstTargetPort = 20;
constexpr int kPortsOfTarget = 2;
/// The bound on how late a revoked key may run, and what a thread's wake-up may
/// add to the time at which it was taken away.
constexpr std::int64_t kRevokeMs = 5'000;
constexpr std::int64_t kMarginMs = 50;
/// How long targets are cold after their zone is taken back, the rate that they
/// tolerate then, and the limit of all routers together in any second.
constexpr auto kColdStart = std::chrono::milliseconds(2000);
constexpr double kColdPerSecond = 8.0;
constexpr std::size_t kColdLimit = 17;
constexpr std::int64_t kColdWindowMs = 1000;
/// How long what the store lost is missing there.
constexpr auto kRewriteTime = std::chrono::milliseconds(400);

auto NowMs() -> std::int64_t
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

/// Status line and fields of an answer, but for its framing.
auto SignedHead(const std::string& aId, const std::string& aStatus)
  -> std::string
{
  return fmt::format(
    "HTTP/1.1 {} Any\r\nX-Attempt-Id: {}\r\nX-Response-Stamp: sig\r\n", aStatus,
    aId);
}

} // namespace

auto SoakFleet::PortOf(int aOffset) const -> std::uint16_t
{
  return static_cast<std::uint16_t>(options_.basePort_ + aOffset);
}

auto SoakFleet::WriteSettings(int aRouter) -> void
{
  const int first = kFirstRouterPort + aRouter * kPortsOfRouter;
  StandinRouter router;
  router.name_ = fmt::format("r{}", aRouter);
  router.zone_ = fmt::format("z{}", aRouter % 2);
  router.callers_ = PortOf(first);
  router.ready_ = PortOf(first + kReadyOffset);
  router.firstInternal_ = PortOf(first + kPeerOffset);
  router.lastInternal_ = PortOf(first + kPortsOfRouter - 1);
  router.store_ = PortOf(first + kStoreLinkOffset);
  router.revokeBound_ = std::chrono::milliseconds(kRevokeMs);
  std::ofstream(routers_[static_cast<std::size_t>(aRouter)].settings_)
    << EncodeStandinSettings(router);
}

auto SoakFleet::ListTarget(int aTarget, bool aLeaving) -> void
{
  StandinTarget target;
  target.name_ = fmt::format("i-{}", aTarget);
  target.zone_ = fmt::format("z{}", aTarget % 2);
  target.port_ = PortOf(kFirstTargetPort + aTarget * kPortsOfTarget + 1);
  target.leaving_ = aLeaving;
  store_->Put(std::string(kStandinTargetTopic), EncodeStandinTarget(target));
}

auto SoakFleet::CheckColdRate(Target* aTarget, const std::string& aRequestId)
  -> void
{
  const auto now = NowMs();
  if (now >= aTarget->coldUntil_) {
    return;
  }
  const std::lock_guard<std::mutex> lock(aTarget->coldMutex_);
  auto& arrivals = aTarget->coldArrivals_;
  arrivals.push_back(now);
  while (arrivals.front() <= now - kColdWindowMs) {
    arrivals.pop_front();
  }
  if (arrivals.size() > kColdLimit) {
    book_->OnTooManyAtCold(aRequestId);
  }
}

auto SoakFleet::AnswerOf(int aTarget, const std::string& aRequest)
  -> ScriptedAnswer
{
  auto& target = *targets_[static_cast<std::size_t>(aTarget)];
  const auto id = RequestIdOf(aRequest);
  thread_local std::mt19937 random(options_.seed_ +
                                   static_cast<std::uint32_t>(aTarget));
  const bool misbehaves =
    static_cast<int>(random() % 1000) < target.faulty_.load();
  const auto how = misbehaves ? random() % 8 : 99;
  if (how == 0) {
    return { NotRunAnswer(id), false };
  }
  if (target.leftAt_ > 0 && NowMs() > target.leftAt_) {
    book_->OnLateAtLeaving(id);
  }
  CheckColdRate(&target, id);
  book_->OnRun(id);
  std::string body = PromiseBook::BodyOf(id);
  if (aRequest.find("/talk/") != std::string::npos) {
    body = PromiseBook::EventsOf(id, LastEventOf(aRequest));
  }
  const auto whole = GoodHead(id, body.size()) + body;
  switch (how) {
    case 1:
      // Cut somewhere, also within the head.
      return { whole.substr(0, random() % whole.size()), true };
    case 2:
      return { "", true };
    case 3:
      // An answer too many, to nobody's request.
      return { whole + GoodHead("stray", 3) + "abc", false };
    case 4:
      return { "\x01\x02 no answer at all\r\n\r\n", true };
    case 5: {
      // A reset within an answer that states no length.
      const auto unframed = SignedHead(id, "200") + "\r\n" + body;
      ScriptedAnswer answer{ unframed.substr(0, random() % unframed.size()) };
      answer.reset_ = true;
      return answer;
    }
    case 6:
      return { SignedHead(id, "600") + "Content-Length: 5\r\n\r\nwrong" };
    case 7:
      return { SignedHead(id, "200") + "Transfer-Encoding: gzip\r\n\r\nwrong",
               true };
    default:
      return { whole, false };
  }
}

SoakFleet::SoakFleet(SoakOptions aOptions, PromiseBook* aBook)
  : options_(std::move(aOptions))
  , book_(aBook)
  , store_(std::make_unique<StoreStandin>(PortOf(0)))
{
  for (int i = 0; i < options_.targets_; ++i) {
    const int first = kFirstTargetPort + i * kPortsOfTarget;
    targets_.push_back(std::make_unique<Target>());
    auto& target = *targets_.back();
    target.server_ = std::make_unique<ScriptedTarget>(PortOf(first));
    target.server_->SetScript(
      [this, i](const std::string& aRequest) { return AnswerOf(i, aRequest); });
    target.link_ =
      std::make_unique<LoopbackProxy>(PortOf(first + 1), PortOf(first));
    ListTarget(i, false);
  }
  Publish(true);
  for (int i = 0; i < options_.routers_; ++i) {
    routers_.emplace_back();
    auto& router = routers_.back();
    router.settings_ = fmt::format("{}/r{}.json", options_.folder_, i);
    router.storeLink_ = std::make_unique<LoopbackProxy>(
      PortOf(kFirstRouterPort + i * kPortsOfRouter + kStoreLinkOffset),
      PortOf(0));
    WriteSettings(i);
    StartRouter(i);
  }
}

SoakFleet::~SoakFleet()
{
  for (int i = 0; i < options_.routers_; ++i) {
    Signal(i, SIGKILL);
  }
}

auto SoakFleet::StartRouter(int aRouter) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRouter)];
  const auto status = router.process_.Start(
    options_.program_, { "forward", "--settings=" + router.settings_ },
    fmt::format("{}/r{}.log", options_.folder_, aRouter));
  if (!status.ok()) {
    throw std::runtime_error(std::string(status.message()));
  }
}

auto SoakFleet::Signal(int aRouter, int aSignal) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRouter)];
  // Other signals wait until a paused process goes on.
  if (aSignal == SIGSTOP || aSignal == SIGCONT || aSignal == SIGKILL) {
    router.paused_ = aSignal == SIGSTOP;
  }
  router.process_.Signal(aSignal);
}

auto SoakFleet::Revive(int aRouter) -> void
{
  if (!routers_[static_cast<std::size_t>(aRouter)].process_.IsRunning()) {
    StartRouter(aRouter);
  }
}

auto SoakFleet::SetStoreLink(int aRouter, LinkFault aFault) -> void
{
  routers_[static_cast<std::size_t>(aRouter)].storeLink_->SetFault(aFault);
}

auto SoakFleet::SetTargetLink(int aTarget, LinkFault aFault) -> void
{
  targets_[static_cast<std::size_t>(aTarget)]->link_->SetFault(aFault);
}

auto SoakFleet::SetTargetFaulty(int aTarget, bool aFaulty) -> void
{
  targets_[static_cast<std::size_t>(aTarget)]->faulty_ =
    aFaulty ? kMisbehaves : 0;
}

auto SoakFleet::SetStoreFault(StoreFault aFault) -> void
{
  store_->SetFault(aFault);
}

auto SoakFleet::CompactStore() -> void
{
  store_->Compact(std::string(kStandinTargetTopic));
}

auto SoakFleet::Publish(bool aWithSecondKey) -> void
{
  StandinConfiguration configuration;
  configuration.version_ = version_++;
  if (aWithSecondKey) {
    configuration.accounts_.push_back({ "shop", "k2" });
  }
  configuration.coldStart_ = kColdStart;
  configuration.coldPerSecond_ = kColdPerSecond;
  store_->TakeCopy();
  published_ = EncodeStandinConfiguration(configuration);
  store_->Put(std::string(kStandinConfigurationTopic), published_);
  revokedAt_ = aWithSecondKey ? 0 : NowMs();
}

auto SoakFleet::RestoreStore() -> void
{
  store_->RestoreCopy();
  std::this_thread::sleep_for(kRewriteTime);
  store_->Put(std::string(kStandinConfigurationTopic), published_);
  for (int i = 0; i < options_.targets_; ++i) {
    ListTarget(i, false);
  }
}

auto SoakFleet::PutGarbage() -> void
{
  store_->Put(std::string(kStandinTargetTopic),
              { "i-garbled", "\xff\x01 {\"service\":" });
  store_->Put(std::string(kStandinRouterTopic), { "r-garbled", "[]" });
}

auto SoakFleet::DrainTarget(int aTarget, std::chrono::milliseconds aBound)
  -> void
{
  ListTarget(aTarget, true);
  targets_[static_cast<std::size_t>(aTarget)]->leftAt_ =
    NowMs() + aBound.count();
}

auto SoakFleet::DrainZoneOf(int aTarget, std::chrono::milliseconds aBound)
  -> void
{
  store_->Put(std::string(kStandinConfigurationTopic),
              EncodeStandinZoneDrain(fmt::format("z{}", aTarget % 2), true));
  for (int i = aTarget % 2; i < options_.targets_; i += 2) {
    targets_[static_cast<std::size_t>(i)]->leftAt_ = NowMs() + aBound.count();
  }
}

auto SoakFleet::ReturnZoneOf(int aTarget) -> void
{
  for (int i = aTarget % 2; i < options_.targets_; i += 2) {
    auto& target = *targets_[static_cast<std::size_t>(i)];
    target.leftAt_ = 0;
    target.coldUntil_ = NowMs() + kColdStart.count();
  }
  store_->Put(std::string(kStandinConfigurationTopic),
              EncodeStandinZoneDrain(fmt::format("z{}", aTarget % 2), false));
}

auto SoakFleet::Heal() -> void
{
  SetStoreFault(StoreFault::kNone);
  for (int i = 0; i < options_.routers_; ++i) {
    SetStoreLink(i, LinkFault::kNone);
    if (routers_[static_cast<std::size_t>(i)].paused_) {
      Signal(i, SIGCONT);
    }
  }
  for (int i = 0; i < options_.targets_; ++i) {
    SetTargetLink(i, LinkFault::kNone);
    SetTargetFaulty(i, false);
  }
}

auto SoakFleet::CallerPort(int aRouter) const -> std::uint16_t
{
  return PortOf(kFirstRouterPort + aRouter * kPortsOfRouter);
}

auto SoakFleet::IsReady(int aRouter) const -> bool
{
  const auto port = CallerPort(aRouter) + kReadyOffset;
  const auto answer =
    SendRaw(static_cast<std::uint16_t>(port),
            "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  return answer.starts_with("HTTP/1.1 200");
}

auto SoakFleet::IsRevoked() const -> bool
{
  const auto at = revokedAt_.load();
  return at > 0 && NowMs() > at + kRevokeMs + kMarginMs;
}

auto SoakFleet::Options() const -> const SoakOptions&
{
  return options_;
}

} // namespace burdockring
