#include "process/claims/claim_key.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>

namespace burdockring {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;

auto IsDashPosition(std::size_t aPosition) -> bool
{
  return aPosition == 8 || aPosition == 13 || aPosition == 18 ||
         aPosition == 23;
}

auto IsHexDigit(char aCharacter) -> bool
{
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'a' && aCharacter <= 'f') ||
         (aCharacter >= 'A' && aCharacter <= 'F');
}

} // namespace

auto ParseKeyTime(std::string_view aUuid) -> std::optional<WallTime>
{
  if (aUuid.size() != kUuidLength || aUuid[kVersionPosition] != '7') {
    return std::nullopt;
  }
  for (std::size_t position = 0; position < aUuid.size(); ++position) {
    const bool isValid = IsDashPosition(position) ? aUuid[position] == '-'
                                                  : IsHexDigit(aUuid[position]);
    if (!isValid) {
      return std::nullopt;
    }
  }
  const auto digits =
    std::string(aUuid.substr(0, 8)) + std::string(aUuid.substr(9, 4));
  std::int64_t millis = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), millis, 16);
  return WallTime(millis);
}

auto MakeClaimKey(AccountId aAccount, std::string_view aUuid) -> std::string
{
  auto key = std::to_string(static_cast<std::uint32_t>(aAccount.value_)) + ':';
  for (const auto character : aUuid) {
    const bool isUpper = character >= 'A' && character <= 'F';
    key.push_back(isUpper ? static_cast<char>(character - 'A' + 'a')
                          : character);
  }
  return key;
}

auto MakeUuid7(WallTime aTime, std::uint64_t aHigh, std::uint64_t aLow)
  -> std::string
{
  const auto millis = static_cast<std::uint64_t>(aTime.count());
  std::array<char, kUuidLength + 1> text{};
  std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-8%03x-%012llx",
                static_cast<unsigned>(millis >> 16U),
                static_cast<unsigned>(millis & 0xFFFFU),
                static_cast<unsigned>(aHigh & 0xFFFU),
                static_cast<unsigned>((aHigh >> 12U) & 0xFFFU),
                static_cast<unsigned long long>(aLow & 0xFFFFFFFFFFFFULL));
  return { text.data(), kUuidLength };
}

} // namespace burdockring
