#ifndef BURDOCKRING_STANDIN_SCRIPTED_TARGET_H
#define BURDOCKRING_STANDIN_SCRIPTED_TARGET_H

#include "base/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace burdockring {

/// What a scripted target does with a request.
struct ScriptedAnswer
{
  /// Raw bytes.
  std::string bytes_;
  /// Whether the connection ends behind them.
  bool close_ = false;
  /// More bytes, each after the pause.
  std::vector<std::string> later_ = {};
  Duration pause_{};
  /// Whether the connection's end is a reset.
  bool reset_ = false;
  /// Whether the later bytes come again and again until the caller closes.
  bool endless_ = false;
  /// Raw bytes before the answer if the connection has served a request.
  std::string beforeOnReuse_ = {};
};

/// A target that answers each request by a script, byte for byte, one
/// connection after the other's request.
class ScriptedTarget
{
public:
  using Script = std::function<ScriptedAnswer(const std::string& aRequest)>;

private:
  boost::asio::io_context context_{ 1 };
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
  std::mutex mutex_;
  Script script_;
  std::vector<std::string> requests_;
  bool keepsRequests_ = true;
  bool answersAtHeads_ = false;

  auto Serve() -> boost::asio::awaitable<void>;
  auto ServeOne(boost::asio::ip::tcp::socket aSocket)
    -> boost::asio::awaitable<void>;
  auto TakeAnswer(std::string aRequest) -> ScriptedAnswer;
  /// Bytes of the request that are read before it is answered.
  auto AwaitedBytes(const std::string& aHeader) -> std::size_t;

public:
  /// Listens on loopback; zero stands for any free port.
  explicit ScriptedTarget(std::uint16_t aPort);
  ~ScriptedTarget();

  [[nodiscard]] auto Port() const -> std::uint16_t;
  auto SetScript(Script aScript) -> void;
  /// Takes the requests so far, header and body.
  auto TakeRequests() -> std::vector<std::string>;
  /// Forgets requests at once, for long runs.
  auto KeepNoRequests() -> void;
  /// Answers a request as soon as its header has come; its body is not read, so
  /// the answer must end the connection.
  auto AnswerAtHeads() -> void;
};

/// The value of a header field in the raw bytes of a message, or empty.
auto RawField(const std::string& aMessage, const std::string& aName)
  -> std::string;

/// Sends raw bytes on a new connection to loopback and reads until the peer
/// closes.
auto SendRaw(std::uint16_t aPort, const std::string& aBytes) -> std::string;

} // namespace burdockring

#endif
