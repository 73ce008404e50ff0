#ifndef BURDOCKRING_MAIN_LOG_LINES_H
#define BURDOCKRING_MAIN_LOG_LINES_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockring {

enum class LogLevel
{
  kInfo,
  kWarning,
  kError,
};

/// Sets what is written to standard error: lines of this level and above.
auto SetUpLogging(std::string_view aLevel) -> void;

/// Writes one JSON line for a change of state.
auto LogStateChange(LogLevel aLevel,
                    std::string_view aRouter,
                    std::string_view aComponent,
                    std::string_view aSubject,
                    std::string_view aChange) -> void;

} // namespace burdockring

#endif
