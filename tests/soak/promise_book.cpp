#include "soak/promise_book.h"

#include "base/http_rules.h"

#include <fmt/format.h>

namespace burdockring {
namespace {

constexpr int kOk = 200;
constexpr int kTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

auto SaysNotRun(int aStatus) -> bool
{
  return aStatus == kTimeout || aStatus == kMisdirected ||
         aStatus == kTooMany || aStatus == kUnavailable;
}

} // namespace

auto PromiseBook::Break(const std::string& aPromise,
                        const std::string& aId,
                        const std::string& aDetail) -> void
{
  broken_.push_back(fmt::format("{}: {} {}", aPromise, aId, aDetail));
}

auto PromiseBook::OnSent(const std::string& aId, SoakKind aKind, bool aRevoked)
  -> void
{
  const std::lock_guard lock(mutex_);
  auto& attempt = attempts_[aId];
  attempt.kind_ = aKind;
  attempt.revoked_ = aRevoked;
  attempt.sent_ = Clock::now();
}

auto PromiseBook::OnRun(const std::string& aId) -> void
{
  const std::lock_guard lock(mutex_);
  const auto found = attempts_.find(aId);
  if (found == attempts_.end()) {
    Break("nobody asked for this", aId, "but it ran");
    return;
  }
  auto& attempt = found->second;
  ++attempt.runs_;
  if (attempt.kind_ == SoakKind::kOnce && attempt.runs_ > 1) {
    Break("unsafe work runs once", aId, "ran again");
  }
  if (attempt.revoked_) {
    Break("a revoked key runs nothing", aId, "ran");
  }
  if (attempt.kind_ == SoakKind::kOnce && SaysNotRun(attempt.status_)) {
    Break("what was refused never runs", aId, "ran afterwards");
  }
}

auto PromiseBook::OnAnswer(const std::string& aId, const SoakAnswer& aAnswer)
  -> void
{
  const std::lock_guard lock(mutex_);
  auto& attempt = attempts_[aId];
  attempt.status_ = aAnswer.status_;
  if (aAnswer.status_ == kOk) {
    ++served_;
    const auto whole =
      attempt.kind_ == SoakKind::kStream ? EventsOf(aId, 0) : BodyOf(aId);
    if (aAnswer.body_ != whole) {
      Break("a success is the caller's own and whole", aId,
            fmt::format("got {} bytes of {}: {}", aAnswer.body_.size(),
                        whole.size(), aAnswer.body_.substr(0, 60)));
    }
  } else if (SaysNotRun(aAnswer.status_)) {
    ++refused_;
    if (attempt.runs_ > 0 && attempt.kind_ == SoakKind::kOnce) {
      Break("a refusal says that nothing ran", aId, "but it had run");
    }
  } else {
    ++failed_;
    // Zero: the connection ended without an answer.
    if (aAnswer.status_ != 0 && !IsAnswerStatus(aAnswer.status_)) {
      Break("a caller gets answers in HTTP", aId,
            fmt::format("got the status {}", aAnswer.status_));
    }
  }
}

auto PromiseBook::OnLateAtLeaving(const std::string& aId) -> void
{
  const std::lock_guard lock(mutex_);
  Break("a leaving target gets no more", aId, "was sent there");
}

auto PromiseBook::OnTooManyAtCold(const std::string& aId) -> void
{
  const std::lock_guard lock(mutex_);
  Break("a cold target gets few requests", aId, "was beyond its limit");
}

auto PromiseBook::Close() -> void
{
  const std::lock_guard lock(mutex_);
  for (const auto& entry : attempts_) {
    const auto& attempt = entry.second;
    if (attempt.status_ == kOk && attempt.runs_ == 0) {
      Break("a success has run", entry.first, "nowhere");
    }
  }
}

auto PromiseBook::Broken() const -> std::vector<std::string>
{
  const std::lock_guard lock(mutex_);
  return broken_;
}

auto PromiseBook::Summary() const -> std::string
{
  const std::lock_guard lock(mutex_);
  return fmt::format("{} served, {} refused, {} failed or unknown, {} broken",
                     served_, refused_, failed_, broken_.size());
}

auto PromiseBook::Served() const -> std::int64_t
{
  const std::lock_guard lock(mutex_);
  return served_;
}

auto PromiseBook::BodyOf(const std::string& aId) -> std::string
{
  return "the answer to " + aId;
}

auto PromiseBook::EventsOf(const std::string& aId, int aAfter) -> std::string
{
  std::string text;
  for (int event = aAfter + 1; event <= kEvents; ++event) {
    text += fmt::format("id: {}\ndata: {} {}\n\n", event, aId, event);
  }
  return text;
}

} // namespace burdockring
