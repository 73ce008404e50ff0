#ifndef BURDOCKRING_PROCESS_NODE_LEAVING_LIST_H
#define BURDOCKRING_PROCESS_NODE_LEAVING_LIST_H

#include "base/ids.h"
#include "base/time.h"
#include "version/config_set.h"

#include <map>
#include <set>
#include <vector>

namespace burdockring {

/// Targets that get no new requests because they are leaving, according to the
/// VM list, the configuration, or the target itself, which reported it to this
/// router or to a peer.
class LeavingList
{
  std::set<TargetId> listed_;
  /// Targets reported by themselves or by peers, with the time of the first
  /// report.
  std::map<TargetId, Instant> reported_;
  std::set<TargetId> all_;

public:
  auto SetListed(const std::vector<TargetId>& aTargets) -> void;
  /// Adds a reported target; returns whether it was not reported before.
  auto AddReported(TargetId aTarget, Instant aNow) -> bool;
  /// Merges the sources; returns whether the set has changed.
  auto Refresh(const ConfigSet& aSet, Instant aNow) -> bool;
  [[nodiscard]] auto All() const -> const std::set<TargetId>&;
  /// Targets reported by themselves or by peers, to be passed on to peers.
  [[nodiscard]] auto Reported() const -> const std::map<TargetId, Instant>&;
};

} // namespace burdockring

#endif
