#include "connection/caller_request.h"

#include "base/digest.h"
#include "version/config_reader.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

namespace http = boost::beast::http;

class CallerRequestTest : public testing::Test
{
protected:
  ConfigSetPointer set_;
  HttpRequest request_{ http::verb::post, "/v1/s", 11 };

  CallerRequestTest()
  {
    FindingList findings;
    set_ = ReadConfigSet(
      { { "t", "client_accounts: [{name: a, token_sha256: " +
                 Sha256Hex("secret") + "}]\nservices: [{name: s}]\n" } },
      &findings);
    request_.set("Authorization", "Bearer secret");
  }

  auto Refusal() -> ResponseCode
  {
    const auto parsed = ParseCallerRequest(request_, *set_);
    const auto* refusal = std::get_if<CallerRefusal>(&parsed);
    return refusal == nullptr ? ResponseCode::kNone : refusal->code_;
  }
};

TEST_F(CallerRequestTest, ReadsAllFields)
{
  request_.set("X-Class", "batch");
  request_.set("X-Cost-Hint", "12.5");
  request_.set("X-Queue-Timeout-Ms", "250");
  request_.set("X-Idempotent", "false");
  request_.set("Accept", "application/x-ndjson");
  const auto parsed = ParseCallerRequest(request_, *set_);
  const auto* request = std::get_if<CallerRequest>(&parsed);
  ASSERT_NE(request, nullptr);
  EXPECT_EQ(request->arrival_.class_, RequestClass::kBatch);
  EXPECT_EQ(request->arrival_.outputTokensHint_, 12.5);
  EXPECT_EQ(request->arrival_.queueTimeout_, Duration(250ms));
  EXPECT_FALSE(request->arrival_.idempotent_);
  EXPECT_TRUE(request->stream_);
}

TEST_F(CallerRequestTest, UnknownTokenIsUnauthorized)
{
  request_.set("Authorization", "Bearer other");
  EXPECT_EQ(Refusal(), ResponseCode::kUnauthorized);
  request_.erase("Authorization");
  EXPECT_EQ(Refusal(), ResponseCode::kUnauthorized);
}

TEST_F(CallerRequestTest, BadFieldsAreNamed)
{
  request_.set("X-Class", "urgent");
  EXPECT_EQ(Refusal(), ResponseCode::kBadRequest);
  request_.set("X-Class", "batch");
  request_.set("X-Cost-Hint", "many");
  EXPECT_EQ(Refusal(), ResponseCode::kBadRequest);
  request_.set("X-Cost-Hint", "1");
  request_.target("/v1/other");
  EXPECT_EQ(Refusal(), ResponseCode::kUnknownService);
}

TEST(AnswerBody, SaysWhetherItRanAndWhenToComeBack)
{
  const auto answer = MakeResponse(ResponseCode::kQueueFull, 1500ms);
  const auto body = nlohmann::json::parse(AnswerBody(answer, ""));
  EXPECT_EQ(body["error"]["code"], "queue_full");
  EXPECT_EQ(body["error"]["run"], "not_run");
  EXPECT_EQ(body["error"]["retry_after_ms"], 1500);
  EXPECT_EQ(AnswerFields(answer).back().value_, "2");
}

} // namespace
} // namespace burdockring
