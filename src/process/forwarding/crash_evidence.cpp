#include "process/forwarding/crash_evidence.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

/// Targets whose refusals are remembered.
constexpr std::size_t kMaxDownTargets = 1024;

} // namespace

auto HasAllParts(const PartIds& aParts, const PartIds& aRequired) -> bool
{
  return std::all_of(
    aRequired.begin(), aRequired.end(), [&](std::uint64_t aPart) {
      return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
    });
}

auto CrashEvidence::FindCrash(TargetId aTarget, Instant aAt) -> Crash*
{
  const auto found =
    std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& aCrash) {
      return aCrash.target_ == aTarget && aAt <= aCrash.at_ + kSameCrash &&
             aCrash.at_ <= aAt + kSameCrash;
    });
  return found == crashes_.end() ? nullptr : &*found;
}

auto CrashEvidence::AddLoss(TargetId aTarget,
                            const PartIds& aParts,
                            Instant aAt) -> bool
{
  if (aParts.empty()) {
    return false;
  }
  auto* crash = FindCrash(aTarget, aAt);
  const bool isNew = crash == nullptr;
  if (isNew) {
    if (crashes_.size() >= kMaxCrashes) {
      DropOldest();
    }
    crashes_.push_back({ aTarget, aAt, false, {} });
    crash = &crashes_.back();
    const auto down = down_.find(aTarget);
    crash->isConfirmed_ = down != down_.end() && down->second >= aAt &&
                          down->second <= aAt + kConfirmTime;
  }
  crash->at_ = std::min(crash->at_, aAt);
  const auto before = crash->suspects_.size();
  for (const auto part : aParts) {
    if (crash->suspects_.size() < kMaxSuspectParts &&
        crash->suspects_.insert(part).second) {
      auto& suspect = suspects_[part];
      suspect.crashes_.push_back(crash);
      suspect.lastCrash_ = std::max(suspect.lastCrash_, crash->at_);
    }
  }
  return isNew || crash->suspects_.size() > before;
}

auto CrashEvidence::AddDown(TargetId aTarget, Instant aAt) -> bool
{
  if (down_.size() >= kMaxDownTargets) {
    down_.clear();
  }
  auto& last = down_[aTarget];
  last = std::max(last, aAt);
  bool isNews = false;
  for (auto& crash : crashes_) {
    if (crash.target_ == aTarget && !crash.isConfirmed_ && crash.at_ <= aAt &&
        aAt <= crash.at_ + kConfirmTime) {
      crash.isConfirmed_ = true;
      isNews = true;
    }
  }
  return isNews;
}

auto CrashEvidence::AddBegun(std::uint64_t aPart, Instant aAt) -> bool
{
  const auto found = suspects_.find(aPart);
  if (found == suspects_.end()) {
    return false;
  }
  auto& suspect = found->second;
  const bool wasCleared =
    suspect.begun_ && *suspect.begun_ > suspect.lastCrash_;
  suspect.begun_ = std::max(suspect.begun_.value_or(aAt), aAt);
  return !wasCleared && aAt > suspect.lastCrash_;
}

auto CrashEvidence::LastBegun(std::uint64_t aPart) const
  -> std::optional<Instant>
{
  const auto found = suspects_.find(aPart);
  return found == suspects_.end() ? std::nullopt : found->second.begun_;
}

template<typename Counts>
auto CrashEvidence::ScoreOf(const Suspect& aSuspect, Counts aCounts) -> Score
{
  std::vector<const Crash*> crashes;
  for (const auto* crash : aSuspect.crashes_) {
    const bool isCleared = aSuspect.begun_ && *aSuspect.begun_ > crash->at_;
    if (!isCleared && aCounts(*crash)) {
      crashes.push_back(crash);
    }
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const Crash* aLeft, const Crash* aRight) {
              return aLeft->at_ < aRight->at_;
            });
  Score score;
  std::optional<Instant> last;
  std::optional<Instant> lastConfirmed;
  for (const auto* crash : crashes) {
    score.evidence_.insert(crash);
    if (!last || crash->at_ - *last > kSimultaneous) {
      last = crash->at_;
      ++score.crashes_;
    }
    if (crash->isConfirmed_ &&
        (!lastConfirmed || crash->at_ - *lastConfirmed > kSimultaneous)) {
      lastConfirmed = crash->at_;
      ++score.confirmed_;
    }
  }
  return score;
}

auto CrashEvidence::IsCause(const Score& aScore) -> bool
{
  return aScore.confirmed_ >= kConfirmedCrashes ||
         aScore.crashes_ >= kUnconfirmedCrashes;
}

auto CrashEvidence::IsSuspicious(const PartIds& aParts) const -> bool
{
  return std::any_of(aParts.begin(), aParts.end(), [&](std::uint64_t aPart) {
    const auto suspect = suspects_.find(aPart);
    return suspect != suspects_.end() &&
           ScoreOf(suspect->second, [](const Crash&) {
             return true;
           }).crashes_ >= kSuspectCrashes;
  });
}

auto CrashEvidence::FindStrongest(const std::set<const Crash*>& aOpen,
                                  const std::set<std::uint64_t>& aAmbiguous,
                                  Instant aNow) const
  -> std::pair<PartIds, Score>
{
  PartIds parts;
  Score best;
  for (const auto& entry : suspects_) {
    const auto& suspect = entry.second;
    if (suspect.crashes_.size() < static_cast<std::size_t>(kConfirmedCrashes)) {
      continue;
    }
    const bool isAmbiguous = aAmbiguous.contains(entry.first);
    const auto score = ScoreOf(suspect, [&](const Crash& aCrash) {
      return aOpen.contains(&aCrash) ||
             (isAmbiguous && aNow - aCrash.at_ >= kSettleTime);
    });
    const bool hasOpen =
      std::any_of(score.evidence_.begin(), score.evidence_.end(),
                  [&](const Crash* aCrash) { return aOpen.contains(aCrash); });
    if (!IsCause(score) || !hasOpen) {
      continue;
    }
    if (score.evidence_.size() > best.evidence_.size()) {
      parts = { entry.first };
      best = score;
    } else if (score.evidence_ == best.evidence_) {
      parts.push_back(entry.first);
    }
  }
  return { parts, best };
}

auto CrashEvidence::FindCauses(const std::vector<PartIds>& aKnown,
                               Instant aNow) const -> std::vector<CrashCause>
{
  std::set<std::uint64_t> ambiguous;
  for (const auto& cause : aKnown) {
    if (cause.size() > 1) {
      ambiguous.insert(cause.begin(), cause.end());
    }
  }
  const auto isExplained = [&](const Crash& aCrash) {
    return std::any_of(
      aKnown.begin(), aKnown.end(), [&](const PartIds& aCause) {
        return std::includes(aCrash.suspects_.begin(), aCrash.suspects_.end(),
                             aCause.begin(), aCause.end());
      });
  };
  std::set<const Crash*> open;
  for (const auto& crash : crashes_) {
    if (aNow - crash.at_ >= kSettleTime && !isExplained(crash)) {
      open.insert(&crash);
    }
  }
  std::vector<CrashCause> causes;
  while (!open.empty()) {
    auto [parts, score] = FindStrongest(open, ambiguous, aNow);
    if (parts.empty()) {
      break;
    }
    causes.push_back(
      { std::move(parts), static_cast<int>(score.evidence_.size()) });
    std::erase_if(open, [&evidence = score.evidence_](const Crash* aCrash) {
      return evidence.contains(aCrash);
    });
  }
  return causes;
}

auto CrashEvidence::DropOldest() -> void
{
  const auto& oldest = crashes_.front();
  for (const auto part : oldest.suspects_) {
    const auto suspect = suspects_.find(part);
    std::erase(suspect->second.crashes_, &oldest);
    if (suspect->second.crashes_.empty()) {
      suspects_.erase(suspect);
    }
  }
  crashes_.pop_front();
}

auto CrashEvidence::Tick(Instant aNow) -> void
{
  while (!crashes_.empty() && aNow - crashes_.front().at_ > kLifetime) {
    DropOldest();
  }
}

auto CrashEvidence::CrashCount() const -> std::size_t
{
  return crashes_.size();
}

} // namespace burdockring
