#include "process/placement/placement_client.h"

#include <algorithm>
#include <set>
#include <utility>

namespace burdockring {
namespace {

/// Salt of the rendezvous hash that orders the zone's leads for a router.
constexpr std::int32_t kLeadChoiceSalt = 43;

} // namespace

auto PlacementClient::PickLead(const std::vector<RouterId>& aTriedLeads,
                               Instant aNow) const -> std::optional<RouterId>
{
  const auto self = peers_->Self().id_;
  const auto& leads = peers_->Leads(peers_->Self().zone_);
  if (std::find(leads.begin(), leads.end(), self) != leads.end()) {
    return std::nullopt;
  }
  std::optional<RouterId> best;
  std::uint64_t bestScore = 0;
  for (const auto lead : leads) {
    const auto state = leads_.find(lead);
    const bool avoided =
      state != leads_.end() && state->second.avoidedUntil_ > aNow;
    const bool wasTried = std::find(aTriedLeads.begin(), aTriedLeads.end(),
                                    lead) != aTriedLeads.end();
    const auto score =
      RendezvousScore(lead.value_, self.value_, kLeadChoiceSalt);
    if (!avoided && !wasTried && (!best || score > bestScore)) {
      best = lead;
      bestScore = score;
    }
  }
  return best;
}

auto PlacementClient::Place(WorkItem aItem,
                            std::vector<RouterId> aTriedLeads,
                            Instant aNow) -> void
{
  const auto lead = PickLead(aTriedLeads, aNow);
  if (!lead) {
    counters_.placedLocally_ += peers_->IsLead() ? 0 : 1;
    dispatcher_->Submit(std::move(aItem), aNow);
    return;
  }
  ++counters_.sentToLeads_;
  PendingRequest pending;
  pending.number_ = nextNumber_++;
  pending.lead_ = *lead;
  pending.answerDeadline_ = aNow + kAnswerTimeout;
  pending.triedLeads_ = std::move(aTriedLeads);
  pending.triedLeads_.push_back(*lead);
  outbox_[*lead].asks.push_back(EncodeAsk(aItem, pending.number_, aNow));
  const auto request = aItem.id_;
  requestsByNumber_[pending.number_] = request;
  pending.item_ = std::move(aItem);
  pending_[request] = std::move(pending);
}

auto PlacementClient::CancelPending(RequestId aRequest)
  -> std::optional<PendingRequest>
{
  const auto found = pending_.find(aRequest);
  if (found == pending_.end()) {
    return std::nullopt;
  }
  auto pending = std::move(found->second);
  requestsByNumber_.erase(pending.number_);
  pending_.erase(found);
  outbox_[pending.lead_].notes.push_back(
    MakeOutcomeNote(pending.number_, RunOutcome::kCancelled));
  return pending;
}

auto PlacementClient::OnAnswer(RouterId aFrom,
                               const wire::PlaceAnswer& aAnswer,
                               Instant aNow) -> void
{
  leads_[aFrom].failures_ = 0;
  leads_[aFrom].avoidedUntil_ = {};
  const auto number = requestsByNumber_.find(aAnswer.request);
  if (number == requestsByNumber_.end()) {
    // Late answer: the request was placed elsewhere or its caller disconnected.
    // An active run keeps its number, so that a duplicate answer does not
    // cancel it.
    const bool runs =
      std::any_of(runs_.begin(), runs_.end(), [&](const auto& aEntry) {
        return aEntry.second.number_ == aAnswer.request;
      });
    if (!runs &&
        aAnswer.outcome == static_cast<std::int32_t>(PlaceOutcome::kStarted)) {
      outbox_[aFrom].notes.push_back(
        MakeOutcomeNote(aAnswer.request, RunOutcome::kCancelled));
    }
    return;
  }
  auto& pending = pending_.at(number->second);
  if (pending.lead_ != aFrom) {
    return;
  }
  auto decision = DecodeAnswer(aAnswer, number->second);
  if (!decision) {
    pending.isQueuedByLead_ = true;
    pending.answerDeadline_ =
      std::max(dispatcher_->WaitDeadline(pending.item_), aNow) +
      kDecisionMargin;
    return;
  }
  if (const auto* start = std::get_if<StartDecision>(&*decision)) {
    runs_[number->second] = { pending.number_, aFrom, start->target_,
                              start->addedLoad_, false };
    leads_[aFrom].hasRuns_ = true;
  } else {
    std::get<RejectDecision>(*decision).decidedBy_ = aFrom;
  }
  decisions_.push_back(*decision);
  pending_.erase(number->second);
  requestsByNumber_.erase(number);
}

auto PlacementClient::AttachLoad(Run* aRun, wire::RunNote* aNote, Instant aNow)
  -> void
{
  const auto load = std::exchange(aRun->load_, std::nullopt);
  if (load && aNow - aRun->loadAt_ <= kMaxLoadAge &&
      loadFilter_.Take(aRun->lead_, aRun->target_, *load, aNow)) {
    aNote->__set_load(EncodeLoad(*load));
    ++counters_.loadsSent_;
  }
}

auto PlacementClient::HandleAnswerTimeouts(Instant aNow) -> void
{
  // After a delay of this router's own loop, process the messages that arrived
  // in the meantime before treating leads as unresponsive.
  const bool wasDelayed = aNow - lastTick_ > kAnswerTimeout * 4;
  std::vector<RequestId> overdue;
  for (auto& entry : pending_) {
    auto& pending = entry.second;
    if (wasDelayed && pending.answerDeadline_ <= aNow) {
      pending.answerDeadline_ = aNow + kAnswerTimeout;
    }
    if (pending.answerDeadline_ <= aNow) {
      overdue.push_back(entry.first);
    }
  }
  for (const auto request : overdue) {
    auto pending = CancelPending(request);
    ++counters_.unanswered_;
    auto& lead = leads_[pending->lead_];
    const auto doublings = std::min(lead.failures_, kMaxDoublings);
    if (lead.avoidedUntil_ <= aNow) {
      ++lead.failures_;
      lead.avoidedUntil_ = aNow + kInitialAvoidance * (1 << doublings);
      const auto peer = peers_->Peers().find(pending->lead_);
      log_->Write(
        "lead_silent",
        { { "lead", peer == peers_->Peers().end()
                      ? std::string_view("unlisted")
                      : peer->second.address_.name_ },
          { "waits", std::int64_t{ pending->isQueuedByLead_ ? 1 : 0 } },
          { "failures", std::int64_t{ lead.failures_ } } });
    }
    Place(std::move(pending->item_), std::move(pending->triedLeads_), aNow);
  }
}

auto PlacementClient::ReassignRuns(Instant aNow) -> void
{
  std::set<RouterId> newLeads;
  for (auto entry = runs_.begin(); entry != runs_.end();) {
    auto& run = entry->second;
    const auto next = std::next(entry);
    if (!peers_->IsLive(run.lead_)) {
      const auto lead = PickLead({}, aNow);
      if (lead) {
        run.lead_ = *lead;
        newLeads.insert(*lead);
      } else if (peers_->IsLead()) {
        dispatcher_->AdoptRun(entry->first, run.target_, run.addedLoad_,
                              run.hasFirstEvent_);
        runs_.erase(entry);
      }
    }
    entry = next;
  }
  for (const auto lead : newLeads) {
    SendRunList(lead, aNow);
  }
}

auto PlacementClient::SendRunList(RouterId aLead, Instant aNow) -> void
{
  auto& message = outbox_[aLead];
  message.whole = true;
  message.runs.clear();
  for (const auto& entry : runs_) {
    const auto& run = entry.second;
    if (run.lead_ != aLead) {
      continue;
    }
    wire::RunRow row;
    row.request = run.number_;
    row.target = run.target_.value_;
    row.prefillTokens = run.hasFirstEvent_ ? 0 : run.addedLoad_.prefillTokens_;
    row.memoryTokens = run.addedLoad_.memoryTokens_;
    row.begun = run.hasFirstEvent_;
    message.runs.push_back(row);
  }
  // Runs missing from a truncated list are not treated as ended.
  message.whole = message.runs.size() <= kMaxListedRuns;
  message.runs.resize(std::min(message.runs.size(), kMaxListedRuns));
  auto& lead = leads_[aLead];
  lead.runListSentAt_ = aNow;
  lead.hasRuns_ = !message.runs.empty();
}

auto PlacementClient::SendDueRunLists(Instant aNow) -> void
{
  for (auto& entry : leads_) {
    // Sent once more after the last run, in case its outcome note was lost.
    if (entry.second.hasRuns_ &&
        aNow - entry.second.runListSentAt_ >= kRunListInterval) {
      SendRunList(entry.first, aNow);
    }
  }
  std::erase_if(leads_, [&](const auto& aEntry) {
    return !aEntry.second.hasRuns_ && !peers_->IsLive(aEntry.first);
  });
}

PlacementClient::PlacementClient(Dispatcher* aDispatcher,
                                 const PeerTable* aPeers,
                                 EventLog* aLog)
  : dispatcher_(aDispatcher)
  , peers_(aPeers)
  , log_(aLog)
{
}

auto PlacementClient::Submit(WorkItem aItem, Instant aNow) -> void
{
  Place(std::move(aItem), {}, aNow);
}

auto PlacementClient::Withdraw(RequestId aRequest) -> void
{
  if (!CancelPending(aRequest)) {
    dispatcher_->Withdraw(aRequest);
  }
}

auto PlacementClient::OnFirstEvent(RequestId aRequest, Instant aNow) -> void
{
  const auto found = runs_.find(aRequest);
  if (found == runs_.end()) {
    dispatcher_->OnFirstEvent(aRequest, aNow);
    return;
  }
  auto& run = found->second;
  if (!std::exchange(run.hasFirstEvent_, true)) {
    run.addedLoad_.prefillTokens_ = 0;
    auto note = MakeFirstEventNote(run.number_);
    AttachLoad(&run, &note, aNow);
    outbox_[run.lead_].notes.push_back(note);
  }
}

auto PlacementClient::OnRunEnd(RequestId aRequest,
                               RunOutcome aOutcome,
                               Instant aNow) -> void
{
  const auto found = runs_.find(aRequest);
  if (found == runs_.end()) {
    dispatcher_->OnRunEnd(aRequest, aOutcome, aNow);
    return;
  }
  auto& run = found->second;
  auto note = MakeOutcomeNote(run.number_, aOutcome);
  AttachLoad(&run, &note, aNow);
  outbox_[run.lead_].notes.push_back(note);
  runs_.erase(found);
}

auto PlacementClient::OnTargetLoad(RequestId aRequest,
                                   const ReportedLoad& aLoad,
                                   Instant aNow) -> void
{
  const auto found = runs_.find(aRequest);
  if (found != runs_.end()) {
    found->second.load_ = aLoad;
    found->second.loadAt_ = aNow;
  }
}

auto PlacementClient::OnTargetPause(RequestId aRequest, Duration aPause) -> void
{
  const auto found = runs_.find(aRequest);
  if (found == runs_.end()) {
    return;
  }
  // A target that asks for a pause has not run the request.
  auto note = MakeOutcomeNote(found->second.number_, RunOutcome::kRefused);
  note.restMicros = aPause.count();
  outbox_[found->second.lead_].notes.push_back(note);
}

auto PlacementClient::OnMessage(RouterId aFrom,
                                const wire::Placement& aMessage,
                                Instant aNow) -> void
{
  for (const auto& answer : aMessage.answers) {
    OnAnswer(aFrom, answer, aNow);
  }
}

auto PlacementClient::Tick(Instant aNow) -> void
{
  HandleAnswerTimeouts(aNow);
  ReassignRuns(aNow);
  SendDueRunLists(aNow);
  lastTick_ = aNow;
}

auto PlacementClient::NextWake() const -> std::optional<Instant>
{
  std::optional<Instant> wake;
  for (const auto& entry : pending_) {
    wake = std::min(wake.value_or(entry.second.answerDeadline_),
                    entry.second.answerDeadline_);
  }
  return wake;
}

auto PlacementClient::TakeDecisions() -> std::vector<DispatchDecision>
{
  return std::exchange(decisions_, {});
}

auto PlacementClient::TakeMessages() -> PlacementOutbox
{
  return std::exchange(outbox_, {});
}

auto PlacementClient::LeadOf(RequestId aRequest) const
  -> std::optional<RouterId>
{
  if (const auto run = runs_.find(aRequest); run != runs_.end()) {
    return run->second.lead_;
  }
  const auto pending = pending_.find(aRequest);
  return pending == pending_.end() ? std::nullopt
                                   : std::make_optional(pending->second.lead_);
}

auto PlacementClient::Counters() const -> const PlacementCounters&
{
  return counters_;
}

} // namespace burdockring
