#ifndef BURDOCKRING_PROCESS_NODE_NODE_EFFECTS_H
#define BURDOCKRING_PROCESS_NODE_NODE_EFFECTS_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"
#include "request/response.h"
#include "version/config_replica.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockring {

struct SendToPeer
{
  RouterId router_;
  wire::Envelope envelope_;
};

/// Try a new connection to a silent peer.
struct ProbePeer
{
  RouterId router_;
};

/// Send a request to a target.
struct StartAttempt
{
  RequestId request_ = 0;
  int attempt_ = 0;
  TargetId target_;
  /// Number of tokens the caller already has; the engine resumes after them.
  int resumeFrom_ = 0;
  ServiceKind kind_ = ServiceKind::kEngine;
  std::string host_;
  std::uint16_t port_ = 0;
  Duration progressTimeout_{};
};

/// Abort an attempt and close its connection.
struct CancelAttempt
{
  RequestId request_ = 0;
  int attempt_ = 0;
};

/// Send the final response to the caller. A complete response from a target has
/// already been forwarded.
struct RespondToCaller
{
  RequestId request_ = 0;
  Response response_;
};

struct AppendToLog
{
  std::int64_t token_ = 0;
  std::string payload_;
};

/// This router has applied a new configuration.
struct ConfigInForce
{
  ConfigVersion version_;
};

/// A state change to report to the operator.
struct StateChanged
{
  std::string_view component_;
  std::string subject_;
  std::string change_;
};

using NodeEffect = std::variant<SendToPeer,
                                ProbePeer,
                                StartAttempt,
                                CancelAttempt,
                                RespondToCaller,
                                AppendToLog,
                                ConfigInForce,
                                StateChanged>;

using NodeEffects = std::vector<NodeEffect>;

} // namespace burdockring

#endif
