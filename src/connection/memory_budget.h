#ifndef BURDOCKRING_CONNECTION_MEMORY_BUDGET_H
#define BURDOCKRING_CONNECTION_MEMORY_BUDGET_H

#include "process/memory/memory_pressure.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace burdockring {

/// What bytes are held for.
enum class MemoryPurpose
{
  /// A connection's own state.
  kConnection,
  /// Start lines and header fields.
  kHead,
  /// Bytes that are not yet parsed: incomplete heads, chunk headers and
  /// trailers, and requests behind the one that is served.
  kUnparsed,
  kRequestBody,
  /// Responses that wait to be complete, or for the rest of an event.
  kGathered,
  /// Responses that wait for their caller to read.
  kUnread,
};

/// Why the router gave up bytes.
enum class MemoryAction
{
  /// 503: no room for a new large body.
  kBodyRejected,
  /// 503: an incomplete request was given up for others.
  kBodyClosed,
  /// 503: an incomplete request was not read for too long.
  kBodyPaused,
  /// 408: an incomplete request made no progress.
  kBodyStalled,
  /// 400 or 431: too many fields, trailers, or framing.
  kFramingRefused,
  /// A response was cut because its caller did not read it.
  kResponseClosed,
  /// A connection was closed as soon as it was accepted.
  kConnectionRejected,
  /// A connection without a whole request was closed for new ones.
  kConnectionClosed,
};

struct MemoryPurposeRow
{
  MemoryPurpose purpose_;
  std::string_view name_;
};

struct MemoryActionRow
{
  MemoryAction action_;
  std::string_view name_;
};

inline constexpr std::array kMemoryPurposes{
  MemoryPurposeRow{ MemoryPurpose::kConnection, "connection" },
  MemoryPurposeRow{ MemoryPurpose::kHead, "head" },
  MemoryPurposeRow{ MemoryPurpose::kUnparsed, "unparsed" },
  MemoryPurposeRow{ MemoryPurpose::kRequestBody, "request_body" },
  MemoryPurposeRow{ MemoryPurpose::kGathered, "gathered" },
  MemoryPurposeRow{ MemoryPurpose::kUnread, "unread" },
};

inline constexpr std::array kMemoryActions{
  MemoryActionRow{ MemoryAction::kBodyRejected, "body_rejected" },
  MemoryActionRow{ MemoryAction::kBodyClosed, "body_closed" },
  MemoryActionRow{ MemoryAction::kBodyPaused, "body_paused" },
  MemoryActionRow{ MemoryAction::kBodyStalled, "body_stalled" },
  MemoryActionRow{ MemoryAction::kFramingRefused, "framing_refused" },
  MemoryActionRow{ MemoryAction::kResponseClosed, "response_closed" },
  MemoryActionRow{ MemoryAction::kConnectionRejected, "connection_rejected" },
  MemoryActionRow{ MemoryAction::kConnectionClosed, "connection_closed" },
};

/// Account of the bytes that a process holds for callers and targets. Used on
/// one thread.
class MemoryBudget
{
public:
  static constexpr std::size_t kReadBytes = 16U << 10U;
  using ReadBuffer = std::array<char, kReadBytes>;
  /// What a connection reads first; the rest goes into the shared buffer. Most
  /// requests and events of streams are smaller.
  using FirstBuffer = std::array<char, 1024>;

private:
  MemoryPressure pressure_;
  /// What a connection reads is parsed at once, so one buffer serves them all.
  ReadBuffer readBuffer_{};
  std::size_t held_ = 0;
  std::array<std::size_t, kMemoryPurposes.size()> byPurpose_{};
  std::array<std::int64_t, kMemoryActions.size()> actions_{};

public:
  explicit MemoryBudget(std::size_t aLimit)
    : pressure_(aLimit)
  {
  }
  MemoryBudget(const MemoryBudget&) = delete;
  auto operator=(const MemoryBudget&) -> MemoryBudget& = delete;

  auto SetLimit(std::size_t aLimit) -> void
  {
    pressure_ = MemoryPressure(aLimit);
  }
  /// Changes what is held for a purpose.
  auto Change(MemoryPurpose aPurpose, std::size_t aBefore, std::size_t aNow)
    -> void
  {
    held_ = held_ - aBefore + aNow;
    auto& bytes = byPurpose_.at(static_cast<std::size_t>(aPurpose));
    bytes = bytes - aBefore + aNow;
  }
  auto Count(MemoryAction aAction) -> void
  {
    ++actions_.at(static_cast<std::size_t>(aAction));
  }

  /// Valid until the next read of any connection.
  auto SharedReadBuffer() -> ReadBuffer& { return readBuffer_; }
  [[nodiscard]] auto Pressure() const -> const MemoryPressure&
  {
    return pressure_;
  }
  [[nodiscard]] auto Level() const -> MemoryLevel
  {
    return pressure_.LevelAt(held_);
  }
  [[nodiscard]] auto Held() const -> std::size_t { return held_; }
  [[nodiscard]] auto HeldFor(MemoryPurpose aPurpose) const -> std::size_t
  {
    return byPurpose_.at(static_cast<std::size_t>(aPurpose));
  }
  [[nodiscard]] auto Total(MemoryAction aAction) const -> std::int64_t
  {
    return actions_.at(static_cast<std::size_t>(aAction));
  }
};

/// Bytes held for one purpose by one object; given back with it.
class MemoryCharge
{
  MemoryBudget* budget_;
  MemoryPurpose purpose_;
  std::size_t bytes_ = 0;

public:
  MemoryCharge(MemoryBudget* aBudget, MemoryPurpose aPurpose)
    : budget_(aBudget)
    , purpose_(aPurpose)
  {
  }
  MemoryCharge(const MemoryCharge&) = delete;
  auto operator=(const MemoryCharge&) -> MemoryCharge& = delete;
  ~MemoryCharge() { Set(0); }

  auto Set(std::size_t aBytes) -> void
  {
    if (aBytes != bytes_) {
      budget_->Change(purpose_, std::exchange(bytes_, aBytes), aBytes);
    }
  }
  [[nodiscard]] auto Bytes() const -> std::size_t { return bytes_; }
};

} // namespace burdockring

#endif
