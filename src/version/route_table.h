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

/// What a route's requests may be repeated as.
enum class RouteKind
{
  /// May run more than once.
  kSafe,
  /// May run at most once.
  kUnsafe,
  /// Answered by a stream of events.
  kStream,
};

/// A service that a route sends part of its requests to.
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
  /// Longest time from a request's arrival to its last byte.
  Duration timeout_{};
  /// Within this time an answer, or a stream's first event, is on time.
  Duration latencyObjective_{};
  int maxAttempts_ = 1;
  /// Whether requests need no key.
  bool public_ = false;
  /// Whether a broken stream may go on at another target.
  bool resumable_ = false;
  std::vector<RouteShare> shares_;

  /// Whether a request may run more than once.
  [[nodiscard]] auto MayRepeat() const -> bool;
};

/// A service as the routes name it.
struct RoutedService
{
  ServiceId id_;
  std::string name_;
  /// Connections that one target accepts from all callers together.
  int maxConnections_ = 0;
  /// Whether its targets are model engines, with a memory of prompts.
  bool isEngine_ = false;
  /// Tokens that an engine's memory holds.
  int memoryTokens_ = 0;
  /// Time in which an engine copies the memory of a token from another, in
  /// milliseconds; zero: it can't.
  double copyMsPerToken_ = 0;
  /// The shortest aim of the streams that are sent to it; zero: there are none.
  Duration minLatencyObjective_{};
};

struct RoutedAccount
{
  AccountId id_;
  std::string name_;
};

/// What callers may send.
struct CallerLimits
{
  std::uint32_t headerBytes_ = 16U << 10U;
  std::uint64_t bodyBytes_ = 4U << 20U;
  /// Longest time for a request's header to arrive once it has begun.
  Duration headerTimeout_ = 3s;
  /// Longest time that a kept connection stays idle.
  Duration idleTimeout_ = 15s;
};

/// One version of the routes, services and accounts. Immutable once built; a
/// request keeps the table that it began on.
class RouteTable
{
  friend class RouteTableBuilder;

  std::int64_t version_ = 0;
  /// Routes of a host, longest prefix first.
  std::map<std::string, std::vector<RouteObject>, std::less<>> routes_;
  std::map<ServiceId, RoutedService> services_;
  std::map<std::string, RoutedAccount, std::less<>> accountsByKey_;
  std::map<AccountId, std::string> accountNames_;
  CallerLimits limits_;
  /// Tokens that all engines together give in a second, each prompt token
  /// counted once and each generated one twice; zero: not known.
  double tokensPerSecond_ = 0;

public:
  [[nodiscard]] auto Version() const -> std::int64_t;
  /// The route with the longest prefix of the path, or null.
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
  /// Whether the configuration names accounts, so that routes need keys.
  [[nodiscard]] auto HasAccounts() const -> bool;
  [[nodiscard]] auto Limits() const -> const CallerLimits&;
  [[nodiscard]] auto TokensPerSecond() const -> double;
  [[nodiscard]] auto RouteCount() const -> std::size_t;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

/// Gathers a version and builds its table.
class RouteTableBuilder
{
  RouteTable table_;

  /// Finds the shortest aims of the services that these routes lead to.
  auto NoteAims(const std::vector<RouteObject>& aRoutes) -> void;

public:
  explicit RouteTableBuilder(std::int64_t aVersion);

  auto AddRoute(RouteObject aRoute) -> RouteTableBuilder&;
  auto AddService(RoutedService aService) -> RouteTableBuilder&;
  auto AddAccount(const std::string& aName,
                  const std::vector<std::string>& aKeys) -> RouteTableBuilder&;
  auto SetLimits(const CallerLimits& aLimits) -> RouteTableBuilder&;
  auto SetTokensPerSecond(double aTokens) -> RouteTableBuilder&;
  auto Build() -> RouteTablePointer;
};

} // namespace burdockring

#endif
