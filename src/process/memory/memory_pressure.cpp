#include "process/memory/memory_pressure.h"

#include <algorithm>
#include <array>

namespace burdockring {
namespace {

/// Eighths of the limit at which the levels begin.
constexpr std::size_t kEighths = 8;
constexpr std::size_t kBackpressureAt = 4;
constexpr std::size_t kRejectAt = 6;
constexpr std::size_t kCloseAt = 7;

auto EighthsOf(std::size_t aLimit, std::size_t aCount) -> std::size_t
{
  return aLimit / kEighths * aCount;
}

/// Bytes per second.
auto Rate(const BodyInProgress& aBody) -> double
{
  const auto micros = std::max<Duration>(aBody.reading_, 1us).count();
  return static_cast<double>(aBody.received_) * 1e6 /
         static_cast<double>(micros);
}

/// Bytes times microseconds without progress.
auto Waste(const MemoryHolder& aHolder) -> double
{
  return static_cast<double>(aHolder.bytes_) *
         static_cast<double>(std::max<Duration>(aHolder.stalled_, 1us).count());
}

auto IsWorse(const MemoryHolder& aLeft, const MemoryHolder& aRight) -> bool
{
  const auto left = Waste(aLeft);
  const auto right = Waste(aRight);
  return left != right ? left > right : aLeft.id_ < aRight.id_;
}

} // namespace

auto MemoryLevelName(MemoryLevel aLevel) -> std::string_view
{
  constexpr std::array<std::string_view, 4> kNames{ "free", "backpressure",
                                                    "reject", "close" };
  return kNames.at(static_cast<std::size_t>(aLevel));
}

MemoryPressure::MemoryPressure(std::size_t aLimit)
  : limit_(aLimit)
{
}

auto MemoryPressure::Limit() const -> std::size_t
{
  return limit_;
}

auto MemoryPressure::LevelAt(std::size_t aHeld) const -> MemoryLevel
{
  if (aHeld >= EighthsOf(limit_, kCloseAt)) {
    return MemoryLevel::kClose;
  }
  if (aHeld >= EighthsOf(limit_, kRejectAt)) {
    return MemoryLevel::kReject;
  }
  return aHeld >= EighthsOf(limit_, kBackpressureAt)
           ? MemoryLevel::kBackpressure
           : MemoryLevel::kFree;
}

auto MemoryPressure::MayHold(std::size_t aHeld,
                             std::size_t aOwn,
                             std::size_t aMore) const -> bool
{
  const bool isSmall = aOwn + aMore <= kSmall;
  return aHeld + aMore <= (isSmall ? limit_ : EighthsOf(limit_, kCloseAt));
}

auto MemoryPressure::MayBegin(std::size_t aHeld, std::size_t aExpected) const
  -> bool
{
  if (aExpected <= kSmall) {
    return aHeld + aExpected <= limit_;
  }
  return LevelAt(aHeld) < MemoryLevel::kReject;
}

auto MemoryPressure::SelectPaused(std::size_t aHeld,
                                  std::vector<BodyInProgress> aBodies) const
  -> std::vector<std::uint64_t>
{
  std::vector<std::uint64_t> paused;
  if (LevelAt(aHeld) < MemoryLevel::kBackpressure) {
    return paused;
  }
  std::erase_if(aBodies, [](const BodyInProgress& aBody) {
    return aBody.received_ + aBody.remaining_ <= kSmall;
  });
  std::ranges::sort(aBodies, [](const auto& aLeft, const auto& aRight) {
    const auto left = Rate(aLeft);
    const auto right = Rate(aRight);
    return left != right ? left > right : aLeft.id_ < aRight.id_;
  });
  const auto end = EighthsOf(limit_, kCloseAt);
  std::size_t space = end > aHeld ? end - aHeld : 0;
  bool isFirst = true;
  for (const auto& body : aBodies) {
    // One is always read, so that the router does not stop for good.
    if (body.remaining_ > space && !isFirst) {
      paused.push_back(body.id_);
      continue;
    }
    space -= std::min(space, body.remaining_);
    isFirst = false;
  }
  return paused;
}

auto MemoryPressure::SelectClosed(std::size_t aHeld,
                                  std::size_t aNeeded,
                                  std::vector<MemoryHolder> aHolders) const
  -> std::vector<std::uint64_t>
{
  std::vector<std::uint64_t> closed;
  const auto end = EighthsOf(limit_, kCloseAt);
  if (aHeld + aNeeded < end) {
    return closed;
  }
  // Down to where large bodies are accepted again, so that this is not done for
  // each byte.
  const auto aim = EighthsOf(limit_, kRejectAt);
  std::erase_if(aHolders, [](const MemoryHolder& aHolder) {
    return aHolder.bytes_ <= kSmall && aHolder.stalled_ < kSmallStall;
  });
  std::ranges::sort(aHolders, IsWorse);
  auto held = aHeld + aNeeded;
  for (const auto& holder : aHolders) {
    if (held <= aim) {
      break;
    }
    held -= std::min(held, holder.bytes_);
    closed.push_back(holder.id_);
  }
  return closed;
}

} // namespace burdockring
