#ifndef BURDOCKRING_CONNECTION_CALLER_CONNECTION_H
#define BURDOCKRING_CONNECTION_CALLER_CONNECTION_H

#include "connection/exchange.h"
#include "connection/message_reader.h"

#include <array>
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
  static constexpr std::size_t kReadBytes = 16U << 10U;
  /// Bytes of further requests that are read while one is served.
  static constexpr std::size_t kMaxAhead = 64U << 10U;
  /// Bytes that wait for the caller before the target is made to wait.
  static constexpr std::size_t kMaxWaiting = 256U << 10U;

  boost::asio::ip::tcp::socket socket_;
  CallerPort* port_;
  CloseHandler onClose_;
  std::array<char, kReadBytes> readBuffer_{};
  std::string inbound_;
  std::string outbound_;
  std::string writing_;
  std::optional<RequestReader> reader_;
  std::shared_ptr<Exchange> exchange_;
  Instant idleSince_;
  std::optional<Instant> requestSince_;
  bool reading_ = false;
  bool endAfter_ = false;
  bool takesChunks_ = true;
  bool closed_ = false;
  /// The last answer is on its way; what still comes is dropped.
  bool lingering_ = false;
  bool paused_ = false;
  bool continued_ = false;

  auto Read() -> void;
  auto OnRead(const boost::system::error_code& aError, std::size_t aBytes)
    -> void;
  auto Flush() -> void;
  auto Parse() -> void;
  [[nodiscard]] auto CheckHead() const -> int;
  /// Whether the caller has closed its side.
  auto HasLeft() -> bool;
  auto StartRequest() -> void;
  auto RefuseMessage(int aStatus) -> void;
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

  [[nodiscard]] auto TakesChunks() const -> bool override;
  [[nodiscard]] auto EndsConnection() const -> bool override;
  auto EndConnection() -> void override;
  auto Write(std::string aBytes) -> void override;
  auto Finish() -> void override;
  auto Abort() -> void override;
};

} // namespace burdockring

#endif
