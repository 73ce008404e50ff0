#include "process/node/scheduler_set.h"

#include <utility>

namespace burdockring {

auto SchedulerSet::Name(const Key& aKey, const ConfigSet& aSet) -> std::string
{
  const auto zone = aSet.zones_.find(aKey.zone_);
  const auto service = aSet.services_.find(aKey.service_);
  return (service == aSet.services_.end() ? "" : service->second.name_) + '@' +
         (zone == aSet.zones_.end() ? "" : zone->second.name_);
}

SchedulerSet::SchedulerSet(const SharingOptions* aOptions,
                           const PeerTable* aPeers)
  : options_(aOptions)
  , peers_(aPeers)
{
}

auto SchedulerSet::Clear() -> void
{
  schedulers_.clear();
  Invalidate();
}

auto SchedulerSet::Invalidate() -> void
{
  peersVersion_ = 0;
}

auto SchedulerSet::Refresh(std::map<ServiceId, ServicePool>* aPools,
                           const ConfigSet& aSet,
                           const std::set<TargetId>& aLeaving,
                           Instant aNow) -> std::vector<std::string>
{
  std::vector<std::string> started;
  if (peers_->Version() == peersVersion_) {
    return started;
  }
  peersVersion_ = peers_->Version();
  for (auto& [service, pool] : *aPools) {
    for (const auto zone : pool.Zones()) {
      const auto scheduler = peers_->SchedulerOf(zone, service);
      pool.SetScheduler(zone, scheduler,
                        scheduler ? peers_->IncarnationOf(*scheduler) : 0);
      const Key key{ zone, service };
      if (scheduler != peers_->Self().id_) {
        schedulers_.erase(key);
        continue;
      }
      const auto inserted =
        schedulers_.try_emplace(key, options_, service, zone, aNow);
      if (inserted.second) {
        inserted.first->second.Configure(aSet);
        inserted.first->second.SetLeaving(aLeaving);
        started.push_back(Name(key, aSet));
      }
    }
  }
  return started;
}

auto SchedulerSet::Configure(const ConfigSet& aSet) -> void
{
  for (auto& entry : schedulers_) {
    entry.second.Configure(aSet);
  }
}

auto SchedulerSet::SetLeaving(const std::set<TargetId>& aLeaving) -> void
{
  for (auto& entry : schedulers_) {
    entry.second.SetLeaving(aLeaving);
  }
}

auto SchedulerSet::RemoveRouter(RouterId aRouter, Instant aNow) -> void
{
  for (auto& entry : schedulers_) {
    entry.second.Forget(aRouter, aNow);
  }
}

auto SchedulerSet::OnReport(RouterId aFrom,
                            std::int64_t aIncarnation,
                            const wire::DemandReport& aReport,
                            Instant aNow) -> void
{
  const auto found = schedulers_.find(
    { ZoneId{ aReport.zone }, ServiceId{ aReport.serviceId } });
  if (found != schedulers_.end()) {
    found->second.OnReport(aFrom, aIncarnation, aReport, aNow);
  }
}

auto SchedulerSet::OnExchange(std::int64_t aIncarnation,
                              const wire::ZoneExchange& aExchange,
                              Instant aNow) -> void
{
  const ServiceId service{ aExchange.serviceId };
  for (auto& entry : schedulers_) {
    if (entry.first.service_ == service &&
        entry.first.zone_.value_ != aExchange.zone) {
      entry.second.OnExchange(aIncarnation, aExchange, aNow);
    }
  }
}

auto SchedulerSet::Run(Instant aNow) -> std::vector<AddressedEnvelope>
{
  std::vector<AddressedEnvelope> messages;
  for (auto& entry : schedulers_) {
    auto& scheduler = entry.second;
    scheduler.Schedule(aNow);
    for (auto& addressed : scheduler.TakeBatches(aNow)) {
      wire::Envelope envelope;
      envelope.__isset.grants = true;
      envelope.grants = std::move(addressed.batch_);
      messages.push_back({ addressed.router_, std::move(envelope) });
    }
    for (auto& addressed : scheduler.TakeExchanges(aNow)) {
      const auto receiver =
        peers_->SchedulerOf(addressed.zone_, entry.first.service_);
      wire::Envelope envelope;
      envelope.__isset.exchange = true;
      envelope.exchange = std::move(addressed.exchange_);
      messages.push_back({ *receiver, std::move(envelope) });
    }
  }
  return messages;
}

auto SchedulerSet::Find(ZoneId aZone, ServiceId aService) const
  -> const ZoneScheduler*
{
  const auto found = schedulers_.find({ aZone, aService });
  return found == schedulers_.end() ? nullptr : &found->second;
}

} // namespace burdockring
