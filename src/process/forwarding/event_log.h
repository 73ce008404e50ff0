#ifndef BURDOCKRING_PROCESS_FORWARDING_EVENT_LOG_H
#define BURDOCKRING_PROCESS_FORWARDING_EVENT_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

namespace burdockring {

/// A named field of a log line.
struct LogField
{
  std::string_view name_;
  std::variant<std::string_view, std::int64_t, double> value_;
};

/// Receives structured log lines. Writing never blocks; lines that exceed the
/// buffer are dropped and counted.
class EventLog
{
public:
  EventLog() = default;
  virtual ~EventLog() = default;
  EventLog(const EventLog&) = delete;
  auto operator=(const EventLog&) -> EventLog& = delete;

  virtual auto Write(std::string_view aEvent,
                     std::initializer_list<LogField> aFields) -> void = 0;
};

} // namespace burdockring

#endif
