#ifndef BURDOCKRING_PROCESS_FORWARDING_FORWARDING_EFFECTS_H
#define BURDOCKRING_PROCESS_FORWARDING_FORWARDING_EFFECTS_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"
#include "process/peers/read_scheduler.h"
#include "process/quarantine/stored_quarantine.h"

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
  /// Account name that is sent to the target, or empty.
  std::string account_;
  /// Time left until the caller's deadline.
  Duration patience_{};
  /// The last event that the caller received, if a stream is resumed.
  std::optional<std::uint64_t> lastEvent_;
  /// Whether the request must not be repeated, so that a broken connection
  /// leaves it unknown whether it has run.
  bool atMostOnce_ = false;
  /// Address of the engine that the target copies the cached prefix from, or
  /// empty.
  std::string copyFrom_;
  /// Maximum number of connections from this router to the target.
  int maxConnections_ = 0;
};

/// Close the connection of an attempt.
struct AbortAttempt
{
  RequestId request_ = 0;
  int attempt_ = 0;
};

/// End a request with an error. If the response has already started, the
/// caller's connection is closed before the response is complete.
struct FailRequest
{
  RequestId request_ = 0;
  int status_ = 503;
  /// When the caller should retry; zero: not sent.
  Duration retryAfter_{};
  std::string code_;
};

struct RouterEndpoint
{
  std::string host_;
  std::uint16_t port_ = 0;
};

/// Send one message to several routers.
struct SendToRouters
{
  std::vector<RouterEndpoint> routers_;
  wire::Envelope envelope_;
};

/// Apply a newer configuration, in encoded form, that a peer sent.
struct ApplyConfiguration
{
  std::string text_;
  Instant asOf_{};
};

/// Apply an update of a shared list that another router has read.
struct ApplyListNews
{
  SharedList list_ = SharedList::kTargets;
  wire::ListNews news_;
};

/// Record the gaps of a stream that has ended, for the metrics.
struct RecordEventGaps
{
  std::string route_;
  Duration longest_{};
  /// The route's limit; zero if it has none.
  Duration limit_{};
};

using ForwardingEffect = std::variant<SendAttempt,
                                      AbortAttempt,
                                      FailRequest,
                                      SendToRouters,
                                      ApplyConfiguration,
                                      ApplyListNews,
                                      RecordEventGaps,
                                      StoreQuarantine>;

using ForwardingEffects = std::vector<ForwardingEffect>;

} // namespace burdockring

#endif
