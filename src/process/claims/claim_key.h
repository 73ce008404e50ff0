#ifndef BURDOCKRING_PROCESS_CLAIMS_CLAIM_KEY_H
#define BURDOCKRING_PROCESS_CLAIMS_CLAIM_KEY_H

#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace burdockring {

/// Returns the timestamp of a UUIDv7, or nothing if the text is not a UUIDv7.
auto ParseKeyTime(std::string_view aUuid) -> std::optional<WallTime>;

/// Returns the key's name in the log. It contains the account, so equal UUIDs
/// of two accounts never collide.
auto MakeClaimKey(AccountId aAccount, std::string_view aUuid) -> std::string;

/// Creates a UUIDv7 from a timestamp and random bits, for tools and tests.
auto MakeUuid7(WallTime aTime, std::uint64_t aHigh, std::uint64_t aLow)
  -> std::string;

} // namespace burdockring

#endif
