#ifndef BURDOCKRING_MAIN_FORWARDING_PROCESS_H
#define BURDOCKRING_MAIN_FORWARDING_PROCESS_H

#include "absl/status/status.h"
#include "connection/caller_connection.h"
#include "connection/http_server.h"
#include "connection/target_pool.h"
#include "main/bounded_log.h"
#include "main/metrics.h"
#include "platform/header_adapter.h"
#include "platform/process_settings.h"
#include "platform/store_source.h"
#include "process/forwarding/discovery_sink.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace burdockring {

/// One router that passes requests on whole, on the platform's machines: the
/// sockets, timers and signals around a ForwardingNode. All on one thread, as
/// a machine has a part of one core and each hand-over would cost a wake-up.
class ForwardingProcess
  : public ForwardingPort
  , public CallerPort
  , public DiscoverySink
{
  static constexpr std::size_t kDatagramBytes = 64U << 10U;

  std::string settingsPath_;
  std::string settingsText_;
  ProcessSettings settings_;
  /// Outlives the context, whose handlers hold connections.
  MemoryBudget memory_;
  CallerPlaces places_;
  boost::asio::io_context context_{ 1 };
  BoundedLog log_;
  ForwardingNode node_;
  HeaderAdapter adapter_;
  TargetPool targets_;
  StoreSource source_;
  Metrics metrics_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::udp::socket peers_;
  boost::asio::ip::udp::endpoint sender_;
  std::string datagram_;
  std::unique_ptr<HttpServer> readyServer_;
  std::unique_ptr<HttpServer> metricsServer_;
  boost::asio::steady_timer tick_;
  boost::asio::steady_timer acceptPause_;
  boost::asio::signal_set signals_;
  std::set<std::shared_ptr<CallerConnection>> callers_;
  std::map<RequestId, std::shared_ptr<Exchange>> exchanges_;
  RequestId nextRequest_ = 1;
  bool settling_ = false;
  Instant wakeAt_{};
  Instant lastSweep_{};
  Instant lastSettingsLook_{};
  std::optional<Instant> stopSince_;
  bool wasReady_ = false;
  std::int64_t peerBytesSent_ = 0;
  std::int64_t garbledDatagrams_ = 0;
  std::int64_t unsentDatagrams_ = 0;
  Instant lastRelief_{};
  Instant lastPlaceRelief_{};
  bool hasPausedBodies_ = false;
  Instant lastMemoryLine_{};
  MemoryLevel loggedLevel_ = MemoryLevel::kFree;
  std::array<std::int64_t, kMemoryActions.size()> loggedActions_{};

  auto WaitForCallers() -> void;
  /// Takes the connections that wait; whether to wait for more at once.
  auto Accept() -> bool;
  auto WaitForDatagrams() -> void;
  auto ReceiveDatagrams() -> void;
  auto WaitForSignal() -> void;
  auto ScheduleTick() -> void;
  auto Tick() -> void;
  auto Sweep(Instant aNow) -> void;
  /// Pauses and closes connections as far as memory requires it.
  auto CheckMemory(Instant aNow) -> void;
  /// At most one line a second, where something has changed.
  auto LogMemory(Instant aNow) -> void;
  /// Closes connections without a whole request, as new ones need places.
  auto FreePlaces() -> void;
  auto StopWhenDone(Instant aNow) -> void;
  auto LookAtSettings(std::string_view aCause) -> void;
  auto NoteReadiness() -> void;
  auto Apply(const SendAttempt& aEffect) -> void;
  auto Apply(const AbortAttempt& aEffect) -> void;
  auto Apply(const FailRequest& aEffect) -> void;
  auto Apply(const SendToRouters& aEffect) -> void;
  auto Apply(const ApplyConfiguration& aEffect) -> void;
  auto Apply(const ApplyListNews& aEffect) -> void;
  auto Apply(const RecordEventGaps& aEffect) -> void;
  auto Apply(const StoreQuarantine& aEffect) -> void;
  [[nodiscard]] auto MetricsText() const -> std::string;

public:
  ForwardingProcess(ProcessSettings aSettings,
                    std::string aSettingsPath,
                    std::string aSettingsText);

  auto Node() -> ForwardingNode& override;
  auto Settle() -> void override;
  auto Targets() -> TargetPool& override;
  auto Memory() -> MemoryBudget& override;
  auto RelieveMemory(std::size_t aNeeded) -> void override;
  [[nodiscard]] auto Adapter() const -> const ProtocolAdapter& override;
  [[nodiscard]] auto Log() -> EventLog& override;
  auto Record(const ExchangeTiming& aTiming) -> void override;
  auto Release(RequestId aRequest) -> void override;

  auto Begin(AnswerWriter* aWriter,
             MessageHead aHead,
             std::string aBody,
             Instant aReceived) -> std::shared_ptr<Exchange> override;
  [[nodiscard]] auto Limits() const -> CallerLimits override;
  [[nodiscard]] auto IsEnding() const -> bool override;

  auto OnConfiguration(RouteTablePointer aTable,
                       std::string aText,
                       Instant aAsOf) -> void override;
  auto OnConfigurationConfirmed(Instant aAsOf) -> void override;
  auto OnZoneDrains(const std::vector<ZoneDrainRecord>& aRecords,
                    bool aIsSnapshot,
                    std::int64_t aOffset) -> void override;
  auto OnTarget(const std::string& aKey, RegisteredTarget aTarget)
    -> void override;
  auto OnTargetRemoved(const std::string& aKey) -> void override;
  auto OnTargets(std::vector<std::pair<std::string, RegisteredTarget>> aAll)
    -> void override;
  auto OnTargetsInPart(
    std::vector<std::pair<std::string, RegisteredTarget>> aPart)
    -> void override;
  auto OnTargetListRead(bool aSuccess) -> void override;
  auto OnStoredQuarantine(const StoredQuarantine& aQuarantine) -> void override;
  auto OnRouters(const std::vector<RouterAddress>& aRouters) -> void override;
  auto OnStoreEpoch(std::optional<std::int64_t> aEpoch) -> EpochOrder override;
  auto TimeToRead(SharedList aList, bool aFirst) -> Duration override;
  auto OnListRead(SharedList aList,
                  bool aSuccess,
                  std::optional<wire::ListNews> aNews) -> void override;

  /// Opens the listeners; the status names the address on failure.
  auto Listen() -> absl::Status;
  /// Runs until a stop has drained.
  auto Run() -> void;
};

} // namespace burdockring

#endif
