#include "process/forwarding/peer_exchange.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

/// Salt of the order in which a zone's routers read a list.
constexpr std::int32_t kReaderSalt = 29;

/// A router that has just started, or leaves, works with the same targets as
/// those that are known to live.
auto TakesNews(const Peer& aPeer) -> bool
{
  return aPeer.state_ != PeerState::kDead;
}

auto PlaceOf(const Peer& aPeer) -> RouterPlace
{
  return { aPeer.address_.host_, aPeer.address_.peerPort_ };
}

} // namespace

auto PeerExchange::ReportInterval() const -> Duration
{
  return kReportInterval +
         kReportSpacing * static_cast<int>(OtherLeads().size());
}

auto PeerExchange::AddLeads(ZoneId aZone,
                            std::vector<const Peer*>* aLeads) const -> void
{
  for (const auto* routers :
       { &peers_.Leads(aZone), &peers_.UnheardLeads(aZone) }) {
    for (const auto router : *routers) {
      const auto found = peers_.Peers().find(router);
      if (found != peers_.Peers().end()) {
        aLeads->push_back(&found->second);
      }
    }
  }
}

auto PeerExchange::OtherLeads() const -> std::vector<const Peer*>
{
  std::vector<const Peer*> leads;
  for (const auto zone : peers_.Zones()) {
    AddLeads(zone, &leads);
  }
  return leads;
}

auto PeerExchange::OwnLeads() const -> std::vector<const Peer*>
{
  std::vector<const Peer*> leads;
  AddLeads(peers_.Self().zone_, &leads);
  return leads;
}

auto PeerExchange::Followers() const -> std::vector<const Peer*>
{
  std::vector<const Peer*> followers;
  if (!peers_.IsLead()) {
    return followers;
  }
  const auto leads = OwnLeads();
  for (const auto& entry : peers_.Peers()) {
    const auto& peer = entry.second;
    const bool isLead =
      std::find(leads.begin(), leads.end(), &peer) != leads.end();
    if (peer.address_.zone_ == peers_.Self().zone_ && !isLead &&
        TakesNews(peer)) {
      followers.push_back(&peer);
    }
  }
  return followers;
}

auto PeerExchange::TakeLeaving() -> std::vector<std::int32_t>
{
  std::vector<std::int32_t> leaving;
  for (auto& entry : leaving_) {
    leaving.push_back(entry.first.value_);
    --entry.second;
  }
  std::erase_if(leaving_,
                [](const auto& aEntry) { return aEntry.second <= 0; });
  return leaving;
}

auto PeerExchange::TellsLoad(const wire::LoadReport& aReport) const -> bool
{
  return dispatcher_->RunningCount() > 0 || !aReport.targets.empty() ||
         !aReport.accounts.empty() || !aReport.leaving.empty();
}

auto PeerExchange::SendHeartbeats(Instant aNow) -> void
{
  for (auto& addressed : peers_.Tick(aNow, config_->Table()->Version())) {
    const auto peer = peers_.Peers().find(addressed.router_);
    if (peer == peers_.Peers().end()) {
      continue;
    }
    wire::Envelope envelope;
    envelope.__isset.heartbeat = true;
    envelope.heartbeat = std::move(addressed.heartbeat_);
    SendTo(peer->second.address_, std::move(envelope));
  }
  // Datagrams have no connection to try anew.
  peers_.TakeProbes();
}

auto PeerExchange::SendReports(Instant aNow) -> void
{
  const bool stamped =
    announces_ || aNow - lastStampedReport_ >= kStampedReportInterval;
  const bool hasNews = dispatcher_->HasLoadChanged() || !leaving_.empty();
  const bool due = hasNews && aNow - lastReport_ >= ReportInterval();
  if (!stamped && !due) {
    return;
  }
  lastReport_ = aNow;
  wire::Envelope envelope;
  envelope.__isset.load = true;
  envelope.load = dispatcher_->MakeReport(announces_, aNow);
  envelope.load.leaving = TakeLeaving();
  if (stamped) {
    SendStampedReports(std::move(envelope), aNow);
    return;
  }
  std::vector<RouterPlace> routers;
  for (const auto* lead : OtherLeads()) {
    routers.push_back(PlaceOf(*lead));
  }
  SendToAll(routers, std::move(envelope));
}

auto PeerExchange::SendStampedReports(wire::Envelope aEnvelope, Instant aNow)
  -> void
{
  announces_ = false;
  lastStampedReport_ = aNow;
  aEnvelope.load.configVersion = config_->Table()->Version();
  aEnvelope.load.configAgeMicros = (aNow - config_->AsOf()).count();
  aEnvelope.load.stampMicros = aNow.count();
  if (aNow < tellsGoneUntil_) {
    aEnvelope.load.gone = gone_;
  }
  auto bare = aEnvelope;
  bare.load.targets.clear();
  bare.load.accounts.clear();
  bare.load.reads.clear();
  bare.load.leaving.clear();
  bare.load.partial = true;
  const auto send = [&](const Peer& aPeer, wire::Envelope& aReport) {
    const auto found = stamps_.find(aPeer.address_.id_);
    const auto stamp = found == stamps_.end() ? Stamp() : found->second;
    aReport.load.echoMicros = stamp.micros_;
    aReport.load.echoIncarnation = stamp.incarnation_;
    SendTo(aPeer.address_, aReport);
  };
  // Who is no lead and has placed nothing itself has only its own zone's leads
  // to hear from.
  const bool tellsAll = peers_.IsLead() || TellsLoad(aEnvelope.load);
  for (const auto* lead : tellsAll ? OtherLeads() : OwnLeads()) {
    send(*lead, aEnvelope);
  }
  for (const auto* follower : Followers()) {
    send(*follower, bare);
  }
}

auto PeerExchange::SendTo(const RouterAddress& aRouter,
                          wire::Envelope aEnvelope) -> void
{
  SendToAll({ { aRouter.host_, aRouter.peerPort_ } }, std::move(aEnvelope));
}

auto PeerExchange::SendToAll(const std::vector<RouterPlace>& aRouters,
                             wire::Envelope aEnvelope) -> void
{
  aEnvelope.sender = peers_.Self().id_.value_;
  aEnvelope.incarnation = incarnation_;
  effects_->emplace_back(SendToRouters{ aRouters, std::move(aEnvelope) });
}

auto PeerExchange::OnLoadReport(RouterId aFrom,
                                std::int64_t aIncarnation,
                                const wire::LoadReport& aReport,
                                Instant aNow) -> void
{
  dispatcher_->OnPeerReport(aFrom, aReport, aNow);
  if (aReport.stampMicros == 0) {
    return;
  }
  stamps_[aFrom] = { aReport.stampMicros, aIncarnation };
  TakeConfigAge(aReport, aNow);
  if (aReport.configVersion > config_->Table()->Version()) {
    AskForConfiguration(aFrom, aNow);
  }
}

auto PeerExchange::TakeConfigAge(const wire::LoadReport& aReport, Instant aNow)
  -> void
{
  // A peer that does not hear this life of the router echoes one before, whose
  // clock may have been ahead.
  const bool isOwn = aReport.echoIncarnation == incarnation_ &&
                     aReport.echoMicros > 0 &&
                     aReport.echoMicros <= aNow.count();
  const bool isAge =
    aReport.configAgeMicros >= 0 && aReport.configAgeMicros <= kOldest.count();
  if (!isOwn || !isAge ||
      aReport.configVersion != config_->Table()->Version()) {
    return;
  }
  // The peer's age counts from when it sent, which was after it had read the
  // stamp that it echoes; so the echo is the earliest that its word holds for.
  config_->Confirm(Instant(aReport.echoMicros) -
                   Duration(aReport.configAgeMicros));
}

auto PeerExchange::AskForConfiguration(RouterId aFrom, Instant aNow) -> void
{
  if (!newerSince_) {
    newerSince_ = aNow;
  }
  const auto peer = peers_.Peers().find(aFrom);
  if (peer == peers_.Peers().end() ||
      aNow - lastConfigRequest_ <= kConfigRequestInterval) {
    return;
  }
  lastConfigRequest_ = aNow;
  wire::Envelope ask;
  ask.__isset.configRequest = true;
  ask.configRequest.haveVersion = config_->Table()->Version();
  SendTo(peer->second.address_, std::move(ask));
}

auto PeerExchange::OfferConfiguration(RouterId aTo, std::int64_t aHave) -> void
{
  const auto peer = peers_.Peers().find(aTo);
  const auto& text = config_->Text();
  const auto pieces = (text.size() + kPieceBytes - 1) / kPieceBytes;
  if (peer == peers_.Peers().end() || aHave >= config_->Table()->Version() ||
      pieces > kMaxPieces) {
    return;
  }
  for (std::size_t i = 0; i < pieces; ++i) {
    wire::Envelope offer;
    offer.__isset.configOffer = true;
    offer.configOffer.version = config_->Table()->Version();
    offer.configOffer.text = text.substr(i * kPieceBytes, kPieceBytes);
    offer.configOffer.piece = static_cast<std::int32_t>(i);
    offer.configOffer.pieces = static_cast<std::int32_t>(pieces);
    SendTo(peer->second.address_, std::move(offer));
  }
}

auto PeerExchange::TakeOffer(const wire::ConfigOffer& aOffer) -> void
{
  const auto pieces = static_cast<std::size_t>(std::max(aOffer.pieces, 1));
  const auto piece = static_cast<std::size_t>(std::max(aOffer.piece, 0));
  if (aOffer.version <= config_->Table()->Version() || pieces > kMaxPieces ||
      piece >= pieces || aOffer.text.empty()) {
    return;
  }
  if (aOffer.version < piecesVersion_) {
    return;
  }
  if (aOffer.version > piecesVersion_ || pieces_.size() != pieces) {
    piecesVersion_ = aOffer.version;
    pieces_.assign(pieces, {});
  }
  pieces_[piece] = aOffer.text;
  std::string text;
  for (const auto& part : pieces_) {
    if (part.empty()) {
      return;
    }
    text += part;
  }
  piecesVersion_ = 0;
  pieces_.clear();
  // How old the peer's word is comes with its next load report.
  effects_->emplace_back(AdoptConfiguration{ std::move(text), 0us });
}

auto PeerExchange::TellListNews(const std::vector<const Peer*>& aPeers,
                                const wire::ListNews& aNews) -> void
{
  std::vector<RouterPlace> routers;
  for (const auto* peer : aPeers) {
    routers.push_back(PlaceOf(*peer));
  }
  if (routers.empty()) {
    return;
  }
  wire::Envelope envelope;
  envelope.__isset.listNews = true;
  envelope.listNews = aNews;
  SendToAll(routers, std::move(envelope));
}

auto PeerExchange::OnListNews(RouterId aFrom,
                              const wire::ListNews& aNews,
                              Instant aNow) -> void
{
  if (aNews.sharedList < 0 ||
      aNews.sharedList >= static_cast<std::int32_t>(kSharedListCount)) {
    log_->Write("list_news_skipped",
                { { "list", std::int64_t{ aNews.sharedList } } });
    return;
  }
  const auto list = static_cast<SharedList>(aNews.sharedList);
  if (aNews.reachable) {
    turns_.Note(list, aNow);
  }
  effects_->emplace_back(TakeListNews{ list, aNews });
  const auto sender = peers_.Peers().find(aFrom);
  const bool isFromAfar = sender != peers_.Peers().end() &&
                          sender->second.address_.zone_ != peers_.Self().zone_;
  if (isFromAfar) {
    TellListNews(Followers(), aNews);
  }
}

auto PeerExchange::RankFor(SharedList aList) const -> int
{
  const auto& self = peers_.Self();
  const auto subject = static_cast<std::int32_t>(aList);
  const auto score = [&](std::int32_t aMember) {
    return RendezvousScore(aMember, subject, kReaderSalt);
  };
  int zones = 1;
  int zonesBefore = 0;
  int leadsElsewhere = 0;
  for (const auto zone : peers_.Zones()) {
    const auto& leads = peers_.Leads(zone);
    if (zone == self.zone_ || leads.empty()) {
      continue;
    }
    ++zones;
    leadsElsewhere += static_cast<int>(leads.size());
    zonesBefore += score(zone.value_) > score(self.zone_.value_) ? 1 : 0;
  }
  const auto& own = peers_.Leads(self.zone_);
  const auto place = std::find(own.begin(), own.end(), self.id_);
  if (place != own.end()) {
    return static_cast<int>(place - own.begin()) * zones + zonesBefore;
  }
  int rank = leadsElsewhere + static_cast<int>(own.size());
  for (const auto router : peers_.LiveInZone(self.zone_)) {
    rank += score(router.value_) > score(self.id_.value_) ? 1 : 0;
  }
  return rank;
}

auto PeerExchange::LogChanges() -> void
{
  for (const auto& change : peers_.TakeChanges()) {
    const auto found = peers_.Peers().find(change.router_);
    log_->Write("peer_changed", { { "peer", found == peers_.Peers().end()
                                              ? std::string_view("unlisted")
                                              : found->second.address_.name_ },
                                  { "from", PeerStateName(change.from_) },
                                  { "to", PeerStateName(change.to_) } });
  }
}

PeerExchange::PeerExchange(RouterAddress aSelf,
                           std::int64_t aIncarnation,
                           ConfigInForceState* aConfig,
                           Dispatcher* aDispatcher,
                           EventLog* aLog,
                           ForwardingEffects* aEffects,
                           const ForwardingPolicy& aPolicy)
  : incarnation_(aIncarnation)
  , config_(aConfig)
  , dispatcher_(aDispatcher)
  , log_(aLog)
  , effects_(aEffects)
  , policy_(aPolicy)
  , peers_(std::move(aSelf),
           aIncarnation,
           aPolicy.IsEnabled(Mechanism::kLeads) ? kMostLeads : kAllAreLeads)
{
}

auto PeerExchange::SetListed(const std::vector<RouterAddress>& aRouters,
                             Instant aNow) -> void
{
  peers_.SetListed(aRouters, aNow);
}

auto PeerExchange::OnPeer(const wire::Envelope& aEnvelope, Instant aNow) -> void
{
  const RouterId from{ aEnvelope.sender };
  if (aEnvelope.__isset.heartbeat) {
    peers_.OnHeartbeat(from, aEnvelope.incarnation, aEnvelope.heartbeat, aNow);
  }
  if (aEnvelope.__isset.load) {
    OnLoadReport(from, aEnvelope.incarnation, aEnvelope.load, aNow);
  }
  if (aEnvelope.__isset.configRequest) {
    OfferConfiguration(from, aEnvelope.configRequest.haveVersion);
  }
  if (aEnvelope.__isset.configOffer) {
    TakeOffer(aEnvelope.configOffer);
  }
  if (aEnvelope.__isset.listNews) {
    OnListNews(from, aEnvelope.listNews, aNow);
  }
}

auto PeerExchange::TellLeaving(TargetId aTarget) -> void
{
  leaving_[aTarget] = kLeavingRepeats;
}

auto PeerExchange::TellGone(const std::set<TargetId>& aTargets, Instant aNow)
  -> void
{
  gone_.clear();
  for (const auto target : aTargets) {
    if (gone_.size() < kMaxGoneTold) {
      gone_.push_back(target.value_);
    }
  }
  tellsGoneUntil_ = aNow + kGoneTime;
}

auto PeerExchange::SendPlacements(const PlacementOutbox& aOutbox) -> void
{
  for (const auto& entry : aOutbox) {
    const auto peer = peers_.Peers().find(entry.first);
    if (peer == peers_.Peers().end()) {
      continue;
    }
    wire::Envelope envelope;
    envelope.__isset.placement = true;
    envelope.placement = entry.second;
    SendTo(peer->second.address_, std::move(envelope));
  }
}

auto PeerExchange::OnConfigurationInForce(bool aFromSource) -> void
{
  // A lead tells its zone, from wherever it has the configuration.
  announces_ = announces_ || aFromSource || peers_.IsLead();
  newerSince_.reset();
}

auto PeerExchange::Tick(Instant aNow) -> void
{
  SendHeartbeats(aNow);
  SendReports(aNow);
  LogChanges();
}

auto PeerExchange::NextWake() const -> std::optional<Instant>
{
  if (announces_) {
    return lastReport_;
  }
  if (!dispatcher_->HasLoadChanged() && leaving_.empty()) {
    return std::nullopt;
  }
  return lastReport_ + ReportInterval();
}

auto PeerExchange::SetLeaving() -> void
{
  peers_.SetLeaving();
}

auto PeerExchange::TimeToRead(SharedList aList, bool aFirst, Instant aNow)
  -> Duration
{
  const int rank =
    policy_.IsEnabled(Mechanism::kReadTurns) ? RankFor(aList) : 0;
  if (aFirst) {
    return turns_.TimeToFirstRead(aList, rank, aNow);
  }
  if (aList == SharedList::kConfiguration) {
    turns_.Note(aList, config_->AsOf());
    const auto timeout = peers_.IsLead() ? kOfferTimeout : kFarOfferTimeout;
    if (newerSince_ && aNow - *newerSince_ >= timeout) {
      return turns_.TimeToFirstRead(aList, rank, aNow);
    }
  }
  return turns_.TimeToRead(aList, rank, aNow);
}

auto PeerExchange::OnListRead(SharedList aList,
                              bool aSuccess,
                              std::optional<wire::ListNews> aNews,
                              Instant aNow) -> void
{
  turns_.OnRead(aList, aSuccess, aNow);
  if (aSuccess) {
    turns_.Note(aList, aNow);
  }
  if (!aNews || aNews->batch.size() > kMaxDatagramBytes) {
    return;
  }
  TellListNews(OtherLeads(), *aNews);
  TellListNews(Followers(), *aNews);
}

auto PeerExchange::Peers() const -> const PeerTable&
{
  return peers_;
}

auto PeerExchange::RouterCount() const -> int
{
  return static_cast<int>(peers_.Peers().size()) + 1;
}

} // namespace burdockring
