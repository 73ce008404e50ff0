#ifndef BURDOCKRING_CONNECTION_EVENT_SPLITTER_H
#define BURDOCKRING_CONNECTION_EVENT_SPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockring {

/// Cuts a stream of events into whole events, so that a stream that breaks in
/// the middle of an event can go on behind the last whole one.
class EventSplitter
{
  /// An event that is longer never ends, as far as anybody should wait.
  static constexpr std::size_t kMaxEventBytes = 256U << 10U;

  std::string rest_;
  std::optional<std::uint64_t> lastEvent_;

  auto NoteIds(std::string_view aEvents) -> void;

public:
  /// Takes bytes and returns the whole events that they complete.
  auto Take(std::string aBytes) -> std::string;
  /// Whether the last event goes on for longer than any should.
  [[nodiscard]] auto IsTooLong() const -> bool;
  /// The bytes behind the last whole event; they are given up.
  auto DropRest() -> std::string;
  /// The id of the last whole event that bore one.
  [[nodiscard]] auto LastEvent() const -> std::optional<std::uint64_t>;
};

} // namespace burdockring

#endif
