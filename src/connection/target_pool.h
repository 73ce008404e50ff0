#ifndef BURDOCKRING_CONNECTION_TARGET_POOL_H
#define BURDOCKRING_CONNECTION_TARGET_POOL_H

#include "connection/target_connection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace burdockring {

/// Connections to all targets. A connection is kept after an attempt for as
/// long as the target surely keeps it, the last used is used again first, and
/// the number kept at a target is bounded, as the target accepts a limited
/// number from all routers together.
class TargetPool
{
  struct Place
  {
    /// The last used at the back.
    std::vector<std::shared_ptr<TargetConnection>> idle_;
    int maxIdle_ = 0;
  };

  boost::asio::io_context* context_;
  MemoryBudget* memory_;
  std::map<TargetId, Place> places_;
  std::set<std::shared_ptr<TargetConnection>> open_;
  std::int64_t opened_ = 0;
  std::int64_t reused_ = 0;

  auto OnState(TargetId aTarget, TargetConnection* aConnection) -> void;

public:
  TargetPool(boost::asio::io_context* aContext, MemoryBudget* aMemory);

  /// Sends an attempt on a kept connection or a new one.
  auto Send(const SendAttempt& aAttempt,
            std::string aHead,
            std::shared_ptr<const std::string> aBody,
            std::weak_ptr<AttemptListener> aListener)
    -> std::shared_ptr<TargetConnection>;
  /// Closes connections that took too long to open, and idle ones past use.
  auto Tick(Instant aNow) -> void;
  auto CloseAll() -> void;

  [[nodiscard]] auto OpenCount() const -> std::size_t;
  [[nodiscard]] auto OpenedTotal() const -> std::int64_t;
  [[nodiscard]] auto ReusedTotal() const -> std::int64_t;
};

} // namespace burdockring

#endif
