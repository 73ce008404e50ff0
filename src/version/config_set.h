#ifndef BURDOCKRING_VERSION_CONFIG_SET_H
#define BURDOCKRING_VERSION_CONFIG_SET_H

#include "base/finding.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockring {

/// Protocol of a service's targets: engines stream tokens and can resume; plain
/// services respond with a single body.
enum class ServiceKind
{
  kEngine,
  kPlain,
};

struct ZoneObject
{
  ZoneId id_;
  std::string name_;
  std::string region_;
  SourceLocation location_;
};

struct AccountObject
{
  AccountId id_;
  std::string name_;
  double weight_ = 1.0;
  /// Lower-case hexadecimal SHA-256 of the bearer token.
  std::string tokenSha256_;
  /// Maximum requests of this account queued per router and service.
  int maxWaiting_ = 0;
  SourceLocation location_;
};

struct ModelObject
{
  std::string name_;
  int maxTokens_ = 0;
  std::string fallback_;
  SourceLocation location_;
};

struct ServiceObject
{
  ServiceId id_;
  std::string name_;
  ServiceKind kind_ = ServiceKind::kEngine;
  std::string model_;
  /// Whether a request without an idempotency key may be retried.
  bool idempotent_ = true;
  /// Maximum time that a request waits for a slot.
  Duration queueTimeout_{};
  /// Maximum time without progress before a stream is considered stalled.
  Duration progressTimeout_{};
  int maxAttempts_ = 3;
  SourceLocation location_;
};

struct TargetObject
{
  TargetId id_;
  std::string name_;
  ServiceId service_;
  std::string serviceName_;
  ZoneId zone_;
  std::string zoneName_;
  std::string host_;
  std::uint16_t port_ = 0;
  /// Maximum concurrent requests on the target, across all routers.
  int slots_ = 1;
  bool leaving_ = false;
  /// Whether the target rejects requests with an outdated fencing token.
  bool checksFencing_ = false;
  SourceLocation location_;
};

/// A complete, self-consistent configuration. Immutable once read; a request
/// keeps the set that it started with.
struct ConfigSet
{
  std::map<ZoneId, ZoneObject> zones_;
  std::map<AccountId, AccountObject> accounts_;
  std::map<std::string, ModelObject> models_;
  std::map<ServiceId, ServiceObject> services_;
  std::map<TargetId, TargetObject> targets_;
  std::map<std::string, AccountId> accountByToken_;

  /// Returns the account whose token has this SHA-256, or null.
  [[nodiscard]] auto FindAccountByToken(const std::string& aSha256) const
    -> const AccountObject*;
  /// Returns the service with this name, or null.
  [[nodiscard]] auto FindService(const std::string& aName) const
    -> const ServiceObject*;
  [[nodiscard]] auto Weight(AccountId aAccount) const -> double;
};

using ConfigSetPointer = std::shared_ptr<const ConfigSet>;

} // namespace burdockring

#endif
