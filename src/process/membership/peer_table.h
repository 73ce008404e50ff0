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

/// State of a peer as this router sees it.
enum class PeerState
{
  kUnknown,
  kAlive,
  kSuspect,
  kDead,
  kLeaving,
};

auto PeerStateName(PeerState aState) -> std::string_view;

/// A router as listed in the VM list or in the settings.
struct RouterAddress
{
  RouterId id_;
  std::string name_;
  ZoneId zone_;
  std::string zoneName_;
  std::string host_;
  std::uint16_t peerPort_ = 0;
  std::uint16_t operatorPort_ = 0;
  /// CPU allocation in thousandths of a core; zero if unknown.
  int millicores_ = 0;
  /// Epoch of the store at the time of registration, if the router knew it.
  std::optional<std::int64_t> storeEpoch_;
};

struct Peer
{
  RouterAddress address_;
  PeerState state_ = PeerState::kUnknown;
  std::int64_t incarnation_ = 0;
  /// Last sign of life, either a heartbeat or another router's update.
  Instant lastHeard_{};
  bool heardDirectly_ = false;
  /// Time of the last heartbeat from the peer itself.
  Instant lastHeardDirectly_{};
  /// Whether this router and the peer exchange heartbeats directly, and since
  /// when.
  bool isMonitored_ = false;
  Instant monitoredSince_{};
  /// Whether the peer reports that it receives nothing from this router.
  bool reportsUsDead_ = false;
  bool probed_ = false;
  bool listed_ = true;
  std::int64_t configVersion_ = 0;
  int broadcastsLeft_ = 0;
};

/// A heartbeat and its destination.
struct AddressedHeartbeat
{
  RouterId router_;
  wire::Heartbeat heartbeat_;
};

/// A change of a peer's state, reported for logging.
struct PeerChange
{
  RouterId router_;
  PeerState from_ = PeerState::kUnknown;
  PeerState to_ = PeerState::kUnknown;
};

/// Tracks the routers of the fleet and detects failed ones by heartbeats.
/// Within a zone every router exchanges heartbeats with the zone's leads, which
/// monitor all members and report their states to the others; in a small zone
/// every router is a lead. Between two zones one lead on each side, the
/// gateway, is chosen by rendezvous hashing. The two exchange heartbeats that
/// list their zone's members and pass on the received states to their own zone.
/// The number of heartbeats of a router therefore grows with the number of
/// leads, and that of a lead with the size of its zone, not with the fleet.
///
/// The leads of a zone are its live routers with the most CPU. Routers that see
/// the same live members compute the same order; there is no further agreement.
/// While views differ, extra messages are sent but no invariant is broken.
///
/// A silent peer is first probed on a new connection, then suspected, then
/// declared dead. A peer that reports that it receives nothing from this router
/// is not used, so a link that fails in one direction counts as down.
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
  /// Lower bound for the leads of a zone regardless of the number of zones: if
  /// one fails, another with the same information remains.
  static constexpr int kMinZoneLeads = 2;
  /// How long a listed router may stay unheard before it is declared dead. A
  /// full update of its zone arrives within this time.
  static constexpr Duration kUnheardTimeout = 6s;
  /// After receiving a heartbeat a router sends its own to the sender for this
  /// long.
  static constexpr Duration kReplyWindow = 1s;

  struct ZoneLeads
  {
    std::vector<RouterId> live_;
    /// Listed routers that have not been heard yet but may be alive.
    std::vector<RouterId> unheard_;
  };

  RouterAddress self_;
  std::int64_t incarnation_;
  /// Maximum number of leads in the whole fleet; zero makes every router a
  /// lead.
  int maxLeads_;
  /// Cache of the leads of each zone, valid for version leadsVersion_.
  mutable std::map<ZoneId, ZoneLeads> leadsByZone_;
  mutable std::int64_t leadsVersion_ = 0;
  bool leaving_ = false;
  std::int64_t sequence_ = 0;
  std::int64_t zoneSequence_ = 0;
  std::map<RouterId, Peer> peers_;
  /// Peers by zone, so that reading one zone does not scan the whole fleet.
  std::map<ZoneId, std::vector<RouterId>> membersByZone_;
  /// Incremented whenever the set of usable routers or leads may change.
  std::int64_t version_ = 1;
  /// Zones for which this router is its own zone's gateway, as of the last
  /// check.
  std::set<ZoneId> gatewayZones_;
  /// Since when this router has been the gateway to a zone.
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
  [[nodiscard]] auto MaxZoneLeads(std::size_t aZones) const -> std::size_t;
  /// Updates whether the peer's heartbeats are expected, and since when.
  auto UpdateMonitoring(RouterId aId, Peer* aPeer, Instant aNow) -> void;
  /// Routers of this router's zone to send heartbeats to.
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
  /// The recipient of heartbeats in another zone: its gateway, or each listed
  /// router in turn if none is known to be alive.
  [[nodiscard]] auto ChooseZoneContact(ZoneId aZone) const
    -> std::optional<RouterId>;
  [[nodiscard]] auto MakeHeartbeat() -> wire::Heartbeat;

public:
  /// aMaxLeads bounds the leads in the whole fleet; zero makes every router a
  /// lead.
  PeerTable(RouterAddress aSelf, std::int64_t aIncarnation, int aMaxLeads = 0);

  /// Replaces the list of known routers. Unlisted peers are kept while they are
  /// usable.
  auto SetListed(const std::vector<RouterAddress>& aRouters, Instant aNow)
    -> void;
  /// Handles a heartbeat. Heartbeats of an incarnation older than the known one
  /// are dropped unless the peer is dead.
  auto OnHeartbeat(RouterId aFrom,
                   std::int64_t aIncarnation,
                   const wire::Heartbeat& aHeartbeat,
                   Instant aNow) -> void;
  /// Checks peers for timeouts and returns the heartbeats to send now.
  auto Tick(Instant aNow, std::int64_t aConfigVersion)
    -> std::vector<AddressedHeartbeat>;
  auto SetLeaving() -> void;

  /// Usable routers of a zone, including this one unless it is leaving.
  [[nodiscard]] auto LiveInZone(ZoneId aZone) const -> std::vector<RouterId>;
  /// The zone's leads in descending rank, including this router if it is one.
  [[nodiscard]] auto Leads(ZoneId aZone) const -> const std::vector<RouterId>&;
  /// The highest-ranked listed routers of the zone that have not been heard
  /// yet.
  [[nodiscard]] auto UnheardLeads(ZoneId aZone) const
    -> const std::vector<RouterId>&;
  /// The routers of all zones that would be leads if all listed routers were
  /// alive. Depends on the list alone.
  [[nodiscard]] auto ListedLeads() const -> std::vector<RouterId>;
  /// Whether this router is a lead of its zone.
  [[nodiscard]] auto IsLead() const -> bool;
  /// All zones with a known peer, and this router's own zone.
  [[nodiscard]] auto Zones() const -> std::vector<ZoneId>;
  [[nodiscard]] auto LiveCount() const -> int;
  /// The router that schedules a service's targets in a zone, in this router's
  /// view: a router of that zone, or any live router if the zone has none.
  [[nodiscard]] auto SchedulerOf(ZoneId aZone, ServiceId aService) const
    -> std::optional<RouterId>;
  [[nodiscard]] auto IncarnationOf(RouterId aRouter) const -> std::int64_t;
  [[nodiscard]] auto IsLive(RouterId aRouter) const -> bool;
  [[nodiscard]] auto Peers() const -> const std::map<RouterId, Peer>&;
  [[nodiscard]] auto Self() const -> const RouterAddress&;
  [[nodiscard]] auto IsLeaving() const -> bool;
  /// Changes whenever the scheduler of a zone may have changed.
  [[nodiscard]] auto Version() const -> std::int64_t;
  /// Returns the state changes since the last call and clears them.
  auto TakeChanges() -> std::vector<PeerChange>;
  /// Returns the peers to probe on a new connection and clears the list.
  auto TakeProbes() -> std::vector<RouterId>;
};

} // namespace burdockring

#endif
