#include "process/placement/target_load.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

/// Estimator for targets whose service is unknown.
const PrefillEstimator kDefaultEstimator;

/// More than any router has at one target. Values in a garbled report are
/// clamped to it, so that the sums over all peers do not overflow.
constexpr int kMaxPeerAmount = 5'000'000;

auto ToLoadAmounts(const wire::TargetUse& aUsage) -> LoadAmounts
{
  return { std::clamp(aUsage.running, 0, kMaxPeerAmount),
           std::clamp(aUsage.prefillTokens, 0, kMaxPeerAmount),
           std::clamp(aUsage.memoryTokens, 0, kMaxPeerAmount) };
}

} // namespace

auto LoadAmounts::operator+=(const LoadAmounts& aOther) -> LoadAmounts&
{
  running_ += aOther.running_;
  prefillTokens_ += aOther.prefillTokens_;
  memoryTokens_ += aOther.memoryTokens_;
  return *this;
}

auto LoadAmounts::operator-=(const LoadAmounts& aOther) -> LoadAmounts&
{
  running_ -= aOther.running_;
  prefillTokens_ -= aOther.prefillTokens_;
  memoryTokens_ -= aOther.memoryTokens_;
  return *this;
}

auto TargetLoad::DropExpiredParts(Instant aNow) -> void
{
  std::erase_if(parts_, [&](const auto& aEntry) {
    const auto& part = aEntry.second;
    return aNow - std::max(part.sentAt_, part.cachedAt_) > kPartLifetime;
  });
  if (parts_.size() >= kMaxParts) {
    parts_.clear();
  }
}

auto TargetLoad::Add(const LoadAmounts& aAmounts) -> void
{
  local_ += aAmounts;
}

auto TargetLoad::Remove(const LoadAmounts& aAmounts) -> void
{
  local_ -= aAmounts;
}

auto TargetLoad::ReplacePeerLoad(const LoadAmounts& aOld,
                                 const LoadAmounts& aNew) -> void
{
  peers_ -= aOld;
  peers_ += aNew;
  reported_.OnOthersChanged(aNew.running_ - aOld.running_);
}

auto TargetLoad::OnPartSent(std::uint64_t aPart, Instant aNow) -> void
{
  if (parts_.size() >= kMaxParts) {
    DropExpiredParts(aNow);
  }
  auto& part = parts_[aPart];
  part.sentAt_ = aNow;
  part.wasSent_ = true;
}

auto TargetLoad::WasPartSent(std::uint64_t aPart, Instant aNow) const -> bool
{
  const auto found = parts_.find(aPart);
  return found != parts_.end() && found->second.wasSent_ &&
         aNow - found->second.sentAt_ <= kPartLifetime;
}

auto TargetLoad::OnPartCached(std::uint64_t aPart,
                              bool aObservedLocally,
                              Instant aNow) -> bool
{
  if (parts_.size() >= kMaxParts) {
    DropExpiredParts(aNow);
  }
  auto& part = parts_[aPart];
  part.cachedAt_ = aNow;
  part.isCached_ = true;
  const bool previous =
    part.isAnnounced_ && aNow - part.announcedAt_ < kReannounceInterval;
  if (!aObservedLocally) {
    // A peer has announced it, so this router need not.
    part.announcedAt_ = aNow;
    part.isAnnounced_ = true;
    return false;
  }
  if (previous) {
    return false;
  }
  part.announcedAt_ = aNow;
  part.isAnnounced_ = true;
  return true;
}

auto TargetLoad::IsPartCached(std::uint64_t aPart, Instant aNow) const -> bool
{
  const auto found = parts_.find(aPart);
  return found != parts_.end() && found->second.isCached_ &&
         aNow - found->second.cachedAt_ <= kPartLifetime;
}

auto TargetLoad::SetPrefillEstimator(const PrefillEstimator* aEstimator) -> void
{
  prefill_ = aEstimator;
}

auto TargetLoad::LearnPrefillSpeed(double aSample) -> void
{
  const auto& prefill = prefill_ == nullptr ? kDefaultEstimator : *prefill_;
  const double sample =
    std::clamp(aSample / prefill.MsPerToken(), kMinSlowdown, kMaxSlowdown);
  slowdown_ += kSmoothingFactor * (sample - slowdown_);
}

auto TargetLoad::OnSuccess() -> void
{
  failures_ = 0;
  avoidedUntil_ = {};
}

auto TargetLoad::OnFailure(Instant aNow, bool aExponential) -> void
{
  const auto doublings = aExponential ? std::min(failures_, kMaxDoublings) : 0;
  avoidedUntil_ = aNow + kInitialAvoidance * (1 << doublings);
  ++failures_;
}

auto TargetLoad::IsAvoided(Instant aNow) const -> bool
{
  return aNow < avoidedUntil_;
}

auto TargetLoad::AvoidedUntil() const -> Instant
{
  return avoidedUntil_;
}

auto TargetLoad::PauseUntil(Instant aUntil) -> void
{
  pausedUntil_ = std::max(pausedUntil_, aUntil);
}

auto TargetLoad::PausedUntil() const -> Instant
{
  return pausedUntil_;
}

auto TargetLoad::OnSent(Instant aNow) -> void
{
  reported_.OnSent(aNow);
}

auto TargetLoad::OnReport(const ReportedLoad& aLoad,
                          double aMeanTokens,
                          Instant aNow) -> bool
{
  tokensPerUnknown_ = aMeanTokens;
  return reported_.OnReport(aLoad, local_.running_, peers_.running_, aNow);
}

auto TargetLoad::ReportAge(Instant aNow) const -> Duration
{
  return reported_.Age(aNow);
}

auto TargetLoad::Local() const -> const LoadAmounts&
{
  return local_;
}

auto TargetLoad::Total() const -> LoadAmounts
{
  auto total = local_;
  total += peers_;
  return total;
}

auto TargetLoad::PrefillTime(int aTokens) const -> Duration
{
  const auto ahead = local_.prefillTokens_ + peers_.prefillTokens_;
  const auto& prefill = prefill_ == nullptr ? kDefaultEstimator : *prefill_;
  return prefill.PrefillDuration((ahead + aTokens) * slowdown_);
}

auto TargetLoad::Corrected(Instant aNow) const -> LoadAmounts
{
  const int excess = reported_.Excess(aNow);
  auto total = Total();
  if (excess > 0) {
    total.running_ += excess;
    total.prefillTokens_ +=
      static_cast<int>(reported_.WaitingExcess(aNow) * tokensPerUnknown_);
  } else if (excess < 0 && peers_.running_ > 0) {
    // Requests that have ended although no router said so yet.
    const double ended = std::min(1.0, -1.0 * excess / peers_.running_);
    total -= { static_cast<int>(peers_.running_ * ended),
               static_cast<int>(peers_.prefillTokens_ * ended),
               static_cast<int>(peers_.memoryTokens_ * ended) };
  }
  return total;
}

auto TargetLoad::PrefillTime(int aTokens, Instant aNow) const -> Duration
{
  const auto& prefill = prefill_ == nullptr ? kDefaultEstimator : *prefill_;
  const auto ahead = Corrected(aNow).prefillTokens_;
  return prefill.PrefillDuration((ahead + aTokens) * slowdown_ *
                                 reported_.Slowness(aNow));
}

auto TargetLoad::OwnPrefillTime(Instant aNow) const -> Duration
{
  const auto& prefill = prefill_ == nullptr ? kDefaultEstimator : *prefill_;
  return prefill.PrefillDuration(local_.prefillTokens_ * slowdown_ *
                                 reported_.Slowness(aNow));
}

auto TargetLoad::Slowdown() const -> double
{
  return slowdown_;
}

auto TargetLoadTable::RemovePeerLoad(const PeerUsage& aUsage) -> void
{
  for (const auto& entry : aUsage.targets_) {
    At(TargetId{ entry.first })
      .ReplacePeerLoad(ToLoadAmounts(entry.second), {});
  }
}

auto TargetLoadTable::At(TargetId aTarget) -> TargetLoad&
{
  return loads_[aTarget];
}

auto TargetLoadTable::Find(TargetId aTarget) const -> const TargetLoad*
{
  const auto found = loads_.find(aTarget);
  return found == loads_.end() ? nullptr : &found->second;
}

auto TargetLoadTable::PeerUse(RouterId aPeer, TargetId aTarget) const
  -> wire::TargetUse
{
  const auto peer = peers_.find(aPeer);
  if (peer == peers_.end()) {
    return {};
  }
  const auto use = peer->second.targets_.find(aTarget.value_);
  return use == peer->second.targets_.end() ? wire::TargetUse() : use->second;
}

auto TargetLoadTable::RemoveUnless(
  const std::function<bool(TargetId)>& aIsListed) -> void
{
  std::erase_if(loads_, [&](const auto& aEntry) {
    return aEntry.second.Total().running_ == 0 && !aIsListed(aEntry.first);
  });
}

auto TargetLoadTable::SetPeerUsage(RouterId aPeer,
                                   const std::vector<wire::TargetUse>& aTargets,
                                   bool aPartial,
                                   Instant aNow) -> void
{
  auto& peer = peers_[aPeer];
  peer.at_ = aNow;
  if (!aPartial) {
    // Rows that remain are replaced below, so that their targets see only what
    // changes.
    PeerUsage gone;
    std::swap(gone.targets_, peer.targets_);
    for (const auto& usage : aTargets) {
      if (auto kept = gone.targets_.extract(usage.target)) {
        peer.targets_.insert(std::move(kept));
      }
    }
    RemovePeerLoad(gone);
  }
  for (const auto& usage : aTargets) {
    auto& previous = peer.targets_[usage.target];
    At(TargetId{ usage.target })
      .ReplacePeerLoad(ToLoadAmounts(previous), ToLoadAmounts(usage));
    previous = usage;
    if (usage.running == 0 && usage.prefillTokens == 0 &&
        usage.memoryTokens == 0) {
      peer.targets_.erase(usage.target);
    }
  }
}

auto TargetLoadTable::Tick(Instant aNow) -> void
{
  std::erase_if(peers_, [&](const auto& aEntry) {
    const bool silent = aNow - aEntry.second.at_ > kPeerTimeout;
    if (silent) {
      RemovePeerLoad(aEntry.second);
    }
    return silent;
  });
}

auto TargetLoadTable::LocalUsage() const -> std::vector<wire::TargetUse>
{
  std::vector<wire::TargetUse> usages;
  for (const auto& entry : loads_) {
    const auto& local = entry.second.Local();
    if (local.running_ == 0) {
      continue;
    }
    wire::TargetUse usage;
    usage.target = entry.first.value_;
    usage.prefillTokens = local.prefillTokens_;
    usage.running = local.running_;
    usage.memoryTokens = local.memoryTokens_;
    usages.push_back(usage);
  }
  return usages;
}

} // namespace burdockring
