#ifndef BURDOCKRING_TESTS_SOAK_PROMISE_BOOK_H
#define BURDOCKRING_TESTS_SOAK_PROMISE_BOOK_H

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace burdockring {

/// Kinds of requests that the callers send.
enum class SoakKind
{
  kSafe,
  kOnce,
  kStream,
};

/// What a caller got for one attempt.
struct SoakAnswer
{
  /// Zero: the connection ended without a whole answer.
  int status_ = 0;
  std::string body_;
};

/// Checks the promises to callers from both ends: what callers got, and what
/// ran at the targets. Used by many threads.
class PromiseBook
{
  using Clock = std::chrono::steady_clock;

  struct Attempt
  {
    SoakKind kind_ = SoakKind::kSafe;
    bool revoked_ = false;
    Clock::time_point sent_;
    int status_ = 0;
    int runs_ = 0;
  };

  mutable std::mutex mutex_;
  std::map<std::string, Attempt> attempts_;
  std::vector<std::string> broken_;
  std::int64_t served_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t failed_ = 0;

  auto Break(const std::string& aPromise,
             const std::string& aId,
             const std::string& aDetail) -> void;

public:
  /// Events of a whole stream.
  static constexpr int kEvents = 6;

  /// aRevoked: its key was taken away long enough ago that it must not run.
  auto OnSent(const std::string& aId, SoakKind aKind, bool aRevoked) -> void;
  auto OnRun(const std::string& aId) -> void;
  auto OnAnswer(const std::string& aId, const SoakAnswer& aAnswer) -> void;
  /// A request came to a target that was listed as leaving long ago.
  auto OnLateAtLeaving(const std::string& aId) -> void;
  /// A cold target got more requests in a second than all routers together may
  /// send it.
  auto OnTooManyAtCold(const std::string& aId) -> void;
  /// Checks what can only be said when all has ended.
  auto Close() -> void;

  [[nodiscard]] auto Broken() const -> std::vector<std::string>;
  [[nodiscard]] auto Summary() const -> std::string;
  [[nodiscard]] auto Served() const -> std::int64_t;

  /// The body that a target gives to an attempt.
  static auto BodyOf(const std::string& aId) -> std::string;
  static auto EventsOf(const std::string& aId, int aAfter) -> std::string;
};

} // namespace burdockring

#endif
