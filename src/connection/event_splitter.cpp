#include "connection/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace burdockring {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdName = "id:";

/// The id that a line beginning at aAt names, if it is a line with an id.
auto IdAt(std::string_view aEvents, std::size_t aAt)
  -> std::optional<std::uint64_t>
{
  if (aAt != 0 && aEvents[aAt - 1] != '\n') {
    return std::nullopt;
  }
  auto line = aEvents.substr(aAt + kIdName.size());
  line = line.substr(0, line.find('\n'));
  line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
  std::uint64_t id = 0;
  const auto parsed =
    std::from_chars(line.data(), line.data() + line.size(), id);
  return parsed.ec == std::errc() ? std::optional(id) : std::nullopt;
}

} // namespace

auto EventSplitter::NoteIds(std::string_view aEvents) -> void
{
  // Ids rise, so the last line that bears one counts.
  for (auto at = aEvents.rfind(kIdName); at != std::string_view::npos;
       at = at == 0 ? std::string_view::npos : aEvents.rfind(kIdName, at - 1)) {
    if (const auto id = IdAt(aEvents, at)) {
      lastEvent_ = id;
      return;
    }
  }
}

auto EventSplitter::FirstEventOf(std::string_view aEvents)
  -> std::optional<std::uint64_t>
{
  for (auto at = aEvents.find(kIdName); at != std::string_view::npos;
       at = aEvents.find(kIdName, at + 1)) {
    if (const auto id = IdAt(aEvents, at)) {
      return id;
    }
  }
  return std::nullopt;
}

auto EventSplitter::CountEvents(std::string_view aEvents) -> int
{
  int count = 0;
  for (auto at = aEvents.find(kEventEnd); at != std::string_view::npos;
       at = aEvents.find(kEventEnd, at + kEventEnd.size())) {
    ++count;
  }
  return count;
}

auto EventSplitter::Take(std::string aBytes) -> std::string
{
  // Only the new bytes and the one before them can hold a new end.
  const auto searched = rest_.empty() ? 0 : rest_.size() - 1;
  rest_ += aBytes;
  const auto found = std::string_view(rest_).substr(searched).rfind(kEventEnd);
  const auto end =
    found == std::string_view::npos ? std::string::npos : searched + found;
  if (end == std::string::npos) {
    return {};
  }
  auto whole = rest_.substr(0, end + kEventEnd.size());
  rest_.erase(0, whole.size());
  NoteIds(whole);
  return whole;
}

auto EventSplitter::IsTooLong() const -> bool
{
  return rest_.size() > kMaxEventBytes;
}

auto EventSplitter::IsInsideEvent() const -> bool
{
  return !rest_.empty();
}

auto EventSplitter::RestMemory() const -> std::size_t
{
  return rest_.capacity();
}

auto EventSplitter::DropRest() -> void
{
  rest_.clear();
}

auto EventSplitter::LastEvent() const -> std::optional<std::uint64_t>
{
  return lastEvent_;
}

} // namespace burdockring
