#ifndef BURDOCKRING_BASE_DIGEST_H
#define BURDOCKRING_BASE_DIGEST_H

#include <string>
#include <string_view>

namespace burdockring {

/// SHA-256 of `aBytes`, as 64 lowercase hexadecimal digits.
auto Sha256Hex(std::string_view aBytes) -> std::string;

} // namespace burdockring

#endif
