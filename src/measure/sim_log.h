#ifndef BURDOCKRING_MEASURE_SIM_LOG_H
#define BURDOCKRING_MEASURE_SIM_LOG_H

#include "process/node/node_events.h"

#include <deque>
#include <string>

namespace burdockring {

/// A fake of the platform's log, in memory, with limited retention.
class SimLog
{
  std::deque<std::string> payloads_;
  LogOffset first_ = 0;
  std::int64_t appends_ = 0;

public:
  bool down_ = false;
  /// How many of the next replies are lost after the append took effect.
  int loseReplies_ = 0;

  /// Appends; false where the reply was lost or the log is down.
  auto Append(std::string aPayload) -> bool;
  /// What a reader at aFrom gets.
  [[nodiscard]] auto Read(LogOffset aFrom) const -> LogRead;
  /// Forgets everything before an offset.
  auto Forget(LogOffset aBefore) -> void;
  [[nodiscard]] auto End() const -> LogOffset;
  [[nodiscard]] auto Appends() const -> std::int64_t;
};

} // namespace burdockring

#endif
