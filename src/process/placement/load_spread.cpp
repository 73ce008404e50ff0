#include "process/placement/load_spread.h"

#include <algorithm>
#include <cmath>

namespace burdockring {
namespace {

auto Seconds(Duration aTime) -> double
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

auto SpreadContext::CostChange(std::size_t aEngine,
                               const TargetLoad& aLoad,
                               Duration aCachedCost,
                               Instant aNow) const -> Duration
{
  const auto unseen = SinceReport(unseen_, aLoad.ReportAge(aNow));
  const auto total = aLoad.PrefillTime(0, aNow);
  const auto own = std::min(total, aLoad.OwnPrefillTime(aNow));
  const auto backlog = BacklogNow(own, total - own, unseen.age_);
  const auto limit = aCachedCost > 0us ? std::min(limit_, aCachedCost) : limit_;
  const auto turn = TurnAt(aEngine, router_, routers_);
  return backlog - total + TurnPenalty(CostUncertainty(unseen, limit), turn);
}

auto LoadSpread::SetSelf(RouterId aSelf) -> void
{
  self_ = aSelf;
}

auto LoadSpread::OnTargetReport(ServiceId aService, Instant aNow) -> bool
{
  auto& service = services_[aService];
  const bool isFirst = service.reportedAt_ == 0us ||
                       aNow - service.reportedAt_ > kReportingTimeout;
  service.reportedAt_ = aNow;
  return isFirst;
}

auto LoadSpread::OnPlaced(ServiceId aService, int aPrefillTokens) -> void
{
  const auto found = services_.find(aService);
  if (found == services_.end()) {
    return;
  }
  auto& mean = found->second.meanTokens_;
  const double step = kSmoothingFactor * (aPrefillTokens - mean);
  mean = mean == 0 ? aPrefillTokens : mean + step;
}

auto LoadSpread::IsActive() const -> bool
{
  return !services_.empty();
}

auto LoadSpread::OnPeerReport(RouterId aPeer,
                              const std::map<ServiceId, double>& aAddedTokens,
                              Instant aNow) -> void
{
  for (auto& entry : services_) {
    auto& senders = entry.second.senders_;
    std::erase_if(senders, [&](const auto& aSender) {
      return aNow - aSender.second.at_ > kReportingTimeout;
    });
    const auto added = aAddedTokens.find(entry.first);
    const auto inserted = senders.try_emplace(aPeer, Sender{ aNow, 0 });
    auto& sender = inserted.first->second;
    if (inserted.second) {
      // How long its present work has been there is unknown.
      continue;
    }
    const auto elapsed = std::max<Duration>(aNow - sender.at_, 0us);
    const double tokens = added == aAddedTokens.end() ? 0.0 : added->second;
    const double kept =
      std::max(0.0, 1.0 - Seconds(elapsed) / Seconds(kRateMemory));
    const double before = sender.tokensPerSecond_ * kept;
    const double gained =
      tokens / Seconds(std::max<Duration>(elapsed, kRateMemory));
    sender.tokensPerSecond_ = before + gained;
    sender.at_ = aNow;
  }
}

auto LoadSpread::MeanTokens(ServiceId aService) const -> double
{
  const auto found = services_.find(aService);
  return found == services_.end() ? 0.0 : found->second.meanTokens_;
}

auto LoadSpread::ContextFor(ServiceId aService,
                            std::size_t aEngines,
                            const PrefillEstimator& aPrefill,
                            Duration aLimit,
                            Instant aNow) const -> std::optional<SpreadContext>
{
  const auto found = services_.find(aService);
  if (found == services_.end() || aEngines == 0 ||
      aNow - found->second.reportedAt_ > kReportingTimeout) {
    return std::nullopt;
  }
  double rate = 0;
  double unseenTokens = 0;
  for (const auto& entry : found->second.senders_) {
    const auto& sender = entry.second;
    const auto age = std::min<Duration>(aNow - sender.at_ + kTransit, kMaxAge);
    const double tokens = sender.tokensPerSecond_ * Seconds(age);
    rate += sender.tokensPerSecond_;
    unseenTokens += tokens;
  }
  SpreadContext context;
  context.limit_ = aLimit;
  if (rate <= 0) {
    return context;
  }
  for (const auto& entry : found->second.senders_) {
    if (entry.first != self_ &&
        entry.second.tokensPerSecond_ >= kMinShare * rate) {
      ++context.routers_;
      context.router_ += entry.first < self_ ? 1 : 0;
    }
  }
  context.unseen_.age_ = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(unseenTokens / rate));
  context.unseen_.expected_ =
    aPrefill.PrefillDuration(unseenTokens / static_cast<double>(aEngines));
  context.unseen_.perRequest_ =
    aPrefill.PrefillDuration(found->second.meanTokens_);
  return context;
}

} // namespace burdockring
