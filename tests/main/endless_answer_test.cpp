#include "support/forward_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

namespace burdockring {
namespace {

namespace asio = boost::asio;

/// A target whose bytes have no end, and where.
struct EndlessCase
{
  const char* name_;
  const char* route_;
  std::string head_;
  std::string piece_;
};

auto operator<<(std::ostream& aStream, const EndlessCase& aCase)
  -> std::ostream&
{
  return aStream << aCase.name_;
}

const std::string kSigned = "X-Attempt-Id: a1\r\nX-Response-Stamp: sig\r\n";

auto Cases() -> std::vector<EndlessCase>
{
  const std::string filler(32U << 10U, 'x');
  const std::string chunked =
    "HTTP/1.1 200 OK\r\n" + kSigned + "Transfer-Encoding: chunked\r\n\r\n";
  return {
    { "Head", "once", "HTTP/1.1 200 OK\r\nX-Long: ", filler },
    { "Fields", "once", "HTTP/1.1 200 OK\r\n", "X-Field: " + filler + "\r\n" },
    { "InterimHeads", "once", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "ChunkHeader", "once", chunked + "5;a=", filler },
    { "Trailer", "once", chunked + "0\r\nX-Long: ", filler },
    { "Body", "once", "HTTP/1.1 200 OK\r\n" + kSigned + "\r\n", filler },
    { "OtherAnswer", "once",
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Stamp: sig\r\n"
      "Content-Length: 9000000000\r\n\r\n",
      filler },
    { "Refusal", "once",
      "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: a1\r\n\r\n",
      filler },
    { "Event", "talk",
      "HTTP/1.1 200 OK\r\n" + kSigned +
        "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
      filler },
  };
}

class EndlessAnswerTest
  : public ForwardProcess
  , public testing::WithParamInterface<EndlessCase>
{
protected:
  static constexpr int kCallers = 50;
  /// Half of the smallest VM that the routers are meant for.
  static constexpr int kMostMemoryKb = 80 * 1024;

  /// The most memory that the router ever had, in KB.
  auto PeakMemory() -> int
  {
    std::ifstream status("/proc/" + std::to_string(process_.Id()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stoi(line.substr(line.find_first_of("0123456789")));
      }
    }
    return 0;
  }

  /// Asks and takes what comes, without keeping it, until the router closes.
  static auto AskAndDrop(const std::string& aRoute) -> std::string
  {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({ asio::ip::make_address("127.0.0.1"), kCallerPort }, error);
    asio::write(socket,
                asio::buffer("POST /" + aRoute +
                             "/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
                             "X-Deadline-Ms: 1500\r\nConnection: close\r\n"
                             "Content-Length: 0\r\n\r\n"),
                error);
    std::string first;
    std::vector<char> bytes(64U << 10U);
    while (!error) {
      const auto size = socket.read_some(asio::buffer(bytes), error);
      if (first.size() < 64) {
        first.append(bytes.data(), size);
      }
    }
    return first;
  }
};

TEST_P(EndlessAnswerTest, EndsForEveryCallerWithinBoundedMemory)
{
  const auto& endless = GetParam();
  SetScripts([&](const std::string&) {
    ScriptedAnswer answer{ endless.head_, true, { endless.piece_ }, 0us };
    answer.endless_ = true;
    return answer;
  });
  const auto began = std::chrono::steady_clock::now();
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] { AskAndDrop(endless.route_); });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  // All have their ends with the deadline, on a machine of any speed.
  EXPECT_LT(std::chrono::steady_clock::now() - began, 8s);
  EXPECT_LT(PeakMemory(), kMostMemoryKb);
  SetScripts([](const std::string& aRequest) {
    return ScriptedAnswer{ Good(aRequest, "whole"), false };
  });
  EXPECT_TRUE(WaitUntil([] { return Status(Ask("/once/x")) == "200"; }));
}

INSTANTIATE_TEST_SUITE_P(Places,
                         EndlessAnswerTest,
                         testing::ValuesIn(Cases()),
                         [](const testing::TestParamInfo<EndlessCase>& aInfo) {
                           return std::string(aInfo.param.name_);
                         });

using EndlessRefusalTest = ForwardProcess;

TEST_F(EndlessRefusalTest, CallerIsToldAtOnceThatNothingRan)
{
  SetScripts([](const std::string&) {
    ScriptedAnswer answer{
      "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: a1\r\n\r\n",
      true,
      { std::string(32U << 10U, 'x') },
      0us
    };
    answer.endless_ = true;
    return answer;
  });
  const auto answer = Ask("/once/x", "b", "X-Deadline-Ms: 60000\r\n");
  EXPECT_EQ(Status(answer), "503");
  EXPECT_FALSE(RawField(answer, "Retry-After").empty());
}

} // namespace
} // namespace burdockring
