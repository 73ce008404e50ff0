#include "process/memory/caller_places.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

constexpr std::size_t kLimit = 320;
constexpr std::size_t kReserve = kLimit / CallerPlaces::kReserveParts;

TEST(CallerPlaces, NothingIsClosedWhileThereIsRoom)
{
  const CallerPlaces places(kLimit);
  EXPECT_FALSE(places.IsShort(kLimit - kReserve - 1));
  EXPECT_TRUE(
    places.SelectClosed(kLimit - kReserve - 1, { { 1, 60s, 60s } }).empty());
  EXPECT_TRUE(places.IsShort(kLimit - kReserve));
  EXPECT_TRUE(places.MayTake(kLimit - 1));
  EXPECT_FALSE(places.MayTake(kLimit));
}

// Guards against a slow but steady client that ends before those that send
// nothing, and against new ones that end at all.
TEST(CallerPlaces, LongestWithoutProgressEndsFirst)
{
  const CallerPlaces places(kLimit);
  const std::vector<PlaceHolder> holders{ { 1, 100ms, 60s }, { 2, 2s, 2s },
                                          { 3, 5s, 0s },     { 4, 100ms, 0s },
                                          { 5, 100ms, 30s }, { 6, 0s, 1s } };
  // Twice the reserve is to be free.
  const auto taken = kLimit - 2 * kReserve;
  EXPECT_EQ(places.SelectClosed(kLimit, holders),
            (std::vector<std::uint64_t>{ 3, 2, 1, 5 }));
  EXPECT_TRUE(places.SelectClosed(taken, holders).empty());
}

TEST(CallerPlaces, NoMoreAreClosedThanNeeded)
{
  const CallerPlaces places(kLimit);
  std::vector<PlaceHolder> holders;
  for (std::uint64_t id = 0; id < kLimit; ++id) {
    holders.push_back({ id, 10s, 10s });
  }
  EXPECT_EQ(places.SelectClosed(kLimit, holders).size(), 2 * kReserve);
}

} // namespace
} // namespace burdockring
