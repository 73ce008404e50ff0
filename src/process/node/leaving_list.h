#ifndef BURDOCKRING_PROCESS_NODE_LEAVING_LIST_H
#define BURDOCKRING_PROCESS_NODE_LEAVING_LIST_H

#include "base/ids.h"
#include "base/time.h"
#include "version/config_set.h"

#include <map>
#include <set>
#include <vector>

namespace burdockring {

/// Targets that get no new requests: the VM list or the configuration says so,
/// or they said so themselves, to this router or to a peer.
class LeavingList
{
  std::set<TargetId> listed_;
  /// When each was heard of first.
  std::map<TargetId, Instant> reported_;
  std::set<TargetId> all_;

public:
  auto SetListed(const std::vector<TargetId>& aTargets) -> void;
  /// Gives whether this is news.
  auto AddReported(TargetId aTarget, Instant aNow) -> bool;
  /// Puts the sources together; gives whether the set has changed.
  auto Refresh(const ConfigSet& aSet, Instant aNow) -> bool;
  [[nodiscard]] auto All() const -> const std::set<TargetId>&;
  /// Those that targets or peers named, for telling the peers.
  [[nodiscard]] auto Reported() const -> const std::map<TargetId, Instant>&;
};

} // namespace burdockring

#endif
