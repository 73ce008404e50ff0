#include "process/placement/target_selector.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

constexpr std::int32_t kPreferenceSalt = 17;

/// Tokens of the shared prefix: all parts but the last, which belongs to this
/// request alone.
auto SharedTokens(const WorkItem& aItem) -> int
{
  int tokens = 0;
  for (std::size_t i = 0; i + 1 < aItem.parts_.size(); ++i) {
    tokens += aItem.parts_[i].tokens_;
  }
  return tokens;
}

/// Tokens of the longest prefix that the target has cached or, if
/// aIncludesSent, that was recently sent to it.
auto CachedPrefixTokens(const WorkItem& aItem,
                        const TargetLoad& aLoad,
                        bool aIncludesSent,
                        Instant aNow) -> int
{
  int tokens = 0;
  for (const auto& part : aItem.parts_) {
    const bool sent = aIncludesSent && aLoad.WasPartSent(part.id_, aNow);
    if (!sent && !aLoad.IsPartCached(part.id_, aNow)) {
      break;
    }
    tokens += part.tokens_;
  }
  return tokens;
}

auto FromMillis(double aMillis) -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMillis));
}

auto WasTried(const WorkItem& aItem, TargetId aTarget) -> bool
{
  return std::find(aItem.triedTargets_.begin(), aItem.triedTargets_.end(),
                   aTarget) != aItem.triedTargets_.end();
}

auto IsBetter(const Candidate& aLeft, const Candidate& aRight) -> bool
{
  if (aLeft.isWithinLimits_ != aRight.isWithinLimits_) {
    return aLeft.isWithinLimits_;
  }
  if (aLeft.hasSlot_ != aRight.hasSlot_) {
    return aLeft.hasSlot_;
  }
  return aLeft.cost_ < aRight.cost_;
}

/// Indices in aTargets of the aCount engines ranked highest by rendezvous
/// hashing of the last shared part, best first. Empty if nothing is shared.
auto FindPreferredEngines(const WorkItem& aItem,
                          const std::vector<UsableTarget>& aTargets,
                          std::size_t aCount) -> std::vector<std::size_t>
{
  if (aItem.parts_.size() < 2) {
    return {};
  }
  const auto part = aItem.parts_[aItem.parts_.size() - 2].id_;
  const auto partHash = static_cast<std::int32_t>(part ^ (part >> 32U));
  std::vector<std::pair<std::uint64_t, std::size_t>> scored;
  scored.reserve(aTargets.size());
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    scored.emplace_back(RendezvousScore(aTargets[i].listed_->id_.value_,
                                        partHash, kPreferenceSalt),
                        i);
  }
  const auto count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(), std::greater<>());
  std::vector<std::size_t> preferred;
  for (std::size_t i = 0; i < count; ++i) {
    preferred.push_back(scored[i].second);
  }
  return preferred;
}

/// Indices in aTargets of the targets that the request may be sent to.
auto EligibleTargets(const WorkItem& aItem,
                     const std::vector<UsableTarget>& aTargets,
                     Instant aNow) -> std::vector<std::size_t>
{
  std::vector<std::size_t> eligible;
  std::optional<std::size_t> earliestAvoided;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    const auto& target = aTargets[i];
    if (WasTried(aItem, target.listed_->id_) ||
        target.load_->PausedUntil() > aNow) {
      continue;
    }
    if (!target.load_->IsAvoided(aNow)) {
      eligible.push_back(i);
    } else if (!earliestAvoided ||
               target.load_->AvoidedUntil() <
                 aTargets[*earliestAvoided].load_->AvoidedUntil()) {
      earliestAvoided = i;
    }
  }
  if (eligible.empty() && earliestAvoided) {
    eligible.push_back(*earliestAvoided);
  }
  return eligible;
}

} // namespace

auto UnsharedTokens(const WorkItem& aItem) -> int
{
  return std::max(1, aItem.promptTokens_ - SharedTokens(aItem));
}

auto TargetSelector::FindCopySources(const WorkItem& aItem,
                                     const std::vector<UsableTarget>& aTargets,
                                     Instant aNow) -> std::vector<CopySource>
{
  const int shared = SharedTokens(aItem);
  std::vector<CopySource> sources;
  for (std::size_t i = 0; i < aTargets.size() && shared > 0; ++i) {
    const auto& target = aTargets[i];
    if (target.load_->IsAvoided(aNow)) {
      continue;
    }
    const int cached =
      std::min(shared, CachedPrefixTokens(aItem, *target.load_, false, aNow));
    if (cached >= kMinCopyTokens) {
      sources.push_back({ target.listed_->id_, cached });
    }
  }
  std::stable_sort(sources.begin(), sources.end(),
                   [](const CopySource& aLeft, const CopySource& aRight) {
                     return aLeft.cachedTokens_ > aRight.cachedTokens_;
                   });
  return sources;
}

auto TargetSelector::EvaluateEngine(const WorkItem& aItem,
                                    const RoutedService& aService,
                                    const UsableTarget& aTarget,
                                    std::size_t aRank,
                                    const std::vector<CopySource>& aSources,
                                    const SelectionLimits& aLimits,
                                    Instant aNow) const -> Candidate
{
  const auto& load = *aTarget.load_;
  const int shared = SharedTokens(aItem);
  const int knownCached =
    std::min(shared, CachedPrefixTokens(aItem, load, true, aNow));
  const int cached =
    aRank == 0 && policy_.IsEnabled(Mechanism::kPreferredEngines) ? shared
                                                                  : knownCached;
  const auto source =
    std::find_if(aSources.begin(), aSources.end(), [&](const auto& aSource) {
      return aSource.target_ != aTarget.listed_->id_ &&
             aSource.cachedTokens_ - knownCached >= kMinCopyTokens;
    });
  const bool copies = policy_.IsEnabled(Mechanism::kCacheCopies) &&
                      aService.copyMsPerToken_ > 0 && source != aSources.end();
  // The first preferred engine is assumed to have cached the whole prefix; it
  // is given a copy source only in case it has not.
  const int copied = copies ? std::max(0, source->cachedTokens_ - cached) : 0;
  const int uncached = shared - cached - copied;
  const int prefill = std::max(1, aItem.promptTokens_ - cached - copied);
  const auto total = load.Total();
  const int slots = std::max(1, aTarget.listed_->slots_);
  Candidate candidate;
  candidate.target_ = aTarget.listed_->id_;
  candidate.addedLoad_ = { 1, prefill, prefill + aItem.outputTokens_ };
  candidate.backlog_ = load.PrefillTime(0);
  candidate.wait_ =
    load.PrefillTime(prefill) + aLimits.prefill_.FirstEventOverhead();
  if (copies) {
    candidate.copyFrom_ = source->target_;
  }
  if (copied > 0) {
    candidate.wait_ +=
      kCopySetupTime + FromMillis(copied * aService.copyMsPerToken_);
  }
  candidate.cost_ =
    candidate.wait_ + aLimits.prefill_.PrefillDuration(
                        uncached * kRecomputeCost + copied * kCopyCost);
  if (shared > 0) {
    candidate.cost_ += ScaleDuration(aLimits.minLatencyObjective_,
                                     policy_.Engines().rankPenalty_ *
                                       static_cast<double>(aRank));
  }
  if (aTarget.listed_->zone_ != homeZone_) {
    candidate.cost_ += kRemoteZonePenalty;
  }
  const double memory =
    total.memoryTokens_ + candidate.addedLoad_.memoryTokens_;
  const bool hasMemory = !policy_.IsEnabled(Mechanism::kMemoryLimit) ||
                         aService.memoryTokens_ <= 0 || total.running_ == 0 ||
                         memory <= kMaxMemoryFraction * aService.memoryTokens_;
  candidate.hasSlot_ = hasMemory && total.running_ < slots;
  candidate.isWithinLimits_ =
    candidate.hasSlot_ && candidate.backlog_ <= aLimits.maxBacklog_ &&
    (candidate.backlog_ == 0us || !aLimits.maxWait_ ||
     candidate.wait_ <= *aLimits.maxWait_) &&
    total.running_ < aLimits.maxSlotUtilization_ * slots;
  if (aLimits.pacing_) {
    const auto excess =
      aLimits.pacing_->Excess(candidate.target_, load, prefill, aNow);
    candidate.isWithinLimits_ =
      candidate.isWithinLimits_ && prefill <= aLimits.pacing_->maxTokens_ &&
      (excess == 0us || aLimits.pacing_->allowsExcess_);
    candidate.cost_ += excess * kExcessCost;
  }
  return candidate;
}

auto TargetSelector::LongPrefixLimits(SelectionLimits aLimits,
                                      bool aIsPreferred) const
  -> SelectionLimits
{
  const auto& engines = policy_.Engines();
  if (aIsPreferred) {
    aLimits.maxBacklog_ +=
      ScaleDuration(aLimits.minLatencyObjective_, engines.preferredBacklog_);
  } else {
    aLimits.maxBacklog_ =
      std::min(aLimits.maxBacklog_, ScaleDuration(aLimits.minLatencyObjective_,
                                                  engines.otherBacklog_));
  }
  return aLimits;
}

auto TargetSelector::SelectEngine(const WorkItem& aItem,
                                  const RoutedService& aService,
                                  const std::vector<UsableTarget>& aTargets,
                                  const SelectionLimits& aLimits,
                                  Instant aNow) const
  -> std::optional<Candidate>
{
  const auto eligible = EligibleTargets(aItem, aTargets, aNow);
  const auto count =
    policy_.IsEnabled(Mechanism::kPreferredEngines) ? kPreferredEngines : 0;
  const auto preferred = FindPreferredEngines(aItem, aTargets, count);
  const auto sources = FindCopySources(aItem, aTargets, aNow);
  const auto isEligible = [&](std::size_t aIndex) {
    return std::find(eligible.begin(), eligible.end(), aIndex) !=
           eligible.end();
  };
  const bool isLongPrefix =
    policy_.IsEnabled(Mechanism::kLongPrefixes) &&
    aLimits.prefill_.PrefillDuration(SharedTokens(aItem)) >=
      ScaleDuration(aLimits.minLatencyObjective_,
                    policy_.Engines().longPrefixThreshold_);
  const bool preferredOnly =
    isLongPrefix && std::any_of(preferred.begin(), preferred.end(), isEligible);
  std::optional<Candidate> best;
  for (const auto i : eligible) {
    const auto rank = static_cast<std::size_t>(
      std::find(preferred.begin(), preferred.end(), i) - preferred.begin());
    const auto limits = isLongPrefix
                          ? LongPrefixLimits(aLimits, rank < preferred.size())
                          : aLimits;
    auto candidate =
      EvaluateEngine(aItem, aService, aTargets[i], rank, sources, limits, aNow);
    if (preferredOnly && rank >= preferred.size()) {
      candidate.isWithinLimits_ = false;
    }
    if (!best || IsBetter(candidate, *best)) {
      best = candidate;
    }
  }
  return best;
}

auto TargetSelector::SelectPlain(const WorkItem& aItem,
                                 const std::vector<UsableTarget>& aTargets,
                                 Instant aNow) const -> std::optional<Candidate>
{
  std::optional<Candidate> best;
  for (const auto i : EligibleTargets(aItem, aTargets, aNow)) {
    const auto* target = aTargets[i].listed_;
    const auto total = aTargets[i].load_->Total();
    Candidate candidate;
    candidate.target_ = target->id_;
    candidate.addedLoad_ = { 1, 0, 0 };
    candidate.hasSlot_ = total.running_ < std::max(1, target->slots_);
    candidate.isWithinLimits_ = candidate.hasSlot_;
    candidate.cost_ = total.running_ * kRemoteZonePenalty;
    if (target->zone_ != homeZone_) {
      candidate.cost_ += kRemoteZonePenalty;
    }
    if (!best || IsBetter(candidate, *best)) {
      best = candidate;
    }
  }
  return best;
}

TargetSelector::TargetSelector(ZoneId aHomeZone,
                               const ForwardingPolicy& aPolicy)
  : homeZone_(aHomeZone)
  , policy_(aPolicy)
{
}

auto TargetSelector::Select(const WorkItem& aItem,
                            const RoutedService& aService,
                            const std::vector<UsableTarget>& aTargets,
                            const SelectionLimits& aLimits,
                            Instant aNow) const -> std::optional<Candidate>
{
  return aService.isEngine_
           ? SelectEngine(aItem, aService, aTargets, aLimits, aNow)
           : SelectPlain(aItem, aTargets, aNow);
}

} // namespace burdockring
