#include "measure/grouped_model.h"

#include <algorithm>

namespace burdockring {
namespace {

constexpr int kTokensPerStep = 32;
constexpr Duration kGossipInterval = 250ms;

} // namespace

auto GroupedModel::GroupOf(const SimRequest& aRequest) -> Group&
{
  const auto index =
    groups_.size() == 1 ? 0 : static_cast<std::size_t>(aRequest.router_);
  return groups_[index];
}

auto GroupedModel::Dispatch(std::size_t aGroup) -> void
{
  auto& group = groups_[aGroup];
  while (group.busy_ < group.slots_ && !group.waiting_.empty()) {
    auto best = group.waiting_.begin();
    for (auto entry = group.waiting_.begin(); entry != group.waiting_.end();
         ++entry) {
      if (group.tags_[static_cast<std::size_t>(entry->first)] <
          group.tags_[static_cast<std::size_t>(best->first)]) {
        best = entry;
      }
    }
    const auto request = best->second.front();
    best->second.pop_front();
    if (best->second.empty()) {
      group.waiting_.erase(best);
    }
    const auto account = static_cast<std::size_t>(request.account_);
    group.virtualTime_ = std::max(group.virtualTime_, group.tags_[account]);
    const auto cost = request.tokens_ / layout_.Weight(request.account_);
    group.tags_[account] += cost;
    group.given_[account] += cost;
    ++group.busy_;
    observer_->OnStarted(request);
    Run(aGroup, request, 0);
  }
}

auto GroupedModel::Run(std::size_t aGroup, SimRequest aRequest, int aDone)
  -> void
{
  const int count = std::min(kTokensPerStep, aRequest.tokens_ - aDone);
  queue_->After(layout_.timePerToken_ * count,
                [this, aGroup, aRequest, aDone, count] {
                  observer_->OnService(aRequest, count);
                  if (aDone + count < aRequest.tokens_) {
                    Run(aGroup, aRequest, aDone + count);
                    return;
                  }
                  --groups_[aGroup].busy_;
                  observer_->OnAnswer(aRequest, Response{});
                  Dispatch(aGroup);
                });
}

auto GroupedModel::Gossip() -> void
{
  std::vector<double> total(static_cast<std::size_t>(layout_.accounts_));
  for (const auto& group : groups_) {
    for (std::size_t i = 0; i < total.size(); ++i) {
      total[i] += group.given_[i];
    }
  }
  for (auto& group : groups_) {
    for (std::size_t i = 0; i < total.size(); ++i) {
      group.tags_[i] = std::max(group.tags_[i], total[i]);
    }
  }
  queue_->After(kGossipInterval, [this] { Gossip(); });
}

GroupedModel::GroupedModel(EventQueue* aQueue,
                           FleetLayout aLayout,
                           SharingMethod aMethod,
                           RequestObserver* aObserver)
  : queue_(aQueue)
  , layout_(aLayout)
  , method_(aMethod)
  , observer_(aObserver)
{
  const auto total = layout_.targets_ * layout_.slots_;
  const int count =
    aMethod == SharingMethod::kOmniscient ? 1 : layout_.routers_;
  for (int i = 0; i < count; ++i) {
    Group group;
    group.slots_ = total * (i + 1) / count - total * i / count;
    group.tags_.resize(static_cast<std::size_t>(layout_.accounts_));
    group.given_.resize(static_cast<std::size_t>(layout_.accounts_));
    groups_.push_back(std::move(group));
  }
}

auto GroupedModel::Start() -> void
{
  if (method_ == SharingMethod::kGossip) {
    Gossip();
  }
}

auto GroupedModel::Submit(const SimRequest& aRequest) -> void
{
  auto& group = GroupOf(aRequest);
  auto& waiting = group.waiting_[aRequest.account_];
  if (waiting.empty()) {
    auto& tag = group.tags_[static_cast<std::size_t>(aRequest.account_)];
    tag = std::max(tag, group.virtualTime_);
  }
  waiting.push_back(aRequest);
  const auto index = static_cast<std::size_t>(&group - groups_.data());
  queue_->After(0us, [this, index] { Dispatch(index); });
}

auto GroupedModel::BusySlots() const -> int
{
  int busy = 0;
  for (const auto& group : groups_) {
    busy += group.busy_;
  }
  return busy;
}

auto GroupedModel::TotalSlots() const -> int
{
  return layout_.targets_ * layout_.slots_;
}

auto GroupedModel::IsUp(int /*aRouter*/) const -> bool
{
  return true;
}

} // namespace burdockring
