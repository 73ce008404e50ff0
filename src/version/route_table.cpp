#include "version/route_table.h"

#include <algorithm>
#include <utility>

namespace burdockring {

auto RouteObject::IsRetryable() const -> bool
{
  return kind_ == RouteKind::kSafe ||
         (kind_ == RouteKind::kStream && resumable_);
}

auto RouteTable::Version() const -> std::int64_t
{
  return version_;
}

auto RouteTable::FindRoute(std::string_view aHost, std::string_view aPath) const
  -> const RouteObject*
{
  const auto found = routes_.find(aHost);
  if (found == routes_.end()) {
    return nullptr;
  }
  const auto path = aPath.substr(0, aPath.find('?'));
  for (const auto& route : found->second) {
    if (path.starts_with(route.prefix_)) {
      return &route;
    }
  }
  return nullptr;
}

auto RouteTable::FindAccount(std::string_view aKey) const
  -> const RoutedAccount*
{
  const auto found = accountsByKey_.find(aKey);
  return found == accountsByKey_.end() ? nullptr : &found->second;
}

auto RouteTable::FindService(ServiceId aService) const -> const RoutedService*
{
  const auto found = services_.find(aService);
  return found == services_.end() ? nullptr : &found->second;
}

auto RouteTable::AccountName(AccountId aAccount) const -> std::string_view
{
  const auto found = accountNames_.find(aAccount);
  return found == accountNames_.end() ? std::string_view() : found->second;
}

auto RouteTable::Services() const -> const std::map<ServiceId, RoutedService>&
{
  return services_;
}

auto RouteTable::RequiresKeys() const -> bool
{
  return requiresKeys_;
}

auto RouteTable::Limits() const -> const CallerLimits&
{
  return limits_;
}

auto RouteTable::TokensPerSecond() const -> double
{
  return tokensPerSecond_;
}

auto RouteTable::RouteCount() const -> std::size_t
{
  std::size_t count = 0;
  for (const auto& entry : routes_) {
    count += entry.second.size();
  }
  return count;
}

RouteTableBuilder::RouteTableBuilder(std::int64_t aVersion)
{
  table_.version_ = aVersion;
}

auto RouteTableBuilder::AddRoute(RouteObject aRoute) -> RouteTableBuilder&
{
  auto& routes = table_.routes_[aRoute.host_];
  routes.push_back(std::move(aRoute));
  return *this;
}

auto RouteTableBuilder::AddService(RoutedService aService) -> RouteTableBuilder&
{
  const auto id = aService.id_;
  table_.services_[id] = std::move(aService);
  return *this;
}

auto RouteTableBuilder::RequireKeys() -> RouteTableBuilder&
{
  table_.requiresKeys_ = true;
  return *this;
}

auto RouteTableBuilder::AddAccount(const std::string& aName,
                                   const std::vector<std::string>& aKeys)
  -> RouteTableBuilder&
{
  const auto id = MakeId<AccountId>(aName);
  RequireKeys();
  table_.accountNames_[id] = aName;
  for (const auto& key : aKeys) {
    if (!key.empty()) {
      table_.accountsByKey_[key] = { id, aName };
    }
  }
  return *this;
}

auto RouteTableBuilder::SetLimits(const CallerLimits& aLimits)
  -> RouteTableBuilder&
{
  table_.limits_ = aLimits;
  return *this;
}

auto RouteTableBuilder::SetTokensPerSecond(double aTokens) -> RouteTableBuilder&
{
  table_.tokensPerSecond_ = aTokens;
  return *this;
}

auto RouteTableBuilder::ComputeStreamLimits(
  const std::vector<RouteObject>& aRoutes) -> void
{
  // Zero stands for no limit.
  const auto shorten = [](Duration aLimit, Duration* aShortest) {
    if (aLimit > 0us) {
      *aShortest = *aShortest == 0us ? aLimit : std::min(*aShortest, aLimit);
    }
  };
  for (const auto& route : aRoutes) {
    if (route.kind_ != RouteKind::kStream) {
      continue;
    }
    for (const auto& share : route.shares_) {
      const auto service = table_.services_.find(share.service_);
      if (service != table_.services_.end()) {
        shorten(route.latencyObjective_, &service->second.minLatencyObjective_);
        shorten(route.maxEventGap_, &service->second.minEventGapLimit_);
      }
    }
  }
}

auto RouteTableBuilder::Build() -> RouteTablePointer
{
  for (auto& entry : table_.routes_) {
    ComputeStreamLimits(entry.second);
    std::stable_sort(entry.second.begin(), entry.second.end(),
                     [](const RouteObject& aLeft, const RouteObject& aRight) {
                       return aLeft.prefix_.size() > aRight.prefix_.size();
                     });
  }
  return std::make_shared<const RouteTable>(std::move(table_));
}

} // namespace burdockring
