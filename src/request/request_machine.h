#ifndef BURDOCKRING_REQUEST_REQUEST_MACHINE_H
#define BURDOCKRING_REQUEST_REQUEST_MACHINE_H

#include "request/answer.h"

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

/// The key's claim was won, or none was needed.
struct ClaimAcquired
{
};
/// A slot was taken and a connection to its target is being opened.
struct AttemptStarted
{
};
/// The first byte of the request may have reached the target.
struct BytesSent
{
};
/// The target refused before running anything.
struct RejectedBeforeRun
{
};
/// The attempt broke and another one may follow.
struct AttemptInterrupted
{
};
/// The target's end mark arrived.
struct EndMarkerReceived
{
};
/// The request is given up.
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

/// The life of one request at a router, as a state machine whose final state
/// says what the caller may be told. Once a byte may have reached a target no
/// path leads to kNotRun but a target's own refusal to run.
class RequestStateMachine
{
  struct Impl;
  std::unique_ptr<Impl> impl_;

public:
  RequestStateMachine();
  ~RequestStateMachine();
  RequestStateMachine(RequestStateMachine&&) noexcept;
  auto operator=(RequestStateMachine&&) noexcept -> RequestStateMachine&;

  /// Takes an event; false, with no change, where the table has no such row.
  auto Process(const RequestEvent& aEvent) -> bool;
  [[nodiscard]] auto State() const -> RequestState;
  [[nodiscard]] auto IsFinal() const -> bool;
  /// What giving up now would have to tell the caller.
  [[nodiscard]] auto GiveUpState() const -> RunState;
};

} // namespace burdockring

#endif
