#include "process/claims/claim_coordinator.h"

#include "process/claims/claim_key.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockring {
namespace {

constexpr Duration kRunningRetryAfter = 1s;
constexpr Duration kLogRetryAfter = 2s;
constexpr Duration kAppendTimeout = 5s;
/// Maximum difference between the clocks of two routers. Entries are kept this
/// much longer than the key window.
constexpr WallTime kMaxClockSkew = 2min;
constexpr int kDoneStatus = 200;
constexpr std::size_t kMaxRecordsPerAppend = 128;

} // namespace

auto ClaimCoordinator::ErasePending(RequestId aRequest) -> void
{
  const auto found = pending_.find(aRequest);
  if (found == pending_.end()) {
    return;
  }
  const auto waiting = pendingByKey_.find(found->second.key_);
  waiting->second.erase(aRequest);
  if (waiting->second.empty()) {
    pendingByKey_.erase(waiting);
  }
  pending_.erase(found);
}

auto ClaimCoordinator::MakeEntryResponse(const ClaimEntry& aEntry) const
  -> Response
{
  if (aEntry.state_ == ClaimState::kDone) {
    Response response;
    response.replayedStatus_ =
      aEntry.status_ == 0 ? kDoneStatus : aEntry.status_;
    response.replayedBody_ = aEntry.body_;
    return response;
  }
  if (aEntry.state_ == ClaimState::kOwned && isOwnerLive_(aEntry.owner_)) {
    return MakeResponse(ResponseCode::kKeyRunning, kRunningRetryAfter);
  }
  return MakeResponse(ResponseCode::kKeyOutcomeUnknown, 0us);
}

auto ClaimCoordinator::ResolvePending(const std::string& aKey) -> void
{
  const auto* entry = table_.Find(aKey);
  if (entry == nullptr || entry->state_ == ClaimState::kFree) {
    return;
  }
  const auto abandoned = abandoned_.find(entry->owner_);
  if (entry->state_ == ClaimState::kOwned && abandoned != abandoned_.end()) {
    queue_.push_back(
      OutcomeRecord{ aKey, entry->owner_, OutcomeKind::kNotRun, 0, {} });
    abandoned_.erase(abandoned);
  }
  const auto waiting = pendingByKey_.find(aKey);
  if (waiting == pendingByKey_.end()) {
    return;
  }
  const auto requests = waiting->second;
  for (const auto request : requests) {
    auto& pending = pending_.at(request);
    if (pending.isAcquired_) {
      continue;
    }
    if (entry->state_ == ClaimState::kOwned &&
        entry->owner_ == pending.attempt_) {
      pending.isAcquired_ = true;
      results_.push_back({ request, true, {} });
      continue;
    }
    results_.push_back({ request, false, MakeEntryResponse(*entry) });
    ErasePending(request);
  }
}

auto ClaimCoordinator::IsResolved(const LogRecord& aRecord) const -> bool
{
  if (const auto* claim = std::get_if<ClaimRecord>(&aRecord)) {
    if (abandoned_.contains(claim->attempt_)) {
      return true;
    }
    const auto* entry = table_.Find(claim->key_);
    return entry != nullptr && (entry->state_ != ClaimState::kFree ||
                                entry->released_.contains(claim->attempt_));
  }
  if (const auto* outcome = std::get_if<OutcomeRecord>(&aRecord)) {
    const auto* entry = table_.Find(outcome->key_);
    return entry == nullptr || entry->state_ != ClaimState::kOwned ||
           entry->owner_ != outcome->attempt_;
  }
  return true;
}

auto ClaimCoordinator::Abandon(const Pending& aPending) -> void
{
  const auto sameClaim = [&](const LogRecord& aRecord) {
    const auto* claim = std::get_if<ClaimRecord>(&aRecord);
    return claim != nullptr && claim->attempt_ == aPending.attempt_;
  };
  if (std::erase_if(queue_, sameClaim) == 0) {
    abandoned_[aPending.attempt_] = { aPending.key_, aPending.keyMillis_ };
  }
}

auto ClaimCoordinator::ExpirePending(Instant aNow) -> void
{
  std::vector<RequestId> expired;
  for (const auto& entry : pending_) {
    if (!entry.second.isAcquired_ &&
        aNow - entry.second.since_ > options_.claimTimeout_) {
      expired.push_back(entry.first);
    }
  }
  for (const auto request : expired) {
    Abandon(pending_.at(request));
    results_.push_back(
      { request, false,
        MakeResponse(ResponseCode::kLogUnavailable, kLogRetryAfter) });
    ErasePending(request);
  }
}

auto ClaimCoordinator::RetryLostAppends(Instant aNow) -> void
{
  for (auto entry = inFlight_.begin(); entry != inFlight_.end();) {
    auto& append = entry->second;
    const auto age = aNow - append.since_;
    const bool isRetryDue =
      append.isReplyLost_ && age > options_.lostAppendRetryDelay_;
    if (!isRetryDue && age < kAppendTimeout) {
      ++entry;
      continue;
    }
    for (auto& record : append.records_) {
      if (!IsResolved(record)) {
        queue_.push_back(std::move(record));
      }
    }
    entry = inFlight_.erase(entry);
  }
}

auto ClaimCoordinator::TakeQueuedRecords() -> std::vector<LogRecord>
{
  const auto count = std::min(queue_.size(), kMaxRecordsPerAppend);
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<LogRecord> records(std::make_move_iterator(queue_.begin()),
                                 std::make_move_iterator(end));
  queue_.erase(queue_.begin(), end);
  return records;
}

ClaimCoordinator::ClaimCoordinator(
  const ClaimOptions& aOptions,
  RouterId aSelf,
  std::int64_t aIncarnation,
  std::function<bool(const AttemptId&)> aIsOwnerLive)
  : options_(aOptions)
  , self_(aSelf)
  , incarnation_(aIncarnation)
  , isOwnerLive_(std::move(aIsOwnerLive))
  , appendCredit_(aOptions.appendBurst_)
{
}

auto ClaimCoordinator::Begin(RequestId aRequest,
                             AccountId aAccount,
                             const std::string& aUuid,
                             WallTime aWallTime,
                             Instant aNow) -> std::optional<Response>
{
  const auto keyTime = ParseKeyTime(aUuid);
  if (!keyTime || *keyTime > aWallTime + options_.maxKeyAhead_) {
    return MakeResponse(ResponseCode::kKeyMalformed, 0us);
  }
  if (*keyTime < aWallTime - options_.keyWindow_) {
    return MakeResponse(ResponseCode::kKeyTooOld, 0us);
  }
  const auto key = MakeClaimKey(aAccount, aUuid);
  const auto* entry = table_.Find(key);
  if (entry != nullptr && entry->state_ != ClaimState::kFree) {
    return MakeEntryResponse(*entry);
  }
  if (!IsLogUsable(aNow)) {
    return MakeResponse(ResponseCode::kLogUnavailable, kLogRetryAfter);
  }
  const AttemptId attempt{ self_, incarnation_, nextSequence_++ };
  pending_[aRequest] = { key, attempt, keyTime->count(), aNow, false };
  pendingByKey_[key].insert(aRequest);
  queue_.push_back(ClaimRecord{ key, attempt, keyTime->count() });
  return std::nullopt;
}

auto ClaimCoordinator::Finish(RequestId aRequest,
                              OutcomeKind aKind,
                              int aStatus,
                              std::string aBody) -> void
{
  const auto found = pending_.find(aRequest);
  if (found == pending_.end()) {
    return;
  }
  if (found->second.isAcquired_) {
    if (aBody.size() > options_.maxOutcomeBodyBytes_) {
      aBody.clear();
    }
    queue_.push_back(OutcomeRecord{ found->second.key_, found->second.attempt_,
                                    aKind, aStatus, std::move(aBody) });
  } else {
    Abandon(found->second);
  }
  ErasePending(aRequest);
}

auto ClaimCoordinator::Apply(const ClaimRecord& aClaim) -> void
{
  table_.Apply(aClaim);
  ResolvePending(aClaim.key_);
}

auto ClaimCoordinator::Apply(const OutcomeRecord& aOutcome) -> void
{
  table_.Apply(aOutcome);
  ResolvePending(aOutcome.key_);
}

auto ClaimCoordinator::OnLogRead(bool aAtEnd, Instant aNow) -> void
{
  lastRead_ = aNow;
  caughtUp_ = caughtUp_ || aAtEnd;
}

auto ClaimCoordinator::OnAppendReply(std::int64_t aToken,
                                     bool aKnown,
                                     Instant aNow) -> void
{
  const auto found = inFlight_.find(aToken);
  if (found == inFlight_.end()) {
    return;
  }
  if (aKnown) {
    inFlight_.erase(found);
    return;
  }
  found->second.isReplyLost_ = true;
  found->second.since_ = aNow;
}

auto ClaimCoordinator::QueueRecord(LogRecord aRecord) -> void
{
  queue_.push_back(std::move(aRecord));
}

auto ClaimCoordinator::Tick(Instant aNow, WallTime aWallTime, int aLiveRouters)
  -> std::vector<AppendRequest>
{
  ExpirePending(aNow);
  RetryLostAppends(aNow);
  const auto oldest = aWallTime - options_.keyWindow_ - kMaxClockSkew;
  table_.Expire(oldest);
  std::erase_if(abandoned_, [&](const auto& aEntry) {
    return aEntry.second.keyMillis_ < oldest.count();
  });
  const auto rate =
    options_.maxFleetAppendsPerSecond_ / std::max(1, aLiveRouters);
  const auto elapsed =
    std::chrono::duration<double>(aNow - lastCredit_).count();
  lastCredit_ = aNow;
  appendCredit_ =
    std::min(options_.appendBurst_, appendCredit_ + elapsed * rate);
  std::vector<AppendRequest> appends;
  if (queue_.empty() || appendCredit_ < 1.0) {
    return appends;
  }
  appendCredit_ -= 1.0;
  const auto token = nextToken_++;
  inFlight_[token] = { TakeQueuedRecords(), aNow, false };
  appends.push_back({ token, inFlight_[token].records_ });
  return appends;
}

auto ClaimCoordinator::TakeResults() -> std::vector<ClaimResult>
{
  return std::exchange(results_, {});
}

auto ClaimCoordinator::IsLogUsable(Instant aNow) const -> bool
{
  return caughtUp_ && aNow - lastRead_ < options_.logReadTimeout_;
}

auto ClaimCoordinator::IsCaughtUp() const -> bool
{
  return caughtUp_;
}

auto ClaimCoordinator::Table() const -> const ClaimTable&
{
  return table_;
}

} // namespace burdockring
