#include "main/status_report.h"

#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

using nlohmann::json;

auto PeerRows(const PeerTable& aPeers) -> json
{
  auto rows = json::array();
  for (const auto& entry : aPeers.Peers()) {
    const auto& peer = entry.second;
    rows.push_back({ { "name", peer.address_.name_ },
                     { "zone", peer.address_.zoneName_ },
                     { "state", PeerStateName(peer.state_) },
                     { "config_version", peer.configVersion_ } });
  }
  return rows;
}

auto ServiceRows(const RouterNode& aNode) -> json
{
  auto rows = json::array();
  const auto& set = *aNode.Config().Current().set_;
  for (const auto& entry : aNode.Pools()) {
    const auto service = set.services_.find(entry.first);
    if (service == set.services_.end()) {
      continue;
    }
    auto zones = json::array();
    for (const auto& zone : set.zones_) {
      const auto* scheduler = aNode.Scheduler(zone.first, entry.first);
      if (scheduler != nullptr) {
        zones.push_back(zone.second.name_);
      }
    }
    rows.push_back({ { "name", service->second.name_ },
                     { "waiting", entry.second.TotalWaiting() },
                     { "busy", entry.second.Busy() },
                     { "held", entry.second.Held() },
                     { "schedules_zones", std::move(zones) } });
  }
  return rows;
}

auto Line(std::string_view aName, std::int64_t aValue) -> std::string
{
  return "burdockring_" + std::string(aName) + ' ' + std::to_string(aValue) +
         '\n';
}

} // namespace

auto StatusJson(const RouterNode& aNode, const PeerTraffic& aTraffic)
  -> std::string
{
  const auto& counters = aNode.Counters();
  const auto& config = aNode.Config();
  const json status = {
    { "name", aNode.Peers().Self().name_ },
    { "zone", aNode.Peers().Self().zoneName_ },
    { "ready", aNode.IsReady() },
    { "stopping", aNode.IsStopping() },
    { "log_usable", aNode.IsLogUsable() },
    { "config",
      { { "version", config.Current().version_ },
        { "change", config.Current().changeId_ },
        { "anchored", config.IsSynchronized() },
        { "judged_to", config.DecidedTo() } } },
    { "requests", aNode.RequestCount() },
    { "claims", aNode.Claims().Table().Size() },
    { "leaving_targets", aNode.LeavingTargets().size() },
    { "counters",
      { { "accepted", counters.accepted_ },
        { "whole", counters.whole_ },
        { "not_run", counters.notRun_ },
        { "unknown", counters.unknown_ },
        { "retries", counters.retries_ },
        { "garbled_records", counters.malformedRecords_ },
        { "garbled_messages", aTraffic.garbled_ },
        { "peer_bytes_out", aTraffic.sentBytes_ },
        { "peer_bytes_in", aTraffic.receivedBytes_ },
        { "peer_messages_out", counters.peerMessagesOut_ },
        { "peer_messages_in", counters.peerMessagesIn_ } } },
    { "services", ServiceRows(aNode) },
    { "peers", PeerRows(aNode.Peers()) }
  };
  return status.dump(2) + '\n';
}

auto HistoryJson(const RouterNode& aNode) -> std::string
{
  auto rows = json::array();
  for (const auto& row : aNode.Config().History()) {
    rows.push_back({ { "offset", row.offset_ },
                     { "change", row.changeId_ },
                     { "operator", row.operator_ },
                     { "base", row.base_ },
                     { "version", row.version_ },
                     { "verdict", ResultName(row.result_) } });
  }
  return rows.dump(2) + '\n';
}

auto NodeMetricsText(const RouterNode& aNode, const PeerTraffic& aTraffic)
  -> std::string
{
  const auto& counters = aNode.Counters();
  auto text = Line("accepted_total", counters.accepted_) +
              Line("whole_total", counters.whole_) +
              Line("not_run_total", counters.notRun_) +
              Line("unknown_total", counters.unknown_) +
              Line("retries_total", counters.retries_) +
              Line("garbled_records_total", counters.malformedRecords_) +
              Line("garbled_messages_total", aTraffic.garbled_) +
              Line("peer_bytes_out_total", aTraffic.sentBytes_) +
              Line("peer_bytes_in_total", aTraffic.receivedBytes_) +
              Line("peer_messages_out_total", counters.peerMessagesOut_) +
              Line("peer_messages_in_total", counters.peerMessagesIn_) +
              Line("config_version", aNode.Config().Current().version_) +
              Line("live_routers", aNode.Peers().LiveCount()) +
              Line("requests", static_cast<std::int64_t>(aNode.RequestCount()));
  std::int64_t waiting = 0;
  std::int64_t busy = 0;
  std::int64_t held = 0;
  for (const auto& entry : aNode.Pools()) {
    waiting += entry.second.TotalWaiting();
    busy += entry.second.Busy();
    held += entry.second.Held();
  }
  return text + Line("waiting", waiting) + Line("slots_busy", busy) +
         Line("slots_held", held);
}

} // namespace burdockring
