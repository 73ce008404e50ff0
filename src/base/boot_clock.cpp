#include "base/boot_clock.h"

#include <ctime>

namespace burdockring {

auto BootNow() -> Instant
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Instant>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace burdockring
