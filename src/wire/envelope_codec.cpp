#include "wire/envelope_codec.h"

#include "absl/status/status.h"
#include "wire/row_columns.h"

#include <exception>
#include <memory>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace burdockring::wire {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

auto HasRows(const Envelope& aEnvelope) -> bool
{
  const auto& set = aEnvelope.__isset;
  return set.demand || set.grants || set.exchange || set.load;
}

} // namespace

auto EncodeEnvelope(const Envelope& aEnvelope) -> std::string
{
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  if (HasRows(aEnvelope)) {
    auto packed = aEnvelope;
    PackRows(&packed);
    packed.write(&protocol);
  } else {
    aEnvelope.write(&protocol);
  }
  return buffer->getBufferAsString();
}

auto DecodeEnvelope(std::string_view aBytes) -> absl::StatusOr<Envelope>
{
  if (aBytes.size() > kMaxEnvelopeBytes) {
    return absl::InvalidArgumentError("peer message is too large");
  }
  const auto limits = std::make_shared<TConfiguration>(
    static_cast<int>(kMaxEnvelopeBytes), static_cast<int>(kMaxEnvelopeBytes));
  // The buffer is only read; Thrift's constructor takes a mutable pointer.
  auto buffer = std::make_shared<TMemoryBuffer>(
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data())),
    static_cast<std::uint32_t>(aBytes.size()), TMemoryBuffer::OBSERVE, limits);
  TCompactProtocolT<TMemoryBuffer> protocol(
    buffer, static_cast<std::int32_t>(kMaxEnvelopeBytes),
    static_cast<std::int32_t>(kMaxEnvelopeBytes));
  Envelope envelope;
  try {
    envelope.read(&protocol);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  if (buffer->available_read() != 0) {
    return absl::InvalidArgumentError("peer message has bytes left over");
  }
  const auto status = UnpackRows(&envelope);
  if (!status.ok()) {
    return status;
  }
  return envelope;
}

} // namespace burdockring::wire
