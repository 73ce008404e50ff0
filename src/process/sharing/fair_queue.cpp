#include "process/sharing/fair_queue.h"

#include <algorithm>

namespace burdockring {

auto FairQueue::Choose(AccountQueue* aQueue, Instant aNow)
  -> std::deque<WaitingRequest>*
{
  auto& batch = aQueue->batch_;
  auto& interactive = aQueue->interactive_;
  if (interactive.empty()) {
    return &batch;
  }
  const bool isBatchOverdue =
    !batch.empty() && aNow - batch.front().arrivedAt_ > kBatchPromotionDelay &&
    batch.front().arrivedAt_ < interactive.front().arrivedAt_;
  return isBatchOverdue ? &batch : &interactive;
}

auto FairQueue::Push(AccountId aAccount, const WaitingRequest& aRequest) -> void
{
  auto& queue = accounts_[aAccount];
  auto& list =
    aRequest.class_ == RequestClass::kBatch ? queue.batch_ : queue.interactive_;
  list.push_back(aRequest);
  accountByRequest_[aRequest.id_] = aAccount;
}

auto FairQueue::PushFront(AccountId aAccount, const WaitingRequest& aRequest)
  -> void
{
  auto& queue = accounts_[aAccount];
  auto& list =
    aRequest.class_ == RequestClass::kBatch ? queue.batch_ : queue.interactive_;
  list.push_front(aRequest);
  accountByRequest_[aRequest.id_] = aAccount;
}

auto FairQueue::Remove(RequestId aRequest) -> bool
{
  const auto found = accountByRequest_.find(aRequest);
  if (found == accountByRequest_.end()) {
    return false;
  }
  const auto account = accounts_.find(found->second);
  const auto isSameRequest = [&](const WaitingRequest& aWaiting) {
    return aWaiting.id_ == aRequest;
  };
  std::erase_if(account->second.interactive_, isSameRequest);
  std::erase_if(account->second.batch_, isSameRequest);
  accountByRequest_.erase(found);
  if (account->second.interactive_.empty() && account->second.batch_.empty()) {
    accounts_.erase(account);
  }
  return true;
}

auto FairQueue::Pop(AccountId aAccount, Instant aNow)
  -> std::optional<WaitingRequest>
{
  const auto found = accounts_.find(aAccount);
  if (found == accounts_.end()) {
    return std::nullopt;
  }
  const auto request = Choose(&found->second, aNow)->front();
  Remove(request.id_);
  return request;
}

auto FairQueue::PopExpired(Instant aNow) -> std::vector<RequestId>
{
  std::vector<RequestId> expired;
  for (const auto& entry : accounts_) {
    for (const auto* list :
         { &entry.second.interactive_, &entry.second.batch_ }) {
      for (const auto& request : *list) {
        if (request.deadline_ <= aNow) {
          expired.push_back(request.id_);
        }
      }
    }
  }
  for (const auto request : expired) {
    Remove(request);
  }
  return expired;
}

auto FairQueue::Waiting(AccountId aAccount) const -> int
{
  const auto found = accounts_.find(aAccount);
  if (found == accounts_.end()) {
    return 0;
  }
  return static_cast<int>(found->second.interactive_.size() +
                          found->second.batch_.size());
}

auto FairQueue::WaitingArrivedBy(AccountId aAccount,
                                 Instant aLatestArrival) const -> int
{
  const auto found = accounts_.find(aAccount);
  if (found == accounts_.end()) {
    return 0;
  }
  const auto count = [&](const std::deque<WaitingRequest>& aList) {
    const auto later = std::partition_point(
      aList.begin(), aList.end(), [&](const WaitingRequest& aRequest) {
        return aRequest.arrivedAt_ <= aLatestArrival;
      });
    return static_cast<int>(later - aList.begin());
  };
  return count(found->second.interactive_) + count(found->second.batch_);
}

auto FairQueue::WaitingAccounts() const -> std::vector<AccountId>
{
  std::vector<AccountId> accounts;
  accounts.reserve(accounts_.size());
  for (const auto& entry : accounts_) {
    accounts.push_back(entry.first);
  }
  return accounts;
}

auto FairQueue::IsEmpty() const -> bool
{
  return accounts_.empty();
}

auto FairQueue::Size() const -> int
{
  return static_cast<int>(accountByRequest_.size());
}

auto FairQueue::OldestArrival() const -> std::optional<Instant>
{
  std::optional<Instant> oldest;
  const auto consider = [&](const std::deque<WaitingRequest>& aList) {
    if (!aList.empty() && (!oldest || aList.front().arrivedAt_ < *oldest)) {
      oldest = aList.front().arrivedAt_;
    }
  };
  for (const auto& entry : accounts_) {
    consider(entry.second.interactive_);
    consider(entry.second.batch_);
  }
  return oldest;
}

} // namespace burdockring
