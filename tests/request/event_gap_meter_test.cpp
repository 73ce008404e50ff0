#include "request/event_gap_meter.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

// The time to the first event is no gap, and a later short gap must not hide
// the longest.
TEST(EventGapMeter, KeepsTheLongestGap)
{
  EventGapMeter meter;
  EXPECT_EQ(meter.Longest(), 0us);
  EXPECT_FALSE(meter.OnEvents(5s));
  EXPECT_EQ(meter.GapCount(), 0);
  EXPECT_EQ(meter.OnEvents(5s + 40ms), Duration(40ms));
  EXPECT_EQ(meter.OnEvents(5s + 380ms), Duration(340ms));
  EXPECT_EQ(meter.OnEvents(5s + 420ms), Duration(40ms));
  EXPECT_EQ(meter.Longest(), 340ms);
  EXPECT_EQ(meter.GapCount(), 3);
}

} // namespace
} // namespace burdockring
