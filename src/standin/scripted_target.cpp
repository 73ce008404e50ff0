#include "standin/scripted_target.h"

#include "connection/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>
#include <utility>

namespace burdockring {
namespace {

namespace asio = boost::asio;

auto BodyLength(const std::string& aHeader) -> std::size_t
{
  const auto length = RawField(aHeader, "Content-Length");
  return length.empty() ? 0 : std::stoul(length);
}

} // namespace

auto ScriptedTarget::Serve() -> asio::awaitable<void>
{
  for (;;) {
    auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
    asio::co_spawn(context_, ServeOne(std::move(socket)), asio::detached);
  }
}

auto ScriptedTarget::TakeAnswer(std::string aRequest) -> ScriptedAnswer
{
  const std::lock_guard lock(mutex_);
  auto answer = script_(aRequest);
  if (keepsRequests_) {
    requests_.push_back(std::move(aRequest));
  }
  return answer;
}

auto ScriptedTarget::AwaitedBytes(const std::string& aHeader) -> std::size_t
{
  const std::lock_guard lock(mutex_);
  return aHeader.size() + (answersAtHeads_ ? 0 : BodyLength(aHeader));
}

auto ScriptedTarget::ServeOne(asio::ip::tcp::socket aSocket)
  -> asio::awaitable<void>
{
  boost::system::error_code error;
  aSocket.set_option(asio::ip::tcp::no_delay(true), error);
  const auto token = [&error] {
    return asio::redirect_error(asio::use_awaitable, error);
  };
  std::string buffer;
  for (bool isReused = false;; isReused = true) {
    const auto header = co_await asio::async_read_until(
      aSocket, asio::dynamic_buffer(buffer), "\r\n\r\n", token());
    if (error) {
      co_return;
    }
    const auto length = AwaitedBytes(buffer.substr(0, header));
    if (buffer.size() < length) {
      co_await asio::async_read(aSocket, asio::dynamic_buffer(buffer),
                                asio::transfer_exactly(length - buffer.size()),
                                token());
    }
    auto answer = TakeAnswer(buffer.substr(0, length));
    buffer.erase(0, length);
    if (isReused) {
      answer.bytes_ = answer.beforeOnReuse_ + answer.bytes_;
    }
    co_await asio::async_write(aSocket, asio::buffer(answer.bytes_), token());
    do {
      for (const auto& piece : answer.later_) {
        asio::steady_timer timer(context_, answer.pause_);
        co_await timer.async_wait(token());
        co_await asio::async_write(aSocket, asio::buffer(piece), token());
      }
    } while (answer.endless_ && !error);
    if (answer.reset_) {
      // The destructor would take the option back and close in order.
      aSocket.set_option(asio::socket_base::linger(true, 0), error);
      aSocket.close(error);
      co_return;
    }
    if (answer.close_ || error) {
      co_return;
    }
  }
}

ScriptedTarget::ScriptedTarget(std::uint16_t aPort)
  : acceptor_(context_)
{
  const auto status = OpenAcceptor(&acceptor_, { "127.0.0.1", aPort });
  if (!status.ok()) {
    throw std::runtime_error(std::string(status.message()));
  }
  asio::co_spawn(context_, Serve(), asio::detached);
  thread_ = std::thread([this] { context_.run(); });
}

ScriptedTarget::~ScriptedTarget()
{
  context_.stop();
  thread_.join();
}

auto ScriptedTarget::Port() const -> std::uint16_t
{
  return acceptor_.local_endpoint().port();
}

auto ScriptedTarget::SetScript(Script aScript) -> void
{
  const std::lock_guard lock(mutex_);
  script_ = std::move(aScript);
  requests_.clear();
}

auto ScriptedTarget::TakeRequests() -> std::vector<std::string>
{
  const std::lock_guard lock(mutex_);
  return std::exchange(requests_, {});
}

auto ScriptedTarget::KeepNoRequests() -> void
{
  const std::lock_guard lock(mutex_);
  keepsRequests_ = false;
}

auto ScriptedTarget::AnswerAtHeads() -> void
{
  const std::lock_guard lock(mutex_);
  answersAtHeads_ = true;
}

auto RawField(const std::string& aMessage, const std::string& aName)
  -> std::string
{
  const auto at = aMessage.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aName.size() + 4;
  return aMessage.substr(begin, aMessage.find("\r\n", begin) - begin);
}

auto SendRaw(std::uint16_t aPort, const std::string& aBytes) -> std::string
{
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect({ asio::ip::make_address("127.0.0.1"), aPort }, error);
  if (error) {
    return {};
  }
  asio::write(socket, asio::buffer(aBytes), error);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

} // namespace burdockring
