#ifndef BURDOCKRING_MAIN_STATUS_REPORT_H
#define BURDOCKRING_MAIN_STATUS_REPORT_H

#include "process/node/router_node.h"

#include <cstdint>
#include <string>

namespace burdockring {

/// Bytes between this router and its peers since it started.
struct PeerTraffic
{
  std::int64_t sentBytes_ = 0;
  std::int64_t receivedBytes_ = 0;
  std::int64_t garbled_ = 0;
};

/// The router's state as JSON, for /status.
auto StatusJson(const RouterNode& aNode, const PeerTraffic& aTraffic)
  -> std::string;

/// The judged changes that the router remembers, as JSON, for /history.
auto HistoryJson(const RouterNode& aNode) -> std::string;

/// The router's counters and gauges in the text exposition format.
auto NodeMetricsText(const RouterNode& aNode, const PeerTraffic& aTraffic)
  -> std::string;

} // namespace burdockring

#endif
