#ifndef BURDOCKRING_MEASURE_EVENT_QUEUE_H
#define BURDOCKRING_MEASURE_EVENT_QUEUE_H

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace burdockring {

/// Virtual time: runs actions in the order of their times, and those of equal
/// times in the order in which they were added.
class EventQueue
{
  struct Item
  {
    Instant at_{};
    std::uint64_t order_ = 0;
    std::function<void()> action_;

    auto operator<(const Item& aOther) const -> bool
    {
      return std::pair(aOther.at_, aOther.order_) < std::pair(at_, order_);
    }
  };

  std::priority_queue<Item> items_;
  std::uint64_t nextOrder_ = 0;
  /// Zero means "never" to some decisions, so time begins a little later.
  Instant now_ = 1s;

public:
  auto After(Duration aDelay, std::function<void()> aAction) -> void
  {
    items_.push({ now_ + aDelay, nextOrder_++, std::move(aAction) });
  }

  auto RunUntil(Instant aEnd) -> void
  {
    while (!items_.empty() && items_.top().at_ <= aEnd) {
      auto item = items_.top();
      items_.pop();
      now_ = item.at_;
      item.action_();
    }
    now_ = aEnd;
  }

  [[nodiscard]] auto Now() const -> Instant { return now_; }
};

} // namespace burdockring

#endif
