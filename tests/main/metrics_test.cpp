#include "main/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace burdockring {
namespace {

using testing::HasSubstr;
using testing::Not;

// Without the counter an operator can't tell streams just over the limit from
// those just under it, as both may be in one bucket.
TEST(MetricsTest, ShowsLongestGapsAndStreamsOverTheLimitByRoute)
{
  Metrics metrics;
  EXPECT_THAT(metrics.ToText(), Not(HasSubstr("event_gap")));
  metrics.RecordEventGaps("talk", 250ms, 300ms);
  metrics.RecordEventGaps("talk", 310ms, 300ms);
  metrics.RecordEventGaps("free", 2s, 0us);
  const auto text = metrics.ToText();
  EXPECT_THAT(
    text,
    HasSubstr("burdockring_longest_event_gap_seconds_count{route=\"talk\"} 2"));
  EXPECT_THAT(
    text, HasSubstr(
            "burdockring_longest_event_gap_seconds_sum{route=\"talk\"} 0.56"));
  EXPECT_THAT(
    text,
    HasSubstr("burdockring_streams_over_gap_limit_total{route=\"talk\"} 1"));
  EXPECT_THAT(
    text,
    HasSubstr("burdockring_streams_over_gap_limit_total{route=\"free\"} 0"));
}

// Guards against a name from a configuration that ends its label and makes the
// whole exposition unreadable.
TEST(MetricsTest, NamesAreEscapedInLabels)
{
  Metrics metrics;
  RequestTiming timing;
  timing.accountName_ = "a\"b\\c\nd";
  timing.className_ = "e\"f";
  timing.total_ = 1s;
  metrics.Record(timing);
  metrics.RecordEventGaps("g\nh", 10ms, 0us);
  const auto text = metrics.ToText();
  const std::string labels = R"(account="a\"b\\c\nd",class="e\"f")";
  EXPECT_THAT(text, HasSubstr("total_seconds_count{" + labels + "} 1\n"));
  EXPECT_THAT(text, HasSubstr("answers_total{" + labels + ",run="));
  EXPECT_THAT(text, HasSubstr(R"(gap_seconds_count{route="g\nh"} 1)"));
  EXPECT_THAT(text, HasSubstr(R"(limit_total{route="g\nh"} 0)"));
}

TEST(MetricsTest, RoutesBeyondTheBoundCountTogether)
{
  Metrics metrics;
  for (int i = 0; i < 600; ++i) {
    metrics.RecordEventGaps("route-" + std::to_string(i), 10ms, 0us);
  }
  EXPECT_THAT(
    metrics.ToText(),
    HasSubstr("burdockring_longest_event_gap_seconds_count{route=\"other\"} "
              "88"));
}

} // namespace
} // namespace burdockring
