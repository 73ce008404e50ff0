#ifndef BURDOCKRING_WIRE_ENVELOPE_CODEC_H
#define BURDOCKRING_WIRE_ENVELOPE_CODEC_H

#include "absl/status/statusor.h"
#include "peer_types.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace burdockring::wire {

/// Largest encoded message that a router accepts from a peer, in bytes.
inline constexpr std::size_t kMaxEnvelopeBytes = 4U << 20U;

/// Encodes a message in Thrift's compact protocol, without framing.
auto EncodeEnvelope(const Envelope& aEnvelope) -> std::string;

/// Decodes one message. Bytes that are no message, or that leave a rest, give
/// InvalidArgument.
auto DecodeEnvelope(std::string_view aBytes) -> absl::StatusOr<Envelope>;

} // namespace burdockring::wire

#endif
