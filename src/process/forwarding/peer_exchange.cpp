#include "process/forwarding/peer_exchange.h"

#include <utility>

namespace burdockring {
namespace {

/// Salt of the order in which a zone's routers read a list.
constexpr std::int32_t kReaderSalt = 29;

/// A router that has just started, or leaves, works with the same targets as
/// those that are known to live.
auto TakesReports(const Peer& aPeer) -> bool
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
         kReportSpacing * static_cast<int>(peers_.Peers().size());
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
  const bool due = loadChanged_ && aNow - lastReport_ >= ReportInterval();
  if (!stamped && !due) {
    return;
  }
  lastReport_ = aNow;
  loadChanged_ = false;
  wire::Envelope envelope;
  envelope.__isset.load = true;
  envelope.load = dispatcher_->MakeReport(announces_, aNow);
  if (stamped) {
    SendStampedReports(std::move(envelope), aNow);
    return;
  }
  std::vector<RouterPlace> routers;
  for (const auto& entry : peers_.Peers()) {
    if (TakesReports(entry.second)) {
      routers.push_back(PlaceOf(entry.second));
    }
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
  for (const auto& entry : peers_.Peers()) {
    if (!TakesReports(entry.second)) {
      continue;
    }
    const auto stamp = stamps_.find(entry.first);
    aEnvelope.load.echoMicros = stamp == stamps_.end() ? 0 : stamp->second;
    SendTo(entry.second.address_, aEnvelope);
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
                                const wire::LoadReport& aReport,
                                Instant aNow) -> void
{
  dispatcher_->OnPeerReport(aFrom, aReport, aNow);
  if (aReport.stampMicros == 0) {
    return;
  }
  stamps_[aFrom] = aReport.stampMicros;
  const auto have = config_->Table()->Version();
  // The peer's age counts from when it sent, which was after it had read the
  // stamp that it echoes; so the echo is the earliest that its word holds for.
  const Instant asOf =
    Instant(aReport.echoMicros) - Duration(aReport.configAgeMicros);
  if (aReport.echoMicros > 0 && aReport.configVersion == have) {
    config_->Confirm(asOf);
  }
  if (aReport.configVersion > have) {
    AskForConfiguration(aFrom, aNow);
  }
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
  if (peer == peers_.Peers().end() || aHave >= config_->Table()->Version() ||
      config_->Text().size() > kMaxDatagramBytes) {
    return;
  }
  wire::Envelope offer;
  offer.__isset.configOffer = true;
  offer.configOffer.version = config_->Table()->Version();
  offer.configOffer.text = config_->Text();
  SendTo(peer->second.address_, std::move(offer));
}

auto PeerExchange::OnListNews(const wire::ListNews& aNews, Instant aNow) -> void
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
}

auto PeerExchange::RankFor(SharedList aList) const -> int
{
  const auto& self = peers_.Self();
  const auto score = [&](RouterId aRouter) {
    return RendezvousScore(aRouter.value_, static_cast<std::int32_t>(aList),
                           kReaderSalt);
  };
  int rank = 0;
  for (const auto router : peers_.LiveInZone(self.zone_)) {
    if (router != self.id_ && score(router) > score(self.id_)) {
      ++rank;
    }
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
                           ForwardingEffects* aEffects)
  : incarnation_(aIncarnation)
  , config_(aConfig)
  , dispatcher_(aDispatcher)
  , log_(aLog)
  , effects_(aEffects)
  , peers_(std::move(aSelf), aIncarnation)
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
    OnLoadReport(from, aEnvelope.load, aNow);
  }
  if (aEnvelope.__isset.configRequest) {
    OfferConfiguration(from, aEnvelope.configRequest.haveVersion);
  }
  if (aEnvelope.__isset.configOffer &&
      aEnvelope.configOffer.version > config_->Table()->Version()) {
    // How old the peer's word is comes with its next load report.
    effects_->emplace_back(
      AdoptConfiguration{ aEnvelope.configOffer.text, 0us });
  }
  if (aEnvelope.__isset.listNews) {
    OnListNews(aEnvelope.listNews, aNow);
  }
}

auto PeerExchange::NoteLoadChanged() -> void
{
  loadChanged_ = true;
}

auto PeerExchange::OnConfigurationInForce(bool aFromSource) -> void
{
  announces_ = announces_ || aFromSource;
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
  if (!loadChanged_) {
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
  const int rank = RankFor(aList);
  if (aFirst) {
    return turns_.TimeToFirstRead(aList, rank, aNow);
  }
  if (aList == SharedList::kConfiguration) {
    turns_.Note(aList, config_->AsOf());
    if (newerSince_ && aNow - *newerSince_ >= kOfferTimeout) {
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
  std::vector<RouterPlace> routers;
  for (const auto& entry : peers_.Peers()) {
    if (entry.second.address_.zone_ == peers_.Self().zone_ &&
        TakesReports(entry.second)) {
      routers.push_back(PlaceOf(entry.second));
    }
  }
  wire::Envelope envelope;
  envelope.__isset.listNews = true;
  envelope.listNews = std::move(*aNews);
  SendToAll(routers, std::move(envelope));
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
