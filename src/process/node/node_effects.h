#ifndef BURDOCKRING_PROCESS_NODE_NODE_EFFECTS_H
#define BURDOCKRING_PROCESS_NODE_NODE_EFFECTS_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"
#include "request/answer.h"
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

/// The peer is silent: try a new connection to it.
struct ProbePeer
{
  RouterId router_;
};

/// Send the request to a target.
struct StartAttempt
{
  RequestId request_ = 0;
  int attempt_ = 0;
  TargetId target_;
  /// Tokens that the caller already has; the engine resumes behind them.
  int resumeFrom_ = 0;
  ServiceKind kind_ = ServiceKind::kEngine;
  std::string host_;
  std::uint16_t port_ = 0;
  Duration progressTimeout_{};
};

/// Stop the attempt and close its connection.
struct CancelAttempt
{
  RequestId request_ = 0;
  int attempt_ = 0;
};

/// Tell the caller the last word. A whole answer has already been passed on.
struct RespondToCaller
{
  RequestId request_ = 0;
  Response answer_;
};

struct AppendToLog
{
  std::int64_t token_ = 0;
  std::string payload_;
};

/// A new configuration is in force at this router.
struct ConfigInForce
{
  ConfigVersion version_;
};

/// Something changed state that an operator may want to know.
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
