#include "main/bounded_log.h"

#include "base/boot_clock.h"

#include <cerrno>
#include <easylogging++.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <utility>

namespace burdockring {
namespace {

constexpr const char* kDispatchName = "BoundedLog";

/// Where the logging library's lines go; one log in a process.
std::string* gPending = nullptr;

/// Hands the library's formatted lines to the bounded buffer.
class BufferDispatch : public el::LogDispatchCallback
{
protected:
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto handle(const el::LogDispatchData* aData) -> void override
  {
    if (gPending != nullptr) {
      const auto* message = aData->logMessage();
      *gPending += message->logger()->logBuilder()->build(message, true);
    }
  }
};

auto SetField(nlohmann::ordered_json* aLine, const LogField& aField) -> void
{
  std::visit(
    [&](const auto& aValue) { (*aLine)[std::string(aField.name_)] = aValue; },
    aField.value_);
}

} // namespace

auto BoundedLog::Append(const std::string& aLine) -> void
{
  if (pending_.size() + aLine.size() > kMaxBytes) {
    ++dropped_;
    ++droppedTotal_;
    return;
  }
  LOG(INFO) << aLine;
}

BoundedLog::BoundedLog(std::string aNode)
  : node_(std::move(aNode))
{
  gPending = &pending_;
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(
    el::ConfigurationType::Format,
    "{\"time\":\"%datetime{%Y-%M-%dT%H:%m:%s.%g}\",%msg}");
  el::Loggers::reconfigureAllLoggers(configurations);
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<BufferDispatch>(kDispatchName);
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

BoundedLog::~BoundedLog()
{
  Flush();
  gPending = nullptr;
  el::Helpers::uninstallLogDispatchCallback<BufferDispatch>(kDispatchName);
}

auto BoundedLog::Write(std::string_view aEvent,
                       std::initializer_list<LogField> aFields) -> void
{
  const auto now = BootNow();
  if (now - second_ >= 1s) {
    second_ = now;
    lines_ = 0;
    if (const auto dropped = std::exchange(dropped_, 0); dropped > 0) {
      Write("lines_dropped", { { "lines", dropped } });
    }
  }
  if (++lines_ > kMaxLinesPerSecond) {
    ++dropped_;
    ++droppedTotal_;
    return;
  }
  nlohmann::ordered_json line;
  line["node"] = node_;
  line["event"] = aEvent;
  for (const auto& field : aFields) {
    SetField(&line, field);
  }
  const auto text =
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // The format adds the time and the braces.
  Append(text.substr(1, text.size() - 2));
}

auto BoundedLog::Flush() -> void
{
  while (!pending_.empty()) {
    const auto written =
      ::write(STDOUT_FILENO, pending_.data(), pending_.size());
    if (written > 0) {
      pending_.erase(0, static_cast<std::size_t>(written));
      continue;
    }
    if (written < 0 && errno == EINTR) {
      continue;
    }
    // Full: the rest waits for the next flush.
    return;
  }
}

auto BoundedLog::DroppedTotal() const -> std::int64_t
{
  return droppedTotal_;
}

} // namespace burdockring
