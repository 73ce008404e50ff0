#ifndef BURDOCKRING_PROCESS_PEERS_PEER_EXCHANGE_H
#define BURDOCKRING_PROCESS_PEERS_PEER_EXCHANGE_H

#include "process/forwarding/event_log.h"
#include "process/forwarding/forwarding_effects.h"
#include "process/membership/peer_table.h"
#include "process/peers/active_config.h"
#include "process/peers/read_scheduler.h"
#include "process/placement/dispatcher.h"
#include "process/placement/placement_wire.h"
#include "process/placement/zone_drains.h"
#include "process/quarantine/part_quarantine.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdockring {

/// Exchanges state with the other routers: liveness, each router's part of the
/// load, the configuration with its age, and updates of the lists that one
/// router reads for the others. Messages are datagrams, any of which may be
/// lost. Does no I/O itself: outgoing messages are appended to the effects.
///
/// Leads send each other all of this, and each lead forwards the configuration
/// and the list updates to its zone. So the traffic that a router receives does
/// not grow with the number of routers.
class PeerExchange
{
  /// Maximum number of leads across all zones. Leads know the load at every
  /// target. Each receives reports from all others, so their number bounds the
  /// age of that knowledge.
  static constexpr int kMaxLeads = 12;
  /// Makes every router a lead, for when leads don't place requests for the
  /// others.
  static constexpr int kUnlimitedLeads = 1 << 20;
  /// Minimum interval between reports of a changed load. A report that is older
  /// than the prefill time of a prompt is misleading.
  static constexpr Duration kReportInterval = 12ms;
  /// Added to that interval per receiving lead, so that reports cost a router
  /// about the same for any number of leads.
  static constexpr Duration kReportIntervalPerLead = 2ms;
  /// Interval between reports that also carry the age of the configuration.
  static constexpr Duration kTimestampedReportInterval = 400ms;
  /// Interval between reports that also list the cold targets. Short against
  /// the seconds that targets stay cold.
  static constexpr Duration kColdListInterval = 800ms;
  static constexpr Duration kConfigRequestInterval = 300ms;
  /// Time after which a newer configuration that no peer has delivered is read
  /// from its source. Non-leads wait longer: the leads get it first, and not
  /// all routers of a zone should read.
  static constexpr Duration kOfferTimeout = 150ms;
  static constexpr Duration kNonLeadOfferTimeout = 900ms;
  /// Maximum size in bytes of a piece of a configuration, which is sent in one
  /// datagram, and maximum number of pieces.
  static constexpr std::size_t kMaxPieceBytes = 30'000;
  static constexpr std::size_t kMaxPieces = 256;
  /// Maximum size of a list update that is sent to peers, in bytes.
  static constexpr std::size_t kMaxDatagramBytes = 60'000;
  /// For how long other routers are sent the targets that were gone before the
  /// store was restored, and how many of them at most.
  static constexpr Duration kGoneReportDuration = 4s;
  static constexpr std::size_t kMaxGoneReported = 4000;
  /// A configuration that was confirmed longer ago is of no use; such reported
  /// ages are ignored.
  static constexpr Duration kMaxConfigAge = 1h;
  /// Number of reports that announce a leaving target.
  static constexpr int kLeavingReportCount = 3;

  std::int64_t incarnation_;
  ActiveConfig* config_;
  Dispatcher* dispatcher_;
  PartQuarantine* quarantine_;
  ZoneDrains* drains_;
  EventLog* log_;
  ForwardingEffects* effects_;
  ForwardingPolicy policy_;
  PeerTable peers_;
  ReadScheduler readScheduler_;
  /// A reading of a peer's clock and the incarnation that made it. The clock of
  /// another incarnation may differ.
  struct PeerTimestamp
  {
    std::int64_t micros_ = 0;
    std::int64_t incarnation_ = 0;
  };

  /// The last timestamp received from each peer, to be echoed.
  std::map<RouterId, PeerTimestamp> peerTimestamps_;
  Instant lastReport_{};
  Instant lastTimestampedReport_{};
  Instant lastColdList_{};
  bool announcementDue_ = false;
  /// Targets that announced that they leave, with the number of reports that
  /// are still to announce it.
  std::map<TargetId, int> leavingReportsLeft_;
  std::vector<std::int32_t> goneTargets_;
  Instant reportGoneUntil_{};
  Instant lastConfigRequest_{};
  /// When a peer was first known to have a newer configuration.
  std::optional<Instant> newerConfigSince_;
  /// Pieces of a newer configuration received so far.
  std::int64_t piecesVersion_ = 0;
  std::vector<std::string> pieces_;

  [[nodiscard]] auto ReportInterval() const -> Duration;
  auto SendHeartbeats(Instant aNow) -> void;
  auto SendReports(Instant aNow) -> void;
  auto SendTimestampedReports(wire::Envelope aEnvelope, Instant aNow) -> void;
  /// Whether there is any load to report.
  [[nodiscard]] auto HasLoad(const wire::LoadReport& aReport) const -> bool;
  /// Leads of all zones except this router, including those not heard from yet.
  [[nodiscard]] auto OtherLeads() const -> std::vector<const Peer*>;
  /// Like OtherLeads(), but only of this router's zone.
  [[nodiscard]] auto OwnZoneLeads() const -> std::vector<const Peer*>;
  /// Routers of the own zone that depend on this one for updates. Empty if this
  /// router is not a lead.
  [[nodiscard]] auto Followers() const -> std::vector<const Peer*>;
  auto AddLeads(ZoneId aZone, std::vector<const Peer*>* aLeads) const -> void;
  auto TakeLeaving() -> std::vector<std::int32_t>;
  auto SendTo(const RouterAddress& aRouter, wire::Envelope aEnvelope) -> void;
  auto SendToAll(const std::vector<RouterEndpoint>& aRouters,
                 wire::Envelope aEnvelope) -> void;
  auto OnLoadReport(RouterId aFrom,
                    std::int64_t aIncarnation,
                    const wire::LoadReport& aReport,
                    Instant aNow) -> void;
  /// Confirms the configuration by the age that a peer reported for it.
  auto ApplyConfigAge(const wire::LoadReport& aReport, Instant aNow) -> void;
  auto RequestConfiguration(RouterId aFrom, Instant aNow) -> void;
  auto SendConfiguration(RouterId aTo, std::int64_t aKnownVersion) -> void;
  /// Stores a piece and adopts the configuration once all pieces have arrived.
  auto OnConfigOffer(const wire::ConfigOffer& aOffer) -> void;
  auto OnListNews(RouterId aFrom, const wire::ListNews& aNews, Instant aNow)
    -> void;
  auto SendListNews(const std::vector<const Peer*>& aPeers,
                    const wire::ListNews& aNews) -> void;
  /// How many live routers read the list before this one. The order is the
  /// first lead of each zone, then the second ones, then the rest of the zone.
  [[nodiscard]] auto ReadRank(SharedList aList) const -> int;
  auto LogPeerChanges() -> void;

public:
  PeerExchange(RouterAddress aSelf,
               std::int64_t aIncarnation,
               ActiveConfig* aConfig,
               Dispatcher* aDispatcher,
               PartQuarantine* aQuarantine,
               ZoneDrains* aDrains,
               EventLog* aLog,
               ForwardingEffects* aEffects,
               const ForwardingPolicy& aPolicy = {});

  auto SetListed(const std::vector<RouterAddress>& aRouters, Instant aNow)
    -> void;
  auto OnPeer(const wire::Envelope& aEnvelope, Instant aNow) -> void;
  /// Reports to the leads that the target announced that it leaves.
  auto ReportLeaving(TargetId aTarget) -> void;
  /// The store was restored from an older copy: sends peers the targets that
  /// were gone before, for routers that start now.
  auto ReportGone(const std::set<TargetId>& aTargets, Instant aNow) -> void;
  /// Sends the placement messages that are queued for other routers.
  auto SendPlacements(const PlacementOutbox& aOutbox) -> void;
  /// A newer configuration is active. If it was read from its source, or this
  /// router is a lead, the next tick announces it to the peers.
  auto OnConfigurationChanged(bool aFromSource) -> void;
  /// The drained zones have changed; the next tick announces them.
  auto OnDrainsChanged() -> void;
  auto Tick(Instant aNow) -> void;
  /// When the next report is due, if any.
  [[nodiscard]] auto NextWake() const -> std::optional<Instant>;
  auto SetLeaving() -> void;

  /// Time until this router should read a list itself; zero means now.
  auto TimeToRead(SharedList aList, bool aIsFirstRead, Instant aNow)
    -> Duration;
  /// A read by this router has ended. Its update is sent to the leads, and by a
  /// lead to the other routers of its zone too.
  auto OnListRead(SharedList aList,
                  bool aSuccess,
                  std::optional<wire::ListNews> aNews,
                  Instant aNow) -> void;

  [[nodiscard]] auto Peers() const -> const PeerTable&;
  /// Whether this router is the one that tries requests after the end of a
  /// quarantine: the first of the live leads of all zones.
  [[nodiscard]] auto TriesQuarantined() const -> bool;
  /// Routers that are listed or heard from, including this one.
  [[nodiscard]] auto RouterCount() const -> int;
};

} // namespace burdockring

#endif
