#ifndef BURDOCKRING_PROCESS_MEMBERSHIP_PEER_TABLE_H
#define BURDOCKRING_PROCESS_MEMBERSHIP_PEER_TABLE_H

#include "base/ids.h"
#include "base/time.h"
#include "peer_types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace burdockring {

/// What this router believes of a peer.
enum class PeerState
{
  kUnknown,
  kAlive,
  kSuspect,
  kDead,
  kLeaving,
};

auto PeerStateName(PeerState aState) -> std::string_view;

/// A router as the VM list or the settings name it.
struct RouterAddress
{
  RouterId id_;
  std::string name_;
  ZoneId zone_;
  std::string zoneName_;
  std::string host_;
  std::uint16_t peerPort_ = 0;
  std::uint16_t operatorPort_ = 0;
  /// Its share of processors, in thousandths of a core; zero: not known.
  int millicores_ = 0;
  /// The epoch of the store in which it entered itself, if it knew one.
  std::optional<std::int64_t> storeEpoch_;
};

struct Peer
{
  RouterAddress address_;
  PeerState state_ = PeerState::kUnknown;
  std::int64_t incarnation_ = 0;
  /// When the peer was last heard of, directly or by news.
  Instant lastHeard_{};
  bool heardDirectly_ = false;
  /// When the peer itself was last heard.
  Instant lastHeardDirectly_{};
  /// Whether this router and the peer should hear each other's heartbeats, and
  /// since when.
  bool isMonitored_ = false;
  Instant monitoredSince_{};
  /// Whether the peer says that it does not hear this router.
  bool reportsUsDead_ = false;
  bool probed_ = false;
  bool listed_ = true;
  std::int64_t configVersion_ = 0;
  int broadcastsLeft_ = 0;
};

/// A heartbeat and the router that it goes to.
struct AddressedHeartbeat
{
  RouterId router_;
  wire::Heartbeat heartbeat_;
};

/// A change of a peer's state, for the log.
struct PeerChange
{
  RouterId router_;
  PeerState from_ = PeerState::kUnknown;
  PeerState to_ = PeerState::kUnknown;
};

/// Knows which routers there are and which of them live. Within a zone every
/// router hears the zone's leads, which hear everyone and tell the others who
/// lives; in a small zone all are leads. Between two zones one lead on each
/// side, chosen by rendezvous, exchanges heartbeats that carry its zone's
/// members, and tells its own zone what it heard. So the heartbeats of a router
/// grow with the number of leads, and those of a lead with the size of its
/// zone, not with the fleet.
///
/// The leads of a zone are its live routers with the most processor, in an
/// order on which all agree who hear the same routers. Nothing is agreed
/// beyond that: two views at once cost messages, never a rule.
///
/// A peer that is silent is first probed on a new connection, then suspected,
/// then dead. A peer that says it does not hear this router is not used, so
/// that a link cut one way counts as cut.
class PeerTable
{
  static constexpr Duration kHeartbeatInterval = 250ms;
  static constexpr Duration kCheckInterval = 50ms;
  static constexpr Duration kProbeAfter = 600ms;
  static constexpr Duration kSuspectAfter = 1000ms;
  static constexpr Duration kDeadAfter = 1300ms;
  static constexpr Duration kZoneHeartbeatInterval = 500ms;
  static constexpr Duration kZoneDeadAfter = 2s;
  static constexpr Duration kFullUpdateInterval = 5s;
  static constexpr Duration kReportedStateTimeout = 16s;
  static constexpr int kUpdateBroadcasts = 3;
  /// Leads of a zone however many zones there are, so that the loss of one
  /// leaves another that knows as much.
  static constexpr int kMinZoneLeads = 2;
  /// How long a listed router that was never heard may still turn up. Full
  /// news of a zone comes within it.
  static constexpr Duration kUnheardTimeout = 6s;
  /// A router that is sent heartbeats answers with its own for so long.
  static constexpr Duration kReplyWindow = 1s;

  struct ZoneLeads
  {
    std::vector<RouterId> live_;
    /// Listed routers that may live though they were not heard yet.
    std::vector<RouterId> unheard_;
  };

  RouterAddress self_;
  std::int64_t incarnation_;
  /// Leads of the whole fleet; zero: all routers of each zone.
  int maxLeads_;
  /// Of each zone, as of version leadsVersion_.
  mutable std::map<ZoneId, ZoneLeads> leadsByZone_;
  mutable std::int64_t leadsVersion_ = 0;
  bool leaving_ = false;
  std::int64_t sequence_ = 0;
  std::int64_t zoneSequence_ = 0;
  std::map<RouterId, Peer> peers_;
  /// Peers by zone, so that a look at one zone costs no look at the fleet.
  std::map<ZoneId, std::vector<RouterId>> membersByZone_;
  /// Counts changes of who lives where.
  std::int64_t version_ = 1;
  /// Zones that this router speaks to for its own, as of the last judgement.
  std::set<ZoneId> gatewayZones_;
  /// Since when this router speaks to a zone for its own.
  std::map<ZoneId, Instant> gatewaySince_;
  std::vector<PeerChange> changes_;
  std::vector<RouterId> probes_;
  Instant lastCheck_{};
  Instant lastHeartbeat_{};
  Instant lastZoneHeartbeat_{};
  Instant lastFullUpdate_{};

  auto SetState(RouterId aId, Peer* aPeer, PeerState aState) -> void;
  auto SetReportsUsDead(Peer* aPeer, bool aReportsUsDead) -> void;
  auto CheckPeers(Instant aNow) -> void;
  [[nodiscard]] auto CachedLeads(ZoneId aZone) const -> const ZoneLeads&;
  [[nodiscard]] auto ComputeLeads(ZoneId aZone) const -> ZoneLeads;
  /// Notes whether the peer should be heard itself, and since when.
  auto UpdateMonitoring(RouterId aId, Peer* aPeer, Instant aNow) -> void;
  /// Routers of the own zone that heartbeats go to.
  [[nodiscard]] auto HeartbeatRecipients(Instant aNow) const
    -> std::vector<RouterId>;
  auto CheckPeer(RouterId aId, Peer* aPeer, Instant aNow) -> void;
  auto CheckRemotePeer(RouterId aId, Peer* aPeer, Instant aNow) -> void;
  auto ApplyMemberUpdate(RouterId aFrom,
                         const wire::MemberNews& aUpdate,
                         Instant aNow) -> void;
  [[nodiscard]] auto MakeOwnZoneList(Instant aNow) const
    -> std::vector<wire::MemberNews>;
  auto MakeZoneUpdates(Instant aNow, bool aFull)
    -> std::vector<wire::MemberNews>;
  [[nodiscard]] auto MembersOf(ZoneId aZone) const
    -> const std::vector<RouterId>&;
  [[nodiscard]] auto ChooseGateway(ZoneId aFrom, ZoneId aTo) const
    -> std::optional<RouterId>;
  /// Whom to tell in another zone: its gateway, or where none is known to live
  /// each of the listed in turn.
  [[nodiscard]] auto ChooseZoneContact(ZoneId aZone) const
    -> std::optional<RouterId>;
  [[nodiscard]] auto MakeHeartbeat() -> wire::Heartbeat;

public:
  /// aMaxLeads: leads of the whole fleet; zero: every router is one.
  PeerTable(RouterAddress aSelf, std::int64_t aIncarnation, int aMaxLeads = 0);

  /// Takes the list of routers that may be there. Those no longer listed stay
  /// while they are heard.
  auto SetListed(const std::vector<RouterAddress>& aRouters, Instant aNow)
    -> void;
  /// Takes a heartbeat. Heartbeats of an incarnation older than a known one
  /// are dropped.
  auto OnHeartbeat(RouterId aFrom,
                   std::int64_t aIncarnation,
                   const wire::Heartbeat& aHeartbeat,
                   Instant aNow) -> void;
  /// Judges silence and returns the heartbeats that are due.
  auto Tick(Instant aNow, std::int64_t aConfigVersion)
    -> std::vector<AddressedHeartbeat>;
  auto SetLeaving() -> void;

  /// Routers of a zone that may be given work, this one included.
  [[nodiscard]] auto LiveInZone(ZoneId aZone) const -> std::vector<RouterId>;
  /// The zone's leads, first in order first; this router among them where it is
  /// one.
  [[nodiscard]] auto Leads(ZoneId aZone) const -> const std::vector<RouterId>&;
  /// Listed routers, not heard yet, that would be leads of the zone.
  [[nodiscard]] auto UnheardLeads(ZoneId aZone) const
    -> const std::vector<RouterId>&;
  /// Whether this router is a lead of its zone.
  [[nodiscard]] auto IsLead() const -> bool;
  /// All zones with a listed router, and the own one.
  [[nodiscard]] auto Zones() const -> std::vector<ZoneId>;
  [[nodiscard]] auto LiveCount() const -> int;
  /// The router that schedules a service's targets in a zone, as seen here:
  /// one of the zone's own, or any live router where the zone has none.
  [[nodiscard]] auto SchedulerOf(ZoneId aZone, ServiceId aService) const
    -> std::optional<RouterId>;
  [[nodiscard]] auto IncarnationOf(RouterId aRouter) const -> std::int64_t;
  [[nodiscard]] auto IsLive(RouterId aRouter) const -> bool;
  [[nodiscard]] auto Peers() const -> const std::map<RouterId, Peer>&;
  [[nodiscard]] auto Self() const -> const RouterAddress&;
  [[nodiscard]] auto IsLeaving() const -> bool;
  /// Changes whenever another router might schedule a zone.
  [[nodiscard]] auto Version() const -> std::int64_t;
  /// Takes the changes of state since the last call.
  auto TakeChanges() -> std::vector<PeerChange>;
  /// Takes the peers whose connection should be tried anew.
  auto TakeProbes() -> std::vector<RouterId>;
};

} // namespace burdockring

#endif
