#ifndef BURDOCKRING_STANDIN_LOG_STANDIN_H
#define BURDOCKRING_STANDIN_LOG_STANDIN_H

#include "standin/standin_faults.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>

namespace burdockring {

/// A small stand-in of the platform's log service, in memory. Keeps a limited
/// number of records.
class LogStandin
{
  boost::asio::io_context* context_;
  std::size_t maxRecords_;
  StandinFaults faults_;
  std::deque<std::string> payloads_;
  std::int64_t first_ = 0;
  boost::asio::steady_timer appended_;
  HttpServer server_;

  auto Handle(HttpRequest aRequest, HttpResponder* aResponder)
    -> boost::asio::awaitable<void>;
  auto Append(std::string aPayload, HttpResponder* aResponder)
    -> boost::asio::awaitable<void>;
  auto Read(HttpRequest aRequest, HttpResponder* aResponder)
    -> boost::asio::awaitable<void>;
  [[nodiscard]] auto End() const -> std::int64_t;

public:
  LogStandin(boost::asio::io_context* aContext, std::size_t aMaxRecords);

  auto Listen(const Endpoint& aEndpoint) -> absl::Status;
};

} // namespace burdockring

#endif
