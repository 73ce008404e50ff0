#include "process/peers/peer_exchange.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

/// Salt for the order in which a zone's routers read a list.
constexpr std::int32_t kReadOrderSalt = 29;

/// Starting and leaving routers get updates too, as they use the same targets
/// as the live ones.
auto ReceivesUpdates(const Peer& aPeer) -> bool
{
  return aPeer.state_ != PeerState::kDead;
}

auto EndpointOf(const Peer& aPeer) -> RouterEndpoint
{
  return { aPeer.address_.host_, aPeer.address_.peerPort_ };
}

} // namespace

auto PeerExchange::ReportInterval() const -> Duration
{
  return kReportInterval +
         kReportIntervalPerLead * static_cast<int>(OtherLeads().size());
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

auto PeerExchange::OwnZoneLeads() const -> std::vector<const Peer*>
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
  const auto leads = OwnZoneLeads();
  for (const auto& entry : peers_.Peers()) {
    const auto& peer = entry.second;
    const bool isLead =
      std::find(leads.begin(), leads.end(), &peer) != leads.end();
    if (peer.address_.zone_ == peers_.Self().zone_ && !isLead &&
        ReceivesUpdates(peer)) {
      followers.push_back(&peer);
    }
  }
  return followers;
}

auto PeerExchange::TakeLeaving() -> std::vector<std::int32_t>
{
  std::vector<std::int32_t> leaving;
  for (auto& entry : leavingReportsLeft_) {
    leaving.push_back(entry.first.value_);
    --entry.second;
  }
  std::erase_if(leavingReportsLeft_,
                [](const auto& aEntry) { return aEntry.second <= 0; });
  return leaving;
}

auto PeerExchange::HasLoad(const wire::LoadReport& aReport) const -> bool
{
  return dispatcher_->RunningCount() > 0 || !aReport.targets.empty() ||
         !aReport.accounts.empty() || !aReport.leaving.empty() ||
         aReport.__isset.crashes;
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
  // Datagrams have no connection to retry.
  peers_.TakeProbes();
}

auto PeerExchange::SendReports(Instant aNow) -> void
{
  const bool isTimestamped =
    announcementDue_ || quarantine_->TakeUrgentNews() ||
    aNow - lastTimestampedReport_ >= kTimestampedReportInterval;
  const bool hasChanges = dispatcher_->HasLoadChanged() ||
                          !leavingReportsLeft_.empty() ||
                          quarantine_->HasEvents();
  const bool isDue = hasChanges && aNow - lastReport_ >= ReportInterval();
  if (!isTimestamped && !isDue) {
    return;
  }
  lastReport_ = aNow;
  wire::Envelope envelope;
  envelope.__isset.load = true;
  envelope.load = dispatcher_->MakeReport(announcementDue_, aNow);
  envelope.load.leaving = TakeLeaving();
  if (quarantine_->HasEvents()) {
    envelope.load.__set_crashes(quarantine_->TakeEvents(aNow));
  }
  if (isTimestamped) {
    SendTimestampedReports(std::move(envelope), aNow);
    return;
  }
  std::vector<RouterEndpoint> routers;
  for (const auto* lead : OtherLeads()) {
    routers.push_back(EndpointOf(*lead));
  }
  SendToAll(routers, std::move(envelope));
}

auto PeerExchange::SendTimestampedReports(wire::Envelope aEnvelope,
                                          Instant aNow) -> void
{
  announcementDue_ = false;
  lastTimestampedReport_ = aNow;
  aEnvelope.load.configVersion = config_->Table()->Version();
  aEnvelope.load.configAgeMicros = (aNow - config_->ConfirmedAt()).count();
  aEnvelope.load.stampMicros = aNow.count();
  if (aNow < reportGoneUntil_) {
    aEnvelope.load.gone = goneTargets_;
  }
  if (const auto drains = drains_->ListForPeers()) {
    aEnvelope.load.__set_drains(*drains);
  }
  if (peers_.IsLead() && aNow - lastColdList_ >= kColdListInterval) {
    if (const auto cold = dispatcher_->ColdTargetList(aNow)) {
      lastColdList_ = aNow;
      aEnvelope.load.__set_cold(*cold);
    }
  }
  if (peers_.IsLead() && quarantine_->HasRows()) {
    aEnvelope.load.__isset.crashes = true;
    aEnvelope.load.crashes.quarantined = quarantine_->Rows(aNow);
  }
  auto configOnly = aEnvelope;
  configOnly.load.crashes.lost.clear();
  configOnly.load.crashes.down.clear();
  configOnly.load.crashes.begun.clear();
  configOnly.load.targets.clear();
  configOnly.load.accounts.clear();
  configOnly.load.reads.clear();
  configOnly.load.leaving.clear();
  configOnly.load.partial = true;
  const auto send = [&](const Peer& aPeer, wire::Envelope& aReport) {
    const auto found = peerTimestamps_.find(aPeer.address_.id_);
    const auto timestamp =
      found == peerTimestamps_.end() ? PeerTimestamp() : found->second;
    aReport.load.echoMicros = timestamp.micros_;
    aReport.load.echoIncarnation = timestamp.incarnation_;
    SendTo(aPeer.address_, aReport);
  };
  // A router that is no lead and has placed nothing itself needs to hear only
  // from the leads of its own zone.
  const bool sendToAllLeads = peers_.IsLead() || HasLoad(aEnvelope.load);
  for (const auto* lead : sendToAllLeads ? OtherLeads() : OwnZoneLeads()) {
    send(*lead, aEnvelope);
  }
  for (const auto* follower : Followers()) {
    send(*follower, configOnly);
  }
}

auto PeerExchange::SendTo(const RouterAddress& aRouter,
                          wire::Envelope aEnvelope) -> void
{
  SendToAll({ { aRouter.host_, aRouter.peerPort_ } }, std::move(aEnvelope));
}

auto PeerExchange::SendToAll(const std::vector<RouterEndpoint>& aRouters,
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
  if (aReport.__isset.crashes) {
    quarantine_->OnPeerNews(aReport.crashes, aNow);
  }
  if (aReport.__isset.cold) {
    dispatcher_->OnPeerColdTargets(aReport.cold, aNow);
  }
  if (aReport.stampMicros == 0) {
    return;
  }
  auto& timestamp = peerTimestamps_[aFrom];
  if (timestamp.incarnation_ != aIncarnation) {
    // A process that has just started knows no quarantine.
    quarantine_->RepeatRows();
  }
  timestamp = { aReport.stampMicros, aIncarnation };
  ApplyConfigAge(aReport, aNow);
  if (aReport.configVersion > config_->Table()->Version()) {
    RequestConfiguration(aFrom, aNow);
  }
}

auto PeerExchange::ApplyConfigAge(const wire::LoadReport& aReport, Instant aNow)
  -> void
{
  // A peer that does not receive this incarnation's messages echoes an earlier
  // one, whose clock may have been ahead.
  const bool isOwnEcho = aReport.echoIncarnation == incarnation_ &&
                         aReport.echoMicros > 0 &&
                         aReport.echoMicros <= aNow.count();
  const bool isValidAge = aReport.configAgeMicros >= 0 &&
                          aReport.configAgeMicros <= kMaxConfigAge.count();
  if (!isOwnEcho || !isValidAge ||
      aReport.configVersion != config_->Table()->Version()) {
    return;
  }
  // The peer computed the age when it sent the report, which was after it had
  // read the timestamp that it echoes. So the echo is a lower bound of that
  // time.
  config_->Confirm(Instant(aReport.echoMicros) -
                   Duration(aReport.configAgeMicros));
}

auto PeerExchange::RequestConfiguration(RouterId aFrom, Instant aNow) -> void
{
  if (!newerConfigSince_) {
    newerConfigSince_ = aNow;
  }
  const auto peer = peers_.Peers().find(aFrom);
  if (peer == peers_.Peers().end() ||
      aNow - lastConfigRequest_ <= kConfigRequestInterval) {
    return;
  }
  lastConfigRequest_ = aNow;
  wire::Envelope request;
  request.__isset.configRequest = true;
  request.configRequest.haveVersion = config_->Table()->Version();
  SendTo(peer->second.address_, std::move(request));
}

auto PeerExchange::SendConfiguration(RouterId aTo, std::int64_t aKnownVersion)
  -> void
{
  const auto peer = peers_.Peers().find(aTo);
  const auto& text = config_->Text();
  const auto pieces = (text.size() + kMaxPieceBytes - 1) / kMaxPieceBytes;
  if (peer == peers_.Peers().end() ||
      aKnownVersion >= config_->Table()->Version() || pieces > kMaxPieces) {
    return;
  }
  for (std::size_t i = 0; i < pieces; ++i) {
    wire::Envelope offer;
    offer.__isset.configOffer = true;
    offer.configOffer.version = config_->Table()->Version();
    offer.configOffer.text = text.substr(i * kMaxPieceBytes, kMaxPieceBytes);
    offer.configOffer.piece = static_cast<std::int32_t>(i);
    offer.configOffer.pieces = static_cast<std::int32_t>(pieces);
    SendTo(peer->second.address_, std::move(offer));
  }
}

auto PeerExchange::OnConfigOffer(const wire::ConfigOffer& aOffer) -> void
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
  // The peer's next load report carries the age of the configuration.
  effects_->emplace_back(ApplyConfiguration{ std::move(text), 0us });
}

auto PeerExchange::SendListNews(const std::vector<const Peer*>& aPeers,
                                const wire::ListNews& aNews) -> void
{
  std::vector<RouterEndpoint> routers;
  for (const auto* peer : aPeers) {
    routers.push_back(EndpointOf(*peer));
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
    readScheduler_.NoteUpdate(list, aNow);
  }
  effects_->emplace_back(ApplyListNews{ list, aNews });
  const auto sender = peers_.Peers().find(aFrom);
  const bool isFromOtherZone =
    sender != peers_.Peers().end() &&
    sender->second.address_.zone_ != peers_.Self().zone_;
  if (isFromOtherZone) {
    SendListNews(Followers(), aNews);
  }
}

auto PeerExchange::ReadRank(SharedList aList) const -> int
{
  const auto& self = peers_.Self();
  const auto listId = static_cast<std::int32_t>(aList);
  const auto score = [&](std::int32_t aMember) {
    return RendezvousScore(aMember, listId, kReadOrderSalt);
  };
  int zones = 1;
  int zonesAhead = 0;
  int leadsElsewhere = 0;
  for (const auto zone : peers_.Zones()) {
    const auto& leads = peers_.Leads(zone);
    if (zone == self.zone_ || leads.empty()) {
      continue;
    }
    ++zones;
    leadsElsewhere += static_cast<int>(leads.size());
    zonesAhead += score(zone.value_) > score(self.zone_.value_) ? 1 : 0;
  }
  const auto& ownLeads = peers_.Leads(self.zone_);
  const auto position = std::find(ownLeads.begin(), ownLeads.end(), self.id_);
  if (position != ownLeads.end()) {
    return static_cast<int>(position - ownLeads.begin()) * zones + zonesAhead;
  }
  int rank = leadsElsewhere + static_cast<int>(ownLeads.size());
  for (const auto router : peers_.LiveInZone(self.zone_)) {
    rank += score(router.value_) > score(self.id_.value_) ? 1 : 0;
  }
  return rank;
}

auto PeerExchange::LogPeerChanges() -> void
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
                           ActiveConfig* aConfig,
                           Dispatcher* aDispatcher,
                           PartQuarantine* aQuarantine,
                           ZoneDrains* aDrains,
                           EventLog* aLog,
                           ForwardingEffects* aEffects,
                           const ForwardingPolicy& aPolicy)
  : incarnation_(aIncarnation)
  , config_(aConfig)
  , dispatcher_(aDispatcher)
  , quarantine_(aQuarantine)
  , drains_(aDrains)
  , log_(aLog)
  , effects_(aEffects)
  , policy_(aPolicy)
  , peers_(std::move(aSelf),
           aIncarnation,
           aPolicy.IsEnabled(Mechanism::kLeads) ? kMaxLeads : kUnlimitedLeads)
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
    SendConfiguration(from, aEnvelope.configRequest.haveVersion);
  }
  if (aEnvelope.__isset.configOffer) {
    OnConfigOffer(aEnvelope.configOffer);
  }
  if (aEnvelope.__isset.listNews) {
    OnListNews(from, aEnvelope.listNews, aNow);
  }
}

auto PeerExchange::ReportLeaving(TargetId aTarget) -> void
{
  leavingReportsLeft_[aTarget] = kLeavingReportCount;
}

auto PeerExchange::ReportGone(const std::set<TargetId>& aTargets, Instant aNow)
  -> void
{
  goneTargets_.clear();
  for (const auto target : aTargets) {
    if (goneTargets_.size() < kMaxGoneReported) {
      goneTargets_.push_back(target.value_);
    }
  }
  reportGoneUntil_ = aNow + kGoneReportDuration;
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

auto PeerExchange::OnConfigurationChanged(bool aFromSource) -> void
{
  // A lead informs its zone, whichever source the configuration came from.
  announcementDue_ = announcementDue_ || aFromSource || peers_.IsLead();
  newerConfigSince_.reset();
}

auto PeerExchange::OnDrainsChanged() -> void
{
  announcementDue_ = true;
}

auto PeerExchange::Tick(Instant aNow) -> void
{
  SendHeartbeats(aNow);
  SendReports(aNow);
  LogPeerChanges();
}

auto PeerExchange::NextWake() const -> std::optional<Instant>
{
  if (announcementDue_) {
    return lastReport_;
  }
  if (!dispatcher_->HasLoadChanged() && leavingReportsLeft_.empty() &&
      !quarantine_->HasEvents()) {
    return std::nullopt;
  }
  return lastReport_ + ReportInterval();
}

auto PeerExchange::SetLeaving() -> void
{
  peers_.SetLeaving();
}

auto PeerExchange::TimeToRead(SharedList aList, bool aIsFirstRead, Instant aNow)
  -> Duration
{
  const int rank =
    policy_.IsEnabled(Mechanism::kReadTurns) ? ReadRank(aList) : 0;
  if (aIsFirstRead) {
    return readScheduler_.TimeToFirstRead(aList, rank, aNow);
  }
  if (aList == SharedList::kConfiguration) {
    readScheduler_.NoteUpdate(aList, config_->ConfirmedAt());
    const auto timeout = peers_.IsLead() ? kOfferTimeout : kNonLeadOfferTimeout;
    if (newerConfigSince_ && aNow - *newerConfigSince_ >= timeout) {
      return readScheduler_.TimeToFirstRead(aList, rank, aNow);
    }
  }
  return readScheduler_.TimeToRead(aList, rank, aNow);
}

auto PeerExchange::OnListRead(SharedList aList,
                              bool aSuccess,
                              std::optional<wire::ListNews> aNews,
                              Instant aNow) -> void
{
  readScheduler_.OnRead(aList, aSuccess, aNow);
  if (aSuccess) {
    readScheduler_.NoteUpdate(aList, aNow);
  }
  if (!aNews || aNews->batch.size() > kMaxDatagramBytes) {
    return;
  }
  SendListNews(OtherLeads(), *aNews);
  SendListNews(Followers(), *aNews);
}

auto PeerExchange::Peers() const -> const PeerTable&
{
  return peers_;
}

auto PeerExchange::TriesQuarantined() const -> bool
{
  for (const auto zone : peers_.Zones()) {
    const auto& leads = peers_.Leads(zone);
    if (std::any_of(leads.begin(), leads.end(), [&](RouterId aLead) {
          return aLead < peers_.Self().id_;
        })) {
      return false;
    }
  }
  return peers_.IsLead();
}

auto PeerExchange::RouterCount() const -> int
{
  return static_cast<int>(peers_.Peers().size()) + 1;
}

} // namespace burdockring
