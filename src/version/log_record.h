#ifndef BURDOCKRING_VERSION_LOG_RECORD_H
#define BURDOCKRING_VERSION_LOG_RECORD_H

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockring {

/// Offset of a payload in the platform's shared log.
using LogOffset = std::int64_t;

/// Configuration version; 0 is the empty set before the first change.
using ConfigNumber = std::int64_t;

/// An operator's change: the complete new set and the version it is based on.
struct ConfigChange
{
  std::string changeId_;
  ConfigNumber base_ = 0;
  std::string operator_;
  std::string text_;
};

/// The current set, rewritten before log retention removes the original.
struct ConfigSnapshot
{
  ConfigNumber version_ = 0;
  /// The last offset that the writer had decided.
  LogOffset decidedTo_ = -1;
  std::string changeId_;
  std::string text_;
};

/// Identifies one attempt to claim an idempotency key. Never reused.
struct AttemptId
{
  RouterId router_;
  std::int64_t incarnation_ = 0;
  std::int64_t sequence_ = 0;

  auto operator<=>(const AttemptId&) const = default;
};

struct ClaimRecord
{
  std::string key_;
  AttemptId attempt_;
  /// Timestamp within the key, in milliseconds since the Unix epoch.
  std::int64_t keyMillis_ = 0;
};

enum class OutcomeKind
{
  kDone,
  kNotRun,
  kUnknown,
};

struct OutcomeRecord
{
  std::string key_;
  AttemptId attempt_;
  OutcomeKind kind_ = OutcomeKind::kUnknown;
  int status_ = 0;
  std::string body_;
};

/// An exclusive lease on controlling a resource. Its log offset is the fencing
/// token.
struct LeaseRecord
{
  std::string resource_;
  AttemptId holder_;
  Duration length_{};
};

using LogRecord = std::variant<ConfigChange,
                               ConfigSnapshot,
                               ClaimRecord,
                               OutcomeRecord,
                               LeaseRecord>;

/// A raw payload read from the log.
struct LogEntry
{
  LogOffset offset_ = 0;
  std::string payload_;
};

/// Encodes the records as one payload, a JSON array.
auto EncodeRecords(const std::vector<LogRecord>& aRecords) -> std::string;

/// Decodes a payload. A malformed payload gives InvalidArgument as a whole:
/// none of its records is used.
auto DecodeRecords(std::string_view aPayload)
  -> absl::StatusOr<std::vector<LogRecord>>;

/// Makes a change id that depends only on base and text, so that a republished
/// change is recognized as a duplicate.
auto MakeChangeId(ConfigNumber aBase, std::string_view aText) -> std::string;

} // namespace burdockring

#endif
