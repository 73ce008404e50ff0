#ifndef BURDOCKRING_PROCESS_FORWARDING_PEER_EXCHANGE_H
#define BURDOCKRING_PROCESS_FORWARDING_PEER_EXCHANGE_H

#include "process/forwarding/config_in_force.h"
#include "process/forwarding/dispatcher.h"
#include "process/forwarding/event_log.h"
#include "process/forwarding/forwarding_effects.h"
#include "process/forwarding/placement_wire.h"
#include "process/forwarding/read_turns.h"
#include "process/membership/peer_table.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdockring {

/// What a router tells other routers and hears from them: who lives, each one's
/// part of the load, the configuration with its age, and news of the lists that
/// one reads for the others. Messages are datagrams, each of which may be lost.
/// Without I/O: what is to be sent goes to the effects.
///
/// Leads tell each other all this, and each tells its zone the configuration
/// and the news; so what a router hears does not grow with the fleet.
class PeerExchange
{
  /// Leads of the whole fleet, which know the load at every target. Each
  /// hears all others, so their number bounds how old that knowledge is.
  static constexpr int kMostLeads = 12;
  /// All routers, where a few are not to place for the others.
  static constexpr int kAllAreLeads = 1 << 20;
  /// Shortest time between two reports of a load that has changed: a report
  /// that is older than the reading of a prompt misleads.
  static constexpr Duration kReportInterval = 12ms;
  /// Added to that interval for each lead that is told, so that reports cost
  /// each router the same.
  static constexpr Duration kReportSpacing = 2ms;
  /// Time between reports that also tell the age of the configuration.
  static constexpr Duration kStampedReportInterval = 400ms;
  static constexpr Duration kConfigRequestInterval = 300ms;
  /// A newer configuration that has not come from a peer by then is read at
  /// its source; by those who are no leads later, as the leads have it first
  /// and a zone's routers should not all read.
  static constexpr Duration kOfferTimeout = 150ms;
  static constexpr Duration kFarOfferTimeout = 900ms;
  /// Largest piece of a configuration that is passed on in one datagram, and
  /// most pieces, in bytes.
  static constexpr std::size_t kPieceBytes = 30'000;
  static constexpr std::size_t kMaxPieces = 256;
  /// Largest news that is passed on in a datagram, in bytes.
  static constexpr std::size_t kMaxDatagramBytes = 60'000;
  /// How long other routers are told which targets were gone before the store's
  /// return, and of how many at the most.
  static constexpr Duration kGoneTime = 4s;
  static constexpr std::size_t kMaxGoneTold = 4000;
  /// A configuration that was confirmed longer ago is of no use.
  static constexpr Duration kOldest = 1h;
  /// How many reports tell of a target that leaves.
  static constexpr int kLeavingRepeats = 3;

  std::int64_t incarnation_;
  ConfigInForceState* config_;
  Dispatcher* dispatcher_;
  EventLog* log_;
  ForwardingEffects* effects_;
  ForwardingPolicy policy_;
  PeerTable peers_;
  ReadScheduler turns_;
  /// A reading of a peer's clock, and which life of the peer made it: another
  /// may have another clock.
  struct Stamp
  {
    std::int64_t micros_ = 0;
    std::int64_t incarnation_ = 0;
  };

  /// The last stamp heard of each peer, to be echoed.
  std::map<RouterId, Stamp> stamps_;
  Instant lastReport_{};
  Instant lastStampedReport_{};
  bool announces_ = false;
  /// Targets that said they leave, and how many reports are still to tell so.
  std::map<TargetId, int> leaving_;
  std::vector<std::int32_t> gone_;
  Instant tellsGoneUntil_{};
  Instant lastConfigRequest_{};
  /// Since when a peer has had a newer configuration.
  std::optional<Instant> newerSince_;
  /// Pieces of a newer configuration that have come so far.
  std::int64_t piecesVersion_ = 0;
  std::vector<std::string> pieces_;

  [[nodiscard]] auto ReportInterval() const -> Duration;
  auto SendHeartbeats(Instant aNow) -> void;
  auto SendReports(Instant aNow) -> void;
  auto SendStampedReports(wire::Envelope aEnvelope, Instant aNow) -> void;
  /// Whether a report would tell anything of load.
  [[nodiscard]] auto TellsLoad(const wire::LoadReport& aReport) const -> bool;
  /// Leads of all zones but this router, those included that may live though
  /// they were not heard yet.
  [[nodiscard]] auto OtherLeads() const -> std::vector<const Peer*>;
  /// Those of the own zone.
  [[nodiscard]] auto OwnLeads() const -> std::vector<const Peer*>;
  /// Routers of the own zone that depend on this one for news: none, where this
  /// one is no lead.
  [[nodiscard]] auto Followers() const -> std::vector<const Peer*>;
  auto AddLeads(ZoneId aZone, std::vector<const Peer*>* aLeads) const -> void;
  auto TakeLeaving() -> std::vector<std::int32_t>;
  auto SendTo(const RouterAddress& aRouter, wire::Envelope aEnvelope) -> void;
  auto SendToAll(const std::vector<RouterPlace>& aRouters,
                 wire::Envelope aEnvelope) -> void;
  auto OnLoadReport(RouterId aFrom,
                    std::int64_t aIncarnation,
                    const wire::LoadReport& aReport,
                    Instant aNow) -> void;
  /// Takes a peer's word on the age of the configuration.
  auto TakeConfigAge(const wire::LoadReport& aReport, Instant aNow) -> void;
  auto AskForConfiguration(RouterId aFrom, Instant aNow) -> void;
  auto OfferConfiguration(RouterId aTo, std::int64_t aHave) -> void;
  /// Takes a piece; the configuration is adopted once all have come.
  auto TakeOffer(const wire::ConfigOffer& aOffer) -> void;
  auto OnListNews(RouterId aFrom, const wire::ListNews& aNews, Instant aNow)
    -> void;
  auto TellListNews(const std::vector<const Peer*>& aPeers,
                    const wire::ListNews& aNews) -> void;
  /// How many live routers read the list before this one: the first leads of
  /// all zones, then the second ones, then the rest of the zone.
  [[nodiscard]] auto RankFor(SharedList aList) const -> int;
  auto LogChanges() -> void;

public:
  PeerExchange(RouterAddress aSelf,
               std::int64_t aIncarnation,
               ConfigInForceState* aConfig,
               Dispatcher* aDispatcher,
               EventLog* aLog,
               ForwardingEffects* aEffects,
               const ForwardingPolicy& aPolicy = {});

  auto SetListed(const std::vector<RouterAddress>& aRouters, Instant aNow)
    -> void;
  auto OnPeer(const wire::Envelope& aEnvelope, Instant aNow) -> void;
  /// The target said that it leaves; the leads are told.
  auto TellLeaving(TargetId aTarget) -> void;
  /// The store came back from an older copy: routers that start now are told
  /// which targets were gone before.
  auto TellGone(const std::set<TargetId>& aTargets, Instant aNow) -> void;
  /// Sends what has gathered for other routers on requests and runs.
  auto SendPlacements(const PlacementOutbox& aOutbox) -> void;
  /// The configuration is new. One that was read at its source is told to the
  /// peers at the next tick.
  auto OnConfigurationInForce(bool aFromSource) -> void;
  auto Tick(Instant aNow) -> void;
  /// When the next report of a changed load is due, if one is.
  [[nodiscard]] auto NextWake() const -> std::optional<Instant>;
  auto SetLeaving() -> void;

  /// Time until this router should read a list itself; zero: now.
  auto TimeToRead(SharedList aList, bool aFirst, Instant aNow) -> Duration;
  /// An own read has ended; its news goes to the zone's other routers.
  auto OnListRead(SharedList aList,
                  bool aSuccess,
                  std::optional<wire::ListNews> aNews,
                  Instant aNow) -> void;

  [[nodiscard]] auto Peers() const -> const PeerTable&;
  /// Routers that are listed or heard, this one included.
  [[nodiscard]] auto RouterCount() const -> int;
};

} // namespace burdockring

#endif
