#include "process/quarantine/crash_evidence.h"

#include "process/placement/policy.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

/// Targets whose refusals are remembered.
constexpr std::size_t kMaxDownTargets = 1024;

/// A known cause explains a crash unless its answer was so much further from
/// the usual age than a suspect's.
constexpr Duration kDeviationMargin = 20ms;

auto MayShareCause(Instant aLeft, Instant aRight) -> bool
{
  return std::max(aLeft, aRight) - std::min(aLeft, aRight) <= kCommonCauseSpan;
}

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

auto CrashEvidence::CrashAt(TargetId aTarget, Instant aAt) -> Crash*
{
  auto* crash = FindCrash(aTarget, aAt);
  if (crash == nullptr) {
    if (crashes_.size() >= kMaxCrashes) {
      DropOldest();
    }
    int simultaneous = 0;
    for (auto& other : crashes_) {
      if (MayShareCause(other.at_, aAt)) {
        ++other.simultaneous_;
        ++simultaneous;
      }
    }
    crashes_.push_back({ aTarget, aAt, false, {}, simultaneous });
    crash = &crashes_.back();
    const auto down = down_.find(aTarget);
    crash->isConfirmed_ = down != down_.end() && down->second >= aAt &&
                          down->second <= aAt + kConfirmTime;
  }
  crash->at_ = std::min(crash->at_, aAt);
  return crash;
}

auto CrashEvidence::Hold(std::uint64_t aPart,
                         const Crash* aCrash,
                         const std::optional<LostAnswer>& aAnswer) -> bool
{
  auto& suspect = suspects_[aPart];
  auto& suspicions = suspect.suspicions_;
  auto found = std::find_if(
    suspicions.begin(), suspicions.end(),
    [&](const Suspicion& aSuspicion) { return aSuspicion.crash_ == aCrash; });
  const bool isNew = found == suspicions.end();
  if (isNew) {
    Suspicion suspicion;
    suspicion.crash_ = aCrash;
    suspicion.isWholeSince_ =
      suspect.lastWhole_ && *suspect.lastWhole_ > aCrash->at_;
    found = suspicions.insert(suspicions.end(), suspicion);
  }
  const auto answer = aAnswer.value_or(LostAnswer());
  found->beforeAnswer_ = found->beforeAnswer_ || !aAnswer;
  found->answerAge_ = std::max(found->answerAge_, answer.age_);
  found->answerEvents_ = std::max(found->answerEvents_, answer.events_);
  return isNew;
}

auto CrashEvidence::AddLoss(TargetId aTarget,
                            const PartIds& aParts,
                            const std::optional<LostAnswer>& aAnswer,
                            Instant aAt) -> bool
{
  if (aParts.empty()) {
    return false;
  }
  const bool isNew = FindCrash(aTarget, aAt) == nullptr;
  auto* crash = CrashAt(aTarget, aAt);
  bool addsSuspect = false;
  for (const auto part : aParts) {
    if (aAnswer) {
      // It outlived those that earlier crashes ended at a lower age.
      AddAnswer(part, { aAt, aAnswer->age_, false, aAnswer->events_ });
    }
    if (crash->suspects_.size() >= kMaxSuspectParts &&
        !crash->suspects_.contains(part)) {
      continue;
    }
    crash->suspects_.insert(part);
    addsSuspect = Hold(part, crash, aAnswer) || addsSuspect;
  }
  return isNew || addsSuspect;
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

auto CrashEvidence::Suspicion::IsCleared() const -> bool
{
  return isWholeSince_ || Outlives(survivor_, { answerAge_, answerEvents_ });
}

auto CrashEvidence::Suspicion::Add(const AnswerProgress& aAnswer) -> void
{
  if (aAnswer.at_ <= crash_->at_) {
    return;
  }
  isWholeSince_ = isWholeSince_ || aAnswer.isWhole_;
  const LostAnswer lost{ answerAge_, answerEvents_ };
  const LostAnswer answer{ aAnswer.age_, aAnswer.events_ };
  const bool isBetter = Outlives(answer, lost) == Outlives(survivor_, lost)
                          ? answer.age_ > survivor_.age_
                          : Outlives(answer, lost);
  if (!aAnswer.isWhole_ && isBetter) {
    survivor_ = answer;
  }
}

auto CrashEvidence::AddAnswer(std::uint64_t aPart,
                              const AnswerProgress& aAnswer) -> bool
{
  const auto found = suspects_.find(aPart);
  if (found == suspects_.end()) {
    return false;
  }
  auto& suspect = found->second;
  if (aAnswer.isWhole_) {
    suspect.lastWhole_ =
      std::max(suspect.lastWhole_.value_or(aAnswer.at_), aAnswer.at_);
  }
  bool clears = false;
  for (auto& suspicion : suspect.suspicions_) {
    const bool wasCleared = suspicion.IsCleared();
    suspicion.Add(aAnswer);
    clears = clears || (!wasCleared && suspicion.IsCleared());
  }
  return clears;
}

auto CrashEvidence::LastWhole(std::uint64_t aPart) const
  -> std::optional<Instant>
{
  const auto found = suspects_.find(aPart);
  return found == suspects_.end() ? std::nullopt : found->second.lastWhole_;
}

auto CrashEvidence::HasCommonCause(const Suspicion& aSuspicion,
                                   const Suspect& aSuspect) -> bool
{
  const auto& crash = *aSuspicion.crash_;
  if (crash.simultaneous_ < kCommonCauseCrashes) {
    return false;
  }
  if (aSuspicion.answerAge_ > kEarlyAge) {
    // Many targets have requests with a popular part, and few at the same time
    // one with the cause that has come as far.
    return true;
  }
  const auto& suspicions = aSuspect.suspicions_;
  const auto explained = static_cast<int>(std::count_if(
    suspicions.begin(), suspicions.end(), [&](const Suspicion& aOther) {
      return !aOther.IsCleared() &&
             MayShareCause(aOther.crash_->at_, crash.at_);
    }));
  const int unexplained = crash.simultaneous_ + 1 - explained;
  return unexplained >= kCommonCauseCrashes && unexplained > explained;
}

auto CrashEvidence::IsSettled(const Suspicion& aSuspicion, Instant aNow) -> bool
{
  const bool isEarly = aSuspicion.answerAge_ <= kEarlyAge;
  return aNow - aSuspicion.crash_->at_ >=
         (isEarly ? kSettleTime : kLateSettleTime);
}

template<typename Counts>
auto CrashEvidence::ScoreOf(const Suspect& aSuspect, Counts aCounts) -> Score
{
  std::vector<Suspicion> suspicions;
  for (const auto& suspicion : aSuspect.suspicions_) {
    if (!suspicion.IsCleared() && aCounts(suspicion) &&
        !HasCommonCause(suspicion, aSuspect)) {
      suspicions.push_back(suspicion);
    }
  }
  std::sort(suspicions.begin(), suspicions.end(),
            [](const Suspicion& aLeft, const Suspicion& aRight) {
              return aLeft.crash_->at_ < aRight.crash_->at_;
            });
  Duration oldest = 0us;
  int mostEvents = 0;
  for (const auto& suspicion : suspicions) {
    oldest = std::max(oldest, suspicion.answerAge_);
    mostEvents = std::max(mostEvents, suspicion.answerEvents_);
  }
  Score score;
  for (const auto& suspicion : suspicions) {
    const auto& crash = *suspicion.crash_;
    score.evidence_.insert(&crash);
    score.all_.Add(crash.at_);
    if (suspicion.answerAge_ <= kEarlyAge) {
      score.early_.Add(crash.at_, crash.isConfirmed_);
    }
    score.time_.AddAge(suspicion.answerAge_, oldest, crash.at_,
                       crash.isConfirmed_);
    score.events_.AddEvents(suspicion.answerEvents_, mostEvents, crash.at_,
                            crash.isConfirmed_);
  }
  return score;
}

auto CrashEvidence::Score::Weight() const -> int
{
  return all_.targets_ + std::max({ early_.Targets(), time_.SameTargets(),
                                    events_.SameTargets() });
}

auto CrashEvidence::IsCause(const Score& aScore) -> bool
{
  return aScore.early_.IsEnough() ||
         aScore.time_.IsEnough(aScore.all_.targets_) ||
         aScore.events_.IsEnough(aScore.all_.targets_);
}

auto CrashEvidence::IsSuspicious(const PartIds& aParts) const -> bool
{
  return std::any_of(aParts.begin(), aParts.end(), [&](std::uint64_t aPart) {
    const auto suspect = suspects_.find(aPart);
    return suspect != suspects_.end() &&
           ScoreOf(suspect->second, [](const Suspicion& aSuspicion) {
             return aSuspicion.beforeAnswer_;
           }).all_.count_ >= kSuspectCrashes;
  });
}

auto CrashEvidence::AgeDeviation(const Suspicion& aSuspicion,
                                 const Suspect& aSuspect) -> Duration
{
  auto oldest = aSuspicion.answerAge_;
  for (const auto& other : aSuspect.suspicions_) {
    if (!other.IsCleared()) {
      oldest = std::max(oldest, other.answerAge_);
    }
  }
  return oldest - aSuspicion.answerAge_;
}

auto CrashEvidence::Explain(const PartIds& aCause,
                            ExplainedCrashes* aExplained) const -> void
{
  std::map<const Crash*, std::pair<std::size_t, Duration>> crashes;
  for (const auto part : aCause) {
    const auto suspect = suspects_.find(part);
    if (suspect == suspects_.end()) {
      return;
    }
    for (const auto& suspicion : suspect->second.suspicions_) {
      if (suspicion.IsCleared()) {
        continue;
      }
      const auto deviation = AgeDeviation(suspicion, suspect->second);
      auto& [parts, smallest] =
        crashes.try_emplace(suspicion.crash_, 0, deviation).first->second;
      ++parts;
      smallest = std::min(smallest, deviation);
    }
  }
  for (const auto& [crash, entry] : crashes) {
    const auto& [parts, deviation] = entry;
    if (parts < aCause.size()) {
      continue;
    }
    auto& smallest = aExplained->try_emplace(crash, deviation).first->second;
    smallest = std::min(smallest, deviation);
  }
}

auto CrashEvidence::IsOpen(const Suspicion& aSuspicion,
                           const Suspect& aSuspect,
                           const ExplainedCrashes& aExplained) -> bool
{
  const auto found = aExplained.find(aSuspicion.crash_);
  return found == aExplained.end() ||
         found->second > AgeDeviation(aSuspicion, aSuspect) + kDeviationMargin;
}

auto CrashEvidence::FindStrongest(const ExplainedCrashes& aExplained,
                                  const std::set<std::uint64_t>& aAmbiguous,
                                  Instant aNow) const
  -> std::pair<PartIds, Score>
{
  PartIds parts;
  Score best;
  for (const auto& entry : suspects_) {
    const auto& suspect = entry.second;
    const auto open = std::count_if(
      suspect.suspicions_.begin(), suspect.suspicions_.end(),
      [](const Suspicion& aSuspicion) { return !aSuspicion.IsCleared(); });
    if (open < CrashTally::kConfirmedCrashes) {
      continue;
    }
    const bool isAmbiguous = aAmbiguous.contains(entry.first);
    const auto isOpen = [&](const Suspicion& aSuspicion) {
      return IsOpen(aSuspicion, suspect, aExplained);
    };
    const auto score = ScoreOf(suspect, [&](const Suspicion& aSuspicion) {
      return IsSettled(aSuspicion, aNow) && (isAmbiguous || isOpen(aSuspicion));
    });
    if (!IsCause(score)) {
      continue;
    }
    const bool hasOpen =
      std::any_of(suspect.suspicions_.begin(), suspect.suspicions_.end(),
                  [&](const Suspicion& aSuspicion) {
                    return score.evidence_.contains(aSuspicion.crash_) &&
                           isOpen(aSuspicion);
                  });
    if (!hasOpen) {
      continue;
    }
    if (score.Weight() > best.Weight()) {
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
  ExplainedCrashes explained;
  for (const auto& cause : aKnown) {
    if (cause.size() > 1) {
      ambiguous.insert(cause.begin(), cause.end());
    }
    Explain(cause, &explained);
  }
  std::vector<CrashCause> causes;
  for (;;) {
    auto [parts, score] = FindStrongest(explained, ambiguous, aNow);
    if (parts.empty()) {
      return causes;
    }
    Explain(parts, &explained);
    causes.push_back(
      { std::move(parts), static_cast<int>(score.evidence_.size()) });
  }
}

auto CrashEvidence::DropOldest() -> void
{
  const auto& oldest = crashes_.front();
  for (const auto part : oldest.suspects_) {
    const auto suspect = suspects_.find(part);
    auto& suspicions = suspect->second.suspicions_;
    std::erase_if(suspicions, [&](const Suspicion& aSuspicion) {
      return aSuspicion.crash_ == &oldest;
    });
    if (suspicions.empty()) {
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
