#ifndef BURDOCKRING_PROCESS_QUARANTINE_STORED_QUARANTINE_H
#define BURDOCKRING_PROCESS_QUARANTINE_STORED_QUARANTINE_H

#include "base/time.h"
#include "process/quarantine/part_ids.h"

namespace burdockring {

/// A quarantine as the store keeps it, for the case that all leads are lost.
struct StoredQuarantine
{
  /// Ascending.
  PartIds parts_;
  /// Time until requests with the parts are tried again, when it was stored.
  /// No time of day, as the clocks of VMs differ and may jump.
  Duration remaining_{};
  int renewals_ = 0;
};

/// Store a quarantine, or delete it if it is no longer in force.
struct StoreQuarantine
{
  StoredQuarantine quarantine_;
  bool isInForce_ = true;
};

} // namespace burdockring

#endif
