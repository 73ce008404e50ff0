#ifndef BURDOCKRING_STANDIN_SERVICE_STANDIN_H
#define BURDOCKRING_STANDIN_SERVICE_STANDIN_H

#include "standin/standin_faults.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

namespace burdockring {

/// A small stand-in of a plain service: POST /v1/call runs once and answers
/// with the body that it got; GET /v1/record gives its own record: the count
/// of runs by idempotency key.
class ServiceStandin
{
  boost::asio::io_context* context_;
  Duration callTime_;
  StandinFaults faults_;
  std::map<std::string, int> runsByKey_;
  std::int64_t runs_ = 0;
  HttpServer server_;

  auto Handle(HttpRequest aRequest, HttpResponder* aResponder)
    -> boost::asio::awaitable<void>;
  auto Call(HttpRequest aRequest, HttpResponder* aResponder)
    -> boost::asio::awaitable<void>;
  [[nodiscard]] auto RecordBody() const -> std::string;

public:
  ServiceStandin(boost::asio::io_context* aContext, Duration aCallTime);

  auto Listen(const Endpoint& aEndpoint) -> absl::Status;
};

} // namespace burdockring

#endif
