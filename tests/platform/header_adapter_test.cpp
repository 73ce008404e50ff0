#include "platform/header_adapter.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

TEST(HeaderAdapter, ReadsWhatACallerSays)
{
  const HeaderAdapter adapter;
  const auto facts = adapter.ReadRequest({
    { "x-attempt-id", "9c41" },
    { "Authorization", "Token secret" },
    { "X-Deadline-Ms", "1500" },
    { "X-Token-Counts", "1460,80" },
    { "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250" },
    { "X-Length-Hint", "70" },
    { "Last-Event-Id", "12" },
  });
  EXPECT_EQ(facts.attemptId_, "9c41");
  EXPECT_EQ(facts.key_, "secret");
  EXPECT_EQ(facts.patience_, Duration(1500ms));
  EXPECT_EQ(facts.promptTokens_, 1460);
  EXPECT_EQ(facts.maxOutputTokens_, 80);
  ASSERT_EQ(facts.parts_.size(), 3U);
  EXPECT_EQ(facts.parts_[1].id_, 0x91bd3f06U);
  EXPECT_EQ(facts.parts_[1].tokens_, 410);
  EXPECT_EQ(facts.outputTokensHint_, 70);
  EXPECT_EQ(facts.lastEvent_, 12U);
}

TEST(HeaderAdapter, NonsenseIsAsIfItWereNotThere)
{
  const HeaderAdapter adapter;
  const auto facts = adapter.ReadRequest({
    { "X-Deadline-Ms", "soon" },
    { "X-Token-Counts", "x" },
    { "X-Prompt-Prefix", "zz:1,,:" },
    { "Authorization", "Basic abc" },
    { "Last-Event-Id", "-4" },
  });
  EXPECT_FALSE(facts.patience_);
  EXPECT_EQ(facts.promptTokens_, 0);
  EXPECT_TRUE(facts.parts_.empty());
  EXPECT_EQ(facts.key_, "");
  EXPECT_FALSE(facts.lastEvent_);
}

TEST(HeaderAdapter, CallerCannotSetWhatTheRouterSets)
{
  const HeaderAdapter adapter;
  SendAttempt attempt;
  attempt.instance_ = "i-1";
  attempt.account_ = "hotel";
  attempt.patience_ = 900ms;
  attempt.lastEvent_ = 3;
  const auto fields = adapter.TargetFields(
    {
      { "Host", "h" },
      { "X-Tenant", "other" },
      { "X-Hold", "1" },
      { "X-Pin-Ms", "1" },
      { "X-Kv-Backup", "1" },
      { "Kv-From", "1" },
      { "Kv-Fetch", "1" },
      { "X-Expect-Version", "1" },
      { "Authorization", "Token secret" },
      { "Last-Event-Id", "1" },
      { "X-Model", "m" },
    },
    attempt);
  EXPECT_EQ(*FindField(fields, "X-Tenant"), "hotel");
  EXPECT_EQ(*FindField(fields, "X-Expect-Instance"), "i-1");
  EXPECT_EQ(*FindField(fields, "X-Deadline-Ms"), "900");
  EXPECT_EQ(*FindField(fields, "Last-Event-Id"), "3");
  EXPECT_EQ(*FindField(fields, "X-Model"), "m");
  for (const auto* name : { "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From",
                            "Kv-Fetch", "X-Expect-Version", "Authorization" }) {
    EXPECT_EQ(FindField(fields, name), nullptr) << name;
  }
}

TEST(HeaderAdapter, NamesTheEngineToCopyFrom)
{
  SendAttempt attempt;
  attempt.copyFrom_ = "10.0.0.2:81";
  const auto fields = HeaderAdapter().TargetFields({}, attempt);
  EXPECT_EQ(*FindField(fields, "Kv-Fetch"), "10.0.0.2:81");
}

TEST(HeaderAdapter, ReadsWhatAnEngineSays)
{
  const HeaderAdapter adapter;
  EXPECT_TRUE(
    adapter.ReadAnswer(200, { { "X-Response-Stamp", "s" } }).isSigned_);
  EXPECT_TRUE(adapter.ReadAnswer(503, { { "X-Not-Executed", "1" } }).notRun_);
  EXPECT_TRUE(adapter.ReadAnswer(421, {}).isFromOtherTarget_);
  EXPECT_TRUE(
    adapter.ReadAnswer(200, { { "Content-Encoding", "gzip" } }).isEncoded_);
}

// A caller repeats unsafe work after these, so they must be true.
TEST(HeaderAdapter, KnowsStatusesThatDenyARun)
{
  const HeaderAdapter adapter;
  for (const int status : { 408, 421, 429, 503 }) {
    EXPECT_TRUE(adapter.ReadAnswer(status, {}).impliesNotRun_) << status;
  }
  for (const int status : { 200, 400, 409, 425, 500, 502, 504 }) {
    EXPECT_FALSE(adapter.ReadAnswer(status, {}).impliesNotRun_) << status;
  }
}

TEST(HeaderAdapter, TellsWhenToComeBack)
{
  const HeaderAdapter adapter;
  FailRequest refusal;
  refusal.retryAfter_ = 1250ms;
  EXPECT_EQ(*FindField(adapter.RefusalFields(refusal), "Retry-After"), "1.250");
  refusal.retryAfter_ = 0us;
  EXPECT_TRUE(adapter.RefusalFields(refusal).empty());
}

TEST(HeaderAdapterNotice, LeavingAndRestAreRead)
{
  const HeaderAdapter adapter;
  const auto leaving = adapter.ReadAnswer(200, { { "Server-Leaving", "1" } });
  EXPECT_TRUE(leaving.notice_.isLeaving_);
  EXPECT_EQ(leaving.notice_.pauseDuration_, 0us);
  const auto rests = adapter.ReadAnswer(
    503, { { "X-Not-Executed", "1" }, { "Retry-After", "1.5" } });
  EXPECT_FALSE(rests.notice_.isLeaving_);
  EXPECT_EQ(rests.notice_.pauseDuration_, 1500ms);
  EXPECT_EQ(adapter.ReadAnswer(503, { { "Retry-After", "soon" } })
              .notice_.pauseDuration_,
            0us);
  EXPECT_EQ(
    adapter.ReadAnswer(200, { { "Retry-After", "2" } }).notice_.pauseDuration_,
    0us);
}

} // namespace
} // namespace burdockring
