#ifndef BURDOCKRING_CONNECTION_EXCHANGE_H
#define BURDOCKRING_CONNECTION_EXCHANGE_H

#include "connection/event_splitter.h"
#include "connection/protocol_adapter.h"
#include "connection/target_pool.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace burdockring {

/// Timing and result of one request, for the metrics.
struct ExchangeTiming
{
  std::string account_;
  std::string route_;
  Duration firstByte_{};
  Duration total_{};
  int status_ = 0;
  bool whole_ = false;
};

/// Interface of an exchange to the process that it runs in.
class ForwardingPort
{
public:
  ForwardingPort() = default;
  virtual ~ForwardingPort() = default;
  ForwardingPort(const ForwardingPort&) = delete;
  auto operator=(const ForwardingPort&) -> ForwardingPort& = delete;

  virtual auto Node() -> ForwardingNode& = 0;
  /// Executes the node's effects.
  virtual auto Settle() -> void = 0;
  virtual auto Targets() -> TargetPool& = 0;
  virtual auto Memory() -> MemoryBudget& = 0;
  [[nodiscard]] virtual auto Adapter() const -> const ProtocolAdapter& = 0;
  [[nodiscard]] virtual auto Log() -> EventLog& = 0;
  virtual auto Record(const ExchangeTiming& aTiming) -> void = 0;
  /// Releases a request that has ended.
  virtual auto Release(RequestId aRequest) -> void = 0;
};

/// Writes an answer to the caller.
class AnswerWriter
{
public:
  AnswerWriter() = default;
  virtual ~AnswerWriter() = default;
  AnswerWriter(const AnswerWriter&) = delete;
  auto operator=(const AnswerWriter&) -> AnswerWriter& = delete;

  /// Whether the caller supports chunked transfer coding.
  [[nodiscard]] virtual auto TakesChunks() const -> bool = 0;
  /// Whether the connection closes after this answer, as its header says.
  [[nodiscard]] virtual auto EndsConnection() const -> bool = 0;
  /// Closes the connection after this answer, so that the caller reconnects.
  virtual auto EndConnection() -> void = 0;
  virtual auto Write(std::string aBytes) -> void = 0;
  /// The answer is complete.
  virtual auto Finish() -> void = 0;
  /// Closes the connection so that the answer does not look complete.
  virtual auto Abort() -> void = 0;
};

/// Handles one request: performs the attempts that the node decides on, and
/// forwards the answer.
///
/// An answer that is no stream is buffered until it is complete, so that a
/// broken one is not forwarded. Of a stream, each complete event is forwarded
/// at once.
class Exchange
  : public AttemptListener
  , public std::enable_shared_from_this<Exchange>
{
  /// Longer answers are forwarded without buffering.
  static constexpr std::size_t kMaxGathered = 256U << 10U;
  /// The same while memory is short.
  static constexpr std::size_t kMaxGatheredUnderPressure = 16U << 10U;
  /// Maximum size that is read of a body that is not forwarded.
  static constexpr std::size_t kMaxDiscarded = 64U << 10U;

  enum class Mode
  {
    /// No answer yet, or one that is not forwarded.
    kNone,
    kRefused,
    /// Read to its end and replaced, as its status would be untrue.
    kWithheld,
    kGather,
    kEvents,
    kBytes,
  };

  ForwardingPort* port_;
  AnswerWriter* writer_;
  RequestId id_;
  /// The caller's id of this attempt.
  std::string attemptId_;
  MessageHead head_;
  std::shared_ptr<const std::string> body_;
  MemoryCharge bodyCharge_;
  MemoryCharge gatheredCharge_;
  std::shared_ptr<TargetConnection> connection_;
  int attempt_ = 0;
  Mode mode_ = Mode::kNone;
  MessageHead answer_;
  std::string gathered_;
  std::size_t discardedBytes_ = 0;
  EventSplitter events_;
  /// Last event before the attempt, until the first of a resumed stream comes.
  std::optional<std::uint64_t> resumedAfter_;
  bool begun_ = false;
  bool firstByteSeen_ = false;
  bool done_ = false;
  Instant received_;
  Instant firstByte_{};
  std::string account_;
  std::string route_;
  bool isStream_ = false;
  /// Whether the request may run more than once.
  bool isRetryable_ = false;

  /// The head of the request to the target.
  [[nodiscard]] auto RequestHead(const SendAttempt& aAttempt) const
    -> std::string;
  [[nodiscard]] auto GatherLimit() const -> std::size_t;
  auto ChargeGathered() -> void;
  auto Take(std::string aBody) -> void;
  /// Whether an answer with this status ends with its head (RFC 9110, 6.4.1).
  [[nodiscard]] auto IsBodiless(int aStatus) const -> bool;
  /// Adds the length that the target stated for a body that it doesn't send.
  auto AppendStatedLength(std::string* aText) const -> void;
  auto BeginAnswer(bool aWithLength) -> void;
  /// Adds the Connection field if the connection closes after this answer.
  auto AppendConnection(std::string* aText) -> void;
  auto WriteChunk(std::string aBytes) -> void;
  auto Forward(std::string aBytes) -> void;
  auto EndAnswer() -> void;
  /// Whether the events continue the stream after those already forwarded.
  [[nodiscard]] auto IsInOrder(std::string_view aEvents) const -> bool;
  auto NoteFirstByte() -> void;
  auto Fail(std::string_view aCause) -> void;
  /// Drops the body of an answer that is not forwarded.
  auto Discard(std::size_t aBytes) -> void;
  /// Closes the connection if the answer has not been read to its end.
  auto CloseTarget() -> void;
  /// The target did not run the request.
  auto EndRefusal() -> void;
  /// The target may have run the request, but its status denies that.
  auto EndWithheld() -> void;
  auto RecordTiming(int aStatus, bool aWhole) -> void;

public:
  Exchange(ForwardingPort* aPort,
           AnswerWriter* aWriter,
           RequestId aId,
           MessageHead aHead,
           std::string aBody,
           Instant aReceived);

  /// Passes the request to the node.
  auto Start() -> void;
  auto Apply(const SendAttempt& aEffect) -> void;
  auto Apply(const AbortAttempt& aEffect) -> void;
  auto Apply(const FailRequest& aEffect) -> void;
  /// The caller disconnected; the writer must not be used any more.
  auto OnCallerDisconnected() -> void;
  /// Pauses or resumes reading, as the caller's buffer is full or not.
  auto SetPaused(bool aPaused) -> void;

  auto OnSending(int aAttempt) -> void override;
  auto OnHead(int aAttempt, const MessageHead& aHead, bool aIsReused)
    -> bool override;
  auto OnBody(int aAttempt, std::string aBody) -> void override;
  auto OnEnd(int aAttempt) -> void override;
  auto OnBroken(int aAttempt, AttemptStage aStage, std::string_view aCause)
    -> void override;

  [[nodiscard]] auto Id() const -> RequestId;
};

} // namespace burdockring

#endif
