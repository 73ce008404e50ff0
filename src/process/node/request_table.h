#ifndef BURDOCKRING_PROCESS_NODE_REQUEST_TABLE_H
#define BURDOCKRING_PROCESS_NODE_REQUEST_TABLE_H

#include "process/node/node_events.h"
#include "request/request_machine.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace burdockring {

/// What a router knows of one request, from its arrival to its last word.
struct RequestRecord
{
  RequestArrived arrival_;
  /// The configuration that the request began on and ends on.
  ConfigSetPointer set_;
  RequestStateMachine machine_;
  bool hasKey_ = false;
  bool isRetryable_ = false;
  Instant arrivedAt_{};
  Instant deadline_{};
  int attempt_ = 0;
  /// Attempts whose bytes may have reached a target.
  int sentAttempts_ = 0;
  Instant attemptStart_{};
  TargetId target_;
  ZoneId zone_;
  double chargedTokens_ = 0;
  double estimatedTokens_ = 0;
  int tokens_ = 0;
  int attemptStartTokens_ = 0;
};

/// The requests that a router has not finished.
class RequestTable
{
  std::map<RequestId, RequestRecord> records_;

public:
  auto Add(RequestRecord aRecord) -> RequestRecord&;
  /// The record, or null.
  auto Find(RequestId aId) -> RequestRecord*;
  /// The record if this is its current attempt, or null.
  auto FindAttempt(RequestId aId, int aAttempt) -> RequestRecord*;
  auto Erase(RequestId aId) -> void;
  [[nodiscard]] auto Size() const -> std::size_t;
};

} // namespace burdockring

#endif
