#include "process/placement/zone_drains.h"

#include "process/peers/store_epoch_tracker.h"

#include <array>
#include <utility>

namespace burdockring {
namespace {

struct SourceRow
{
  DrainSource source_;
  std::string_view name_;
};

constexpr std::array kSourceTable{
  SourceRow{ DrainSource::kStore, "store" },
  SourceRow{ DrainSource::kPeer, "peer" },
};

template<typename Zones>
auto ApplyRecord(const ZoneDrainRecord& aRecord, Zones* aZones) -> void
{
  if (aRecord.isDrained_) {
    aZones->insert_or_assign(aRecord.zone_, aRecord.name_);
  } else {
    aZones->erase(aRecord.zone_);
  }
}

} // namespace

auto DrainSourceName(DrainSource aSource) -> std::string_view
{
  return kSourceTable.at(static_cast<std::size_t>(aSource)).name_;
}

auto ZoneDrains::BeginEpochIfNew(std::int64_t aEpoch, Instant aNow) -> void
{
  const bool isNew = position_ && aEpoch > position_->epoch_ &&
                     (!pending_ || aEpoch > pending_->position_.epoch_);
  if (isNew) {
    heldUntil_ = aNow + kRewriteGracePeriod;
    pending_.reset();
  }
}

auto ZoneDrains::Apply(ZoneNames aZones,
                       StorePosition aPosition,
                       DrainSource aSource) -> void
{
  for (const auto& [zone, name] : aZones) {
    if (!zones_.contains(zone)) {
      changes_.push_back({ zone, name, true, aSource, aPosition });
    }
  }
  for (const auto& [zone, name] : zones_) {
    if (!aZones.contains(zone)) {
      changes_.push_back({ zone, name, false, aSource, aPosition });
    }
  }
  if (aZones != zones_) {
    ++version_;
  }
  zones_ = std::move(aZones);
  position_ = aPosition;
}

auto ZoneDrains::Offer(ZoneNames aZones,
                       StorePosition aPosition,
                       DrainSource aSource,
                       Instant aNow) -> void
{
  BeginEpochIfNew(aPosition.epoch_, aNow);
  const auto newest = pending_ ? pending_->position_ : position_;
  if (newest && aPosition <= *newest) {
    return;
  }
  if (heldUntil_) {
    pending_ = PendingList{ std::move(aZones), aPosition, aSource };
    return;
  }
  Apply(std::move(aZones), aPosition, aSource);
}

auto ZoneDrains::OnSnapshot(const std::vector<ZoneDrainRecord>& aRecords,
                            StorePosition aPosition,
                            Instant aNow) -> void
{
  ZoneNames zones;
  for (const auto& record : aRecords) {
    ApplyRecord(record, &zones);
  }
  Offer(std::move(zones), aPosition, DrainSource::kStore, aNow);
}

auto ZoneDrains::OnRecords(const std::vector<ZoneDrainRecord>& aRecords,
                           StorePosition aPosition,
                           Instant aNow) -> void
{
  if (aRecords.empty()) {
    return;
  }
  auto zones = pending_ ? pending_->zones_ : zones_;
  for (const auto& record : aRecords) {
    ApplyRecord(record, &zones);
  }
  Offer(std::move(zones), aPosition, DrainSource::kStore, aNow);
  if (!heldUntil_) {
    return;
  }
  // Written in the new epoch, so it is no record of the older copy.
  auto inForce = zones_;
  for (const auto& record : aRecords) {
    ApplyRecord(record, &inForce);
  }
  Apply(std::move(inForce), position_.value_or(aPosition), DrainSource::kStore);
}

auto ZoneDrains::OnPeerList(const wire::ZoneDrainList& aList, Instant aNow)
  -> void
{
  if (aList.zones.size() > kMaxZones || aList.offset < 0) {
    return;
  }
  ZoneNames zones;
  for (const auto& row : aList.zones) {
    zones.insert_or_assign(ZoneId{ row.zone }, row.name);
  }
  Offer(std::move(zones), { aList.storeEpoch, aList.offset },
        DrainSource::kPeer, aNow);
}

auto ZoneDrains::Tick(Instant aNow) -> void
{
  if (!heldUntil_ || aNow < *heldUntil_) {
    return;
  }
  heldUntil_.reset();
  if (auto pending = std::exchange(pending_, std::nullopt)) {
    Apply(std::move(pending->zones_), pending->position_, pending->source_);
  }
}

auto ZoneDrains::IsDrained(ZoneId aZone) const -> bool
{
  return zones_.contains(aZone);
}

auto ZoneDrains::Count() const -> std::size_t
{
  return zones_.size();
}

auto ZoneDrains::List() const -> std::optional<wire::ZoneDrainList>
{
  if (!position_ || version_ == 1) {
    return std::nullopt;
  }
  wire::ZoneDrainList list;
  list.storeEpoch = position_->epoch_;
  list.offset = position_->offset_;
  for (const auto& [zone, name] : zones_) {
    wire::ZoneDrainRow row;
    row.zone = zone.value_;
    row.name = name;
    list.zones.push_back(row);
  }
  return list;
}

auto ZoneDrains::Version() const -> std::int64_t
{
  return version_;
}

auto ZoneDrains::TakeChanges() -> std::vector<ZoneDrainChange>
{
  return std::exchange(changes_, {});
}

} // namespace burdockring
