#include "process/forwarding/placement_server.h"

#include <algorithm>
#include <vector>

namespace burdockring {

auto PlacementServer::Hold(RouterId aFrom, std::int64_t aNumber, Instant aNow)
  -> RequestId
{
  const auto id = nextId_++;
  clients_[aFrom].requests_[aNumber] = id;
  held_[id] = { aFrom, aNumber, {}, false, aNow };
  return id;
}

auto PlacementServer::TakeAsk(RouterId aFrom,
                              const wire::PlaceAsk& aAsk,
                              Instant aNow) -> void
{
  if (clients_[aFrom].requests_.contains(aAsk.request)) {
    // A datagram may come twice.
    return;
  }
  auto item = DecodeAsk(aAsk, nextId_, aNow);
  if (!item) {
    ++skipped_;
    return;
  }
  ++asks_;
  unanswered_.insert(Hold(aFrom, aAsk.request, aNow));
  dispatcher_->Submit(std::move(*item), aNow);
}

auto PlacementServer::TakeNote(RouterId aFrom,
                               const wire::RunNote& aNote,
                               Instant aNow) -> void
{
  const auto& requests = clients_[aFrom].requests_;
  const auto found = requests.find(aNote.request);
  if (found == requests.end()) {
    return;
  }
  const auto id = found->second;
  if (aNote.restMicros > 0) {
    dispatcher_->Rest(held_.at(id).target_, aNow + Duration(aNote.restMicros));
  }
  if (const auto end = EndOf(aNote)) {
    End(id, *end, aNow);
  } else {
    dispatcher_->OnFirstEvent(id, aNow);
  }
}

auto PlacementServer::TakeRuns(RouterId aFrom,
                               const wire::Placement& aMessage,
                               Instant aNow) -> void
{
  std::set<std::int64_t> listed;
  for (const auto& row : aMessage.runs) {
    listed.insert(row.request);
    if (clients_[aFrom].requests_.contains(row.request)) {
      continue;
    }
    const auto id = Hold(aFrom, row.request, aNow);
    auto& held = held_.at(id);
    held.runs_ = true;
    held.target_ = TargetId{ row.target };
    dispatcher_->Adopt(
      id, held.target_,
      { 1, std::max(0, row.prefillTokens), std::max(0, row.memoryTokens) },
      row.begun);
  }
  if (!aMessage.whole) {
    return;
  }
  std::vector<RequestId> ended;
  for (const auto& entry : clients_[aFrom].requests_) {
    const auto& held = held_.at(entry.second);
    if (held.runs_ && aNow - held.since_ > kGrantTime &&
        !listed.contains(entry.first)) {
      ended.push_back(entry.second);
    }
  }
  for (const auto id : ended) {
    End(id, RunEnd::kCancelled, aNow);
  }
}

auto PlacementServer::End(RequestId aRequest, RunEnd aEnd, Instant aNow) -> void
{
  const auto found = held_.find(aRequest);
  if (found == held_.end()) {
    return;
  }
  if (found->second.runs_) {
    dispatcher_->OnRunEnd(aRequest, aEnd, aNow);
  } else {
    dispatcher_->Withdraw(aRequest);
  }
  clients_[found->second.client_].requests_.erase(found->second.number_);
  unanswered_.erase(aRequest);
  held_.erase(found);
}

auto PlacementServer::DropClient(RouterId aRouter, Instant aNow) -> void
{
  const auto requests = clients_[aRouter].requests_;
  for (const auto& entry : requests) {
    End(entry.second, RunEnd::kCancelled, aNow);
  }
  clients_.erase(aRouter);
}

PlacementServer::PlacementServer(Dispatcher* aDispatcher)
  : dispatcher_(aDispatcher)
{
}

auto PlacementServer::OnMessage(RouterId aFrom,
                                std::int64_t aIncarnation,
                                const wire::Placement& aMessage,
                                Instant aNow) -> void
{
  const auto known = clients_.find(aFrom);
  if (known != clients_.end() && aIncarnation != known->second.incarnation_) {
    // The router has started anew, or this is a late word of one that has.
    if (aIncarnation < known->second.incarnation_) {
      return;
    }
    DropClient(aFrom, aNow);
  }
  auto& client = clients_[aFrom];
  client.incarnation_ = aIncarnation;
  client.heardAt_ = aNow;
  for (const auto& note : aMessage.notes) {
    TakeNote(aFrom, note, aNow);
  }
  TakeRuns(aFrom, aMessage, aNow);
  for (const auto& ask : aMessage.asks) {
    TakeAsk(aFrom, ask, aNow);
  }
}

auto PlacementServer::TakeVerdict(const DispatchVerdict& aVerdict, Instant aNow)
  -> bool
{
  const auto id =
    std::visit([](const auto& aTyped) { return aTyped.request_; }, aVerdict);
  if (id < kFirstId) {
    return false;
  }
  unanswered_.erase(id);
  const auto found = held_.find(id);
  if (found == held_.end()) {
    dispatcher_->OnRunEnd(id, RunEnd::kCancelled, aNow);
    return true;
  }
  auto& held = found->second;
  outbox_[held.client_].answers.push_back(
    EncodeVerdict(aVerdict, held.number_));
  if (const auto* start = std::get_if<StartWork>(&aVerdict)) {
    held.runs_ = true;
    held.target_ = start->target_;
    held.since_ = aNow;
  } else {
    clients_[held.client_].requests_.erase(held.number_);
    held_.erase(found);
  }
  return true;
}

auto PlacementServer::Tick(Instant aNow) -> void
{
  std::vector<RouterId> silent;
  for (const auto& entry : clients_) {
    if (aNow - entry.second.heardAt_ > kClientLife) {
      silent.push_back(entry.first);
    }
  }
  for (const auto router : silent) {
    DropClient(router, aNow);
  }
}

auto PlacementServer::TakeMessages() -> PlacementOutbox
{
  for (const auto id : unanswered_) {
    const auto& held = held_.at(id);
    wire::PlaceAnswer waits;
    waits.request = held.number_;
    waits.outcome = static_cast<std::int32_t>(PlaceOutcome::kWaits);
    outbox_[held.client_].answers.push_back(waits);
  }
  unanswered_.clear();
  return std::exchange(outbox_, {});
}

auto PlacementServer::AskCount() const -> std::int64_t
{
  return asks_;
}

auto PlacementServer::SkippedCount() const -> std::int64_t
{
  return skipped_;
}

auto PlacementServer::HeldCount() const -> std::size_t
{
  return held_.size();
}

} // namespace burdockring
