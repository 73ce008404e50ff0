#ifndef BURDOCKRING_VERSION_ROUTE_TABLE_H
#define BURDOCKRING_VERSION_ROUTE_TABLE_H

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burdockring {

/// Whether a route's requests may be retried, and its response type.
enum class RouteKind
{
  /// May run more than once.
  kSafe,
  /// May run at most once.
  kUnsafe,
  /// The response is an event stream.
  kStream,
};

/// A weighted service of a route.
struct RouteShare
{
  ServiceId service_;
  int weight_ = 1;
};

struct RouteObject
{
  std::string name_;
  std::string host_;
  /// Begins and ends with a slash.
  std::string prefix_;
  RouteKind kind_ = RouteKind::kUnsafe;
  /// Maximum time from a request's arrival to the last response byte.
  Duration timeout_{};
  /// Latency objective for the response, or for a stream's first event.
  Duration latencyObjective_{};
  /// Longest gap between two events with which a stream is on time; zero if it
  /// has no limit.
  Duration maxEventGap_{};
  int maxAttempts_ = 1;
  /// Whether requests need no API key.
  bool public_ = false;
  /// Whether an interrupted stream may resume on another target.
  bool resumable_ = false;
  std::vector<RouteShare> shares_;

  /// Returns whether a request may run more than once.
  [[nodiscard]] auto IsRetryable() const -> bool;
};

/// A service that routes refer to.
struct RoutedService
{
  ServiceId id_;
  std::string name_;
  /// Maximum connections per target, across all callers.
  int maxConnections_ = 0;
  /// Whether its targets are model engines, which have a prompt cache.
  bool isEngine_ = false;
  /// Capacity of an engine's prompt cache, in tokens.
  int memoryTokens_ = 0;
  /// Time to copy one cached token from another engine, in milliseconds; zero
  /// if the engine does not support copying.
  double copyMsPerToken_ = 0;
  /// Shortest latency objective of its stream routes; zero if there is none.
  Duration minLatencyObjective_{};
  /// Shortest limit of the gap between two events of its stream routes; zero if
  /// none has one.
  Duration minEventGapLimit_{};
};

struct RoutedAccount
{
  AccountId id_;
  std::string name_;
};

/// Limits on caller requests and connections.
struct CallerLimits
{
  std::uint32_t headerBytes_ = 16U << 10U;
  std::uint64_t bodyBytes_ = 4U << 20U;
  /// Maximum time to receive a request header after its first byte.
  Duration headerTimeout_ = 3s;
  /// Maximum idle time of a keep-alive connection.
  Duration idleTimeout_ = 15s;
};

/// One version of the routes, services and accounts. Immutable once built; a
/// request keeps the table that it started with.
class RouteTable
{
  friend class RouteTableBuilder;

  std::int64_t version_ = 0;
  /// Routes by host, each list sorted by longest prefix first.
  std::map<std::string, std::vector<RouteObject>, std::less<>> routes_;
  std::map<ServiceId, RoutedService> services_;
  std::map<std::string, RoutedAccount, std::less<>> accountsByKey_;
  std::map<AccountId, std::string> accountNames_;
  bool requiresKeys_ = false;
  CallerLimits limits_;
  /// Total throughput of all engines in tokens per second, where a prompt token
  /// counts once and a generated token twice; zero if unknown.
  double tokensPerSecond_ = 0;

public:
  [[nodiscard]] auto Version() const -> std::int64_t;
  /// Returns the route with the longest matching path prefix, or null.
  [[nodiscard]] auto FindRoute(std::string_view aHost,
                               std::string_view aPath) const
    -> const RouteObject*;
  [[nodiscard]] auto FindAccount(std::string_view aKey) const
    -> const RoutedAccount*;
  [[nodiscard]] auto FindService(ServiceId aService) const
    -> const RoutedService*;
  [[nodiscard]] auto AccountName(AccountId aAccount) const -> std::string_view;
  [[nodiscard]] auto Services() const
    -> const std::map<ServiceId, RoutedService>&;
  /// Whether routes that are not public require API keys: the configuration
  /// lists accounts, even if there are none.
  [[nodiscard]] auto RequiresKeys() const -> bool;
  [[nodiscard]] auto Limits() const -> const CallerLimits&;
  [[nodiscard]] auto TokensPerSecond() const -> double;
  [[nodiscard]] auto RouteCount() const -> std::size_t;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

/// Builds the route table of one version.
class RouteTableBuilder
{
  RouteTable table_;

  /// Sets the shortest latency objective and the shortest gap limit of each
  /// service of these routes.
  auto ComputeStreamLimits(const std::vector<RouteObject>& aRoutes) -> void;

public:
  explicit RouteTableBuilder(std::int64_t aVersion);

  auto AddRoute(RouteObject aRoute) -> RouteTableBuilder&;
  auto AddService(RoutedService aService) -> RouteTableBuilder&;
  /// Has routes require the keys of the accounts that are added, of which there
  /// may be none.
  auto RequireKeys() -> RouteTableBuilder&;
  /// Requires keys too. An empty key identifies nobody and is left out.
  auto AddAccount(const std::string& aName,
                  const std::vector<std::string>& aKeys) -> RouteTableBuilder&;
  auto SetLimits(const CallerLimits& aLimits) -> RouteTableBuilder&;
  auto SetTokensPerSecond(double aTokens) -> RouteTableBuilder&;
  auto Build() -> RouteTablePointer;
};

} // namespace burdockring

#endif
