#include "process/membership/peer_table.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace burdockring {
namespace {

struct StateRow
{
  PeerState state_;
  std::string_view name_;
};

constexpr std::array kStateTable{
  StateRow{ PeerState::kUnknown, "unknown" },
  StateRow{ PeerState::kAlive, "alive" },
  StateRow{ PeerState::kSuspect, "suspect" },
  StateRow{ PeerState::kDead, "dead" },
  StateRow{ PeerState::kLeaving, "leaving" },
};

auto Millis(Duration aDuration) -> std::int32_t
{
  return static_cast<std::int32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

auto IsUsable(const Peer& aPeer) -> bool
{
  return !aPeer.reportsUsDead_ && (aPeer.state_ == PeerState::kAlive ||
                                   aPeer.state_ == PeerState::kSuspect);
}

/// Salt of the rendezvous hash that breaks ties between leads of equal CPU.
constexpr std::int32_t kLeadOrderSalt = 41;

auto LeadScore(const RouterAddress& aRouter) -> std::pair<int, std::uint64_t>
{
  return { aRouter.millicores_,
           RendezvousScore(aRouter.id_.value_, aRouter.zone_.value_,
                           kLeadOrderSalt) };
}

/// Returns the aMax highest-ranked routers in descending rank.
auto SelectLeads(std::vector<const RouterAddress*> aRouters, std::size_t aMax)
  -> std::vector<RouterId>
{
  std::sort(aRouters.begin(), aRouters.end(),
            [](const auto* aLeft, const auto* aRight) {
              return LeadScore(*aLeft) > LeadScore(*aRight);
            });
  std::vector<RouterId> leads;
  for (std::size_t i = 0; i < std::min(aMax, aRouters.size()); ++i) {
    leads.push_back(aRouters[i]->id_);
  }
  return leads;
}

auto Contains(const std::vector<RouterId>& aRouters, RouterId aRouter) -> bool
{
  return std::find(aRouters.begin(), aRouters.end(), aRouter) != aRouters.end();
}

} // namespace

auto PeerStateName(PeerState aState) -> std::string_view
{
  for (const auto& row : kStateTable) {
    if (row.state_ == aState) {
      return row.name_;
    }
  }
  return "unknown";
}

auto PeerTable::SetState(RouterId aId, Peer* aPeer, PeerState aState) -> void
{
  if (aPeer->state_ == aState) {
    return;
  }
  changes_.push_back({ aId, aPeer->state_, aState });
  aPeer->state_ = aState;
  aPeer->broadcastsLeft_ = kUpdateBroadcasts;
  ++version_;
}

auto PeerTable::CheckPeers(Instant aNow) -> void
{
  if (aNow - lastCheck_ < kCheckInterval && lastCheck_ > 0us) {
    return;
  }
  lastCheck_ = aNow;
  gatewayZones_.clear();
  for (const auto& entry : membersByZone_) {
    if (entry.first != self_.zone_ &&
        ChooseGateway(self_.zone_, entry.first) == self_.id_) {
      gatewayZones_.insert(entry.first);
    }
  }
  std::erase_if(gatewaySince_, [&](const auto& aEntry) {
    return !gatewayZones_.contains(aEntry.first);
  });
  for (auto& entry : peers_) {
    UpdateMonitoring(entry.first, &entry.second, aNow);
  }
  for (auto& entry : peers_) {
    CheckPeer(entry.first, &entry.second, aNow);
  }
}

auto PeerTable::MaxZoneLeads(std::size_t aZones) const -> std::size_t
{
  return maxLeads_ == 0
           ? peers_.size() + 1
           : static_cast<std::size_t>(
               std::max(kMinZoneLeads, maxLeads_ / static_cast<int>(aZones)));
}

auto PeerTable::ComputeLeads(ZoneId aZone) const -> ZoneLeads
{
  const auto maxZoneLeads = MaxZoneLeads(Zones().size());
  std::vector<const RouterAddress*> live;
  std::vector<const RouterAddress*> unheard;
  for (const auto router : MembersOf(aZone)) {
    const auto& peer = peers_.at(router);
    if (IsUsable(peer)) {
      live.push_back(&peer.address_);
    } else if (peer.state_ == PeerState::kUnknown && peer.listed_) {
      unheard.push_back(&peer.address_);
    }
  }
  if (aZone == self_.zone_ && !leaving_) {
    live.push_back(&self_);
  }
  return { SelectLeads(std::move(live), maxZoneLeads),
           SelectLeads(std::move(unheard), maxZoneLeads) };
}

auto PeerTable::CachedLeads(ZoneId aZone) const -> const ZoneLeads&
{
  if (leadsVersion_ != version_) {
    leadsByZone_.clear();
    leadsVersion_ = version_;
  }
  const auto found = leadsByZone_.find(aZone);
  if (found != leadsByZone_.end()) {
    return found->second;
  }
  return leadsByZone_.emplace(aZone, ComputeLeads(aZone)).first->second;
}

auto PeerTable::UpdateMonitoring(RouterId aId, Peer* aPeer, Instant aNow)
  -> void
{
  const bool isMonitored =
    aPeer->address_.zone_ == self_.zone_ &&
    (maxLeads_ == 0 || IsLead() || Contains(Leads(self_.zone_), aId));
  // A peer that is monitored only from now on has had no time to send yet.
  if (isMonitored && !aPeer->isMonitored_ && maxLeads_ > 0) {
    aPeer->monitoredSince_ = aNow;
  }
  aPeer->isMonitored_ = isMonitored;
}

auto PeerTable::HeartbeatRecipients(Instant aNow) const -> std::vector<RouterId>
{
  const auto& members = MembersOf(self_.zone_);
  if (maxLeads_ == 0 || IsLead()) {
    return members;
  }
  std::vector<RouterId> routers;
  for (const auto router : members) {
    const auto& peer = peers_.at(router);
    const bool wasHeardRecently =
      peer.heardDirectly_ && aNow - peer.lastHeardDirectly_ < kReplyWindow;
    if (wasHeardRecently || Contains(Leads(self_.zone_), router)) {
      routers.push_back(router);
    }
  }
  return routers;
}

auto PeerTable::MembersOf(ZoneId aZone) const -> const std::vector<RouterId>&
{
  static const std::vector<RouterId> none;
  const auto found = membersByZone_.find(aZone);
  return found == membersByZone_.end() ? none : found->second;
}

auto PeerTable::CheckPeer(RouterId aId, Peer* aPeer, Instant aNow) -> void
{
  if (aPeer->state_ == PeerState::kUnknown && maxLeads_ > 0 &&
      aNow - aPeer->lastHeard_ > kUnheardTimeout) {
    SetState(aId, aPeer, PeerState::kDead);
  }
  if (aPeer->state_ == PeerState::kUnknown ||
      aPeer->state_ == PeerState::kDead) {
    return;
  }
  if (!aPeer->isMonitored_) {
    CheckRemotePeer(aId, aPeer, aNow);
    return;
  }
  const auto silence =
    aNow - std::max(aPeer->lastHeard_, aPeer->monitoredSince_);
  if (silence > kProbeAfter && !aPeer->probed_) {
    aPeer->probed_ = true;
    probes_.push_back(aId);
  }
  if (silence > kDeadAfter) {
    SetState(aId, aPeer, PeerState::kDead);
  } else if (silence > kSuspectAfter && aPeer->state_ == PeerState::kAlive) {
    SetState(aId, aPeer, PeerState::kSuspect);
  }
}

auto PeerTable::CheckRemotePeer(RouterId aId, Peer* aPeer, Instant aNow) -> void
{
  const auto zone = aPeer->address_.zone_;
  const bool isGateway = gatewayZones_.contains(zone);
  // A new gateway has not received heartbeats from the zone yet.
  const auto since =
    isGateway ? gatewaySince_.try_emplace(zone, aNow).first->second : Instant{};
  const auto silence = aNow - std::max(aPeer->lastHeard_, since);
  if (isGateway && silence > kProbeAfter * 2 && !aPeer->probed_ &&
      aPeer->heardDirectly_) {
    aPeer->probed_ = true;
    probes_.push_back(aId);
  }
  if (silence > (isGateway ? kZoneDeadAfter : kReportedStateTimeout)) {
    SetState(aId, aPeer, PeerState::kDead);
  }
}

auto PeerTable::ApplyMemberUpdate(RouterId aFrom,
                                  const wire::MemberNews& aUpdate,
                                  Instant aNow) -> void
{
  const RouterId id{ aUpdate.router };
  const auto state = static_cast<PeerState>(aUpdate.state);
  if (id == self_.id_) {
    auto& sender = peers_.at(aFrom);
    const bool isLost = state == PeerState::kDead;
    SetReportsUsDead(&sender, isLost && aUpdate.incarnation == incarnation_);
    return;
  }
  const auto found = peers_.find(id);
  if (found == peers_.end() || found->second.isMonitored_ ||
      (maxLeads_ == 0 && found->second.address_.zone_ == self_.zone_)) {
    return;
  }
  auto& peer = found->second;
  const auto heard = aNow - std::chrono::milliseconds(aUpdate.silentMillis);
  if (aUpdate.incarnation < peer.incarnation_ ||
      (heard <= peer.lastHeard_ && aUpdate.incarnation == peer.incarnation_)) {
    return;
  }
  peer.incarnation_ = aUpdate.incarnation;
  peer.lastHeard_ = heard;
  SetState(id, &peer, state);
}

auto PeerTable::MakeOwnZoneList(Instant aNow) const
  -> std::vector<wire::MemberNews>
{
  std::vector<wire::MemberNews> members;
  for (const auto router : MembersOf(self_.zone_)) {
    const auto& peer = peers_.at(router);
    if (peer.state_ == PeerState::kUnknown) {
      continue;
    }
    wire::MemberNews update;
    update.router = router.value_;
    update.incarnation = peer.incarnation_;
    update.state = static_cast<std::int32_t>(peer.state_);
    update.silentMillis = IsUsable(peer) ? 0 : Millis(aNow - peer.lastHeard_);
    members.push_back(update);
  }
  return members;
}

auto PeerTable::MakeZoneUpdates(Instant aNow, bool aFull)
  -> std::vector<wire::MemberNews>
{
  std::vector<wire::MemberNews> updates;
  const bool reportsOwnZone = maxLeads_ > 0 && IsLead();
  for (auto& entry : peers_) {
    auto& peer = entry.second;
    if (peer.state_ == PeerState::kUnknown) {
      continue;
    }
    const bool sameZone = peer.address_.zone_ == self_.zone_;
    const bool isLost =
      sameZone && peer.isMonitored_ && peer.state_ == PeerState::kDead;
    const bool isReporter =
      sameZone ? reportsOwnZone : gatewayZones_.contains(peer.address_.zone_);
    const bool isDue = isReporter && (aFull || peer.broadcastsLeft_ > 0);
    if (!isLost && !isDue) {
      continue;
    }
    peer.broadcastsLeft_ = std::max(0, peer.broadcastsLeft_ - 1);
    wire::MemberNews update;
    update.router = entry.first.value_;
    update.incarnation = peer.incarnation_;
    update.state = static_cast<std::int32_t>(peer.state_);
    update.silentMillis =
      peer.state_ == PeerState::kDead ? 0 : Millis(aNow - peer.lastHeard_);
    updates.push_back(update);
  }
  return updates;
}

auto PeerTable::ChooseGateway(ZoneId aFrom, ZoneId aTo) const
  -> std::optional<RouterId>
{
  std::optional<RouterId> best;
  std::uint64_t bestScore = 0;
  const auto consider = [&](RouterId aId, bool aUsable) {
    if (!aUsable) {
      return;
    }
    const auto score = RendezvousScore(aId.value_, aFrom.value_, aTo.value_);
    if (!best || score > bestScore) {
      best = aId;
      bestScore = score;
    }
  };
  for (const auto router : Leads(aFrom)) {
    consider(router, true);
  }
  if (aFrom == self_.zone_) {
    consider(self_.id_, maxLeads_ == 0 || !best);
  }
  if (best) {
    return best;
  }
  for (const auto router : MembersOf(aFrom)) {
    consider(router, peers_.at(router).listed_);
  }
  return best;
}

auto PeerTable::ChooseZoneContact(ZoneId aZone) const -> std::optional<RouterId>
{
  if (!LiveInZone(aZone).empty()) {
    return ChooseGateway(aZone, self_.zone_);
  }
  std::vector<RouterId> listed;
  for (const auto router : MembersOf(aZone)) {
    if (peers_.at(router).listed_) {
      listed.push_back(router);
    }
  }
  if (listed.empty()) {
    return std::nullopt;
  }
  return listed[static_cast<std::size_t>(zoneSequence_) % listed.size()];
}

auto PeerTable::MakeHeartbeat() -> wire::Heartbeat
{
  wire::Heartbeat heartbeat;
  heartbeat.sequence = sequence_;
  heartbeat.leaving = leaving_;
  return heartbeat;
}

PeerTable::PeerTable(RouterAddress aSelf,
                     std::int64_t aIncarnation,
                     int aMaxLeads)
  : self_(std::move(aSelf))
  , incarnation_(aIncarnation)
  , maxLeads_(aMaxLeads)
{
}

auto PeerTable::SetListed(const std::vector<RouterAddress>& aRouters,
                          Instant aNow) -> void
{
  for (auto& entry : peers_) {
    entry.second.listed_ = false;
  }
  for (const auto& address : aRouters) {
    if (address.id_ == self_.id_) {
      continue;
    }
    auto inserted = peers_.try_emplace(address.id_);
    auto& peer = inserted.first->second;
    peer.address_ = address;
    peer.listed_ = true;
    if (inserted.second) {
      peer.lastHeard_ = aNow;
    }
  }
  std::erase_if(peers_, [](const auto& aEntry) {
    return !aEntry.second.listed_ && !IsUsable(aEntry.second);
  });
  membersByZone_.clear();
  for (const auto& entry : peers_) {
    membersByZone_[entry.second.address_.zone_].push_back(entry.first);
  }
  ++version_;
}

auto PeerTable::SetReportsUsDead(Peer* aPeer, bool aReportsUsDead) -> void
{
  if (aPeer->reportsUsDead_ != aReportsUsDead) {
    aPeer->reportsUsDead_ = aReportsUsDead;
    ++version_;
  }
}

auto PeerTable::OnHeartbeat(RouterId aFrom,
                            std::int64_t aIncarnation,
                            const wire::Heartbeat& aHeartbeat,
                            Instant aNow) -> void
{
  const auto found = peers_.find(aFrom);
  if (found == peers_.end()) {
    return;
  }
  auto& peer = found->second;
  // A dead peer may return with a lower incarnation if its clock was set back.
  if (aIncarnation < peer.incarnation_ && peer.state_ != PeerState::kDead) {
    return;
  }
  if (peer.incarnation_ != aIncarnation) {
    peer.broadcastsLeft_ = kUpdateBroadcasts;
    SetReportsUsDead(&peer, false);
    ++version_;
  }
  peer.incarnation_ = aIncarnation;
  peer.lastHeard_ = aNow;
  peer.heardDirectly_ = true;
  peer.lastHeardDirectly_ = aNow;
  peer.probed_ = false;
  peer.configVersion_ = aHeartbeat.configVersion;
  SetState(aFrom, &peer,
           aHeartbeat.leaving ? PeerState::kLeaving : PeerState::kAlive);
  bool listsThisRouter = false;
  for (const auto& update : aHeartbeat.members) {
    listsThisRouter = listsThisRouter || update.router == self_.id_.value_;
    ApplyMemberUpdate(aFrom, update, aNow);
  }
  if (!listsThisRouter) {
    SetReportsUsDead(&peer, false);
  }
}

auto PeerTable::Tick(Instant aNow, std::int64_t aConfigVersion)
  -> std::vector<AddressedHeartbeat>
{
  CheckPeers(aNow);
  std::vector<AddressedHeartbeat> heartbeats;
  if (aNow - lastHeartbeat_ >= kHeartbeatInterval || sequence_ == 0) {
    lastHeartbeat_ = aNow;
    ++sequence_;
    const bool full = aNow - lastFullUpdate_ >= kFullUpdateInterval;
    lastFullUpdate_ = full ? aNow : lastFullUpdate_;
    auto heartbeat = MakeHeartbeat();
    heartbeat.configVersion = aConfigVersion;
    heartbeat.members = MakeZoneUpdates(aNow, full);
    for (const auto router : HeartbeatRecipients(aNow)) {
      heartbeats.push_back({ router, heartbeat });
    }
  }
  if (aNow - lastZoneHeartbeat_ < kZoneHeartbeatInterval) {
    return heartbeats;
  }
  lastZoneHeartbeat_ = aNow;
  ++zoneSequence_;
  auto heartbeat = MakeHeartbeat();
  heartbeat.configVersion = aConfigVersion;
  heartbeat.members = MakeOwnZoneList(aNow);
  for (const auto zone : gatewayZones_) {
    if (const auto contact = ChooseZoneContact(zone)) {
      heartbeats.push_back({ *contact, heartbeat });
    }
  }
  return heartbeats;
}

auto PeerTable::SetLeaving() -> void
{
  leaving_ = true;
  ++version_;
  // Makes the next tick send the state at once.
  lastHeartbeat_ = Instant(-kHeartbeatInterval * 4);
  lastZoneHeartbeat_ = Instant(-kHeartbeatInterval * 4);
}

auto PeerTable::LiveInZone(ZoneId aZone) const -> std::vector<RouterId>
{
  std::vector<RouterId> live;
  for (const auto router : MembersOf(aZone)) {
    if (IsUsable(peers_.at(router))) {
      live.push_back(router);
    }
  }
  if (aZone == self_.zone_ && !leaving_) {
    live.push_back(self_.id_);
  }
  return live;
}

auto PeerTable::Leads(ZoneId aZone) const -> const std::vector<RouterId>&
{
  return CachedLeads(aZone).live_;
}

auto PeerTable::UnheardLeads(ZoneId aZone) const -> const std::vector<RouterId>&
{
  return CachedLeads(aZone).unheard_;
}

auto PeerTable::ListedLeads() const -> std::vector<RouterId>
{
  std::map<ZoneId, std::vector<const RouterAddress*>> listed;
  listed[self_.zone_].push_back(&self_);
  for (const auto& entry : peers_) {
    if (entry.second.listed_) {
      listed[entry.second.address_.zone_].push_back(&entry.second.address_);
    }
  }
  const auto maxZoneLeads = MaxZoneLeads(listed.size());
  std::vector<RouterId> leads;
  for (auto& entry : listed) {
    const auto selected = SelectLeads(std::move(entry.second), maxZoneLeads);
    leads.insert(leads.end(), selected.begin(), selected.end());
  }
  return leads;
}

auto PeerTable::IsLead() const -> bool
{
  return Contains(Leads(self_.zone_), self_.id_);
}

auto PeerTable::Zones() const -> std::vector<ZoneId>
{
  std::vector<ZoneId> zones;
  for (const auto& entry : membersByZone_) {
    zones.push_back(entry.first);
  }
  if (!membersByZone_.contains(self_.zone_)) {
    zones.push_back(self_.zone_);
  }
  return zones;
}

auto PeerTable::LiveCount() const -> int
{
  const auto live =
    std::count_if(peers_.begin(), peers_.end(),
                  [](const auto& aEntry) { return IsUsable(aEntry.second); });
  return static_cast<int>(live) + 1;
}

auto PeerTable::SchedulerOf(ZoneId aZone, ServiceId aService) const
  -> std::optional<RouterId>
{
  auto candidates = LiveInZone(aZone);
  if (candidates.empty()) {
    for (const auto& entry : peers_) {
      if (IsUsable(entry.second)) {
        candidates.push_back(entry.first);
      }
    }
    candidates.push_back(self_.id_);
  }
  const auto score = [&](RouterId aRouter) {
    return RendezvousScore(aRouter.value_, aService.value_, aZone.value_);
  };
  return *std::max_element(candidates.begin(), candidates.end(),
                           [&](RouterId aLeft, RouterId aRight) {
                             return score(aLeft) < score(aRight);
                           });
}

auto PeerTable::IncarnationOf(RouterId aRouter) const -> std::int64_t
{
  if (aRouter == self_.id_) {
    return incarnation_;
  }
  const auto found = peers_.find(aRouter);
  return found == peers_.end() ? 0 : found->second.incarnation_;
}

auto PeerTable::IsLive(RouterId aRouter) const -> bool
{
  if (aRouter == self_.id_) {
    return true;
  }
  const auto found = peers_.find(aRouter);
  return found != peers_.end() && IsUsable(found->second);
}

auto PeerTable::Peers() const -> const std::map<RouterId, Peer>&
{
  return peers_;
}

auto PeerTable::Self() const -> const RouterAddress&
{
  return self_;
}

auto PeerTable::IsLeaving() const -> bool
{
  return leaving_;
}

auto PeerTable::Version() const -> std::int64_t
{
  return version_;
}

auto PeerTable::TakeChanges() -> std::vector<PeerChange>
{
  return std::exchange(changes_, {});
}

auto PeerTable::TakeProbes() -> std::vector<RouterId>
{
  return std::exchange(probes_, {});
}

} // namespace burdockring
