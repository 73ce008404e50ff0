#include "process/quarantine/part_quarantine.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

/// Ages in messages are clamped to this.
constexpr Duration kMaxAge = 24h;
/// The same for counts of events.
constexpr int kMaxEventCount = 1'000'000;
/// How long evidence that has not changed may still lead to a new judgement: an
/// event settles, and a crash that it confirms is older.
constexpr Duration kJudgeTime =
  CrashEvidence::kLateSettleTime + kSimultaneousCrashSpan;

auto AgeOf(Instant aAt, Instant aNow) -> std::int64_t
{
  return std::clamp<Duration>(aNow - aAt, 0us, kMaxAge).count();
}

auto TimeOf(std::int64_t aAgeMicros, Instant aNow) -> Instant
{
  return aNow - std::clamp<Duration>(Duration(aAgeMicros), 0us, kMaxAge);
}

auto ClampAge(std::int64_t aMicros) -> Duration
{
  return std::clamp<Duration>(Duration(aMicros), 0us, kMaxAge);
}

auto ClampEvents(std::int32_t aEvents) -> int
{
  return std::clamp(aEvents, 0, kMaxEventCount);
}

auto ToMillis(Duration aDuration) -> std::int64_t
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

auto PartQuarantine::AddEvent(wire::CrashNews aNews, Instant aAt) -> void
{
  if (events_.size() >= kMaxEvents) {
    // A request whose answer had begun is the less likely cause.
    const auto begun =
      std::find_if(events_.begin(), events_.end(), [](const Event& aEvent) {
        return !aEvent.news_.lost.empty() &&
               aEvent.news_.lost.front().__isset.answerMicros;
      });
    events_.erase(begun == events_.end() ? events_.begin() : begun);
  }
  events_.push_back({ std::move(aNews), aAt });
}

auto PartQuarantine::ReportAnswer(std::uint64_t aPart,
                                  const AnswerProgress& aAnswer) -> void
{
  wire::CrashNews news;
  wire::PartBegun answer;
  answer.part = static_cast<std::int64_t>(aPart);
  answer.answerMicros = aAnswer.age_.count();
  answer.whole = aAnswer.isWhole_;
  answer.__set_answerEvents(aAnswer.events_);
  news.begun.push_back(answer);
  if (cleared_.size() >= kMaxClearedParts) {
    cleared_.pop_front();
  }
  cleared_.push_back({ std::move(news), aAnswer.at_ });
}

auto PartQuarantine::Log(std::string_view aEvent,
                         const PartIds& aParts,
                         const Quarantine& aQuarantine,
                         std::int64_t aCrashes) -> void
{
  const auto parts = PartIdsText(aParts);
  log_->Write(aEvent, { { "parts", parts },
                        { "crashes", aCrashes },
                        { "renewals", std::int64_t{ aQuarantine.renewals_ } },
                        { "for_ms", ToMillis(aQuarantine.until_ -
                                             aQuarantine.changedAt_) } });
}

auto PartQuarantine::MakeRoom() -> void
{
  if (quarantines_.size() < kMaxQuarantines) {
    return;
  }
  const auto oldest = std::min_element(
    quarantines_.begin(), quarantines_.end(),
    [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.changedAt_ < aRight.second.changedAt_;
    });
  Log("quarantine_dropped", oldest->first, oldest->second, 0);
  unstored_.insert(oldest->first);
  quarantines_.erase(oldest);
}

auto PartQuarantine::DropExpired(Instant aNow) -> void
{
  std::erase_if(quarantines_, [&](const auto& aEntry) {
    const auto& quarantine = aEntry.second;
    const bool isIdle =
      !quarantine.isLifted_ && aNow - quarantine.until_ > kMaxIdle;
    if (isIdle) {
      unstored_.insert(aEntry.first);
    }
    return isIdle || (quarantine.isLifted_ &&
                      aNow - quarantine.changedAt_ > kLiftedLifetime);
  });
}

auto PartQuarantine::LiftSupersets(const PartIds& aParts, Instant aNow) -> void
{
  for (auto& entry : quarantines_) {
    auto& quarantine = entry.second;
    if (!quarantine.isLifted_ && entry.first.size() > aParts.size() &&
        HasAllParts(entry.first, aParts)) {
      SetLifted(entry.first, &quarantine, aNow);
    }
  }
}

auto PartQuarantine::SetLifted(const PartIds& aParts,
                               Quarantine* aQuarantine,
                               Instant aAt) -> void
{
  aQuarantine->isLifted_ = true;
  aQuarantine->changedAt_ = aAt;
  aQuarantine->until_ = aAt;
  unstored_.insert(aParts);
  hasUrgentNews_ = true;
  ++counters_.lifted_;
  Log("quarantine_lifted", aParts, *aQuarantine, 0);
}

auto PartQuarantine::Impose(const CrashCause& aCause, Instant aNow) -> void
{
  LiftSupersets(aCause.parts_, aNow);
  MakeRoom();
  auto& quarantine = quarantines_[aCause.parts_];
  quarantine = {};
  quarantine.changedAt_ = aNow;
  quarantine.until_ = aNow + kDuration;
  unstored_.insert(aCause.parts_);
  hasUrgentNews_ = true;
  hasChanged_ = true;
  ++counters_.imposed_;
  Log("quarantine_imposed", aCause.parts_, quarantine, aCause.crashes_);
}

auto PartQuarantine::RenewAfterTrial(const PartIds& aParts, Instant aAt) -> void
{
  for (auto& entry : quarantines_) {
    auto& quarantine = entry.second;
    if (quarantine.isLifted_ || aAt < quarantine.until_ ||
        !HasAllParts(aParts, entry.first)) {
      continue;
    }
    quarantine.renewals_ = std::min(quarantine.renewals_ + 1, kMaxDoublings);
    quarantine.changedAt_ = aAt;
    quarantine.until_ = aAt + kDuration * (1 << quarantine.renewals_);
    quarantine.trial_.reset();
    unstored_.insert(entry.first);
    hasUrgentNews_ = true;
    ++counters_.renewed_;
    Log("quarantine_renewed", entry.first, quarantine, 1);
  }
}

auto PartQuarantine::Lift(std::uint64_t aPart, Instant aAt) -> void
{
  std::vector<PartIds> reduced;
  for (auto& entry : quarantines_) {
    auto& quarantine = entry.second;
    const auto& parts = entry.first;
    if (quarantine.isLifted_ || aAt <= quarantine.changedAt_ ||
        !std::binary_search(parts.begin(), parts.end(), aPart)) {
      continue;
    }
    SetLifted(parts, &quarantine, aAt);
    auto rest = parts;
    std::erase(rest, aPart);
    if (!rest.empty()) {
      reduced.push_back(std::move(rest));
    }
  }
  for (auto& parts : reduced) {
    Impose({ std::move(parts), 0 }, aAt);
  }
}

auto PartQuarantine::AddAnswer(std::uint64_t aPart,
                               const AnswerProgress& aAnswer) -> bool
{
  const bool clears = evidence_.AddAnswer(aPart, aAnswer);
  const auto lifted = counters_.lifted_;
  if (aAnswer.isWhole_) {
    Lift(aPart, aAnswer.at_);
  }
  return clears || counters_.lifted_ != lifted;
}

auto PartQuarantine::AddLoss(TargetId aTarget,
                             const PartIds& aParts,
                             const std::optional<LostAnswer>& aAnswer,
                             Instant aAt) -> void
{
  evidence_.AddLoss(aTarget, aParts, aAnswer, aAt);
  RenewAfterTrial(aParts, aAt);
}

PartQuarantine::PartQuarantine(EventLog* aLog)
  : log_(aLog)
{
}

auto PartQuarantine::OnLost(TargetId aTarget,
                            const PartIds& aParts,
                            const std::optional<LostAnswer>& aAnswer,
                            Instant aNow) -> void
{
  if (aParts.empty()) {
    return;
  }
  auto parts = aParts;
  parts.resize(std::min(parts.size(), kMaxReportedParts));
  wire::CrashNews news;
  wire::LostRequest lost;
  lost.target = aTarget.value_;
  lost.parts = EncodePartIds(parts);
  if (aAnswer) {
    lost.__set_answerMicros(aAnswer->age_.count());
    lost.__set_answerEvents(aAnswer->events_);
  }
  news.lost.push_back(std::move(lost));
  AddEvent(std::move(news), aNow);
  AddLoss(aTarget, parts, aAnswer, aNow);
  judgeUntil_ = aNow + kJudgeTime;
}

auto PartQuarantine::OnDown(TargetId aTarget, Instant aNow) -> void
{
  if (!evidence_.AddDown(aTarget, aNow)) {
    return;
  }
  wire::CrashNews news;
  wire::TargetDown down;
  down.target = aTarget.value_;
  news.down.push_back(down);
  AddEvent(std::move(news), aNow);
  judgeUntil_ = aNow + kJudgeTime;
}

auto PartQuarantine::NeedsAnswers(Instant aNow) -> bool
{
  if (aNow > judgeUntil_ || aNow - lastObservation_ < kJudgeInterval) {
    return false;
  }
  lastObservation_ = aNow;
  return true;
}

auto PartQuarantine::OnAnswer(const PartIds& aParts,
                              const AnswerProgress& aAnswer) -> void
{
  for (const auto part : aParts) {
    if (AddAnswer(part, aAnswer)) {
      ReportAnswer(part, aAnswer);
    }
  }
}

auto PartQuarantine::MergeRow(const wire::QuarantineRow& aRow, Instant aNow)
  -> void
{
  auto parts = DecodePartIds(aRow.parts);
  if (!parts || parts->empty() || parts->size() > kMaxReportedParts) {
    ++counters_.malformed_;
    return;
  }
  std::sort(parts->begin(), parts->end());
  const auto changedAt = TimeOf(aRow.ageMicros, aNow);
  const auto known = quarantines_.find(*parts);
  if (known != quarantines_.end() && known->second.changedAt_ >= changedAt) {
    return;
  }
  if (known == quarantines_.end() && aRow.lifted) {
    return;
  }
  for (const auto part : *parts) {
    const auto whole = evidence_.LastWhole(part);
    if (!aRow.lifted && whole && *whole > changedAt) {
      ReportAnswer(part, { *whole, 0us, true });
      return;
    }
  }
  // The same change is dated a little differently by each message.
  const bool isNews = known == quarantines_.end() ||
                      known->second.isLifted_ != aRow.lifted ||
                      known->second.renewals_ != aRow.renewals;
  if (!isNews) {
    return;
  }
  if (known == quarantines_.end()) {
    MakeRoom();
  }
  auto& quarantine = quarantines_[*parts];
  quarantine = {};
  quarantine.changedAt_ = changedAt;
  quarantine.until_ =
    aNow + std::clamp<Duration>(Duration(aRow.remainingMicros), 0us, kMaxIdle);
  quarantine.renewals_ = std::clamp(aRow.renewals, 0, kMaxDoublings);
  quarantine.isLifted_ = aRow.lifted;
  unstored_.insert(*parts);
  hasUrgentNews_ = true;
  hasChanged_ = true;
  ++(aRow.lifted ? counters_.lifted_ : counters_.learned_);
  Log(aRow.lifted ? "quarantine_lifted" : "quarantine_learned", *parts,
      quarantine, 0);
}

auto PartQuarantine::OnPeerNews(const wire::CrashNews& aNews, Instant aNow)
  -> void
{
  for (const auto& lost : aNews.lost) {
    const auto parts = DecodePartIds(lost.parts);
    if (!parts || parts->size() > kMaxReportedParts) {
      ++counters_.malformed_;
      continue;
    }
    std::optional<LostAnswer> answer;
    if (lost.__isset.answerMicros) {
      answer = { ClampAge(lost.answerMicros), ClampEvents(lost.answerEvents) };
    }
    AddLoss(TargetId{ lost.target }, *parts, answer,
            TimeOf(lost.ageMicros, aNow));
    judgeUntil_ = aNow + kJudgeTime;
  }
  for (const auto& down : aNews.down) {
    if (evidence_.AddDown(TargetId{ down.target },
                          TimeOf(down.ageMicros, aNow))) {
      judgeUntil_ = aNow + kJudgeTime;
    }
  }
  for (const auto& answer : aNews.begun) {
    AddAnswer(static_cast<std::uint64_t>(answer.part),
              { TimeOf(answer.ageMicros, aNow), ClampAge(answer.answerMicros),
                answer.whole, ClampEvents(answer.answerEvents) });
  }
  for (const auto& row : aNews.quarantined) {
    MergeRow(row, aNow);
  }
}

auto PartQuarantine::Admits(RequestId aRequest,
                            const PartIds& aParts,
                            bool aMayTry,
                            Instant aNow) -> bool
{
  for (auto& entry : quarantines_) {
    auto& quarantine = entry.second;
    if (quarantine.isLifted_ || !HasAllParts(aParts, entry.first)) {
      continue;
    }
    if (aNow < quarantine.until_ || !aMayTry) {
      return false;
    }
    const bool isTrial = quarantine.trial_ == aRequest;
    if (!isTrial && quarantine.trial_ &&
        aNow - quarantine.trialSince_ < kTrialTimeout) {
      return false;
    }
    if (!isTrial) {
      quarantine.trial_ = aRequest;
      quarantine.trialSince_ = aNow;
      Log("quarantine_trial", entry.first, quarantine, 0);
    }
  }
  return true;
}

auto PartQuarantine::Remaining(const PartIds& aParts, Instant aNow) const
  -> Duration
{
  Duration remaining = 0us;
  for (const auto& entry : quarantines_) {
    if (!entry.second.isLifted_ && HasAllParts(aParts, entry.first)) {
      remaining = std::max<Duration>(remaining, entry.second.until_ - aNow);
    }
  }
  return remaining;
}

auto PartQuarantine::IsSuspicious(const PartIds& aParts) const -> bool
{
  return evidence_.IsSuspicious(aParts);
}

auto PartQuarantine::Tick(bool aMayImpose, Instant aNow) -> void
{
  evidence_.Tick(aNow);
  DropExpired(aNow);
  if (!aMayImpose || aNow > judgeUntil_ ||
      aNow - lastJudgement_ < kJudgeInterval) {
    return;
  }
  lastJudgement_ = aNow;
  std::vector<PartIds> known;
  for (const auto& entry : quarantines_) {
    if (!entry.second.isLifted_) {
      known.push_back(entry.first);
    }
  }
  for (const auto& cause : evidence_.FindCauses(known, aNow)) {
    Impose(cause, aNow);
  }
}

auto PartQuarantine::HasChanged() -> bool
{
  return std::exchange(hasChanged_, false);
}

auto PartQuarantine::HasEvents() const -> bool
{
  return !events_.empty() || !cleared_.empty();
}

auto PartQuarantine::TakeEvents(Instant aNow) -> wire::CrashNews
{
  wire::CrashNews news;
  for (auto* events : { &events_, &cleared_ }) {
    for (auto& event : *events) {
      const auto age = AgeOf(event.at_, aNow);
      for (auto lost : event.news_.lost) {
        lost.ageMicros = age;
        news.lost.push_back(std::move(lost));
      }
      for (auto down : event.news_.down) {
        down.ageMicros = age;
        news.down.push_back(down);
      }
      for (auto answer : event.news_.begun) {
        answer.ageMicros = age;
        news.begun.push_back(answer);
      }
      --event.reportsLeft_;
    }
    std::erase_if(*events,
                  [](const Event& aEvent) { return aEvent.reportsLeft_ <= 0; });
  }
  return news;
}

auto PartQuarantine::HasRows() const -> bool
{
  return !quarantines_.empty();
}

auto PartQuarantine::Rows(Instant aNow) const
  -> std::vector<wire::QuarantineRow>
{
  std::vector<wire::QuarantineRow> rows;
  for (const auto& entry : quarantines_) {
    wire::QuarantineRow row;
    row.parts = EncodePartIds(entry.first);
    row.lifted = entry.second.isLifted_;
    row.ageMicros = AgeOf(entry.second.changedAt_, aNow);
    row.remainingMicros =
      std::max<Duration>(entry.second.until_ - aNow, 0us).count();
    row.renewals = entry.second.renewals_;
    rows.push_back(std::move(row));
  }
  return rows;
}

auto PartQuarantine::RepeatRows() -> void
{
  hasUrgentNews_ = hasUrgentNews_ || HasRows();
}

auto PartQuarantine::TakeUrgentNews() -> bool
{
  return std::exchange(hasUrgentNews_, false);
}

auto PartQuarantine::Restore(const StoredQuarantine& aQuarantine, Instant aNow)
  -> void
{
  const auto& parts = aQuarantine.parts_;
  if (parts.empty() || quarantines_.contains(parts) ||
      quarantines_.size() >= kMaxQuarantines) {
    return;
  }
  auto& quarantine = quarantines_[parts];
  // Older than any change that a peer knows of.
  quarantine.changedAt_ = aNow - kMaxAge;
  quarantine.until_ =
    aNow + std::clamp<Duration>(aQuarantine.remaining_, 0us, kMaxIdle);
  quarantine.renewals_ = std::clamp(aQuarantine.renewals_, 0, kMaxDoublings);
  hasUrgentNews_ = true;
  hasChanged_ = true;
  ++counters_.restored_;
  log_->Write("quarantine_restored",
              { { "parts", PartIdsText(parts) },
                { "renewals", std::int64_t{ quarantine.renewals_ } },
                { "for_ms", ToMillis(quarantine.until_ - aNow) } });
}

auto PartQuarantine::StoreAgain() -> void
{
  for (const auto& entry : quarantines_) {
    unstored_.insert(entry.first);
  }
}

auto PartQuarantine::TakeChangesToStore(Instant aNow)
  -> std::vector<StoreQuarantine>
{
  std::vector<StoreQuarantine> changes;
  for (const auto& parts : std::exchange(unstored_, {})) {
    StoreQuarantine change;
    change.quarantine_.parts_ = parts;
    const auto found = quarantines_.find(parts);
    change.isInForce_ = found != quarantines_.end() && !found->second.isLifted_;
    if (change.isInForce_) {
      change.quarantine_.remaining_ =
        std::max<Duration>(found->second.until_ - aNow, 0us);
      change.quarantine_.renewals_ = found->second.renewals_;
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

auto PartQuarantine::Count() const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(quarantines_.begin(), quarantines_.end(),
                  [](const auto& aEntry) { return !aEntry.second.isLifted_; }));
}

auto PartQuarantine::Counters() const -> const QuarantineCounters&
{
  return counters_;
}

} // namespace burdockring
