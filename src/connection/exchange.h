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

/// How one request went, for the metrics.
struct ExchangeTiming
{
  std::string account_;
  std::string route_;
  Duration firstByte_{};
  Duration total_{};
  int status_ = 0;
  bool whole_ = false;
};

/// What an exchange needs of the process that it runs in.
class ForwardingPort
{
public:
  ForwardingPort() = default;
  virtual ~ForwardingPort() = default;
  ForwardingPort(const ForwardingPort&) = delete;
  auto operator=(const ForwardingPort&) -> ForwardingPort& = delete;

  virtual auto Node() -> ForwardingNode& = 0;
  /// Carries out what the node has decided.
  virtual auto Settle() -> void = 0;
  virtual auto Targets() -> TargetPool& = 0;
  [[nodiscard]] virtual auto Adapter() const -> const ProtocolAdapter& = 0;
  [[nodiscard]] virtual auto Log() -> EventLog& = 0;
  virtual auto Record(const ExchangeTiming& aTiming) -> void = 0;
  /// Forgets a request that has ended.
  virtual auto Release(RequestId aRequest) -> void = 0;
};

/// Takes an answer's bytes to the caller.
class AnswerWriter
{
public:
  AnswerWriter() = default;
  virtual ~AnswerWriter() = default;
  AnswerWriter(const AnswerWriter&) = delete;
  auto operator=(const AnswerWriter&) -> AnswerWriter& = delete;

  /// Whether the caller understands chunks.
  [[nodiscard]] virtual auto TakesChunks() const -> bool = 0;
  /// Whether the connection ends with this answer; its header then says so.
  [[nodiscard]] virtual auto EndsConnection() const -> bool = 0;
  /// Ends the connection with this answer, so that the caller goes elsewhere.
  virtual auto EndConnection() -> void = 0;
  virtual auto Write(std::string aBytes) -> void = 0;
  /// The answer is complete.
  virtual auto Finish() -> void = 0;
  /// Closes the connection, so that what was sent can't pass for complete.
  virtual auto Abort() -> void = 0;
};

/// One request from its reading to its last byte: carries out the attempts
/// that the node orders and passes the answer on.
///
/// An answer other than a stream is gathered whole before its first byte goes
/// on, so that one that breaks can be told from a whole one. Of a stream, whole
/// events go on as they come.
class Exchange
  : public AttemptListener
  , public std::enable_shared_from_this<Exchange>
{
  /// Answers longer than this are passed on as they come.
  static constexpr std::size_t kMaxGathered = 256U << 10U;
  /// Most of a refusal's body that is awaited.
  static constexpr std::size_t kMaxRefusal = 64U << 10U;

  enum class Mode
  {
    /// No answer yet, or it is not to be passed on.
    kNone,
    kRefused,
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
  std::string body_;
  std::shared_ptr<TargetConnection> connection_;
  int attempt_ = 0;
  Mode mode_ = Mode::kNone;
  MessageHead answer_;
  std::string gathered_;
  std::size_t refusalBytes_ = 0;
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

  [[nodiscard]] auto RequestText(const SendAttempt& aAttempt) const
    -> std::string;
  auto BeginAnswer(bool aWithLength) -> void;
  /// Says whether the caller's connection ends with this answer.
  auto AppendConnection(std::string* aText) -> void;
  auto WriteChunk(std::string aBytes) -> void;
  auto Forward(std::string aBytes) -> void;
  auto EndAnswer() -> void;
  /// Whether the events continue the stream after those already forwarded.
  [[nodiscard]] auto IsInOrder(std::string_view aEvents) const -> bool;
  auto NoteFirstByte() -> void;
  auto Fail(std::string_view aCause) -> void;
  /// The target did not run the request; nothing more is read from it.
  auto EndRefusal() -> void;
  auto RecordTiming(int aStatus, bool aWhole) -> void;

public:
  Exchange(ForwardingPort* aPort,
           AnswerWriter* aWriter,
           RequestId aId,
           MessageHead aHead,
           std::string aBody,
           Instant aReceived);

  /// Hands the request to the node.
  auto Start() -> void;
  auto Apply(const SendAttempt& aEffect) -> void;
  auto Apply(const AbortAttempt& aEffect) -> void;
  auto Apply(const FailRequest& aEffect) -> void;
  /// The caller has gone; the writer must not be used any more.
  auto OnCallerDisconnected() -> void;
  /// The caller takes no more bytes for now, or takes them again.
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
