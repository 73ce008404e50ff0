#include "measure/sim_target.h"

#include <algorithm>

namespace burdockring {
namespace {

constexpr int kTokensPerStep = 32;

} // namespace

auto SimTarget::StartNext() -> void
{
  while (Running() < capacity_ && !waiting_.empty()) {
    auto item = waiting_.front();
    waiting_.pop_front();
    item.second.generation_ = nextGeneration_++;
    running_[item.first] = item.second;
    Step(item.first, item.second.generation_);
  }
}

auto SimTarget::Step(RunId aId, std::uint64_t aGeneration) -> void
{
  const auto found = running_.find(aId);
  if (found == running_.end() || found->second.generation_ != aGeneration) {
    return;
  }
  const auto& run = found->second;
  const int left = run.tokens_ - run.from_ - run.done_;
  const int count = std::min(kTokensPerStep, left);
  const auto time = std::chrono::duration_cast<Duration>(
    timePerToken_ * std::max(1, count) * slowFactor_);
  queue_->After(time, [this, aId, aGeneration, count] {
    const auto now = running_.find(aId);
    if (now == running_.end() || now->second.generation_ != aGeneration) {
      return;
    }
    now->second.done_ += count;
    const auto total = now->second.from_ + now->second.done_;
    onTokens_(aId, count, total);
    if (total < now->second.tokens_) {
      Step(aId, aGeneration);
      return;
    }
    running_.erase(now);
    onEnd_(aId, total);
    StartNext();
  });
}

SimTarget::SimTarget(EventQueue* aQueue, int aCapacity, Duration aTimePerToken)
  : queue_(aQueue)
  , capacity_(aCapacity)
  , timePerToken_(aTimePerToken)
{
}

auto SimTarget::Begin(const RunId& aId, int aFrom, int aTokens) -> void
{
  lastBegin_ = queue_->Now();
  waiting_.push_back({ aId, { aFrom, aTokens, 0, 0 } });
  mostAdmitted_ =
    std::max(mostAdmitted_, Running() + static_cast<int>(waiting_.size()));
  StartNext();
}

auto SimTarget::Cancel(const RunId& aId) -> void
{
  std::erase_if(waiting_,
                [&](const auto& aItem) { return aItem.first == aId; });
  running_.erase(aId);
  StartNext();
}

auto SimTarget::CancelRouter(int aRouter, std::int64_t aEpoch) -> void
{
  const auto mine = [&](const auto& aItem) {
    return aItem.first.router_ == aRouter && aItem.first.epoch_ == aEpoch;
  };
  std::erase_if(waiting_, mine);
  std::erase_if(running_, mine);
  StartNext();
}

auto SimTarget::SetSlow(double aFactor) -> void
{
  slowFactor_ = aFactor;
}

auto SimTarget::Running() const -> int
{
  return static_cast<int>(running_.size());
}

auto SimTarget::Capacity() const -> int
{
  return capacity_;
}

auto SimTarget::MostAdmitted() const -> int
{
  return mostAdmitted_;
}

auto SimTarget::LastBegin() const -> Instant
{
  return lastBegin_;
}

} // namespace burdockring
