#ifndef BURDOCKRING_MAIN_SETTINGS_H
#define BURDOCKRING_MAIN_SETTINGS_H

#include "base/finding.h"
#include "connection/http_server.h"
#include "process/membership/peer_table.h"
#include "process/node/router_node.h"

#include <optional>
#include <string>
#include <vector>

namespace burdockring {

/// What one router process is started with.
struct Settings
{
  std::string name_;
  std::string zone_;
  Endpoint callers_;
  Endpoint operators_;
  Endpoint peers_;
  Endpoint log_;
  /// The VM list, or none where the peers below are all there are.
  std::optional<Endpoint> vmList_;
  std::vector<RouterAddress> peerList_;
  int trafficThreads_ = 2;
  HttpLimits callerLimits_;
  std::string logLevel_ = "info";
  NodeOptions node_;

  /// This router as its peers know it.
  [[nodiscard]] auto Self() const -> RouterAddress;
};

/// Reads settings; null when a finding is an error.
auto ReadSettings(const std::string& aText,
                  const std::string& aFile,
                  FindingList* aFindings) -> std::optional<Settings>;

} // namespace burdockring

#endif
