#ifndef BURDOCKRING_BASE_BOOT_CLOCK_H
#define BURDOCKRING_BASE_BOOT_CLOCK_H

#include "base/time.h"

namespace burdockring {

/// Time since the VM booted, including time spent suspended, so that the age of
/// data recorded before a suspension is computed correctly.
auto BootNow() -> Instant;

} // namespace burdockring

#endif
