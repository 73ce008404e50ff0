#include "main/router_process.h"

#include "connection/frame_codec.h"
#include "main/log_lines.h"
#include "main/operator_api.h"
#include "wire/envelope_codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace burdockring {
namespace {

namespace asio = boost::asio;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr Duration kTickInterval = 5ms;
constexpr Duration kLogWait = 500ms;
constexpr Duration kLogRetry = 200ms;
constexpr Duration kAppendTimeout = 2s;
constexpr Duration kVmListInterval = 1s;
/// How long a stopping router still serves what the balancer sends on.
constexpr Duration kLameDuck = 1s;

auto WallNow() -> WallTime
{
  return std::chrono::duration_cast<WallTime>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

auto RouterProcess::Now() const -> NodeTime
{
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return { std::chrono::duration_cast<Instant>(since), WallNow() };
}

auto RouterProcess::Handle(const NodeEvent& aEvent) -> void
{
  for (auto& effect : node_.Handle(aEvent, Now())) {
    std::visit([this](auto& aTyped) { Apply(std::move(aTyped)); }, effect);
  }
}

auto RouterProcess::Apply(SendToPeer aEffect) -> void
{
  const auto found = links_.find(aEffect.router_);
  if (found != links_.end()) {
    found->second->Send(EncodeFrame(wire::EncodeEnvelope(aEffect.envelope_)));
  }
}

auto RouterProcess::Apply(const ProbePeer& aEffect) -> void
{
  const auto found = links_.find(aEffect.router_);
  if (found != links_.end()) {
    found->second->Reconnect();
  }
}

auto RouterProcess::Apply(StartAttempt aEffect) -> void
{
  const auto request = aEffect.request_;
  PostToSession(request, std::move(aEffect));
}

auto RouterProcess::Apply(const CancelAttempt& aEffect) -> void
{
  PostToSession(aEffect.request_, aEffect);
}

auto RouterProcess::Apply(const RespondToCaller& aEffect) -> void
{
  PostToSession(aEffect.request_, aEffect);
}

auto RouterProcess::Apply(AppendToLog aEffect) -> void
{
  asio::co_spawn(control_, RunAppend(std::move(aEffect)), asio::detached);
}

auto RouterProcess::Apply(const ConfigInForce& aEffect) -> void
{
  config_.store(aEffect.version_.set_);
  LogStateChange(LogLevel::kInfo, settings_.name_, "config",
                 std::to_string(aEffect.version_.version_), "in force");
}

auto RouterProcess::Apply(const StateChanged& aEffect) -> void
{
  LogStateChange(LogLevel::kInfo, settings_.name_, aEffect.component_,
                 aEffect.subject_, aEffect.change_);
}

auto RouterProcess::PostToSession(RequestId aRequest, SessionCommand aCommand)
  -> void
{
  const auto found = inboxes_.find(aRequest);
  if (found != inboxes_.end()) {
    found->second->Post(std::move(aCommand));
  }
}

auto RouterProcess::SetRouters(VmListRead aList) -> void
{
  for (const auto& router : aList.routers_) {
    const Endpoint endpoint{ router.host_, router.peerPort_ };
    auto& link = links_[router.id_];
    const bool same = link && link->Address().host_ == endpoint.host_ &&
                      link->Address().port_ == endpoint.port_;
    if (same || router.name_ == settings_.name_) {
      continue;
    }
    if (link) {
      closedLinkBytes_ += link->SentBytes();
      link->Close();
    }
    link = std::make_shared<PeerLink>(control_.get_executor(), endpoint);
    link->Start();
  }
  std::erase_if(links_, [](const auto& aEntry) { return !aEntry.second; });
  Handle(std::move(aList));
}

auto RouterProcess::RunTicks() -> asio::awaitable<void>
{
  while (!stopped_) {
    Handle(TickEvent{});
    StopWhenDrained();
    tick_.expires_after(kTickInterval);
    co_await tick_.async_wait(kToken);
  }
}

auto RouterProcess::TailLog() -> asio::awaitable<void>
{
  asio::steady_timer pause(control_);
  LogOffset next = 0;
  while (!stopped_) {
    auto batch = co_await log_.Read(next, kLogWait);
    if (!batch.ok()) {
      pause.expires_after(kLogRetry);
      co_await pause.async_wait(kToken);
      continue;
    }
    next = batch->next_;
    LogRead read{ batch->first_, batch->next_, std::move(batch->entries_),
                  batch->next_ >= batch->end_ };
    Handle(std::move(read));
  }
}

auto RouterProcess::PollVmList() -> asio::awaitable<void>
{
  if (!settings_.vmList_) {
    SetRouters({ settings_.peerList_, {} });
    co_return;
  }
  asio::steady_timer pause(control_);
  const VmListClient client(*settings_.vmList_);
  while (!stopped_) {
    auto list = co_await client.Read();
    if (list.ok()) {
      SetRouters(std::move(*list));
    }
    pause.expires_after(kVmListInterval);
    co_await pause.async_wait(kToken);
  }
}

auto RouterProcess::RunAppend(AppendToLog aEffect) -> asio::awaitable<void>
{
  const auto token = aEffect.token_;
  const auto offset =
    co_await log_.Append(std::move(aEffect.payload_), kAppendTimeout);
  Handle(AppendReplied{ token, offset.ok() });
}

auto RouterProcess::StopWhenDrained() -> void
{
  const bool lingering = Now().now_ - stopSince_ < kLameDuck;
  if (!node_.IsDrained() || sessions_ > 0 || stopped_ || lingering) {
    return;
  }
  stopped_ = true;
  callerServer_->Close();
  operatorServer_->Close();
  peerServer_.Close();
  for (auto& entry : links_) {
    entry.second->Close();
  }
  LogStateChange(LogLevel::kInfo, settings_.name_, "node", settings_.name_,
                 "stopped");
  control_.stop();
}

auto RouterProcess::StopThreads() -> void
{
  guards_.clear();
  for (auto& context : traffic_) {
    context->stop();
  }
  for (auto& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

auto RouterProcess::Traffic() const -> PeerTraffic
{
  PeerTraffic traffic{ closedLinkBytes_, peerServer_.ReceivedBytes(),
                       peerServer_.Garbled() };
  for (const auto& entry : links_) {
    traffic.sentBytes_ += entry.second->SentBytes();
  }
  return traffic;
}

RouterProcess::RouterProcess(Settings aSettings)
  : settings_(std::move(aSettings))
  , incarnation_(WallNow().count())
  , requestPrefix_(settings_.name_ + '-' + std::to_string(incarnation_) + '-')
  , node_(settings_.node_, settings_.Self(), incarnation_)
  , log_(settings_.log_)
  , peerServer_(&control_,
                [this](wire::Envelope aEnvelope) {
                  Handle(PeerReceived{ std::move(aEnvelope) });
                })
  , tick_(control_)
{
  config_.store(std::make_shared<const ConfigSet>());
  std::vector<asio::io_context*> contexts;
  for (int i = 0; i < settings_.trafficThreads_; ++i) {
    traffic_.push_back(std::make_unique<asio::io_context>(1));
    guards_.push_back(asio::make_work_guard(*traffic_.back()));
    contexts.push_back(traffic_.back().get());
  }
  callerServer_ = std::make_unique<HttpServer>(
    contexts, settings_.callerLimits_, MakeCallerHandler(this));
  operatorServer_ =
    std::make_unique<HttpServer>(std::vector<asio::io_context*>{ &control_ },
                                 HttpLimits{}, MakeOperatorHandler(this));
}

RouterProcess::~RouterProcess()
{
  StopThreads();
}

auto RouterProcess::Config() -> ConfigSetPointer
{
  return config_.load();
}

auto RouterProcess::Submit(RequestArrived aArrival,
                           std::shared_ptr<SessionInbox> aInbox) -> RequestId
{
  const auto id = nextRequest_.fetch_add(1);
  sessions_.fetch_add(1);
  aArrival.id_ = id;
  asio::post(control_, [this, arrival = std::move(aArrival),
                        inbox = std::move(aInbox)]() mutable {
    inboxes_[arrival.id_] = std::move(inbox);
    Handle(std::move(arrival));
  });
  return id;
}

auto RouterProcess::PostEvent(NodeEvent aEvent) -> void
{
  asio::post(control_, [this, event = std::move(aEvent)] { Handle(event); });
}

auto RouterProcess::Release(RequestId aRequest) -> void
{
  asio::post(control_, [this, aRequest] {
    inboxes_.erase(aRequest);
    sessions_.fetch_sub(1);
  });
}

auto RouterProcess::Record(const RequestTiming& aTiming) -> void
{
  metrics_.Record(aTiming);
}

auto RouterProcess::RequestPrefix() const -> const std::string&
{
  return requestPrefix_;
}

auto RouterProcess::IsStopping() const -> bool
{
  return stopping_;
}

auto RouterProcess::Listen() -> absl::Status
{
  auto status = peerServer_.Listen(settings_.peers_);
  if (status.ok()) {
    status = operatorServer_->Listen(settings_.operators_);
  }
  if (status.ok()) {
    status = callerServer_->Listen(settings_.callers_);
  }
  return status;
}

auto RouterProcess::Run() -> void
{
  for (auto& context : traffic_) {
    threads_.emplace_back([&context] { context->run(); });
  }
  LogStateChange(LogLevel::kInfo, settings_.name_, "node", settings_.name_,
                 "started");
  asio::co_spawn(control_, PollVmList(), asio::detached);
  asio::co_spawn(control_, TailLog(), asio::detached);
  asio::co_spawn(control_, RunTicks(), asio::detached);
  control_.run();
  StopThreads();
}

auto RouterProcess::Stop() -> void
{
  stopping_ = true;
  asio::post(control_, [this] {
    stopSince_ = Now().now_;
    Handle(StopRequested{});
  });
}

auto RouterProcess::Kill() -> void
{
  stopped_ = true;
  control_.stop();
}

auto RouterProcess::Node() const -> const RouterNode&
{
  return node_;
}

auto RouterProcess::StatusBody() const -> std::string
{
  return StatusJson(node_, Traffic());
}

auto RouterProcess::MetricsBody() const -> std::string
{
  return NodeMetricsText(node_, Traffic()) + metrics_.ToText();
}

} // namespace burdockring
