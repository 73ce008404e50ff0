#ifndef BURDOCKRING_PROCESS_SHARING_FAIR_QUEUE_H
#define BURDOCKRING_PROCESS_SHARING_FAIR_QUEUE_H

#include "base/ids.h"
#include "base/time.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace burdockring {

enum class RequestClass
{
  kInteractive,
  kBatch,
};

/// A request waiting for a slot.
struct WaitingRequest
{
  RequestId id_ = 0;
  RequestClass class_ = RequestClass::kInteractive;
  Instant arrivedAt_{};
  Instant deadline_{};
};

/// The waiting requests of one service on one router, by account. Within an
/// account, interactive requests go first, unless the oldest batch request
/// arrived earlier and has waited longer than kBatchPromotionDelay.
class FairQueue
{
  static constexpr Duration kBatchPromotionDelay = 10s;

  struct AccountQueue
  {
    std::deque<WaitingRequest> interactive_;
    std::deque<WaitingRequest> batch_;
  };

  std::map<AccountId, AccountQueue> accounts_;
  std::map<RequestId, AccountId> accountByRequest_;

  static auto Choose(AccountQueue* aQueue, Instant aNow)
    -> std::deque<WaitingRequest>*;

public:
  auto Push(AccountId aAccount, const WaitingRequest& aRequest) -> void;
  /// Requeues a request that was not run ahead of the others of its class.
  auto PushFront(AccountId aAccount, const WaitingRequest& aRequest) -> void;
  auto Remove(RequestId aRequest) -> bool;
  /// Removes and returns the account's next request.
  auto Pop(AccountId aAccount, Instant aNow) -> std::optional<WaitingRequest>;
  /// Removes the requests whose deadline has passed and returns their IDs.
  auto PopExpired(Instant aNow) -> std::vector<RequestId>;

  [[nodiscard]] auto Waiting(AccountId aAccount) const -> int;
  /// Number of waiting requests of the account that arrived no later than
  /// aLatestArrival.
  [[nodiscard]] auto WaitingArrivedBy(AccountId aAccount,
                                      Instant aLatestArrival) const -> int;
  [[nodiscard]] auto WaitingAccounts() const -> std::vector<AccountId>;
  [[nodiscard]] auto IsEmpty() const -> bool;
  [[nodiscard]] auto Size() const -> int;
  /// Arrival time of the longest waiting request of any account.
  [[nodiscard]] auto OldestArrival() const -> std::optional<Instant>;
};

} // namespace burdockring

#endif
