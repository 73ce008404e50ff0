#include "adapter/http_fetch.h"

#include "adapter/log_client.h"
#include "standin/scripted_target.h"
#include "support/broken_answers.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

constexpr Duration kTimeout = 2s;
const std::string kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

class HttpFetchTest : public testing::Test
{
protected:
  ScriptedTarget server_{ 0 };

  auto SetAnswer(const ScriptedAnswer& aAnswer) -> void
  {
    server_.SetScript([=](const std::string&) { return aAnswer; });
  }

  auto Address() const -> Endpoint { return { "127.0.0.1", server_.Port() }; }

  auto Post() const -> absl::StatusOr<HttpReply>
  {
    return FetchBlocking(Address(), HttpMethod::kPost, "/x", "body", kTimeout);
  }
};

class BrokenReplyTest
  : public HttpFetchTest
  , public testing::WithParamInterface<BrokenAnswer>
{
};

// Guards against replies that are none and pass for one; a call whose reply is
// lost may have taken effect.
TEST_P(BrokenReplyTest, MayHaveTakenEffect)
{
  SetAnswer({ GetParam().bytes_ });
  const auto reply = Post();
  EXPECT_TRUE(absl::IsAborted(reply.status())) << reply.status();
  const LogClient log(Address());
  const auto appended = log.AppendBlocking("payload", kTimeout);
  EXPECT_TRUE(absl::IsAborted(appended.status())) << appended.status();
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         BrokenReplyTest,
                         testing::ValuesIn(AllBrokenAnswers("X: y\r\n")),
                         [](const testing::TestParamInfo<BrokenAnswer>& aInfo) {
                           return aInfo.param.name_;
                         });

class ResetReplyTest
  : public HttpFetchTest
  , public testing::WithParamInterface<std::size_t>
{
};

TEST_P(ResetReplyTest, WithoutALengthIsNotComplete)
{
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  ScriptedAnswer answer{ head + std::string(GetParam() - head.size(), 'a') };
  answer.reset_ = true;
  SetAnswer(answer);
  const auto reply = Post();
  EXPECT_TRUE(absl::IsAborted(reply.status())) << reply.status();
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         ResetReplyTest,
                         testing::Values(500, 512, 1024, 1536, 65536, 66048));

TEST_F(HttpFetchTest, ReplyWithoutALengthEndsWithItsConnection)
{
  SetAnswer({ "HTTP/1.1 200 OK\r\n\r\nwhole", true });
  const auto reply = Post();
  ASSERT_TRUE(reply.ok()) << reply.status();
  EXPECT_EQ(reply->body_, "whole");
}

// An interim head passed for the whole reply.
TEST_F(HttpFetchTest, InterimHeadsPrecedeTheReply)
{
  SetAnswer({ "HTTP/1.1 102 Wait\r\nX: y\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
              kWhole });
  const auto reply = Post();
  ASSERT_TRUE(reply.ok()) << reply.status();
  EXPECT_EQ(reply->status_, 200);
  EXPECT_EQ(reply->body_, "whole");
}

TEST_F(HttpFetchTest, InterimHeadsWithoutEndAreNoReply)
{
  ScriptedAnswer answer{ "", false, { "HTTP/1.1 100 Continue\r\n\r\n" }, 0us };
  answer.endless_ = true;
  SetAnswer(answer);
  const auto reply = Post();
  EXPECT_TRUE(absl::IsAborted(reply.status())) << reply.status();
}

TEST_F(HttpFetchTest, NoContentIsAReply)
{
  SetAnswer({ "HTTP/1.1 204 No\r\n\r\n" });
  const auto reply = Post();
  ASSERT_TRUE(reply.ok()) << reply.status();
  EXPECT_EQ(reply->status_, 204);
}

} // namespace
} // namespace burdockring
