#ifndef BURDOCKRING_MEASURE_FLEET_LAYOUT_H
#define BURDOCKRING_MEASURE_FLEET_LAYOUT_H

#include "process/membership/peer_table.h"
#include "version/config_set.h"

#include <string>
#include <vector>

namespace burdockring {

/// Size and shape of a simulated fleet with one service.
struct FleetLayout
{
  int zones_ = 4;
  int routers_ = 9;
  int targets_ = 12;
  int slots_ = 8;
  int accounts_ = 16;
  /// The first accounts are large: they have this weight.
  int largeAccounts_ = 3;
  double largeWeight_ = 4.0;
  int maxWaiting_ = 100'000;
  bool idempotent_ = true;
  Duration withinZone_ = 100us;
  Duration betweenZones_ = 500us;
  Duration timePerToken_ = 5ms;

  [[nodiscard]] auto RouterName(int aIndex) const -> std::string;
  [[nodiscard]] auto ZoneName(int aIndex) const -> std::string;
  [[nodiscard]] auto AccountName(int aIndex) const -> std::string;
  [[nodiscard]] auto TargetName(int aIndex) const -> std::string;
  [[nodiscard]] auto ZoneOfRouter(int aIndex) const -> int;
  [[nodiscard]] auto ZoneOfTarget(int aIndex) const -> int;
  [[nodiscard]] auto Weight(int aAccount) const -> double;
  [[nodiscard]] auto Address(int aRouter) const -> RouterAddress;
  [[nodiscard]] auto Addresses() const -> std::vector<RouterAddress>;
  [[nodiscard]] auto Account(int aIndex) const -> AccountId;
  [[nodiscard]] auto Service() const -> ServiceId;
  /// The configuration as its publishers would write it.
  [[nodiscard]] auto ConfigText() const -> std::string;
};

} // namespace burdockring

#endif
