#ifndef BURDOCKRING_PROCESS_FORWARDING_FORWARDING_EFFECTS_H
#define BURDOCKRING_PROCESS_FORWARDING_FORWARDING_EFFECTS_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"
#include "process/forwarding/read_turns.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdockring {

/// Send a request to a target.
struct SendAttempt
{
  RequestId request_ = 0;
  int attempt_ = 0;
  TargetId target_;
  std::string instance_;
  std::string host_;
  std::uint16_t port_ = 0;
  /// The account's name for the target, or empty.
  std::string account_;
  /// How long the caller still waits.
  Duration patience_{};
  /// The last event that the caller has, where a stream goes on.
  std::optional<std::uint64_t> lastEvent_;
  /// Whether a broken connection would leave it unknown for good whether the
  /// request has run.
  bool atMostOnce_ = false;
  /// Address of the engine that the target copies the shared beginning from,
  /// or empty.
  std::string copyFrom_;
  /// Connections that this router may keep to the target.
  int maxConnections_ = 0;
};

/// Close the attempt's connection.
struct AbortAttempt
{
  RequestId request_ = 0;
  int attempt_ = 0;
};

/// The caller gets no (more of an) answer from a target. Where the answer has
/// begun, the connection ends without the answer's end.
struct FailRequest
{
  RequestId request_ = 0;
  int status_ = 503;
  /// When to come back; zero: not told.
  Duration retryAfter_{};
  std::string code_;
};

struct RouterEndpoint
{
  std::string host_;
  std::uint16_t port_ = 0;
};

/// Send the same message to other routers.
struct SendToRouters
{
  std::vector<RouterEndpoint> routers_;
  wire::Envelope envelope_;
};

/// A peer has a newer configuration, here in its encoded form.
struct ApplyConfiguration
{
  std::string text_;
  Instant asOf_{};
};

/// News of a list that a router near by has read.
struct ApplyListNews
{
  SharedList list_ = SharedList::kTargets;
  wire::ListNews news_;
};

using ForwardingEffect = std::variant<SendAttempt,
                                      AbortAttempt,
                                      FailRequest,
                                      SendToRouters,
                                      ApplyConfiguration,
                                      ApplyListNews>;

using ForwardingEffects = std::vector<ForwardingEffect>;

} // namespace burdockring

#endif
