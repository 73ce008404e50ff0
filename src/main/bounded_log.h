#ifndef BURDOCKRING_MAIN_BOUNDED_LOG_H
#define BURDOCKRING_MAIN_BOUNDED_LOG_H

#include "base/time.h"
#include "process/forwarding/event_log.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace burdockring {

/// Structured lines to standard output, one JSON object each. Lines wait in a
/// bounded buffer and are written without blocking; what doesn't fit, or comes
/// faster than kMaxLinesPerSecond, is dropped and counted in a line of its own.
class BoundedLog : public EventLog
{
  static constexpr std::size_t kMaxBytes = 256U << 10U;
  static constexpr std::int64_t kMaxLinesPerSecond = 200;

  std::string node_;
  std::string pending_;
  std::int64_t dropped_ = 0;
  std::int64_t droppedTotal_ = 0;
  std::int64_t lines_ = 0;
  Instant second_{};

  auto Append(const std::string& aLine) -> void;

public:
  explicit BoundedLog(std::string aNode);
  ~BoundedLog() override;

  auto Write(std::string_view aEvent, std::initializer_list<LogField> aFields)
    -> void override;
  /// Writes what standard output takes now.
  auto Flush() -> void;
  [[nodiscard]] auto DroppedTotal() const -> std::int64_t;
};

} // namespace burdockring

#endif
