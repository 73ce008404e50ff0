#include "measure/fleet_layout.h"

#include "base/digest.h"

namespace burdockring {
namespace {

constexpr auto kServiceName = "forecast";
constexpr int kFirstPort = 20'000;

} // namespace

auto FleetLayout::RouterName(int aIndex) const -> std::string
{
  return "router-" + std::to_string(aIndex);
}

auto FleetLayout::ZoneName(int aIndex) const -> std::string
{
  return "zone-" + std::to_string(aIndex);
}

auto FleetLayout::AccountName(int aIndex) const -> std::string
{
  return "account-" + std::to_string(aIndex);
}

auto FleetLayout::TargetName(int aIndex) const -> std::string
{
  return "engine-" + std::to_string(aIndex);
}

auto FleetLayout::ZoneOfRouter(int aIndex) const -> int
{
  return aIndex % zones_;
}

auto FleetLayout::ZoneOfTarget(int aIndex) const -> int
{
  return aIndex % zones_;
}

auto FleetLayout::Weight(int aAccount) const -> double
{
  return aAccount < largeAccounts_ ? largeWeight_ : 1.0;
}

auto FleetLayout::Address(int aRouter) const -> RouterAddress
{
  RouterAddress address;
  address.name_ = RouterName(aRouter);
  address.id_ = MakeId<RouterId>(address.name_);
  address.zoneName_ = ZoneName(ZoneOfRouter(aRouter));
  address.zone_ = MakeId<ZoneId>(address.zoneName_);
  return address;
}

auto FleetLayout::Addresses() const -> std::vector<RouterAddress>
{
  std::vector<RouterAddress> addresses;
  for (int i = 0; i < routers_; ++i) {
    addresses.push_back(Address(i));
  }
  return addresses;
}

auto FleetLayout::Account(int aIndex) const -> AccountId
{
  return MakeId<AccountId>(AccountName(aIndex));
}

auto FleetLayout::Service() const -> ServiceId
{
  return MakeId<ServiceId>(kServiceName);
}

auto FleetLayout::ConfigText() const -> std::string
{
  std::string text = "zones:\n";
  for (int i = 0; i < zones_; ++i) {
    text += "  - {name: " + ZoneName(i) + "}\n";
  }
  text += "client_accounts:\n";
  for (int i = 0; i < accounts_; ++i) {
    text += "  - {name: " + AccountName(i) +
            ", weight: " + std::to_string(Weight(i)) +
            ", max_waiting: " + std::to_string(maxWaiting_) +
            ", token_sha256: " + Sha256Hex(AccountName(i)) + "}\n";
  }
  text += std::string("services:\n  - {name: ") + kServiceName +
          ", queue_timeout_ms: 3600000, progress_timeout_ms: 2000, "
          "idempotent: " +
          (idempotent_ ? "true" : "false") + "}\ntargets:\n";
  for (int i = 0; i < targets_; ++i) {
    text += "  - {name: " + TargetName(i) + ", service: " + kServiceName +
            ", zone: " + ZoneName(ZoneOfTarget(i)) +
            ", slots: " + std::to_string(slots_) +
            ", address: '127.0.0.1:" + std::to_string(kFirstPort + i) + "'}\n";
  }
  return text;
}

} // namespace burdockring
