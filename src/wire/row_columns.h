#ifndef BURDOCKRING_WIRE_ROW_COLUMNS_H
#define BURDOCKRING_WIRE_ROW_COLUMNS_H

#include "absl/status/status.h"
#include "peer_types.h"

namespace burdockring::wire {

/// Moves the rows of a message into columns, for sending. Rows of demand with
/// optional fields stay rows.
auto PackRows(Envelope* aEnvelope) -> void;

/// Moves columns back into rows, behind those that came as rows. Columns of
/// unequal lengths give InvalidArgument.
auto UnpackRows(Envelope* aEnvelope) -> absl::Status;

} // namespace burdockring::wire

#endif
