#include "process/quarantine/part_ids.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cstddef>

namespace burdockring {
namespace {

constexpr std::size_t kIdBytes = 8;
constexpr unsigned kBitsInByte = 8;
/// Ids that a log line lists at most.
constexpr std::size_t kMaxLoggedParts = 8;

} // namespace

auto SharedPartIds(const std::vector<PromptPart>& aParts) -> PartIds
{
  PartIds ids;
  for (std::size_t i = 0; i + 1 < aParts.size(); ++i) {
    ids.push_back(aParts[i].id_);
  }
  return ids;
}

auto EncodePartIds(const PartIds& aParts) -> std::string
{
  std::string bytes;
  bytes.reserve(aParts.size() * kIdBytes);
  for (const auto part : aParts) {
    for (unsigned i = 0; i < kIdBytes; ++i) {
      bytes += static_cast<char>(part >> (i * kBitsInByte));
    }
  }
  return bytes;
}

auto DecodePartIds(const std::string& aBytes) -> std::optional<PartIds>
{
  if (aBytes.size() % kIdBytes != 0) {
    return std::nullopt;
  }
  PartIds parts(aBytes.size() / kIdBytes);
  for (std::size_t i = 0; i < aBytes.size(); ++i) {
    const auto byte = static_cast<unsigned char>(aBytes[i]);
    parts[i / kIdBytes] |= std::uint64_t{ byte }
                           << (i % kIdBytes * kBitsInByte);
  }
  return parts;
}

auto PartIdsText(const PartIds& aParts) -> std::string
{
  std::string text;
  for (std::size_t i = 0; i < std::min(aParts.size(), kMaxLoggedParts); ++i) {
    absl::StrAppend(&text, i == 0 ? "" : ",", absl::Hex(aParts[i]));
  }
  return text;
}

} // namespace burdockring
