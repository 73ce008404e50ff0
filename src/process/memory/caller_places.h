#ifndef BURDOCKRING_PROCESS_MEMORY_CALLER_PLACES_H
#define BURDOCKRING_PROCESS_MEMORY_CALLER_PLACES_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace burdockring {

/// A caller's connection that holds a place without a whole request: it is
/// between two requests, or its request is incomplete.
struct PlaceHolder
{
  std::uint64_t id_ = 0;
  /// Time since the caller last sent something.
  Duration stalled_{};
  /// Time since its incomplete request began; zero between two requests.
  Duration reading_{};
};

/// Decides which connections of callers end when their number, which the
/// descriptors of the VM bound, comes close to its limit.
///
/// Load pattern: thousands of clients stop short of the end of their request
/// and stay, or send it slowly without end, while ordinary callers connect
/// anew. Those that send nothing end first, the longest without progress before
/// others; then the incomplete requests that have taken longest. A whole
/// request never ends for its place.
class CallerPlaces
{
public:
  /// Shortest time without progress, or in which a request comes, for which a
  /// connection may end.
  static constexpr Duration kMinStall = 1s;
  static constexpr Duration kMinReading = 2s;
  /// Part of the limit that is kept free for new callers.
  static constexpr std::size_t kReserveParts = 32;

private:
  std::size_t limit_;

  [[nodiscard]] auto Reserve() const -> std::size_t;

public:
  explicit CallerPlaces(std::size_t aLimit);

  /// Whether a further connection can be taken beside so many.
  [[nodiscard]] auto MayTake(std::size_t aTaken) const -> bool;
  /// Whether places should be freed.
  [[nodiscard]] auto IsShort(std::size_t aTaken) const -> bool;
  /// Ids of the connections that end, worst first, so that twice the reserve is
  /// free as far as possible.
  [[nodiscard]] auto SelectClosed(std::size_t aTaken,
                                  std::vector<PlaceHolder> aHolders) const
    -> std::vector<std::uint64_t>;
};

} // namespace burdockring

#endif
