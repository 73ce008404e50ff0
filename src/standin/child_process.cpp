#include "standin/child_process.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace burdockring {

auto ChildProcess::TakeStatus(int aStatus) -> void
{
  id_ = 0;
  exitCode_ = WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : -1;
}

ChildProcess::~ChildProcess()
{
  Signal(SIGKILL);
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : id_(std::exchange(aOther.id_, 0))
  , exitCode_(aOther.exitCode_)
{
}

auto ChildProcess::operator=(ChildProcess&& aOther) noexcept -> ChildProcess&
{
  std::swap(id_, aOther.id_);
  std::swap(exitCode_, aOther.exitCode_);
  return *this;
}

auto ChildProcess::Start(const std::string& aProgram,
                         const std::vector<std::string>& aArguments,
                         const std::string& aOutput) -> absl::Status
{
  std::vector<char*> words{ const_cast<char*>(aProgram.c_str()) };
  for (const auto& argument : aArguments) {
    words.push_back(const_cast<char*>(argument.c_str()));
  }
  words.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, aOutput.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&id_, aProgram.c_str(), &actions, nullptr,
                                words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    id_ = 0;
    return absl::UnavailableError("cannot start " + aProgram + ": " +
                                  std::strerror(error));
  }
  return absl::OkStatus();
}

auto ChildProcess::Signal(int aSignal) -> void
{
  if (id_ == 0) {
    return;
  }
  kill(id_, aSignal);
  if (aSignal == SIGKILL) {
    int status = 0;
    waitpid(id_, &status, 0);
    TakeStatus(status);
  }
}

auto ChildProcess::IsRunning() -> bool
{
  int status = 0;
  if (id_ != 0 && waitpid(id_, &status, WNOHANG) == id_) {
    TakeStatus(status);
  }
  return id_ != 0;
}

auto ChildProcess::Id() const -> pid_t
{
  return id_;
}

auto ChildProcess::ExitCode() const -> int
{
  return exitCode_;
}

} // namespace burdockring
