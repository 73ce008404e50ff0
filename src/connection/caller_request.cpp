#include "connection/caller_request.h"

#include "base/digest.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace burdockring {
namespace {

constexpr std::string_view kPathPrefix = "/v1/";
constexpr std::string_view kBearer = "Bearer ";
constexpr double kMaxHint = 10'000'000.0;
constexpr std::int64_t kMaxQueueMillis = 24LL * 3600 * 1000;

struct ClassRow
{
  std::string_view name_;
  RequestClass class_;
};

constexpr std::array kClassTable{
  ClassRow{ "interactive", RequestClass::kInteractive },
  ClassRow{ "batch", RequestClass::kBatch },
};

auto Field(const HttpRequest& aRequest, const char* aName) -> std::string_view
{
  const auto value = aRequest[aName];
  return { value.data(), value.size() };
}

template<typename Number>
auto ParseNumber(std::string_view aText, Number aLow, Number aHigh)
  -> std::optional<Number>
{
  Number number{};
  const auto* last = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), last, number);
  const bool good = parsed.ec == std::errc() && parsed.ptr == last &&
                    number >= aLow && number <= aHigh;
  return good ? std::optional(number) : std::nullopt;
}

auto Refuse(ResponseCode aCode, std::string aMessage) -> CallerRefusal
{
  return { aCode, std::move(aMessage) };
}

/// Reads the optional fields; returns the first that is wrong.
auto ParseOptions(const HttpRequest& aHttp, CallerRequest* aRequest)
  -> std::optional<CallerRefusal>
{
  auto& arrival = aRequest->arrival_;
  const auto className = Field(aHttp, "X-Class");
  bool known = className.empty();
  for (const auto& row : kClassTable) {
    if (row.name_ == className) {
      arrival.class_ = row.class_;
      known = true;
    }
  }
  if (!known) {
    return Refuse(ResponseCode::kBadRequest,
                  "X-Class must be interactive or batch");
  }
  const auto hint = Field(aHttp, "X-Cost-Hint");
  if (!hint.empty()) {
    arrival.outputTokensHint_ = ParseNumber<double>(hint, 1.0, kMaxHint);
    if (!arrival.outputTokensHint_) {
      return Refuse(ResponseCode::kBadRequest,
                    "X-Cost-Hint must be a number of tokens");
    }
  }
  const auto timeout = Field(aHttp, "X-Queue-Timeout-Ms");
  if (!timeout.empty()) {
    const auto millis = ParseNumber<std::int64_t>(timeout, 1, kMaxQueueMillis);
    if (!millis) {
      return Refuse(ResponseCode::kBadRequest,
                    "X-Queue-Timeout-Ms must be a number of milliseconds");
    }
    arrival.queueTimeout_ = std::chrono::milliseconds(*millis);
  }
  const auto idempotent = Field(aHttp, "X-Idempotent");
  if (!idempotent.empty() && idempotent != "true" && idempotent != "false") {
    return Refuse(ResponseCode::kBadRequest,
                  "X-Idempotent must be true or false");
  }
  arrival.idempotent_ = idempotent != "false";
  arrival.key_ = Field(aHttp, "Idempotency-Key");
  return std::nullopt;
}

} // namespace

auto ParseCallerRequest(const HttpRequest& aRequest, const ConfigSet& aSet)
  -> std::variant<CallerRequest, CallerRefusal>
{
  const auto authorization = Field(aRequest, "Authorization");
  if (!authorization.starts_with(kBearer)) {
    return Refuse(ResponseCode::kUnauthorized, "a bearer token is needed");
  }
  const auto* account =
    aSet.FindAccountByToken(Sha256Hex(authorization.substr(kBearer.size())));
  if (account == nullptr) {
    return Refuse(ResponseCode::kUnauthorized, "unknown token");
  }
  const std::string_view path{ aRequest.target().data(),
                               aRequest.target().size() };
  if (!path.starts_with(kPathPrefix)) {
    return Refuse(ResponseCode::kUnknownService, "the path is /v1/SERVICE");
  }
  const auto* service =
    aSet.FindService(std::string(path.substr(kPathPrefix.size())));
  if (service == nullptr) {
    return Refuse(ResponseCode::kUnknownService, "no such service");
  }
  if (aRequest.method() != boost::beast::http::verb::post) {
    return Refuse(ResponseCode::kBadRequest, "the method is POST");
  }
  CallerRequest request;
  request.arrival_.account_ = account->id_;
  request.arrival_.service_ = service->id_;
  request.kind_ = service->kind_;
  request.stream_ = Field(aRequest, "Accept").find("application/x-ndjson") !=
                    std::string_view::npos;
  request.body_ = aRequest.body();
  request.accountName_ = account->name_;
  request.serviceName_ = service->name_;
  if (auto refusal = ParseOptions(aRequest, &request)) {
    return *refusal;
  }
  return request;
}

auto AnswerBody(const Response& aAnswer, const std::string& aMessage)
  -> std::string
{
  const auto& row = FindResponseRow(aAnswer.code_);
  const auto retry =
    std::chrono::duration_cast<std::chrono::milliseconds>(aAnswer.retryAfter_);
  nlohmann::json error = { { "code", row.name_ },
                           { "run", RunStateName(aAnswer.runState_) } };
  if (!aMessage.empty()) {
    error["message"] = aMessage;
  }
  if (retry.count() > 0) {
    error["retry_after_ms"] = retry.count();
  }
  return nlohmann::json{ { "error", std::move(error) } }.dump() + '\n';
}

auto AnswerFields(const Response& aAnswer) -> std::vector<HttpField>
{
  std::vector<HttpField> fields{
    { "X-Run", std::string(RunStateName(aAnswer.runState_)) }
  };
  const auto seconds =
    std::chrono::ceil<std::chrono::seconds>(aAnswer.retryAfter_).count();
  if (seconds > 0) {
    fields.push_back({ "Retry-After", std::to_string(seconds) });
  }
  return fields;
}

} // namespace burdockring
