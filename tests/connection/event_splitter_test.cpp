#include "connection/event_splitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace burdockring {
namespace {

TEST(EventSplitter, HoldsBackAnEventThatIsNotWhole)
{
  EventSplitter splitter;
  EXPECT_EQ(splitter.Take("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(splitter.LastEvent(), 1U);
  EXPECT_EQ(splitter.Take("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(splitter.LastEvent(), 2U);
  EXPECT_FALSE(splitter.IsInsideEvent());
}

TEST(EventSplitter, DataThatLooksLikeAnIdIsNone)
{
  EventSplitter splitter;
  splitter.Take("id: 3\ndata: id: 9\n\n");
  EXPECT_EQ(splitter.LastEvent(), 3U);
}

RC_GTEST_PROP(EventSplitter, AnyCutGivesTheSameBytes, ())
{
  std::string stream;
  const auto events = *rc::gen::inRange(1, 20);
  for (int i = 1; i <= events; ++i) {
    stream += "id: " + std::to_string(i) + "\ndata: x\n\n";
  }
  EventSplitter splitter;
  std::string out;
  std::size_t at = 0;
  while (at < stream.size()) {
    const auto length = *rc::gen::inRange<std::size_t>(1, 30);
    out += splitter.Take(stream.substr(at, length));
    RC_ASSERT(out.empty() || out.ends_with("\n\n"));
    at += length;
  }
  RC_ASSERT(out == stream);
  RC_ASSERT(splitter.LastEvent() == static_cast<std::uint64_t>(events));
}

} // namespace
} // namespace burdockring
