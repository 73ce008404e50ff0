#ifndef BURDOCKRING_BASE_IDS_H
#define BURDOCKRING_BASE_IDS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace burdockring {

/// A 32-bit hash of an object's name. A name has the same id in every process
/// and configuration version; `check` rejects a configuration set in which two
/// names of the same kind collide.
template<typename Tag>
struct Id
{
  std::int32_t value_ = 0;

  auto operator<=>(const Id&) const = default;
};

struct AccountTag;
struct ServiceTag;
struct TargetTag;
struct RouterTag;
struct ZoneTag;

using AccountId = Id<AccountTag>;
using ServiceId = Id<ServiceTag>;
using TargetId = Id<TargetTag>;
using RouterId = Id<RouterTag>;
using ZoneId = Id<ZoneTag>;

/// Identifies a caller's request within the router that accepted it.
using RequestId = std::uint64_t;

auto HashName(std::string_view aName) -> std::int32_t;

template<typename IdType>
auto MakeId(std::string_view aName) -> IdType
{
  return IdType{ HashName(aName) };
}

/// Rendezvous hashing score of a member for a key. The member with the highest
/// score is chosen, so adding or removing a member remaps only the keys that
/// are assigned to it.
auto RendezvousScore(std::int32_t aMember,
                     std::int32_t aKey,
                     std::int32_t aSalt) -> std::uint64_t;

} // namespace burdockring

#endif
