#ifndef BURDOCKRING_CONNECTION_FRAME_CODEC_H
#define BURDOCKRING_CONNECTION_FRAME_CODEC_H

#include "absl/status/statusor.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace burdockring {

/// Bytes of the length before each message between routers.
inline constexpr std::size_t kFrameHeaderBytes = 4;

using FrameHeader = std::array<unsigned char, kFrameHeaderBytes>;

/// Puts a big-endian length before the message.
auto EncodeFrame(std::string_view aMessage) -> std::string;

/// The length in a header; InvalidArgument where it is zero or too large.
auto DecodeFrameLength(const FrameHeader& aHeader)
  -> absl::StatusOr<std::size_t>;

} // namespace burdockring

#endif
