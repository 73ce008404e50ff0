#ifndef BURDOCKRING_MAIN_ROUTER_PROCESS_H
#define BURDOCKRING_MAIN_ROUTER_PROCESS_H

#include "adapter/log_client.h"
#include "adapter/vm_list_client.h"
#include "connection/caller_session.h"
#include "connection/peer_link.h"
#include "connection/peer_server.h"
#include "main/metrics.h"
#include "main/settings.h"
#include "main/status_report.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <thread>

namespace burdockring {

/// One router's I/O around its decisions. Sockets become events of the node on
/// the control thread; the node's effects become calls to sockets. Traffic
/// threads serve callers and targets and see the configuration as an immutable
/// snapshot.
class RouterProcess : public SessionPort
{
  using ContextGuard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  Settings settings_;
  std::int64_t incarnation_;
  std::string requestPrefix_;
  // Work left on the control context may hold a session's timer, which needs
  // its traffic context; so the traffic contexts outlive it.
  std::vector<std::unique_ptr<boost::asio::io_context>> traffic_;
  boost::asio::io_context control_{ 1 };
  std::vector<ContextGuard> guards_;
  std::vector<std::thread> threads_;
  RouterNode node_;
  LogClient log_;
  std::map<RouterId, std::shared_ptr<PeerLink>> links_;
  PeerServer peerServer_;
  std::unique_ptr<HttpServer> callerServer_;
  std::unique_ptr<HttpServer> operatorServer_;
  Metrics metrics_;
  std::atomic<std::shared_ptr<const ConfigSet>> config_;
  std::atomic<RequestId> nextRequest_{ 1 };
  std::map<RequestId, std::shared_ptr<SessionInbox>> inboxes_;
  boost::asio::steady_timer tick_;
  std::atomic<int> sessions_{ 0 };
  std::atomic<bool> stopped_{ false };
  std::atomic<bool> stopping_{ false };
  Instant stopSince_{};
  std::int64_t closedLinkBytes_ = 0;

  auto Now() const -> NodeTime;
  auto Handle(const NodeEvent& aEvent) -> void;
  auto Apply(SendToPeer aEffect) -> void;
  auto Apply(const ProbePeer& aEffect) -> void;
  auto Apply(StartAttempt aEffect) -> void;
  auto Apply(const CancelAttempt& aEffect) -> void;
  auto Apply(const RespondToCaller& aEffect) -> void;
  auto Apply(AppendToLog aEffect) -> void;
  auto Apply(const ConfigInForce& aEffect) -> void;
  auto Apply(const StateChanged& aEffect) -> void;
  auto PostToSession(RequestId aRequest, SessionCommand aCommand) -> void;
  auto SetRouters(VmListRead aList) -> void;
  auto RunTicks() -> boost::asio::awaitable<void>;
  auto TailLog() -> boost::asio::awaitable<void>;
  auto PollVmList() -> boost::asio::awaitable<void>;
  auto RunAppend(AppendToLog aEffect) -> boost::asio::awaitable<void>;
  auto StopWhenDrained() -> void;
  auto StopThreads() -> void;
  [[nodiscard]] auto Traffic() const -> PeerTraffic;

public:
  explicit RouterProcess(Settings aSettings);
  ~RouterProcess() override;

  auto Config() -> ConfigSetPointer override;
  auto Submit(RequestArrived aArrival, std::shared_ptr<SessionInbox> aInbox)
    -> RequestId override;
  auto PostEvent(NodeEvent aEvent) -> void override;
  auto Release(RequestId aRequest) -> void override;
  auto Record(const RequestTiming& aTiming) -> void override;
  [[nodiscard]] auto RequestPrefix() const -> const std::string& override;

  [[nodiscard]] auto IsStopping() const -> bool override;

  /// Opens the listeners.
  auto Listen() -> absl::Status;
  /// Runs until a stop has drained; on the calling thread.
  auto Run() -> void;
  /// Begins a graceful stop; from any thread.
  auto Stop() -> void;
  /// Ends at once, as a kill would; from any thread.
  auto Kill() -> void;

  /// For the operators' listener, on the control thread.
  [[nodiscard]] auto Node() const -> const RouterNode&;
  [[nodiscard]] auto StatusBody() const -> std::string;
  [[nodiscard]] auto MetricsBody() const -> std::string;
};

} // namespace burdockring

#endif
