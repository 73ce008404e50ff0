#ifndef BURDOCKRING_CONNECTION_EVENT_SPLITTER_H
#define BURDOCKRING_CONNECTION_EVENT_SPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockring {

/// Splits a stream of events into whole events, so that a stream that breaks in
/// the middle of an event can be resumed after the last whole one.
class EventSplitter
{
  /// Longer events are treated as endless.
  static constexpr std::size_t kMaxEventBytes = 256U << 10U;

  std::string rest_;
  std::optional<std::uint64_t> lastEvent_;

  auto NoteIds(std::string_view aEvents) -> void;

public:
  /// Adds bytes and returns the whole events that they complete.
  auto Take(std::string aBytes) -> std::string;
  /// Whether the incomplete event exceeds the maximum length.
  [[nodiscard]] auto IsTooLong() const -> bool;
  /// Whether the bytes so far end inside an event.
  [[nodiscard]] auto IsInsideEvent() const -> bool;
  /// Bytes of memory that the incomplete event takes.
  [[nodiscard]] auto RestMemory() const -> std::size_t;
  /// Drops the bytes after the last whole event.
  auto DropRest() -> void;
  /// The id of the first event of aEvents that has one.
  [[nodiscard]] static auto FirstEventOf(std::string_view aEvents)
    -> std::optional<std::uint64_t>;
  /// The number of events in aEvents, which are whole.
  [[nodiscard]] static auto CountEvents(std::string_view aEvents) -> int;
  /// The id of the last whole event that bore one.
  [[nodiscard]] auto LastEvent() const -> std::optional<std::uint64_t>;
};

} // namespace burdockring

#endif
