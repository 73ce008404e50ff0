#ifndef BURDOCKRING_PROCESS_NODE_REQUEST_TABLE_H
#define BURDOCKRING_PROCESS_NODE_REQUEST_TABLE_H

#include "process/node/node_events.h"
#include "request/request_state_machine.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace burdockring {

/// State of one request from its arrival to the final response.
struct RequestRecord
{
  RequestArrived arrival_;
  /// The configuration at arrival, which applies until the request ends.
  ConfigSetPointer set_;
  RequestStateMachine machine_;
  bool hasKey_ = false;
  bool isRetryable_ = false;
  Instant arrivedAt_{};
  Instant deadline_{};
  int attempt_ = 0;
  /// Number of attempts of which bytes may have reached a target.
  int sentAttempts_ = 0;
  Instant attemptStart_{};
  TargetId target_;
  ZoneId zone_;
  double chargedTokens_ = 0;
  double estimatedTokens_ = 0;
  int tokens_ = 0;
  int attemptStartTokens_ = 0;
};

/// The unfinished requests of a router.
class RequestTable
{
  std::map<RequestId, RequestRecord> records_;

public:
  auto Add(RequestRecord aRecord) -> RequestRecord&;
  /// Returns the record, or null if there is none.
  auto Find(RequestId aId) -> RequestRecord*;
  /// Returns the record if aAttempt is its active attempt, or null.
  auto FindAttempt(RequestId aId, int aAttempt) -> RequestRecord*;
  auto Erase(RequestId aId) -> void;
  [[nodiscard]] auto Size() const -> std::size_t;
};

} // namespace burdockring

#endif
