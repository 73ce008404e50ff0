#include "process/forwarding/part_quarantine.h"

#include <algorithm>
#include <utility>

namespace burdockring {
namespace {

/// Ages in messages are clamped to this.
constexpr Duration kMaxAge = 24h;
/// How long evidence that has not changed may still lead to a new judgement: an
/// event settles, and a crash that it confirms is older.
constexpr Duration kJudgeTime =
  CrashEvidence::kSettleTime + CrashEvidence::kSimultaneous;

auto AgeOf(Instant aAt, Instant aNow) -> std::int64_t
{
  return std::clamp<Duration>(aNow - aAt, 0us, kMaxAge).count();
}

auto TimeOf(std::int64_t aAgeMicros, Instant aNow) -> Instant
{
  return aNow - std::clamp<Duration>(Duration(aAgeMicros), 0us, kMaxAge);
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
    events_.pop_front();
  }
  events_.push_back({ std::move(aNews), aAt });
}

auto PartQuarantine::ReportBegun(std::uint64_t aPart, Instant aAt) -> void
{
  wire::CrashNews news;
  wire::PartBegun begun;
  begun.part = static_cast<std::int64_t>(aPart);
  news.begun.push_back(begun);
  AddEvent(std::move(news), aAt);
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
  quarantines_.erase(oldest);
}

auto PartQuarantine::Impose(const CrashCause& aCause, Instant aNow) -> void
{
  MakeRoom();
  auto& quarantine = quarantines_[aCause.parts_];
  quarantine = {};
  quarantine.changedAt_ = aNow;
  quarantine.until_ = aNow + kDuration;
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
    quarantine.isLifted_ = true;
    quarantine.changedAt_ = aAt;
    quarantine.until_ = aAt;
    hasUrgentNews_ = true;
    ++counters_.lifted_;
    Log("quarantine_lifted", parts, quarantine, 0);
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

auto PartQuarantine::Clear(std::uint64_t aPart, Instant aAt) -> void
{
  evidence_.AddBegun(aPart, aAt);
  Lift(aPart, aAt);
}

auto PartQuarantine::AddLoss(TargetId aTarget,
                             const PartIds& aParts,
                             Instant aAt) -> void
{
  evidence_.AddLoss(aTarget, aParts, aAt);
  RenewAfterTrial(aParts, aAt);
}

PartQuarantine::PartQuarantine(EventLog* aLog)
  : log_(aLog)
{
}

auto PartQuarantine::OnLost(TargetId aTarget,
                            const PartIds& aParts,
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
  news.lost.push_back(std::move(lost));
  AddEvent(std::move(news), aNow);
  AddLoss(aTarget, parts, aNow);
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

auto PartQuarantine::OnBegun(const PartIds& aParts, Instant aNow) -> void
{
  for (const auto part : aParts) {
    const bool clears = evidence_.AddBegun(part, aNow);
    const auto lifted = counters_.lifted_;
    Lift(part, aNow);
    if (clears || counters_.lifted_ != lifted) {
      ReportBegun(part, aNow);
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
    const auto begun = evidence_.LastBegun(part);
    if (!aRow.lifted && begun && *begun > changedAt) {
      ReportBegun(part, *begun);
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
    AddLoss(TargetId{ lost.target }, *parts, TimeOf(lost.ageMicros, aNow));
    judgeUntil_ = aNow + kJudgeTime;
  }
  for (const auto& down : aNews.down) {
    if (evidence_.AddDown(TargetId{ down.target },
                          TimeOf(down.ageMicros, aNow))) {
      judgeUntil_ = aNow + kJudgeTime;
    }
  }
  for (const auto& begun : aNews.begun) {
    Clear(static_cast<std::uint64_t>(begun.part),
          TimeOf(begun.ageMicros, aNow));
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
  std::erase_if(quarantines_, [&](const auto& aEntry) {
    const auto& quarantine = aEntry.second;
    return quarantine.isLifted_ ? aNow - quarantine.changedAt_ > kLiftedLifetime
                                : aNow - quarantine.until_ > kMaxIdle;
  });
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
  return !events_.empty();
}

auto PartQuarantine::TakeEvents(Instant aNow) -> wire::CrashNews
{
  wire::CrashNews news;
  for (auto& event : events_) {
    const auto age = AgeOf(event.at_, aNow);
    for (auto lost : event.news_.lost) {
      lost.ageMicros = age;
      news.lost.push_back(std::move(lost));
    }
    for (auto down : event.news_.down) {
      down.ageMicros = age;
      news.down.push_back(down);
    }
    for (auto begun : event.news_.begun) {
      begun.ageMicros = age;
      news.begun.push_back(begun);
    }
    --event.reportsLeft_;
  }
  std::erase_if(events_,
                [](const Event& aEvent) { return aEvent.reportsLeft_ <= 0; });
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

auto PartQuarantine::TakeUrgentNews() -> bool
{
  return std::exchange(hasUrgentNews_, false);
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
