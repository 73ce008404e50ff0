#include "connection/target_pool.h"

#include "base/boot_clock.h"

#include <algorithm>

namespace burdockring {
namespace {

/// How long an idle connection is used again for a request that may be
/// repeated.
constexpr Duration kMaxIdle = 4s;
/// The same for a request that may run once only: an old connection may end
/// just as the request is sent, and nobody could say whether it has run.
constexpr Duration kMaxIdleOnce = 300ms;

} // namespace

auto TargetPool::OnState(TargetId aTarget, TargetConnection* aConnection)
  -> void
{
  auto& place = places_[aTarget];
  const auto self = aConnection->shared_from_this();
  if (aConnection->GetState() == TargetConnection::State::kIdle) {
    place.idle_.push_back(self);
    if (static_cast<int>(place.idle_.size()) > place.maxIdle_) {
      place.idle_.front()->Cancel();
    }
    return;
  }
  std::erase(place.idle_, self);
  open_.erase(self);
}

TargetPool::TargetPool(boost::asio::io_context* aContext, MemoryBudget* aMemory)
  : context_(aContext)
  , memory_(aMemory)
{
}

auto TargetPool::Send(const SendAttempt& aAttempt,
                      std::string aHead,
                      std::shared_ptr<const std::string> aBody,
                      std::weak_ptr<AttemptListener> aListener)
  -> std::shared_ptr<TargetConnection>
{
  auto& place = places_[aAttempt.target_];
  place.maxIdle_ = std::max(1, aAttempt.maxConnections_ / 2);
  const auto longest = aAttempt.atMostOnce_ ? kMaxIdleOnce : kMaxIdle;
  if (!place.idle_.empty() && place.idle_.back()->IsFresh(BootNow(), longest)) {
    auto connection = place.idle_.back();
    place.idle_.pop_back();
    ++reused_;
    connection->Send(aAttempt.attempt_, std::move(aHead), std::move(aBody),
                     std::move(aListener));
    return connection;
  }
  ++opened_;
  auto connection = std::make_shared<TargetConnection>(
    context_, memory_, Endpoint{ aAttempt.host_, aAttempt.port_ },
    [this, target = aAttempt.target_](TargetConnection* aConnection) {
      OnState(target, aConnection);
    });
  open_.insert(connection);
  connection->Send(aAttempt.attempt_, std::move(aHead), std::move(aBody),
                   std::move(aListener));
  connection->Open();
  return connection;
}

auto TargetPool::Tick(Instant aNow) -> void
{
  const std::vector<std::shared_ptr<TargetConnection>> open(open_.begin(),
                                                            open_.end());
  for (const auto& connection : open) {
    connection->CheckConnecting(aNow);
    if (connection->GetState() == TargetConnection::State::kIdle &&
        !connection->IsFresh(aNow, kMaxIdle)) {
      connection->Cancel();
    }
  }
  std::erase_if(places_,
                [](const auto& aEntry) { return aEntry.second.idle_.empty(); });
}

auto TargetPool::CloseAll() -> void
{
  const std::vector<std::shared_ptr<TargetConnection>> open(open_.begin(),
                                                            open_.end());
  for (const auto& connection : open) {
    connection->Cancel();
  }
}

auto TargetPool::OpenCount() const -> std::size_t
{
  return open_.size();
}

auto TargetPool::OpenedTotal() const -> std::int64_t
{
  return opened_;
}

auto TargetPool::ReusedTotal() const -> std::int64_t
{
  return reused_;
}

} // namespace burdockring
