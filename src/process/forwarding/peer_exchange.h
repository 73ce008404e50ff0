#ifndef BURDOCKRING_PROCESS_FORWARDING_PEER_EXCHANGE_H
#define BURDOCKRING_PROCESS_FORWARDING_PEER_EXCHANGE_H

#include "process/forwarding/config_in_force.h"
#include "process/forwarding/dispatcher.h"
#include "process/forwarding/event_log.h"
#include "process/forwarding/forwarding_effects.h"
#include "process/forwarding/read_turns.h"
#include "process/membership/peer_table.h"

#include <map>
#include <optional>
#include <vector>

namespace burdockring {

/// What a router tells other routers and hears from them: who lives, each one's
/// part of the load, the configuration with its age, and news of the lists that
/// one of a zone reads for the others. Messages are datagrams, each of which
/// may be lost. Without I/O: what is to be sent goes to the effects.
class PeerExchange
{
  /// Shortest time between two reports of a load that has changed: a report
  /// that is older than the reading of a prompt misleads.
  static constexpr Duration kReportInterval = 12ms;
  /// Added to that interval for each peer, so that reports cost the same in a
  /// fleet of any size.
  static constexpr Duration kReportSpacing = 2ms;
  /// Time between reports that also tell the age of the configuration.
  static constexpr Duration kStampedReportInterval = 400ms;
  static constexpr Duration kConfigRequestInterval = 300ms;
  /// A newer configuration that has not come from a peer by then is read at
  /// its source.
  static constexpr Duration kOfferTimeout = 150ms;
  /// Largest configuration or news that is passed on in a datagram, in bytes.
  static constexpr std::size_t kMaxDatagramBytes = 60'000;

  std::int64_t incarnation_;
  ConfigInForceState* config_;
  Dispatcher* dispatcher_;
  EventLog* log_;
  ForwardingEffects* effects_;
  PeerTable peers_;
  ReadTurns turns_;
  /// The last stamp heard of each peer, to be echoed.
  std::map<RouterId, std::int64_t> stamps_;
  Instant lastReport_{};
  Instant lastStampedReport_{};
  /// Whether this router's load has changed since the last report.
  bool loadChanged_ = false;
  bool announces_ = false;
  Instant lastConfigRequest_{};
  /// Since when a peer has had a newer configuration.
  std::optional<Instant> newerSince_;

  [[nodiscard]] auto ReportInterval() const -> Duration;
  auto SendHeartbeats(Instant aNow) -> void;
  auto SendReports(Instant aNow) -> void;
  auto SendStampedReports(wire::Envelope aEnvelope, Instant aNow) -> void;
  auto SendTo(const RouterAddress& aRouter, wire::Envelope aEnvelope) -> void;
  auto SendToAll(const std::vector<RouterPlace>& aRouters,
                 wire::Envelope aEnvelope) -> void;
  auto OnLoadReport(RouterId aFrom,
                    const wire::LoadReport& aReport,
                    Instant aNow) -> void;
  auto AskForConfiguration(RouterId aFrom, Instant aNow) -> void;
  auto OfferConfiguration(RouterId aTo, std::int64_t aHave) -> void;
  auto OnListNews(const wire::ListNews& aNews, Instant aNow) -> void;
  /// How many live routers of the zone read the list before this one.
  [[nodiscard]] auto RankFor(SharedList aList) const -> int;
  auto LogChanges() -> void;

public:
  PeerExchange(RouterAddress aSelf,
               std::int64_t aIncarnation,
               ConfigInForceState* aConfig,
               Dispatcher* aDispatcher,
               EventLog* aLog,
               ForwardingEffects* aEffects);

  auto SetListed(const std::vector<RouterAddress>& aRouters, Instant aNow)
    -> void;
  auto OnPeer(const wire::Envelope& aEnvelope, Instant aNow) -> void;
  /// This router's work at some target has changed.
  auto NoteLoadChanged() -> void;
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
