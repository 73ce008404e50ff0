#ifndef BURDOCKRING_CONNECTION_CALLER_CONNECTION_H
#define BURDOCKRING_CONNECTION_CALLER_CONNECTION_H

#include "connection/exchange.h"
#include "connection/memory_budget.h"
#include "connection/message_reader.h"
#include "process/memory/caller_places.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace burdockring {

/// What a caller's connection needs of its server.
class CallerPort
{
public:
  CallerPort() = default;
  virtual ~CallerPort() = default;
  CallerPort(const CallerPort&) = delete;
  auto operator=(const CallerPort&) -> CallerPort& = delete;

  /// Numbers the request, remembers its exchange and starts it.
  virtual auto Begin(AnswerWriter* aWriter,
                     MessageHead aHead,
                     std::string aBody,
                     Instant aReceived) -> std::shared_ptr<Exchange> = 0;
  [[nodiscard]] virtual auto Limits() const -> CallerLimits = 0;
  virtual auto Memory() -> MemoryBudget& = 0;
  /// Closes what holds most memory without progress, if aNeeded more bytes
  /// would exceed what may be held.
  virtual auto RelieveMemory(std::size_t aNeeded) -> void = 0;
  /// Whether connections should end with the answer that they carry.
  [[nodiscard]] virtual auto IsEnding() const -> bool = 0;
};

/// A caller's connection: reads one request after the other and takes their
/// answers.
class CallerConnection
  : public AnswerWriter
  , public std::enable_shared_from_this<CallerConnection>
{
public:
  using CloseHandler = std::function<void(CallerConnection*)>;

private:
  /// Bytes of further requests that are read while one is served.
  static constexpr std::size_t kMaxAhead = 64U << 10U;
  /// The same while memory is short.
  static constexpr std::size_t kMaxAheadUnderPressure = 16U << 10U;
  /// Bytes that wait for the caller before the target is made to wait, while
  /// memory is short. Targets cut off responses that stay unread.
  static constexpr std::size_t kMaxWaiting = 256U << 10U;
  /// Space for responses that a connection keeps while it is not used.
  static constexpr std::size_t kMaxKept = 4U << 10U;

  boost::asio::ip::tcp::socket socket_;
  CallerPort* port_;
  CloseHandler onClose_;
  MemoryCharge ownCharge_;
  MemoryCharge headCharge_;
  MemoryCharge unparsedCharge_;
  MemoryCharge bodyCharge_;
  MemoryCharge unreadCharge_;
  MemoryBudget::FirstBuffer first_{};
  std::string inbound_;
  std::string outbound_;
  std::string writing_;
  std::optional<RequestReader> reader_;
  std::shared_ptr<Exchange> exchange_;
  Instant idleSince_;
  std::optional<Instant> requestSince_;
  /// When the request's body last made progress, and its size then.
  Instant progressSince_{};
  std::size_t progressAt_ = 0;
  /// When payload of the request, or space for the response, last came.
  Instant lastByte_{};
  /// When the caller last sent something.
  Instant lastRead_{};
  Instant lastWritten_{};
  /// Since when the router does not read the request, and for how long in all.
  std::optional<Instant> pausedSince_;
  Duration pausedFor_{};
  /// Whether the request's body was accepted.
  bool accepted_ = false;
  /// The response is incomplete and the connection is about to be closed.
  bool cut_ = false;
  bool reading_ = false;
  bool endAfter_ = false;
  bool takesChunks_ = true;
  bool closed_ = false;
  /// The last answer is on its way; what still comes is dropped.
  bool lingering_ = false;
  bool paused_ = false;
  bool continued_ = false;

  auto Read() -> void;
  /// Whether what is read next may be buffered, after relief if need be.
  auto HasRoomToRead() -> bool;
  auto OnRead(const boost::system::error_code& aError, std::size_t aBytes)
    -> void;
  auto Flush() -> void;
  auto Parse() -> void;
  [[nodiscard]] auto CheckHead() const -> int;
  /// Whether the caller has closed its side.
  auto HasLeft() -> bool;
  /// Updates the budget's account of the request and of the response.
  auto ChargeRequest() -> void;
  auto ChargeResponse() -> void;
  auto NoteProgress() -> void;
  /// Most bytes that the body may have.
  [[nodiscard]] auto ExpectedBody() const -> std::size_t;
  /// Whether there is room for the body, which is decided once.
  auto IsAccepted() -> bool;
  auto StartRequest() -> void;
  /// Ends an incomplete request, which has not run, and its connection.
  auto RefuseMessage(int aStatus) -> void;
  /// The same, counted as an action for lack of memory or progress.
  auto RefuseMessage(int aStatus, MemoryAction aAction) -> void;
  /// Closes the connection as soon as the current handlers have run, so that
  /// the response does not look complete.
  auto CutResponse() -> void;
  auto CheckRequestTime(Instant aNow, const CallerLimits& aLimits) -> void;
  auto Linger() -> void;
  auto Close() -> void;

public:
  CallerConnection(boost::asio::ip::tcp::socket aSocket,
                   CallerPort* aPort,
                   CloseHandler aOnClose);

  auto Start() -> void;
  /// Closes the connection where its time is up.
  auto CheckTime(Instant aNow) -> void;
  /// Closes the connection if no request has been under way for so long.
  auto CloseIfIdle(Duration aIdle) -> void;

  /// The body that is being received, if there is one.
  [[nodiscard]] auto Body(Instant aNow) const -> std::optional<BodyInProgress>;
  /// What this connection holds that can be given up, if there is something.
  [[nodiscard]] auto Holder(Instant aNow) const -> std::optional<MemoryHolder>;
  auto GiveUpMemory() -> void;
  /// The place that this connection holds without a whole request, if so.
  [[nodiscard]] auto Place(Instant aNow) const -> std::optional<PlaceHolder>;
  /// Closes the connection, an incomplete request with 503, unless bytes have
  /// come that were not read yet.
  auto GiveUpPlace() -> void;
  /// Pauses or resumes reading the request's body.
  auto SetReadPaused(bool aPaused) -> void;

  [[nodiscard]] auto TakesChunks() const -> bool override;
  [[nodiscard]] auto EndsConnection() const -> bool override;
  auto EndConnection() -> void override;
  auto Write(std::string aBytes) -> void override;
  auto Finish() -> void override;
  auto Abort() -> void override;
};

} // namespace burdockring

#endif
