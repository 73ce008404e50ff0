#ifndef BURDOCKRING_CONNECTION_PROTOCOL_ADAPTER_H
#define BURDOCKRING_CONNECTION_PROTOCOL_ADAPTER_H

#include "base/http_fields.h"
#include "process/forwarding/forwarding_effects.h"
#include "request/request_metadata.h"

namespace burdockring {

/// The header fields that callers and targets speak: turns them into the
/// product's own types, and back. One adapter for each deployment's protocol.
class ProtocolAdapter
{
public:
  ProtocolAdapter() = default;
  virtual ~ProtocolAdapter() = default;
  ProtocolAdapter(const ProtocolAdapter&) = delete;
  auto operator=(const ProtocolAdapter&) -> ProtocolAdapter& = delete;

  [[nodiscard]] virtual auto ReadRequest(const HttpFields& aFields) const
    -> RequestMetadata = 0;
  [[nodiscard]] virtual auto ReadAnswer(int aStatus,
                                        const HttpFields& aFields) const
    -> ResponseMetadata = 0;
  /// The caller's end-to-end fields as a target must see them.
  [[nodiscard]] virtual auto TargetFields(const HttpFields& aFromCaller,
                                          const SendAttempt& aAttempt) const
    -> HttpFields = 0;
  /// Fields of an answer of the router's own.
  [[nodiscard]] virtual auto RefusalFields(const FailRequest& aRefusal) const
    -> HttpFields = 0;
};

} // namespace burdockring

#endif
