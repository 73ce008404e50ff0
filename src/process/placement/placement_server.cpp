#include "process/placement/placement_server.h"

#include <algorithm>
#include <vector>

namespace burdockring {

auto PlacementServer::AddRemoteRequest(RouterId aFrom,
                                       std::int64_t aNumber,
                                       Instant aNow) -> RequestId
{
  const auto id = nextId_++;
  clients_[aFrom].requests_[aNumber] = id;
  remoteRequests_[id] = { aFrom, aNumber, {}, false, aNow };
  return id;
}

auto PlacementServer::HandleAsk(RouterId aFrom,
                                const wire::PlaceAsk& aAsk,
                                Instant aNow) -> void
{
  if (clients_[aFrom].requests_.contains(aAsk.request)) {
    // Duplicate datagram.
    return;
  }
  auto item = DecodeAsk(aAsk, nextId_, aNow);
  if (!item) {
    ++malformedCount_;
    return;
  }
  ++acceptedCount_;
  undecided_.insert(AddRemoteRequest(aFrom, aAsk.request, aNow));
  dispatcher_->Submit(std::move(*item), aNow);
}

auto PlacementServer::HandleRunNote(RouterId aFrom,
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
    dispatcher_->PauseTarget(remoteRequests_.at(id).target_,
                             aNow + Duration(aNote.restMicros));
  }
  if (aNote.__isset.load) {
    dispatcher_->OnReportedLoad(remoteRequests_.at(id).target_,
                                DecodeLoad(aNote.load), aNow);
  }
  if (const auto end = DecodeOutcome(aNote)) {
    EndRemoteRequest(id, *end, aNow);
  } else {
    dispatcher_->OnFirstEvent(id, aNow);
  }
}

auto PlacementServer::HandleRunList(RouterId aFrom,
                                    const wire::Placement& aMessage,
                                    Instant aNow) -> void
{
  std::set<std::int64_t> listed;
  for (const auto& row : aMessage.runs) {
    listed.insert(row.request);
    if (clients_[aFrom].requests_.contains(row.request)) {
      continue;
    }
    const auto id = AddRemoteRequest(aFrom, row.request, aNow);
    auto& remote = remoteRequests_.at(id);
    remote.isRunning_ = true;
    remote.target_ = TargetId{ row.target };
    dispatcher_->AdoptRun(
      id, remote.target_,
      { 1, std::max(0, row.prefillTokens), std::max(0, row.memoryTokens) },
      row.begun);
  }
  if (!aMessage.whole) {
    return;
  }
  std::vector<RequestId> ended;
  for (const auto& entry : clients_[aFrom].requests_) {
    const auto& remote = remoteRequests_.at(entry.second);
    if (remote.isRunning_ && aNow - remote.startedAt_ > kRunListGracePeriod &&
        !listed.contains(entry.first)) {
      ended.push_back(entry.second);
    }
  }
  for (const auto id : ended) {
    EndRemoteRequest(id, RunOutcome::kCancelled, aNow);
  }
}

auto PlacementServer::EndRemoteRequest(RequestId aRequest,
                                       RunOutcome aOutcome,
                                       Instant aNow) -> void
{
  const auto found = remoteRequests_.find(aRequest);
  if (found == remoteRequests_.end()) {
    return;
  }
  if (found->second.isRunning_) {
    dispatcher_->OnRunEnd(aRequest, aOutcome, aNow);
  } else {
    dispatcher_->Withdraw(aRequest);
  }
  clients_[found->second.client_].requests_.erase(found->second.number_);
  undecided_.erase(aRequest);
  remoteRequests_.erase(found);
}

auto PlacementServer::DropClient(RouterId aRouter, Instant aNow) -> void
{
  const auto requests = clients_[aRouter].requests_;
  for (const auto& entry : requests) {
    EndRemoteRequest(entry.second, RunOutcome::kCancelled, aNow);
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
    // The router has restarted, or this is a late message from before its
    // restart.
    if (aIncarnation < known->second.incarnation_) {
      return;
    }
    DropClient(aFrom, aNow);
  }
  auto& client = clients_[aFrom];
  client.incarnation_ = aIncarnation;
  client.lastHeardAt_ = aNow;
  for (const auto& note : aMessage.notes) {
    HandleRunNote(aFrom, note, aNow);
  }
  HandleRunList(aFrom, aMessage, aNow);
  for (const auto& ask : aMessage.asks) {
    HandleAsk(aFrom, ask, aNow);
  }
}

auto PlacementServer::HandleDecision(const DispatchDecision& aDecision,
                                     Instant aNow) -> bool
{
  const auto id =
    std::visit([](const auto& aTyped) { return aTyped.request_; }, aDecision);
  if (id < kFirstRemoteId) {
    return false;
  }
  undecided_.erase(id);
  const auto found = remoteRequests_.find(id);
  if (found == remoteRequests_.end()) {
    dispatcher_->OnRunEnd(id, RunOutcome::kCancelled, aNow);
    return true;
  }
  auto& remote = found->second;
  outbox_[remote.client_].answers.push_back(
    EncodeAnswer(aDecision, remote.number_));
  if (const auto* start = std::get_if<StartDecision>(&aDecision)) {
    remote.isRunning_ = true;
    remote.target_ = start->target_;
    remote.startedAt_ = aNow;
  } else {
    clients_[remote.client_].requests_.erase(remote.number_);
    remoteRequests_.erase(found);
  }
  return true;
}

auto PlacementServer::Tick(Instant aNow) -> void
{
  std::vector<RouterId> silent;
  for (const auto& entry : clients_) {
    if (aNow - entry.second.lastHeardAt_ > kClientTimeout) {
      silent.push_back(entry.first);
    }
  }
  for (const auto router : silent) {
    DropClient(router, aNow);
  }
}

auto PlacementServer::TakeMessages() -> PlacementOutbox
{
  for (const auto id : undecided_) {
    const auto& remote = remoteRequests_.at(id);
    wire::PlaceAnswer queued;
    queued.request = remote.number_;
    queued.outcome = static_cast<std::int32_t>(PlaceOutcome::kQueued);
    outbox_[remote.client_].answers.push_back(queued);
  }
  undecided_.clear();
  return std::exchange(outbox_, {});
}

auto PlacementServer::AcceptedCount() const -> std::int64_t
{
  return acceptedCount_;
}

auto PlacementServer::MalformedCount() const -> std::int64_t
{
  return malformedCount_;
}

auto PlacementServer::RemoteRequestCount() const -> std::size_t
{
  return remoteRequests_.size();
}

} // namespace burdockring
