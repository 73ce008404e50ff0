#ifndef BURDOCKRING_PROCESS_NODE_NODE_EVENTS_H
#define BURDOCKRING_PROCESS_NODE_NODE_EVENTS_H

#include "peer_types.h"
#include "process/membership/peer_table.h"
#include "process/sharing/fair_queue.h"
#include "version/config_set.h"
#include "version/log_record.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdockring {

/// Periodic timer event, sent every few milliseconds.
struct TickEvent
{
};

/// A completely received request from an identified account.
struct RequestArrived
{
  RequestId id_ = 0;
  AccountId account_;
  ServiceId service_;
  RequestClass class_ = RequestClass::kInteractive;
  std::optional<double> outputTokensHint_;
  /// The idempotency key, a UUIDv7, or empty.
  std::string key_;
  /// Whether the caller allows the request to run more than once.
  bool idempotent_ = true;
  /// Maximum queueing time that the caller allows, if given.
  std::optional<Duration> queueTimeout_;
};

struct CallerGone
{
  RequestId id_ = 0;
};

/// The attempt is about to write its first byte to the target.
struct AttemptSent
{
  RequestId id_ = 0;
  int attempt_ = 0;
};

/// The target has produced tokens; tokens_ is the response's total so far.
struct AttemptProgress
{
  RequestId id_ = 0;
  int attempt_ = 0;
  int tokens_ = 0;
};

/// The target's end marker was received.
struct AttemptEnded
{
  RequestId id_ = 0;
  int attempt_ = 0;
  double tokens_ = 0;
  int status_ = 200;
  /// Response body of a plain service, stored to replay it for the same
  /// idempotency key.
  std::string body_;
};

/// The target rejected the request before running it.
struct AttemptRefused
{
  RequestId id_ = 0;
  int attempt_ = 0;
  bool leaving_ = false;
};

/// The attempt's connection failed, ended early or timed out.
struct AttemptFailed
{
  RequestId id_ = 0;
  int attempt_ = 0;
  bool isTimeout_ = false;
};

struct PeerReceived
{
  wire::Envelope envelope_;
};

/// An append was acknowledged, or its reply was lost.
struct AppendReplied
{
  std::int64_t token_ = 0;
  bool isAcknowledged_ = false;
};

/// Records read from the log, in order.
struct LogRead
{
  /// The offset at which the read began. It is above the requested offset if
  /// the log has dropped records.
  LogOffset first_ = 0;
  LogOffset next_ = 0;
  std::vector<LogEntry> entries_;
  bool atEnd_ = false;
};

/// The platform's list of the system's VMs, with the targets that are leaving.
struct VmListRead
{
  std::vector<RouterAddress> routers_;
  std::vector<TargetId> leavingTargets_;
};

/// A graceful shutdown was requested.
struct StopRequested
{
};

using NodeEvent = std::variant<TickEvent,
                               RequestArrived,
                               CallerGone,
                               AttemptSent,
                               AttemptProgress,
                               AttemptEnded,
                               AttemptRefused,
                               AttemptFailed,
                               PeerReceived,
                               AppendReplied,
                               LogRead,
                               VmListRead,
                               StopRequested>;

} // namespace burdockring

#endif
