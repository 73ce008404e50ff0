#include "platform/newest_cursor.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

auto MakePage(const std::vector<std::string>& aKeys, bool aMore = true)
  -> NewestPage
{
  NewestPage page;
  for (const auto& key : aKeys) {
    page.records_.push_back({ key, "value" });
  }
  page.more_ = aMore;
  page.end_ = 7;
  return page;
}

TEST(NewestCursor, GoesOnBehindTheLastKeyOfEachPage)
{
  NewestCursor cursor;
  EXPECT_TRUE(cursor.Advance(MakePage({ "a", "b" }), 1).ok());
  EXPECT_EQ(cursor.After(), "b");
  EXPECT_FALSE(cursor.IsDone());
  auto last = MakePage({ "c" }, false);
  last.end_ = 9;
  EXPECT_TRUE(cursor.Advance(last, 1).ok());
  EXPECT_TRUE(cursor.IsDone());
  // What was written since the first page is read from there on.
  EXPECT_EQ(cursor.End(), 7);
}

TEST(NewestCursor, EmptyListIsRead)
{
  NewestCursor cursor;
  EXPECT_TRUE(cursor.Advance(MakePage({}, false), std::nullopt).ok());
  EXPECT_TRUE(cursor.IsDone());
}

// Guards against pages that are read for ever, one or several by turns.
TEST(NewestCursor, KeyThatWasUsedIsAnError)
{
  NewestCursor cursor;
  EXPECT_TRUE(cursor.Advance(MakePage({ "b" }), 1).ok());
  EXPECT_TRUE(absl::IsDataLoss(cursor.Advance(MakePage({ "b" }), 1)));
  EXPECT_TRUE(cursor.Advance(MakePage({ "c" }), 1).ok());
  EXPECT_TRUE(absl::IsDataLoss(cursor.Advance(MakePage({ "b" }), 1)));
  EXPECT_EQ(cursor.After(), "c");
}

// Guards against a part of a list that passes for the whole list.
TEST(NewestCursor, PageThatNamesNoKeyIsNotTheLast)
{
  NewestCursor cursor;
  EXPECT_TRUE(absl::IsDataLoss(cursor.Advance(MakePage({}), 1)));
  EXPECT_TRUE(absl::IsDataLoss(cursor.Advance(MakePage({ "a", "" }), 1)));
  EXPECT_FALSE(cursor.IsDone());
  EXPECT_TRUE(cursor.HasBegun());
}

// Guards against keys that come back changed and lead to the same page.
TEST(NewestCursor, KeysBeyondAsciiAreSteppedOverTogether)
{
  NewestCursor cursor;
  const std::string key = "k\ufffd01";
  EXPECT_TRUE(cursor.Advance(MakePage({ key }), 1).ok());
  EXPECT_EQ(cursor.After(), key);
  EXPECT_TRUE(cursor.Advance(MakePage({ key }), 1).ok());
  EXPECT_GT(cursor.After(), "k\xff\xff");
  EXPECT_LT(cursor.After(), "l");
  EXPECT_EQ(cursor.After().size(), 255U);
  EXPECT_TRUE(absl::IsDataLoss(cursor.Advance(MakePage({ key }), 1)));
}

TEST(NewestCursor, PageOfAnotherEpochBeginsAgain)
{
  NewestCursor cursor;
  EXPECT_TRUE(cursor.Advance(MakePage({ "a" }), 1).ok());
  EXPECT_TRUE(absl::IsAborted(cursor.Advance(MakePage({ "b" }), 2)));
  EXPECT_FALSE(cursor.HasBegun());
  EXPECT_EQ(cursor.After(), "");
  EXPECT_TRUE(cursor.Advance(MakePage({ "a" }), 2).ok());
}

} // namespace
} // namespace burdockring
