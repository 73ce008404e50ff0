#ifndef BURDOCKRING_STANDIN_CHILD_PROCESS_H
#define BURDOCKRING_STANDIN_CHILD_PROCESS_H

#include "absl/status/status.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace burdockring {

/// One program that runs beside this one, for fleets of real processes. It
/// inherits no descriptor but the standard ones, and is killed with its object.
class ChildProcess
{
  pid_t id_ = 0;
  int exitCode_ = -1;

  auto TakeStatus(int aStatus) -> void;

public:
  ChildProcess() = default;
  ~ChildProcess();
  ChildProcess(ChildProcess&& aOther) noexcept;
  auto operator=(ChildProcess&& aOther) noexcept -> ChildProcess&;
  ChildProcess(const ChildProcess&) = delete;
  auto operator=(const ChildProcess&) -> ChildProcess& = delete;

  /// Starts a program; its standard output is appended to the file.
  auto Start(const std::string& aProgram,
             const std::vector<std::string>& aArguments,
             const std::string& aOutput) -> absl::Status;
  /// Sends a signal; SIGKILL also waits for the end.
  auto Signal(int aSignal) -> void;
  /// Whether it runs, paused or not.
  auto IsRunning() -> bool;
  /// Its id in the system.
  [[nodiscard]] auto Id() const -> pid_t;
  /// The code that it ended with, or -1.
  [[nodiscard]] auto ExitCode() const -> int;
};

} // namespace burdockring

#endif
