#include "process/forwarding/placement_client.h"

#include <algorithm>
#include <set>
#include <utility>

namespace burdockring {
namespace {

/// Salt of the order in which a router asks its zone's leads.
constexpr std::int32_t kAskSalt = 43;

} // namespace

auto PlacementClient::PickLead(const std::vector<RouterId>& aAsked,
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
    const bool wasAsked =
      std::find(aAsked.begin(), aAsked.end(), lead) != aAsked.end();
    const auto score = RendezvousScore(lead.value_, self.value_, kAskSalt);
    if (!avoided && !wasAsked && (!best || score > bestScore)) {
      best = lead;
      bestScore = score;
    }
  }
  return best;
}

auto PlacementClient::Place(WorkItem aItem,
                            std::vector<RouterId> aAsked,
                            Instant aNow) -> void
{
  const auto lead = PickLead(aAsked, aNow);
  if (!lead) {
    counters_.placedAlone_ += peers_->IsLead() ? 0 : 1;
    dispatcher_->Submit(std::move(aItem), aNow);
    return;
  }
  ++counters_.asked_;
  Ask ask;
  ask.number_ = nextNumber_++;
  ask.lead_ = *lead;
  ask.answerBy_ = aNow + kAnswerTimeout;
  ask.asked_ = std::move(aAsked);
  ask.asked_.push_back(*lead);
  outbox_[*lead].asks.push_back(EncodeAsk(aItem, ask.number_, aNow));
  const auto request = aItem.id_;
  numbers_[ask.number_] = request;
  ask.item_ = std::move(aItem);
  asks_[request] = std::move(ask);
}

auto PlacementClient::TakeBack(RequestId aRequest) -> std::optional<Ask>
{
  const auto found = asks_.find(aRequest);
  if (found == asks_.end()) {
    return std::nullopt;
  }
  auto ask = std::move(found->second);
  numbers_.erase(ask.number_);
  asks_.erase(found);
  outbox_[ask.lead_].notes.push_back(EndNote(ask.number_, RunEnd::kCancelled));
  return ask;
}

auto PlacementClient::OnAnswer(RouterId aFrom,
                               const wire::PlaceAnswer& aAnswer,
                               Instant aNow) -> void
{
  leads_[aFrom].failures_ = 0;
  leads_[aFrom].avoidedUntil_ = {};
  const auto number = numbers_.find(aAnswer.request);
  if (number == numbers_.end()) {
    // Too late: the request went elsewhere or its caller has gone. A run that
    // is under way keeps its number, so that an answer that comes twice does
    // not end it.
    const bool runs =
      std::any_of(runs_.begin(), runs_.end(), [&](const auto& aEntry) {
        return aEntry.second.number_ == aAnswer.request;
      });
    if (!runs &&
        aAnswer.outcome == static_cast<std::int32_t>(PlaceOutcome::kStarts)) {
      outbox_[aFrom].notes.push_back(
        EndNote(aAnswer.request, RunEnd::kCancelled));
    }
    return;
  }
  auto& ask = asks_.at(number->second);
  if (ask.lead_ != aFrom) {
    return;
  }
  auto verdict = DecodeVerdict(aAnswer, number->second);
  if (!verdict) {
    ask.waits_ = true;
    ask.answerBy_ =
      std::max(dispatcher_->GiveUpTime(ask.item_), aNow) + kVerdictMargin;
    return;
  }
  if (const auto* start = std::get_if<StartWork>(&*verdict)) {
    runs_[number->second] = { ask.number_, aFrom, start->target_,
                              start->addedLoad_, false };
    leads_[aFrom].hasRuns_ = true;
  } else {
    std::get<RejectWork>(*verdict).decidedBy_ = aFrom;
  }
  verdicts_.push_back(*verdict);
  asks_.erase(number->second);
  numbers_.erase(number);
}

auto PlacementClient::CheckAnswers(Instant aNow) -> void
{
  // A router that was held up itself first reads what came meanwhile.
  const bool wasHeldUp = aNow - lastTick_ > kAnswerTimeout * 4;
  std::vector<RequestId> overdue;
  for (auto& entry : asks_) {
    auto& ask = entry.second;
    if (wasHeldUp && ask.answerBy_ <= aNow) {
      ask.answerBy_ = aNow + kAnswerTimeout;
    }
    if (ask.answerBy_ <= aNow) {
      overdue.push_back(entry.first);
    }
  }
  for (const auto request : overdue) {
    auto ask = TakeBack(request);
    ++counters_.unanswered_;
    auto& lead = leads_[ask->lead_];
    const auto doublings = std::min(lead.failures_, kMaxDoublings);
    if (lead.avoidedUntil_ <= aNow) {
      ++lead.failures_;
      lead.avoidedUntil_ = aNow + kInitialAvoidance * (1 << doublings);
      const auto peer = peers_->Peers().find(ask->lead_);
      log_->Write("lead_silent",
                  { { "lead", peer == peers_->Peers().end()
                                ? std::string_view("unlisted")
                                : peer->second.address_.name_ },
                    { "waits", std::int64_t{ ask->waits_ ? 1 : 0 } },
                    { "failures", std::int64_t{ lead.failures_ } } });
    }
    Place(std::move(ask->item_), std::move(ask->asked_), aNow);
  }
}

auto PlacementClient::MoveRuns(Instant aNow) -> void
{
  std::set<RouterId> told;
  for (auto entry = runs_.begin(); entry != runs_.end();) {
    auto& run = entry->second;
    const auto next = std::next(entry);
    if (!peers_->IsLive(run.lead_)) {
      const auto lead = PickLead({}, aNow);
      if (lead) {
        run.lead_ = *lead;
        told.insert(*lead);
      } else if (peers_->IsLead()) {
        dispatcher_->Adopt(entry->first, run.target_, run.addedLoad_,
                           run.begun_);
        runs_.erase(entry);
      }
    }
    entry = next;
  }
  for (const auto lead : told) {
    TellAllRuns(lead, aNow);
  }
}

auto PlacementClient::TellAllRuns(RouterId aLead, Instant aNow) -> void
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
    row.prefillTokens = run.begun_ ? 0 : run.addedLoad_.prefillTokens_;
    row.memoryTokens = run.addedLoad_.memoryTokens_;
    row.begun = run.begun_;
    message.runs.push_back(row);
  }
  // A list that is not whole ends no run that it lacks.
  message.whole = message.runs.size() <= kMaxRunsTold;
  message.runs.resize(std::min(message.runs.size(), kMaxRunsTold));
  auto& lead = leads_[aLead];
  lead.toldAt_ = aNow;
  lead.hasRuns_ = !message.runs.empty();
}

auto PlacementClient::TellRuns(Instant aNow) -> void
{
  for (auto& entry : leads_) {
    // Once more after the last run, in case the note of its end was lost.
    if (entry.second.hasRuns_ && aNow - entry.second.toldAt_ >= kRunsInterval) {
      TellAllRuns(entry.first, aNow);
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
  if (!TakeBack(aRequest)) {
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
  if (!std::exchange(run.begun_, true)) {
    run.addedLoad_.prefillTokens_ = 0;
    outbox_[run.lead_].notes.push_back(BegunNote(run.number_));
  }
}

auto PlacementClient::OnRunEnd(RequestId aRequest, RunEnd aEnd, Instant aNow)
  -> void
{
  const auto found = runs_.find(aRequest);
  if (found == runs_.end()) {
    dispatcher_->OnRunEnd(aRequest, aEnd, aNow);
    return;
  }
  const auto& run = found->second;
  outbox_[run.lead_].notes.push_back(EndNote(run.number_, aEnd));
  runs_.erase(found);
}

auto PlacementClient::OnRest(RequestId aRequest, Duration aRest) -> void
{
  const auto found = runs_.find(aRequest);
  if (found == runs_.end()) {
    return;
  }
  // A target that asks for a rest has not run the request.
  auto note = EndNote(found->second.number_, RunEnd::kRefused);
  note.restMicros = aRest.count();
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
  CheckAnswers(aNow);
  MoveRuns(aNow);
  TellRuns(aNow);
  lastTick_ = aNow;
}

auto PlacementClient::NextWake() const -> std::optional<Instant>
{
  std::optional<Instant> wake;
  for (const auto& entry : asks_) {
    wake =
      std::min(wake.value_or(entry.second.answerBy_), entry.second.answerBy_);
  }
  return wake;
}

auto PlacementClient::TakeVerdicts() -> std::vector<DispatchVerdict>
{
  return std::exchange(verdicts_, {});
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
  const auto ask = asks_.find(aRequest);
  return ask == asks_.end() ? std::nullopt
                            : std::make_optional(ask->second.lead_);
}

auto PlacementClient::Counters() const -> const PlacementCounters&
{
  return counters_;
}

} // namespace burdockring
