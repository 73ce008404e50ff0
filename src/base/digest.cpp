#include "base/digest.h"

#include <array>
#include <openssl/sha.h>

namespace burdockring {

auto Sha256Hex(std::string_view aBytes) -> std::string
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()), aBytes.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const auto byte : digest) {
    hex.push_back(kDigits[byte >> 4U]);
    hex.push_back(kDigits[byte & 0xFU]);
  }
  return hex;
}

} // namespace burdockring
