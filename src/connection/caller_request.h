#ifndef BURDOCKRING_CONNECTION_CALLER_REQUEST_H
#define BURDOCKRING_CONNECTION_CALLER_REQUEST_H

#include "absl/status/statusor.h"
#include "connection/http_server.h"
#include "process/node/node_events.h"
#include "request/response.h"
#include "version/config_set.h"

#include <string>
#include <variant>

namespace burdockring {

/// A caller's request as read from HTTP.
struct CallerRequest
{
  RequestArrived arrival_;
  ServiceKind kind_ = ServiceKind::kEngine;
  /// Whether the caller wants the tokens as they come.
  bool stream_ = false;
  std::string body_;
  std::string accountName_;
  std::string serviceName_;
};

/// Why a request was refused before it reached the router's decisions.
struct CallerRefusal
{
  ResponseCode code_ = ResponseCode::kBadRequest;
  std::string message_;
};

/// Reads a caller's request: the path /v1/SERVICE, a bearer token, and the
/// fields X-Class, X-Cost-Hint, X-Queue-Timeout-Ms, X-Idempotent and
/// Idempotency-Key. The request's number is left zero.
auto ParseCallerRequest(const HttpRequest& aRequest, const ConfigSet& aSet)
  -> std::variant<CallerRequest, CallerRefusal>;

/// The JSON body of an answer that is not whole.
auto AnswerBody(const Response& aAnswer, const std::string& aMessage)
  -> std::string;

/// The fields of such an answer, Retry-After among them.
auto AnswerFields(const Response& aAnswer) -> std::vector<HttpField>;

} // namespace burdockring

#endif
