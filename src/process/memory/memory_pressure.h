#ifndef BURDOCKRING_PROCESS_MEMORY_MEMORY_PRESSURE_H
#define BURDOCKRING_PROCESS_MEMORY_MEMORY_PRESSURE_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace burdockring {

/// What a router does as its memory budget fills. Each level includes those
/// before it.
enum class MemoryLevel
{
  kFree,
  /// The slowest request bodies are not read on, and neither are responses
  /// whose callers don't read them.
  kBackpressure,
  /// New large bodies are rejected.
  kReject,
  /// The worst holders are closed.
  kClose,
};

/// The level's name in the log.
auto MemoryLevelName(MemoryLevel aLevel) -> std::string_view;

/// A request body that is being received.
struct BodyInProgress
{
  std::uint64_t id_ = 0;
  std::size_t received_ = 0;
  /// Bytes that may still come.
  std::size_t remaining_ = 0;
  /// Time in which the body has been read, without that in which the router
  /// did not read it.
  Duration reading_{};
};

/// A connection whose bytes can be given up: an incomplete request, or a
/// response that its caller does not read. Requests that targets work on are
/// none, as their outcome would be unknown.
struct MemoryHolder
{
  std::uint64_t id_ = 0;
  std::size_t bytes_ = 0;
  /// Time since it last made progress.
  Duration stalled_{};
};

/// Decides whose bytes a router gives up when clients hold more memory than it
/// has to spare: many large bodies that stop short of their end, many heads or
/// chunks that never become a request, and responses that nobody reads.
///
/// Bodies are read on only as far as all of them fit together, fastest first,
/// so that some complete and free their memory. If that is not enough, the
/// holders with the largest product of bytes and time without progress are
/// closed: they cost most and are least likely to complete.
class MemoryPressure
{
public:
  /// Bodies and holders up to this size are not paused, rejected at kReject or
  /// closed while they make progress. Ordinary requests are smaller.
  static constexpr std::size_t kSmall = 32U << 10U;
  /// A small holder without progress for this long may be closed as well.
  static constexpr Duration kSmallStall = 1s;

private:
  std::size_t limit_;

public:
  explicit MemoryPressure(std::size_t aLimit);

  [[nodiscard]] auto Limit() const -> std::size_t;
  [[nodiscard]] auto LevelAt(std::size_t aHeld) const -> MemoryLevel;
  /// Whether a holder of aOwn bytes may buffer aMore. Large holders stop where
  /// kClose begins; the rest is for small ones.
  [[nodiscard]] auto MayHold(std::size_t aHeld,
                             std::size_t aOwn,
                             std::size_t aMore) const -> bool;
  /// Whether a new body of this size is accepted.
  [[nodiscard]] auto MayBegin(std::size_t aHeld, std::size_t aExpected) const
    -> bool;
  /// Ids of the bodies that are not read for now.
  [[nodiscard]] auto SelectPaused(std::size_t aHeld,
                                  std::vector<BodyInProgress> aBodies) const
    -> std::vector<std::uint64_t>;
  /// Ids of the holders that are closed, worst first, so that the level is
  /// below kClose and aNeeded more bytes fit as far as possible.
  [[nodiscard]] auto SelectClosed(std::size_t aHeld,
                                  std::size_t aNeeded,
                                  std::vector<MemoryHolder> aHolders) const
    -> std::vector<std::uint64_t>;
};

} // namespace burdockring

#endif
