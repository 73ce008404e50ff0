#include "soak/soak_fleet.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char** environ;

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

auto NowMs() -> std::int64_t
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

auto FieldOf(const std::string& aRequest, const std::string& aName)
  -> std::string
{
  const auto at = aRequest.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aName.size() + 4;
  return aRequest.substr(begin, aRequest.find("\r\n", begin) - begin);
}

auto SignedHead(const std::string& aId, std::size_t aLength) -> std::string
{
  return fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\n"
                     "X-Response-Stamp: sig\r\nContent-Length: {}\r\n\r\n",
                     aId, aLength);
}

} // namespace

auto SoakFleet::PortOf(int aOffset) const -> std::uint16_t
{
  return static_cast<std::uint16_t>(options_.basePort_ + aOffset);
}

auto SoakFleet::WriteSettings(int aRouter) -> void
{
  const int first = kFirstRouterPort + aRouter * kPortsOfRouter;
  std::ofstream(routers_[static_cast<std::size_t>(aRouter)].settings_)
    << fmt::format(
         R"({{"nodeName":"r{0}","ip":"127.0.0.1","zone":"z{1}",
 "bind":{{"front":"127.0.0.1:{2}","ready":"127.0.0.1:{3}"}},
 "internalPorts":[{5},{6}],"bounds":{{"revokeMs":{7},"drainMs":2000,
 "budgetRatio":0.2,"budgetWindowS":10,"budgetSlack":1000,"graceS":4}},
 "platform":{{"address":"127.0.0.1:{4}"}}}})",
         aRouter, aRouter % 2, PortOf(first), PortOf(first + kReadyOffset),
         PortOf(first + kStoreLinkOffset), PortOf(first + kPeerOffset),
         PortOf(first + kPortsOfRouter - 1), kRevokeMs);
}

auto SoakFleet::ListTarget(int aTarget, const std::string& aState) -> void
{
  store_->Put(
    "keyed.servers",
    { fmt::format("i-{}", aTarget),
      fmt::format(R"({{"service":"s","zone":"z{}","slots":16,)"
                  R"("state":"{}","born":1,)"
                  R"("address":"127.0.0.1:{}"}})",
                  aTarget % 2, aState,
                  PortOf(kFirstTargetPort + aTarget * kPortsOfTarget + 1)) });
}

auto SoakFleet::AnswerOf(int aTarget, const std::string& aRequest)
  -> ScriptedAnswer
{
  auto& target = *targets_[static_cast<std::size_t>(aTarget)];
  const auto id = FieldOf(aRequest, "X-Attempt-Id");
  thread_local std::mt19937 random(options_.seed_ +
                                   static_cast<std::uint32_t>(aTarget));
  const bool misbehaves =
    static_cast<int>(random() % 1000) < target.faulty_.load();
  const auto how = misbehaves ? random() % 5 : 99;
  if (how == 0) {
    return { "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + id +
               "\r\nContent-Length: 0\r\n\r\n",
             false };
  }
  if (target.leftAt_ > 0 && NowMs() > target.leftAt_) {
    book_->OnLateAtLeaving(id);
  }
  book_->OnRun(id);
  std::string body = PromiseBook::BodyOf(id);
  if (aRequest.find("/talk/") != std::string::npos) {
    const auto last = FieldOf(aRequest, "Last-Event-Id");
    body = PromiseBook::EventsOf(id, last.empty() ? 0 : std::stoi(last));
  }
  const auto whole = SignedHead(id, body.size()) + body;
  switch (how) {
    case 1:
      // Cut somewhere, also within the head.
      return { whole.substr(0, random() % whole.size()), true };
    case 2:
      return { "", true };
    case 3:
      // An answer too many, to nobody's request.
      return { whole + SignedHead("stray", 3) + "abc", false };
    case 4:
      return { "\x01\x02 no answer at all\r\n\r\n", true };
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
    ListTarget(i, "ready");
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
  const auto flag = "--settings=" + router.settings_;
  const auto log = fmt::format("{}/r{}.log", options_.folder_, aRouter);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::vector<char*> arguments{ const_cast<char*>(options_.program_.c_str()),
                                const_cast<char*>("forward"),
                                const_cast<char*>(flag.c_str()), nullptr };
  const int error = posix_spawn(&router.process_, options_.program_.c_str(),
                                &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + options_.program_);
  }
}

auto SoakFleet::Signal(int aRouter, int aSignal) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRouter)];
  if (router.process_ <= 0) {
    return;
  }
  // Other signals wait until a paused process goes on.
  if (aSignal == SIGSTOP || aSignal == SIGCONT || aSignal == SIGKILL) {
    router.paused_ = aSignal == SIGSTOP;
  }
  kill(router.process_, aSignal);
  if (aSignal == SIGKILL) {
    waitpid(router.process_, nullptr, 0);
    router.process_ = 0;
  }
}

auto SoakFleet::Revive(int aRouter) -> void
{
  auto& router = routers_[static_cast<std::size_t>(aRouter)];
  if (router.process_ > 0 &&
      waitpid(router.process_, nullptr, WNOHANG) == router.process_) {
    router.process_ = 0;
  }
  if (router.process_ == 0) {
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

auto SoakFleet::SetStoreDown(bool aDown) -> void
{
  store_->SetDown(aDown);
}

auto SoakFleet::Publish(bool aWithSecondKey) -> void
{
  const auto second =
    aWithSecondKey ? R"(,{"name":"shop","apiKeys":["k2"]})" : "";
  store_->Put("keyed.op", { "config", fmt::format(
                                        R"({{"version":{},"routes":[
 {{"name":"safe","host":"h","pathPrefix":"/safe/","kind":"safe",
  "timeoutMs":3000,"targetLatencyMs":500,"maxAttempts":2,"service":"s"}},
 {{"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe",
  "timeoutMs":3000,"targetLatencyMs":500,"maxAttempts":1,"service":"s"}},
 {{"name":"talk","host":"h","pathPrefix":"/talk/","kind":"stream",
  "timeoutMs":3000,"targetLatencyMs":500,"maxAttempts":2,"resumable":true,
  "service":"s"}}],"services":[{{"name":"s","maxConns":200}}],
 "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":100000,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000}},
 "tenants":[{{"name":"hotel","apiKeys":["k1"]}}{}]}})",
                                        version_++, second) });
  revokedAt_ = aWithSecondKey ? 0 : NowMs();
}

auto SoakFleet::PutGarbage() -> void
{
  store_->Put("keyed.servers", { "i-garbled", "\xff\x01 {\"service\":" });
  store_->Put("keyed.routers", { "r-garbled", "[]" });
}

auto SoakFleet::DrainTarget(int aTarget, std::chrono::milliseconds aBound)
  -> void
{
  ListTarget(aTarget, "draining");
  targets_[static_cast<std::size_t>(aTarget)]->leftAt_ =
    NowMs() + aBound.count();
}

auto SoakFleet::Heal() -> void
{
  SetStoreDown(false);
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
