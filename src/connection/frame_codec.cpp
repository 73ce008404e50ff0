#include "connection/frame_codec.h"

#include "wire/envelope_codec.h"

#include "absl/status/status.h"

#include <boost/endian/conversion.hpp>

namespace burdockring {

auto EncodeFrame(std::string_view aMessage) -> std::string
{
  FrameHeader header{};
  boost::endian::store_big_u32(header.data(),
                               static_cast<std::uint32_t>(aMessage.size()));
  std::string frame(header.begin(), header.end());
  frame += aMessage;
  return frame;
}

auto DecodeFrameLength(const FrameHeader& aHeader)
  -> absl::StatusOr<std::size_t>
{
  const std::size_t length = boost::endian::load_big_u32(aHeader.data());
  if (length == 0 || length > wire::kMaxEnvelopeBytes) {
    return absl::InvalidArgumentError("bad frame length");
  }
  return length;
}

} // namespace burdockring
