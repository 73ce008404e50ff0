#include "base/ids.h"

#include <array>
#include <xxhash.h>

namespace burdockring {

auto HashName(std::string_view aName) -> std::int32_t
{
  return static_cast<std::int32_t>(XXH32(aName.data(), aName.size(), 0));
}

auto RendezvousScore(std::int32_t aMember,
                     std::int32_t aKey,
                     std::int32_t aSalt) -> std::uint64_t
{
  const std::array<std::int32_t, 3> input{ aMember, aKey, aSalt };
  return XXH64(input.data(), sizeof(input), 0);
}

} // namespace burdockring
