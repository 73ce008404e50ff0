#ifndef BURDOCKRING_MEASURE_GROUPED_MODEL_H
#define BURDOCKRING_MEASURE_GROUPED_MODEL_H

#include "measure/event_queue.h"
#include "measure/fleet_layout.h"
#include "measure/sim_fleet.h"
#include "measure/sim_request.h"

#include <deque>
#include <map>
#include <vector>

namespace burdockring {

/// Ways of sharing to compare with.
enum class SharingMethod
{
  /// The decisions of this project.
  kBurdockring,
  /// One queue that sees everything at once and knows every cost: the naive
  /// version and the upper bound.
  kOmniscient,
  /// Each router is fair on its own over a fixed part of the slots.
  kStaticSplit,
  /// The same, with service counters that all routers gossip.
  kGossip,
  /// Each router sends to all targets without any limit; the targets queue.
  kAlone,
};

/// Fair queues over fixed groups of slots, with no faults: one group for all
/// (omniscient), or a group for each router.
class GroupedModel : public SharingModel
{
  struct Group
  {
    int slots_ = 0;
    int busy_ = 0;
    std::map<int, std::deque<SimRequest>> waiting_;
    std::vector<double> tags_;
    std::vector<double> given_;
    double virtualTime_ = 0;
  };

  EventQueue* queue_;
  FleetLayout layout_;
  SharingMethod method_;
  RequestObserver* observer_;
  std::vector<Group> groups_;

  auto GroupOf(const SimRequest& aRequest) -> Group&;
  auto Dispatch(std::size_t aGroup) -> void;
  auto Run(std::size_t aGroup, SimRequest aRequest, int aDone) -> void;
  auto Gossip() -> void;

public:
  GroupedModel(EventQueue* aQueue,
               FleetLayout aLayout,
               SharingMethod aMethod,
               RequestObserver* aObserver);

  auto Start() -> void override;
  auto Submit(const SimRequest& aRequest) -> void override;
  [[nodiscard]] auto BusySlots() const -> int override;
  [[nodiscard]] auto TotalSlots() const -> int override;
  [[nodiscard]] auto IsUp(int aRouter) const -> bool override;
};

} // namespace burdockring

#endif
