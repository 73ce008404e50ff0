#include "soak/soak_callers.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <optional>
#include <sys/socket.h>
#include <sys/time.h>

namespace burdockring {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int kAnswerSeconds = 4;
constexpr auto kPause = std::chrono::milliseconds(4);
constexpr auto kPauseAfterFailure = std::chrono::milliseconds(30);

struct KindRow
{
  SoakKind kind_;
  const char* path_;
};

constexpr std::array kKinds{ KindRow{ SoakKind::kSafe, "/safe/x" },
                             KindRow{ SoakKind::kOnce, "/once/x" },
                             KindRow{ SoakKind::kStream, "/talk/x" } };

/// One connection of a caller, opened anew when it breaks.
class CallerLink
{
  asio::io_context context_;
  std::optional<asio::ip::tcp::socket> socket_;
  std::uint16_t port_;

  auto Open() -> bool
  {
    socket_.emplace(context_);
    boost::system::error_code error;
    socket_->connect({ asio::ip::address_v4::loopback(), port_ }, error);
    const timeval wait{ kAnswerSeconds, 0 };
    setsockopt(socket_->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &wait,
               sizeof(wait));
    if (error) {
      socket_.reset();
    }
    return !error;
  }

public:
  explicit CallerLink(std::uint16_t aPort)
    : port_(aPort)
  {
  }

  auto Ask(const std::string& aBytes) -> SoakAnswer
  {
    if (!socket_ && !Open()) {
      return {};
    }
    boost::system::error_code error;
    asio::write(*socket_, asio::buffer(aBytes), error);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!error) {
      http::read(*socket_, buffer, parser, error);
    }
    if (error) {
      socket_.reset();
      return {};
    }
    const auto message = parser.release();
    if (!message.keep_alive()) {
      socket_.reset();
    }
    return { static_cast<int>(message.result_int()), message.body() };
  }
};

} // namespace

auto SoakCallers::Run(int aCaller) -> void
{
  const auto& options = fleet_->Options();
  std::mt19937 random(options.seed_ * 1000 +
                      static_cast<std::uint32_t>(aCaller));
  CallerLink link(fleet_->CallerPort(aCaller % options.routers_));
  for (int i = 0; !stop_; ++i) {
    const auto& kind = kKinds.at(random() % kKinds.size());
    const bool second = random() % 3 == 0;
    const auto id = fmt::format("a{}-{}", aCaller, i);
    book_->OnSent(id, kind.kind_, second && fleet_->IsRevoked());
    const auto answer =
      link.Ask(fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {}\r\n"
                           "X-Deadline-Ms: 2500\r\nAuthorization: Token {}\r\n"
                           "Content-Length: 4\r\n\r\nbody",
                           kind.path_, id, second ? "k2" : "k1"));
    book_->OnAnswer(id, answer);
    std::this_thread::sleep_for(answer.status_ == 200 ? kPause
                                                      : kPauseAfterFailure);
  }
}

SoakCallers::SoakCallers(SoakFleet* aFleet, PromiseBook* aBook)
  : fleet_(aFleet)
  , book_(aBook)
{
  for (int i = 0; i < fleet_->Options().callers_; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

SoakCallers::~SoakCallers()
{
  Stop();
}

auto SoakCallers::Stop() -> void
{
  stop_ = true;
  for (auto& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

} // namespace burdockring
