#ifndef BURDOCKRING_ADAPTER_LOG_CLIENT_H
#define BURDOCKRING_ADAPTER_LOG_CLIENT_H

#include "absl/status/statusor.h"
#include "adapter/http_fetch.h"
#include "version/log_record.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace burdockring {

/// Payloads read from the log.
struct LogBatch
{
  LogOffset first_ = 0;
  LogOffset next_ = 0;
  /// The offset that the log's next append gets.
  LogOffset end_ = 0;
  std::vector<LogEntry> entries_;
};

/// Talks to the platform's log service: POST /v1/append takes a payload and
/// gives its offset; GET /v1/read?from=N&wait_ms=M gives what is there from
/// offset N on and waits up to M where there is nothing. Every call has a
/// connection of its own, so a connection gone silent costs one timeout.
class LogClient
{
  Endpoint endpoint_;

public:
  explicit LogClient(Endpoint aEndpoint);

  /// The offset of the payload. Unavailable says that it was not appended; any
  /// other error that it may have been.
  auto Append(std::string aPayload, Duration aTimeout) const
    -> boost::asio::awaitable<absl::StatusOr<LogOffset>>;
  auto Read(LogOffset aFrom, Duration aWait) const
    -> boost::asio::awaitable<absl::StatusOr<LogBatch>>;
  auto AppendBlocking(const std::string& aPayload, Duration aTimeout) const
    -> absl::StatusOr<LogOffset>;
  auto ReadBlocking(LogOffset aFrom, Duration aWait) const
    -> absl::StatusOr<LogBatch>;
};

} // namespace burdockring

#endif
