#ifndef BURDOCKRING_REQUEST_REQUEST_STATE_MACHINE_H
#define BURDOCKRING_REQUEST_REQUEST_STATE_MACHINE_H

#include "request/response.h"

#include <memory>
#include <string_view>
#include <variant>

namespace burdockring {

enum class RequestState
{
  kClaiming,
  kQueued,
  kConnecting,
  kRunning,
  kRequeued,
  kReconnecting,
  kRerunning,
  kWhole,
  kNotRun,
  kUnknown,
  kAbandoned,
};

auto RequestStateName(RequestState aState) -> std::string_view;

/// The idempotency key was claimed, or the request has none.
struct ClaimAcquired
{
};
/// A slot was assigned and a connection to its target is being opened.
struct AttemptStarted
{
};
/// The first byte of the request may have reached the target.
struct BytesSent
{
};
/// The target rejected the request before running it.
struct RejectedBeforeRun
{
};
/// The attempt was interrupted and another one may follow.
struct AttemptInterrupted
{
};
/// The target's end marker was received.
struct EndMarkerReceived
{
};
/// The router gave up on the request.
struct GivenUp
{
};
/// The caller closed its connection.
struct CallerDisconnected
{
};

using RequestEvent = std::variant<ClaimAcquired,
                                  AttemptStarted,
                                  BytesSent,
                                  RejectedBeforeRun,
                                  AttemptInterrupted,
                                  EndMarkerReceived,
                                  GivenUp,
                                  CallerDisconnected>;

/// State machine of one request at a router. Its final state determines what
/// the caller may be told. Once a byte may have reached a target, kNotRun is
/// reachable only if that target rejects the request without running it.
class RequestStateMachine
{
  struct Impl;
  std::unique_ptr<Impl> impl_;

public:
  RequestStateMachine();
  ~RequestStateMachine();
  RequestStateMachine(RequestStateMachine&&) noexcept;
  auto operator=(RequestStateMachine&&) noexcept -> RequestStateMachine&;

  /// Processes an event. Returns false and keeps the state if the event is not
  /// allowed in it.
  auto Process(const RequestEvent& aEvent) -> bool;
  [[nodiscard]] auto State() const -> RequestState;
  [[nodiscard]] auto IsFinal() const -> bool;
  /// The run state to report if the request were given up now.
  [[nodiscard]] auto GiveUpState() const -> RunState;
};

} // namespace burdockring

#endif
