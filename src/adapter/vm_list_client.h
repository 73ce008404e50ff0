#ifndef BURDOCKRING_ADAPTER_VM_LIST_CLIENT_H
#define BURDOCKRING_ADAPTER_VM_LIST_CLIENT_H

#include "absl/status/statusor.h"
#include "adapter/http_fetch.h"
#include "process/node/node_events.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace burdockring {

/// Parses the VM list's JSON: {"routers":[{"name","zone","host","peer_port",
/// "operator_port","state"}], "leaving_targets":["name"]}. Routers that the
/// list calls leaving are left out.
auto ParseVmList(const std::string& aBody) -> absl::StatusOr<VmListRead>;

/// Talks to the platform's VM list: GET /v1/vms.
class VmListClient
{
  Endpoint endpoint_;

public:
  explicit VmListClient(Endpoint aEndpoint);

  auto Read() const -> boost::asio::awaitable<absl::StatusOr<VmListRead>>;
  auto ReadBlocking() const -> absl::StatusOr<VmListRead>;
};

} // namespace burdockring

#endif
