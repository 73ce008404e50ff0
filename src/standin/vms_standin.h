#ifndef BURDOCKRING_STANDIN_VMS_STANDIN_H
#define BURDOCKRING_STANDIN_VMS_STANDIN_H

#include "standin/standin_faults.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <string>

namespace burdockring {

/// A small stand-in of the platform's list of VMs. GET /v1/vms gives the list,
/// POST /v1/vms replaces it; with the lag fault on, readers see an old one.
class VmsStandin
{
  struct Version
  {
    std::chrono::steady_clock::time_point since_;
    std::string body_;
  };

  StandinFaults faults_;
  std::deque<Version> versions_;
  HttpServer server_;

  auto Handle(HttpRequest aRequest, HttpResponder* aResponder)
    -> boost::asio::awaitable<void>;
  [[nodiscard]] auto Shown() const -> std::string;

public:
  VmsStandin(boost::asio::io_context* aContext, std::string aList);

  auto Listen(const Endpoint& aEndpoint) -> absl::Status;
};

} // namespace burdockring

#endif
