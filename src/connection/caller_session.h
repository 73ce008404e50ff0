#ifndef BURDOCKRING_CONNECTION_CALLER_SESSION_H
#define BURDOCKRING_CONNECTION_CALLER_SESSION_H

#include "connection/caller_request.h"
#include "connection/http_server.h"
#include "connection/target_attempt.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <variant>

namespace burdockring {

/// What the control thread tells a session.
using SessionCommand =
  std::variant<StartAttempt, CancelAttempt, RespondToCaller>;

/// A session's queue of commands; Post may be called from any thread.
class SessionInbox : public std::enable_shared_from_this<SessionInbox>
{
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer wake_;
  std::deque<SessionCommand> commands_;

public:
  explicit SessionInbox(boost::asio::any_io_executor aExecutor);

  auto Post(SessionCommand aCommand) -> void;
  /// Lets a waiting Pause go on; on the session's own executor only.
  auto Wake() -> void;
  /// Waits for a Wake.
  auto Pause() -> boost::asio::awaitable<void>;
  /// Waits for the next command; on the session's own executor only.
  auto Next() -> boost::asio::awaitable<SessionCommand>;
};

/// How one request went, for the metrics.
struct RequestTiming
{
  AccountId account_;
  std::string accountName_;
  RequestClass class_ = RequestClass::kInteractive;
  /// Names the class where it is none of RequestClass.
  std::string className_;
  RunState runState_ = RunState::kWhole;
  Duration wait_{};
  Duration firstToken_{};
  Duration total_{};
  /// Mean time between tokens, or zero.
  Duration betweenTokens_{};
};

/// What sessions need of the process that they run in. All calls may come from
/// any thread.
class SessionPort
{
public:
  SessionPort() = default;
  virtual ~SessionPort() = default;
  SessionPort(const SessionPort&) = delete;
  auto operator=(const SessionPort&) -> SessionPort& = delete;

  /// The configuration in force.
  virtual auto Config() -> ConfigSetPointer = 0;
  /// Numbers the request, remembers its inbox and hands it to the decisions.
  virtual auto Submit(RequestArrived aArrival,
                      std::shared_ptr<SessionInbox> aInbox) -> RequestId = 0;
  virtual auto PostEvent(NodeEvent aEvent) -> void = 0;
  /// Forgets the request's inbox.
  virtual auto Release(RequestId aRequest) -> void = 0;
  virtual auto Record(const RequestTiming& aTiming) -> void = 0;
  /// Whether connections should end with the request that they carry.
  [[nodiscard]] virtual auto IsStopping() const -> bool = 0;
  /// Prefix of request ids at targets, unique to this process.
  [[nodiscard]] virtual auto RequestPrefix() const -> const std::string& = 0;
};

/// Serves one caller's request from its parsing to its last byte.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
  using Clock = std::chrono::steady_clock;

  SessionPort* port_;
  HttpResponder* responder_;
  CallerRequest request_;
  boost::asio::any_io_executor executor_;
  std::shared_ptr<SessionInbox> inbox_;
  std::shared_ptr<TargetAttempt> attempt_;
  RequestId id_ = 0;
  int tokens_ = 0;
  int reportedTokens_ = 0;
  AttemptResult last_;
  std::string text_;
  bool done_ = false;
  /// Attempts whose coroutine still uses the caller's connection.
  int runningAttempts_ = 0;
  Clock::time_point start_ = Clock::now();
  std::optional<Clock::time_point> attemptStart_;
  std::optional<Clock::time_point> firstToken_;

  auto WatchCaller() -> boost::asio::awaitable<void>;
  auto RunAttempt(StartAttempt aStart) -> boost::asio::awaitable<void>;
  auto OnToken(int aAttempt, StreamLine aLine) -> boost::asio::awaitable<bool>;
  auto PostResult(int aAttempt, AttemptResult aResult) -> void;
  [[nodiscard]] auto IdFields() const -> HttpFields;
  auto Respond(const Response& aAnswer) -> boost::asio::awaitable<void>;
  auto RespondWhole(const Response& aAnswer) -> boost::asio::awaitable<void>;
  auto RecordTiming(RunState aState) -> void;

public:
  CallerSession(SessionPort* aPort,
                HttpResponder* aResponder,
                CallerRequest aRequest,
                boost::asio::any_io_executor aExecutor);

  auto Run() -> boost::asio::awaitable<void>;
};

/// The handler of the callers' listener.
auto MakeCallerHandler(SessionPort* aPort) -> HttpHandler;

} // namespace burdockring

#endif
