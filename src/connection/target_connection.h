#ifndef BURDOCKRING_CONNECTION_TARGET_CONNECTION_H
#define BURDOCKRING_CONNECTION_TARGET_CONNECTION_H

#include "adapter/http_fetch.h"
#include "base/time.h"
#include "connection/memory_budget.h"
#include "connection/message_reader.h"
#include "process/forwarding/forwarding_node.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace burdockring {

/// Receives the events of an attempt on a connection. OnSending may be called
/// within Send; the others are called by the connection's own handlers.
class AttemptListener
{
public:
  AttemptListener() = default;
  virtual ~AttemptListener() = default;
  AttemptListener(const AttemptListener&) = delete;
  auto operator=(const AttemptListener&) -> AttemptListener& = delete;

  /// The request's first byte is about to be written.
  virtual auto OnSending(int aAttempt) -> void = 0;
  /// Returns false if the answer does not belong to the request; it is
  /// skipped then. aIsReused: the connection has served other requests, whose
  /// answers may come late.
  virtual auto OnHead(int aAttempt, const MessageHead& aHead, bool aIsReused)
    -> bool = 0;
  virtual auto OnBody(int aAttempt, std::string aBody) -> void = 0;
  /// The answer is complete.
  virtual auto OnEnd(int aAttempt) -> void = 0;
  virtual auto OnBroken(int aAttempt,
                        AttemptStage aStage,
                        std::string_view aCause) -> void = 0;
};

/// One connection to a target. Serves one attempt at a time and may be reused.
/// It is closed if an answer was abandoned, so that a late answer is not taken
/// for that of another request.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
  enum class State
  {
    kConnecting,
    kBusy,
    kIdle,
    kClosed,
  };

  /// Called once when the connection becomes idle, and once when it closes.
  using StateHandler = std::function<void(TargetConnection*)>;

private:
  static constexpr std::uint32_t kHeaderLimit = 64U << 10U;
  /// Maximum size of an incomplete chunk header or trailer.
  static constexpr std::size_t kMaxUnparsed = 64U << 10U;
  /// Maximum body bytes, and message heads, that are skipped before the answer.
  static constexpr std::size_t kMaxSkippedBytes = 256U << 10U;
  static constexpr int kMaxSkippedHeads = 16;

  boost::asio::ip::tcp::socket socket_;
  Endpoint endpoint_;
  StateHandler onState_;
  MemoryBudget* memory_;
  MemoryCharge ownCharge_;
  MemoryCharge inboundCharge_;
  MemoryBudget::FirstBuffer first_{};
  std::string inbound_;
  std::string outbound_;
  /// The request's body, shared with its exchange.
  std::shared_ptr<const std::string> body_;
  std::optional<AnswerReader> reader_;
  std::weak_ptr<AttemptListener> listener_;
  int attempt_ = 0;
  /// Whether the answer ends with its head, whatever the head states.
  bool isHeadRequest_ = false;
  State state_ = State::kConnecting;
  bool sent_ = false;
  /// Whether the connection has served other attempts.
  bool isReused_ = false;
  /// Whether the target's VM refused the connection.
  bool isRefused_ = false;
  /// Whether the target's VM acknowledged nothing for too long.
  bool timedOut_ = false;
  /// The connection's failure. The system reports it once, to the first call;
  /// later reads find no more than the end of the stream.
  boost::system::error_code failure_;
  bool writing_ = false;
  bool reading_ = false;
  bool answering_ = false;
  bool skipping_ = false;
  /// Body bytes and message heads that this attempt has skipped.
  std::size_t skippedBytes_ = 0;
  int skippedHeads_ = 0;
  bool paused_ = false;
  bool mayKeep_ = true;
  Instant since_{};
  /// How long the target keeps an idle connection.
  Duration idleLife_;

  /// Takes note of an error of any call on the socket.
  auto NoteError(const boost::system::error_code& aError) -> void;
  auto Read() -> void;
  auto OnRead(const boost::system::error_code& aError, std::size_t aBytes)
    -> void;
  auto Write() -> void;
  auto Parse() -> void;
  /// Prepares to read a head, and what belongs to it, from its beginning.
  auto StartReader() -> void;
  auto OnHead() -> bool;
  /// Whether the target may end the answer elsewhere than the reader does: its
  /// head states a body that the status or the method excludes, or chunks in
  /// HTTP/1.0, which has none (RFC 9112, 6.1).
  [[nodiscard]] auto HasDoubtfulEnd() const -> bool;
  auto OnMessageEnd() -> void;
  auto OnConnectionEnd(const boost::system::error_code& aError) -> void;
  auto Break(std::string_view aCause) -> void;

public:
  TargetConnection(boost::asio::io_context* aContext,
                   MemoryBudget* aMemory,
                   Endpoint aEndpoint,
                   StateHandler aOnState);

  /// Begins to connect.
  auto Open() -> void;
  /// Serves an attempt; the connection is new or idle.
  auto Send(int aAttempt,
            std::string aHead,
            std::shared_ptr<const std::string> aBody,
            std::weak_ptr<AttemptListener> aListener) -> void;
  /// Ends the attempt and closes without notifying the listener.
  auto Cancel() -> void;
  /// Pauses or resumes reading the answer.
  auto SetPaused(bool aPaused) -> void;
  /// Closes a connection that has taken too long to connect.
  auto CheckConnecting(Instant aNow) -> void;

  [[nodiscard]] auto GetState() const -> State;
  /// Whether the target certainly still keeps the idle connection open for a
  /// request that is sent now.
  [[nodiscard]] auto IsFresh(Instant aNow, Duration aMaxIdle) const -> bool;
};

} // namespace burdockring

#endif
