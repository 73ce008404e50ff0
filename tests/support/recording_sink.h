#ifndef BURDOCKRING_TESTS_SUPPORT_RECORDING_SINK_H
#define BURDOCKRING_TESTS_SUPPORT_RECORDING_SINK_H

#include "platform/store_source.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdockring {

/// Holds what the source tells, for one router that always reads.
class RecordingSink : public DiscoverySink
{
public:
  StoreEpochTracker epoch_;
  std::vector<std::int64_t> versions_;
  std::set<std::string> targets_;
  /// Whether each zone that a record named is drained.
  std::map<std::string, bool> drains_;
  std::vector<RouterAddress> routers_;
  std::vector<wire::ListNews> news_;
  int confirmed_ = 0;
  /// Failed reads since the last successful one, and the most so far.
  int failuresInARow_ = 0;
  int mostFailuresInARow_ = 0;
  /// Whether this router relies on its peers.
  bool waits_ = false;

  auto OnConfiguration(RouteTablePointer aTable,
                       std::string /*aText*/,
                       Instant /*aAsOf*/) -> void override
  {
    versions_.push_back(aTable->Version());
  }
  auto OnConfigurationConfirmed(Instant /*aAsOf*/) -> void override
  {
    ++confirmed_;
  }
  auto OnZoneDrains(const std::vector<ZoneDrainRecord>& aRecords,
                    bool aIsSnapshot,
                    std::int64_t /*aOffset*/) -> void override
  {
    if (aIsSnapshot) {
      drains_.clear();
    }
    for (const auto& record : aRecords) {
      drains_[record.name_] = record.isDrained_;
    }
  }
  auto OnTarget(const std::string& aKey, RegisteredTarget /*aTarget*/)
    -> void override
  {
    targets_.insert(aKey);
  }
  auto OnTargetRemoved(const std::string& aKey) -> void override
  {
    targets_.erase(aKey);
  }
  auto OnTargets(std::vector<std::pair<std::string, RegisteredTarget>> aAll)
    -> void override
  {
    targets_.clear();
    for (const auto& entry : aAll) {
      targets_.insert(entry.first);
    }
  }
  auto OnTargetsInPart(
    std::vector<std::pair<std::string, RegisteredTarget>> aPart)
    -> void override
  {
    OnTargets(std::move(aPart));
  }
  auto OnTargetListRead(bool /*aSuccess*/) -> void override {}
  auto OnStoredQuarantine(const StoredQuarantine& /*aQuarantine*/)
    -> void override
  {
  }
  auto OnRouters(const std::vector<RouterAddress>& aRouters) -> void override
  {
    routers_ = aRouters;
  }
  auto OnStoreEpoch(std::optional<std::int64_t> aEpoch) -> EpochOrder override
  {
    return epoch_.Note(aEpoch);
  }
  auto TimeToRead(SharedList /*aList*/, bool aFirst) -> Duration override
  {
    return waits_ && !aFirst ? Duration(20ms) : Duration(0);
  }
  auto OnListRead(SharedList /*aList*/,
                  bool aSuccess,
                  std::optional<wire::ListNews> aNews) -> void override
  {
    failuresInARow_ = aSuccess ? 0 : failuresInARow_ + 1;
    mostFailuresInARow_ = std::max(mostFailuresInARow_, failuresInARow_);
    if (aNews) {
      news_.push_back(std::move(*aNews));
    }
  }
};

/// Settings of a router that reads the store at that port often.
inline auto MakeSourceSettings(std::uint16_t aStorePort) -> ProcessSettings
{
  ProcessSettings settings;
  settings.self_.name_ = "r1";
  settings.self_.host_ = "127.0.0.1";
  settings.self_.peerPort_ = 1;
  settings.store_.address_ = { "127.0.0.1", aStorePort };
  settings.store_.configWait_ = 50ms;
  settings.store_.targetInterval_ = 5ms;
  return settings;
}

} // namespace burdockring

#endif
