#include "process/memory/caller_places.h"

#include <algorithm>
#include <tuple>

namespace burdockring {
namespace {

auto IsStalled(const PlaceHolder& aHolder) -> bool
{
  return aHolder.stalled_ >= CallerPlaces::kMinStall;
}

/// Orders stalled holders by the time since their last byte, then the others by
/// how long their request has been coming.
auto IsWorse(const PlaceHolder& aLeft, const PlaceHolder& aRight) -> bool
{
  const auto rank = [](const PlaceHolder& aHolder) {
    const bool isStalled = IsStalled(aHolder);
    const auto time = isStalled ? aHolder.stalled_ : aHolder.reading_;
    return std::tuple(!isStalled, -time, aHolder.id_);
  };
  return rank(aLeft) < rank(aRight);
}

} // namespace

CallerPlaces::CallerPlaces(std::size_t aLimit)
  : limit_(aLimit)
{
}

auto CallerPlaces::Reserve() const -> std::size_t
{
  return limit_ / kReserveParts;
}

auto CallerPlaces::MayTake(std::size_t aTaken) const -> bool
{
  return aTaken < limit_;
}

auto CallerPlaces::IsShort(std::size_t aTaken) const -> bool
{
  return aTaken + Reserve() >= limit_;
}

auto CallerPlaces::SelectClosed(std::size_t aTaken,
                                std::vector<PlaceHolder> aHolders) const
  -> std::vector<std::uint64_t>
{
  std::vector<std::uint64_t> closed;
  if (!IsShort(aTaken)) {
    return closed;
  }
  const auto most = limit_ - 2 * Reserve();
  std::erase_if(aHolders, [](const PlaceHolder& aHolder) {
    return !IsStalled(aHolder) && aHolder.reading_ < kMinReading;
  });
  std::ranges::sort(aHolders, IsWorse);
  for (const auto& holder : aHolders) {
    if (closed.size() + most >= aTaken) {
      break;
    }
    closed.push_back(holder.id_);
  }
  return closed;
}

} // namespace burdockring
