#include "process/forwarding/placement.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

constexpr std::int32_t kPlacementSalt = 17;

/// Tokens of the parts before the last, which is the request's own.
auto SharedTokens(const WorkItem& aItem) -> int
{
  int tokens = 0;
  for (std::size_t i = 0; i + 1 < aItem.parts_.size(); ++i) {
    tokens += aItem.parts_[i].tokens_;
  }
  return tokens;
}

/// Tokens of the longest beginning that the target has read, or that was sent
/// to it where that is enough.
auto KeptTokens(const WorkItem& aItem,
                const TargetLoad& aLoad,
                bool aSentIsEnough,
                Instant aNow) -> int
{
  int tokens = 0;
  for (const auto& part : aItem.parts_) {
    const bool sent = aSentIsEnough && aLoad.KeepsPart(part.id_, aNow);
    if (!sent && !aLoad.HasReadPart(part.id_, aNow)) {
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

auto HasTried(const WorkItem& aItem, TargetId aTarget) -> bool
{
  return std::find(aItem.tried_.begin(), aItem.tried_.end(), aTarget) !=
         aItem.tried_.end();
}

auto IsBetter(const Candidate& aLeft, const Candidate& aRight) -> bool
{
  if (aLeft.fits_ != aRight.fits_) {
    return aLeft.fits_;
  }
  if (aLeft.hasSlot_ != aRight.hasSlot_) {
    return aLeft.hasSlot_;
  }
  return aLeft.cost_ < aRight.cost_;
}

/// The rendezvous choices of the last shared part, by their places in aTargets,
/// best first; none where nothing is shared.
auto FindKeepers(const WorkItem& aItem,
                 const std::vector<UsableTarget>& aTargets,
                 std::size_t aCount) -> std::vector<std::size_t>
{
  if (aItem.parts_.size() < 2) {
    return {};
  }
  const auto part = aItem.parts_[aItem.parts_.size() - 2].id_;
  const auto subject = static_cast<std::int32_t>(part ^ (part >> 32U));
  std::vector<std::pair<std::uint64_t, std::size_t>> scored;
  scored.reserve(aTargets.size());
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    scored.emplace_back(
      RendezvousScore(aTargets[i].listed_->id_.value_, subject, kPlacementSalt),
      i);
  }
  const auto count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(), std::greater<>());
  std::vector<std::size_t> keepers;
  for (std::size_t i = 0; i < count; ++i) {
    keepers.push_back(scored[i].second);
  }
  return keepers;
}

/// Places in aTargets of those that the request may go to.
auto MayTake(const WorkItem& aItem,
             const std::vector<UsableTarget>& aTargets,
             Instant aNow) -> std::vector<std::size_t>
{
  std::vector<std::size_t> places;
  std::optional<std::size_t> leastAvoided;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    const auto& target = aTargets[i];
    if (HasTried(aItem, target.listed_->id_) ||
        target.load_->RestsUntil() > aNow) {
      continue;
    }
    if (!target.load_->IsAvoided(aNow)) {
      places.push_back(i);
    } else if (!leastAvoided || target.load_->AvoidUntil() <
                                  aTargets[*leastAvoided].load_->AvoidUntil()) {
      leastAvoided = i;
    }
  }
  if (places.empty() && leastAvoided) {
    places.push_back(*leastAvoided);
  }
  return places;
}

} // namespace

auto OwnTokens(const WorkItem& aItem) -> int
{
  return std::max(1, aItem.promptTokens_ - SharedTokens(aItem));
}

auto Placement::FindCopySources(const WorkItem& aItem,
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
    const int kept =
      std::min(shared, KeptTokens(aItem, *target.load_, false, aNow));
    if (kept >= kLeastCopied) {
      sources.push_back({ target.listed_->id_, kept });
    }
  }
  std::stable_sort(sources.begin(), sources.end(),
                   [](const CopySource& aLeft, const CopySource& aRight) {
                     return aLeft.keptTokens_ > aRight.keptTokens_;
                   });
  return sources;
}

auto Placement::WeighEngine(const WorkItem& aItem,
                            const RoutedService& aService,
                            const UsableTarget& aTarget,
                            std::size_t aRank,
                            const std::vector<CopySource>& aSources,
                            const PlaceLimits& aLimits,
                            Instant aNow) const -> Candidate
{
  const auto& load = *aTarget.load_;
  const int shared = SharedTokens(aItem);
  const int known = std::min(shared, KeptTokens(aItem, load, true, aNow));
  const int kept =
    aRank == 0 && policy_.Has(Mechanism::kKeepers) ? shared : known;
  const auto source =
    std::find_if(aSources.begin(), aSources.end(), [&](const auto& aSource) {
      return aSource.target_ != aTarget.listed_->id_ &&
             aSource.keptTokens_ - known >= kLeastCopied;
    });
  const bool copies = policy_.Has(Mechanism::kCopies) &&
                      aService.copyMsPerToken_ > 0 && source != aSources.end();
  // The first choice is believed to keep all, and copies only in case it does
  // not.
  const int copied = copies ? std::max(0, source->keptTokens_ - kept) : 0;
  const int missing = shared - kept - copied;
  const int read = std::max(1, aItem.promptTokens_ - kept - copied);
  const auto total = load.Total();
  const int slots = std::max(1, aTarget.listed_->slots_);
  Candidate candidate;
  candidate.target_ = aTarget.listed_->id_;
  candidate.adds_ = { 1, read, read + aItem.outputTokens_ };
  candidate.backlog_ = load.PrefillTime(0);
  candidate.wait_ = load.PrefillTime(read) + aLimits.pace_.FirstEventTime();
  if (copies) {
    candidate.copyFrom_ = source->target_;
  }
  if (copied > 0) {
    candidate.wait_ +=
      kCopySetup + FromMillis(copied * aService.copyMsPerToken_);
  }
  candidate.cost_ =
    candidate.wait_ +
    aLimits.pace_.ReadingTime(missing * kReadAgainCost + copied * kCopyCost);
  if (shared > 0) {
    candidate.cost_ +=
      PartOf(aLimits.shortestAim_,
             policy_.Engines().rankPenalty_ * static_cast<double>(aRank));
  }
  if (aTarget.listed_->zone_ != home_) {
    candidate.cost_ += kFarPenalty;
  }
  const double memory = total.memoryTokens_ + candidate.adds_.memoryTokens_;
  const bool hasMemory = !policy_.Has(Mechanism::kMemoryBound) ||
                         aService.memoryTokens_ <= 0 || total.running_ == 0 ||
                         memory <= kMemoryPart * aService.memoryTokens_;
  candidate.hasSlot_ = hasMemory && total.running_ < slots;
  candidate.fits_ = candidate.hasSlot_ &&
                    candidate.backlog_ <= aLimits.maxBacklog_ &&
                    (candidate.backlog_ == 0us || !aLimits.maxWait_ ||
                     candidate.wait_ <= *aLimits.maxWait_) &&
                    total.running_ < aLimits.maxSlotUse_ * slots;
  return candidate;
}

auto Placement::HeavyLimits(PlaceLimits aLimits, bool aIsKeeper) const
  -> PlaceLimits
{
  const auto& engines = policy_.Engines();
  if (aIsKeeper) {
    aLimits.maxBacklog_ += PartOf(aLimits.shortestAim_, engines.keeperBacklog_);
  } else {
    aLimits.maxBacklog_ =
      std::min(aLimits.maxBacklog_,
               PartOf(aLimits.shortestAim_, engines.elsewhereBacklog_));
  }
  return aLimits;
}

auto Placement::ChooseEngine(const WorkItem& aItem,
                             const RoutedService& aService,
                             const std::vector<UsableTarget>& aTargets,
                             const PlaceLimits& aLimits,
                             Instant aNow) const -> std::optional<Candidate>
{
  const auto places = MayTake(aItem, aTargets, aNow);
  const auto count = policy_.Has(Mechanism::kKeepers) ? kKeepers : 0;
  const auto keepers = FindKeepers(aItem, aTargets, count);
  const auto sources = FindCopySources(aItem, aTargets, aNow);
  const auto isOpen = [&](std::size_t aPlace) {
    return std::find(places.begin(), places.end(), aPlace) != places.end();
  };
  const bool heavy =
    policy_.Has(Mechanism::kHeavyBeginnings) &&
    aLimits.pace_.ReadingTime(SharedTokens(aItem)) >=
      PartOf(aLimits.shortestAim_, policy_.Engines().heavyReading_);
  const bool staysAtKeepers =
    heavy && std::any_of(keepers.begin(), keepers.end(), isOpen);
  std::optional<Candidate> best;
  for (const auto i : places) {
    const auto rank = static_cast<std::size_t>(
      std::find(keepers.begin(), keepers.end(), i) - keepers.begin());
    const auto limits =
      heavy ? HeavyLimits(aLimits, rank < keepers.size()) : aLimits;
    auto candidate =
      WeighEngine(aItem, aService, aTargets[i], rank, sources, limits, aNow);
    if (staysAtKeepers && rank >= keepers.size()) {
      candidate.fits_ = false;
    }
    if (!best || IsBetter(candidate, *best)) {
      best = candidate;
    }
  }
  return best;
}

auto Placement::ChoosePlain(const WorkItem& aItem,
                            const std::vector<UsableTarget>& aTargets,
                            Instant aNow) const -> std::optional<Candidate>
{
  std::optional<Candidate> best;
  for (const auto i : MayTake(aItem, aTargets, aNow)) {
    const auto* target = aTargets[i].listed_;
    const auto total = aTargets[i].load_->Total();
    Candidate candidate;
    candidate.target_ = target->id_;
    candidate.adds_ = { 1, 0, 0 };
    candidate.hasSlot_ = total.running_ < std::max(1, target->slots_);
    candidate.fits_ = candidate.hasSlot_;
    candidate.cost_ = total.running_ * kFarPenalty;
    if (target->zone_ != home_) {
      candidate.cost_ += kFarPenalty;
    }
    if (!best || IsBetter(candidate, *best)) {
      best = candidate;
    }
  }
  return best;
}

Placement::Placement(ZoneId aHome, const ForwardingPolicy& aPolicy)
  : home_(aHome)
  , policy_(aPolicy)
{
}

auto Placement::Choose(const WorkItem& aItem,
                       const RoutedService& aService,
                       const std::vector<UsableTarget>& aTargets,
                       const PlaceLimits& aLimits,
                       Instant aNow) const -> std::optional<Candidate>
{
  return aService.isEngine_
           ? ChooseEngine(aItem, aService, aTargets, aLimits, aNow)
           : ChoosePlain(aItem, aTargets, aNow);
}

} // namespace burdockring
