#ifndef BURDOCKRING_PROCESS_QUARANTINE_PART_IDS_H
#define BURDOCKRING_PROCESS_QUARANTINE_PART_IDS_H

#include "request/request_metadata.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockring {

using PartIds = std::vector<std::uint64_t>;

/// Ids of the parts that other requests may share: all but the last, which
/// belongs to the request itself.
auto SharedPartIds(const std::vector<PromptPart>& aParts) -> PartIds;

/// Encodes ids for a message: eight bytes each, the lowest first.
auto EncodePartIds(const PartIds& aParts) -> std::string;
/// Decodes ids; empty if the bytes are not a whole number of ids.
auto DecodePartIds(const std::string& aBytes) -> std::optional<PartIds>;

/// Text for a log line: hexadecimal, separated by commas. Long lists are cut.
auto PartIdsText(const PartIds& aParts) -> std::string;

} // namespace burdockring

#endif
