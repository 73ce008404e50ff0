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

auto ZoneDrains::OnStoreEpoch(std::int64_t aEpoch, Instant aNow) -> void
{
  if (!position_ || aEpoch <= position_->epoch_ || aEpoch <= heldEpoch_) {
    return;
  }
  heldEpoch_ = aEpoch;
  heldUntil_ = aNow + kRewriteGracePeriod;
  pending_.reset();
}

auto ZoneDrains::Apply(List aList) -> void
{
  const auto report = [&](const auto& aEntry, bool aIsDrained) {
    changes_.push_back({ aEntry.first, aEntry.second, aIsDrained, aList.source_,
                         aList.position_ });
  };
  for (const auto& entry : aList.zones_) {
    if (!zones_.contains(entry.first)) {
      report(entry, true);
    }
  }
  for (const auto& entry : zones_) {
    if (!aList.zones_.contains(entry.first)) {
      report(entry, false);
    }
  }
  zones_ = std::move(aList.zones_);
  position_ = aList.position_;
}

auto ZoneDrains::Offer(List aList, Instant aNow) -> bool
{
  OnStoreEpoch(aList.position_.epoch_, aNow);
  const bool isPending = heldUntil_ && aList.position_.isSettled_;
  const auto newest = isPending && pending_ ? pending_->position_ : position_;
  if (newest && aList.position_ <= *newest) {
    return false;
  }
  if (isPending) {
    pending_ = std::move(aList);
  } else {
    Apply(std::move(aList));
  }
  return true;
}

auto ZoneDrains::OnSnapshot(const std::vector<ZoneDrainRecord>& aRecords,
                            StorePosition aPosition,
                            Instant aNow) -> void
{
  isInUse_ = isInUse_ || !aRecords.empty();
  List list{ {}, aPosition, DrainSource::kStore };
  for (const auto& record : aRecords) {
    ApplyRecord(record, &list.zones_);
  }
  Offer(std::move(list), aNow);
}

auto ZoneDrains::OnRecords(const std::vector<ZoneDrainRecord>& aRecords,
                           StorePosition aPosition,
                           Instant aNow) -> void
{
  if (aRecords.empty()) {
    return;
  }
  isInUse_ = true;
  OnStoreEpoch(aPosition.epoch_, aNow);
  const auto knownBefore = zones_;
  List list{ pending_ ? pending_->zones_ : zones_, aPosition,
             DrainSource::kStore };
  for (const auto& record : aRecords) {
    ApplyRecord(record, &list.zones_);
  }
  if (!Offer(std::move(list), aNow)) {
    return;
  }
  if (heldUntil_) {
    // Written in the new epoch, so these are no records of the older copy.
    List inForce{ zones_, aPosition, DrainSource::kStore };
    inForce.position_.isSettled_ = false;
    for (const auto& record : aRecords) {
      ApplyRecord(record, &inForce.zones_);
    }
    Apply(std::move(inForce));
  }
  for (const auto& record : aRecords) {
    // A drain that begins and ends within one read still has an end.
    if (!record.isDrained_ && !knownBefore.contains(record.zone_) &&
        !zones_.contains(record.zone_)) {
      changes_.push_back(
        { record.zone_, record.name_, false, DrainSource::kStore, aPosition });
    }
  }
}

auto ZoneDrains::OnPeerList(const wire::ZoneDrainList& aList, Instant aNow)
  -> void
{
  if (aList.zones.size() > kMaxZones || aList.offset < 0) {
    return;
  }
  isInUse_ = true;
  List list{ {},
             { aList.storeEpoch, aList.offset, !aList.held },
             DrainSource::kPeer };
  for (const auto& row : aList.zones) {
    list.zones_.insert_or_assign(ZoneId{ row.zone }, row.name);
  }
  Offer(std::move(list), aNow);
}

auto ZoneDrains::Tick(Instant aNow) -> void
{
  if (!heldUntil_ || aNow < *heldUntil_) {
    return;
  }
  heldUntil_.reset();
  auto pending = std::exchange(pending_, std::nullopt);
  if (pending && (!position_ || pending->position_ > *position_)) {
    Apply(std::move(*pending));
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

auto ZoneDrains::ListForPeers() const -> std::optional<wire::ZoneDrainList>
{
  if (!position_ || !isInUse_) {
    return std::nullopt;
  }
  wire::ZoneDrainList list;
  list.storeEpoch = position_->epoch_;
  list.offset = position_->offset_;
  list.held = !position_->isSettled_;
  for (const auto& [zone, name] : zones_) {
    wire::ZoneDrainRow row;
    row.zone = zone.value_;
    row.name = name;
    list.zones.push_back(row);
  }
  return list;
}

auto ZoneDrains::TakeChanges() -> std::vector<ZoneDrainChange>
{
  return std::exchange(changes_, {});
}

} // namespace burdockring
