#ifndef BURDOCKRING_BASE_TIME_H
#define BURDOCKRING_BASE_TIME_H

#include <chrono>

namespace burdockring {

using namespace std::chrono_literals;

using Duration = std::chrono::microseconds;

/// A point in time on a process's monotonic clock, as time since the clock's
/// start.
using Instant = std::chrono::microseconds;

/// Wall-clock time since the Unix epoch. Used only for key ages.
using WallTime = std::chrono::milliseconds;

} // namespace burdockring

#endif
