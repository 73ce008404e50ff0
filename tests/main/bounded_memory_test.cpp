#include "support/forward_process.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <filesystem>
#include <vector>

namespace burdockring {
namespace {

namespace asio = boost::asio;

/// Clients that each send a start and then the same piece again and again,
/// without ever completing the request.
struct HostileLoad
{
  const char* name_;
  int clients_;
  std::string start_;
  std::string piece_;
  int pieces_;
};

auto operator<<(std::ostream& aStream, const HostileLoad& aLoad)
  -> std::ostream&
{
  return aStream << aLoad.name_;
}

auto Repeat(const std::string& aText, int aTimes) -> std::string
{
  std::string all;
  for (int i = 0; i < aTimes; ++i) {
    all += aText;
  }
  return all;
}

constexpr int kClients = 500;
/// The body limit of the stand-in's configuration is 100,000.
constexpr int kBodyBytes = 90'000;

auto Loads() -> std::vector<HostileLoad>
{
  const std::string head = "POST /once/x HTTP/1.1\r\nHost: h\r\n";
  const auto sized =
    head + "Content-Length: " + std::to_string(kBodyBytes + 1) + "\r\n\r\n";
  const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const auto field = "X-Field: " + std::string(1000, 'x') + "\r\n";
  const std::string body(kBodyBytes, 'x');
  return {
    { "EndlessTrailers", 4, chunked + "5\r\nhello\r\n0\r\n", Repeat(field, 8),
      4000 },
    { "BodiesOneByteShort", kClients, sized, body, 1 },
    { "BodiesOneByteShortInPieces", kClients, sized,
      std::string(kBodyBytes / 10, 'x'), 10 },
    { "LargeChunks", kClients, chunked + "15f91\r\n", body, 1 },
    { "ChunksOfOneByte", kClients, chunked, Repeat("1\r\nx\r\n", 3000),
      kBodyBytes / 3000 },
  };
}

/// One connection of a load; never blocks.
class HostileClient
{
  asio::ip::tcp::socket socket_;
  std::size_t sent_ = 0;
  bool closed_ = false;

public:
  HostileClient(asio::io_context* aContext, std::uint16_t aPort)
    : socket_(*aContext)
  {
    boost::system::error_code error;
    socket_.connect({ asio::ip::make_address("127.0.0.1"), aPort }, error);
    socket_.non_blocking(true, error);
    closed_ = error.failed();
  }

  /// Sends what the connection takes of one piece; whether it took any.
  auto SendSome(const HostileLoad& aLoad) -> bool
  {
    const auto total =
      aLoad.start_.size() +
      aLoad.piece_.size() * static_cast<std::size_t>(aLoad.pieces_);
    if (closed_ || sent_ >= total) {
      return false;
    }
    const bool isInStart = sent_ < aLoad.start_.size();
    const auto& text = isInStart ? aLoad.start_ : aLoad.piece_;
    const auto at =
      isInStart ? sent_ : (sent_ - aLoad.start_.size()) % text.size();
    boost::system::error_code error;
    const auto size = socket_.write_some(asio::buffer(text) + at, error);
    sent_ += size;
    closed_ = error && error != asio::error::would_block;
    return size > 0;
  }
};

/// Looks at the router's process from outside.
class WatchedProcess : public ForwardProcess
{
protected:
  auto ProcFolder() -> std::string
  {
    return "/proc/" + std::to_string(process_.Id());
  }

  auto ResidentKb() -> int { return StatusKb("VmRSS:"); }

  /// A line of the process's status that counts kilobytes.
  auto StatusKb(const std::string& aName) -> int
  {
    std::ifstream status(ProcFolder() + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with(aName)) {
        return std::stoi(line.substr(line.find_first_of("0123456789")));
      }
    }
    return 0;
  }

  auto Descriptors() -> int
  {
    std::error_code error;
    const std::filesystem::directory_iterator all(ProcFolder() + "/fd", error);
    return static_cast<int>(std::distance(begin(all), end(all)));
  }

  /// The value of a metric; -1 if there is none.
  static auto Metric(const std::string& aName) -> long
  {
    const auto text =
      SendRaw(kFirstInternalPort + 1,
              "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const auto at = text.find("\nburdockring_" + aName + " ");
    if (at == std::string::npos) {
      return -1;
    }
    return std::stol(text.substr(text.find(' ', at)));
  }
};

/// A router on a small VM whose list of targets has 100 MB of another writer's
/// entries.
class LargeListTest : public WatchedProcess
{
protected:
  static constexpr int kMemoryMb = 120;
  static constexpr int kMostResidentKb = kMemoryMb * 1024 * 3 / 4;
  static constexpr int kEntries = 400;
  static constexpr std::size_t kEntryBytes = 250'000;

  auto SetUp() -> void override
  {
    memoryMb_ = kMemoryMb;
    ForwardProcess::SetUp();
  }

  auto ExtendConfiguration(StandinConfiguration* /*aConfiguration*/)
    -> void override
  {
    for (int i = 0; i < kEntries; ++i) {
      store_.Put(std::string(kStandinTargetTopic),
                 { "a-" + std::to_string(i), std::string(kEntryBytes, '#') });
    }
  }

  /// The most memory that the process has had.
  auto PeakResidentKb() -> int { return StatusKb("VmHWM:"); }
};

// Guards against pages that are all held until the last one has come.
TEST_F(LargeListTest, StartKeepsWithinTheMemory)
{
  EXPECT_EQ(Status(Ask("/once/x")), "200");
  EXPECT_LT(PeakResidentKb(), kMostResidentKb);
}

/// A router on a small VM. The loads took 77 to 137 MB before the process
/// counted what it holds for clients.
class BoundedMemoryTest
  : public WatchedProcess
  , public testing::WithParamInterface<HostileLoad>
{
protected:
  static constexpr int kMemoryMb = 64;
  /// Three quarters of the VM's memory; the rest is for its system.
  static constexpr int kMostResidentKb = kMemoryMb * 1024 * 3 / 4;
  /// Connections to the store, targets and peers, and listeners.
  static constexpr int kOtherDescriptors = 64;

  auto SetUp() -> void override
  {
    memoryMb_ = kMemoryMb;
    ForwardProcess::SetUp();
  }
};

TEST_P(BoundedMemoryTest, ProcessLivesAndServesUnderLoad)
{
  const auto& load = GetParam();
  asio::io_context context;
  std::vector<HostileClient> clients;
  for (int i = 0; i < load.clients_; ++i) {
    clients.emplace_back(&context, kCallerPort);
  }
  int mostResident = 0;
  int mostDescriptors = 0;
  // Rounds without progress after which the router takes nothing more.
  constexpr int kIdleRounds = 100;
  for (int idle = 0; idle < kIdleRounds && process_.IsRunning();) {
    bool progress = false;
    for (auto& client : clients) {
      progress = client.SendSome(load) || progress;
    }
    mostResident = std::max(mostResident, ResidentKb());
    mostDescriptors = std::max(mostDescriptors, Descriptors());
    idle = progress ? 0 : idle + 1;
    if (!progress) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  EXPECT_TRUE(process_.IsRunning());
  EXPECT_LT(mostResident, kMostResidentKb);
  EXPECT_LT(mostDescriptors, load.clients_ + kOtherDescriptors);
  // The clients are still connected.
  EXPECT_TRUE(WaitUntil([] { return Status(Ask("/once/x")) == "200"; }));
  EXPECT_EQ(Seen().size(), 1U) << "an incomplete request reached a target";
  clients.clear();
  EXPECT_TRUE(WaitUntil([&] { return Descriptors() < kOtherDescriptors; }));
  RecordProperty("most_resident_kb", mostResident);
  RecordProperty("most_descriptors", mostDescriptors);
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         BoundedMemoryTest,
                         testing::ValuesIn(Loads()),
                         [](const testing::TestParamInfo<HostileLoad>& aInfo) {
                           return std::string(aInfo.param.name_);
                         });

/// A router with 200 places for callers, and clients that hold them.
class CrowdTest : public WatchedProcess
{
protected:
  static constexpr int kCrowd = 400;
  static constexpr int kCallers = 20;
  /// Time that a target takes for a path with "long".
  static constexpr Duration kLongAnswer = 2500ms;
  /// Pieces that the steady client sends, one in 100 ms.
  static constexpr int kPieces = 25;

  asio::io_context context_;
  std::vector<asio::ip::tcp::socket> crowd_;

  auto SetUp() -> void override
  {
    maxDescriptors_ = 400;
    ForwardProcess::SetUp();
  }

  auto Connect(const std::string& aStart) -> asio::ip::tcp::socket
  {
    asio::ip::tcp::socket socket(context_);
    boost::system::error_code error;
    socket.connect({ asio::ip::make_address("127.0.0.1"), kCallerPort }, error);
    asio::write(socket, asio::buffer(aStart), error);
    return socket;
  }

  /// Adds clients until the router has no place left.
  auto AddCrowd(const std::string& aStart) -> void
  {
    for (int i = 0; i < kCrowd; ++i) {
      crowd_.push_back(Connect(aStart));
    }
  }

  static auto CountServed() -> int
  {
    int served = 0;
    for (int i = 0; i < kCallers; ++i) {
      served += Status(Ask("/once/x")) == "200" ? 1 : 0;
    }
    return served;
  }

  static auto ReadAll(asio::ip::tcp::socket* aSocket) -> std::string
  {
    std::string answer;
    boost::system::error_code error;
    asio::read(*aSocket, asio::dynamic_buffer(answer), error);
    return answer;
  }
};

const std::string kChunkedHead = "POST /once/x HTTP/1.1\r\nHost: h\r\n"
                                 "X-Attempt-Id: a1\r\nConnection: close\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

// Guards against clients that hold all places and send nothing: the router said
// that it was ready and closed each new connection for the idle timeout.
TEST_F(CrowdTest, StalledRequestsMakeRoomForCallers)
{
  AddCrowd(kChunkedHead + "5\r\nhello\r\n");
  EXPECT_TRUE(WaitUntil([] { return Status(Ask("/once/x")) == "200"; }));
  EXPECT_EQ(CountServed(), kCallers);
  EXPECT_EQ(ReadAll(&crowd_.front()).substr(9, 3), "503");
  EXPECT_GT(Metric("memory_actions_total{action=\"connection_closed\"}"), 0);
}

TEST_F(CrowdTest, UnusedConnectionsMakeRoomForCallers)
{
  AddCrowd("");
  EXPECT_TRUE(WaitUntil([] { return Status(Ask("/once/x")) == "200"; }));
  EXPECT_EQ(CountServed(), kCallers);
}

// Guards against a steady client, or a request that a target works on, that
// ends for its place while others send nothing.
TEST_F(CrowdTest, SteadyClientsAndWholeRequestsStay)
{
  SetScripts([](const std::string& aRequest) {
    ScriptedAnswer answer{ Good(aRequest, "whole") };
    if (aRequest.find("long") != std::string::npos) {
      answer = { "", false, { answer.bytes_ }, kLongAnswer };
    }
    return answer;
  });
  // On a thread of its own, so that it is steady however slow the others are.
  std::string steadyAnswer;
  std::thread steady([&] {
    auto socket = Connect(kChunkedHead);
    boost::system::error_code error;
    for (int i = 0; i < kPieces && !error; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      asio::write(socket, asio::buffer(std::string("1\r\nx\r\n")), error);
    }
    EXPECT_FALSE(error);
    asio::write(socket, asio::buffer(std::string("0\r\n\r\n")), error);
    steadyAnswer = ReadAll(&socket);
  });
  auto whole = Connect("POST /once/long HTTP/1.1\r\nHost: h\r\n"
                       "X-Attempt-Id: a1\r\nX-Deadline-Ms: 8000\r\n"
                       "Connection: close\r\nContent-Length: 0\r\n\r\n");
  AddCrowd(kChunkedHead + "5\r\nhello\r\n");
  EXPECT_TRUE(WaitUntil([] { return Status(Ask("/once/x")) == "200"; }));
  EXPECT_EQ(CountServed(), kCallers);
  steady.join();
  EXPECT_EQ(Status(steadyAnswer), "200");
  EXPECT_EQ(Status(ReadAll(&whole)), "200");
}

class StalledBodyTest : public ForwardProcess
{
protected:
  auto SetUp() -> void override
  {
    idleTimeout_ = 600ms;
    ForwardProcess::SetUp();
  }
};

// Guards against bodies that keep their connection and memory for ever, and
// against an end that does not say that nothing has run.
TEST_F(StalledBodyTest, BodyWithoutProgressEndsAsNotRun)
{
  const auto answer = SendRaw(
    kCallerPort,
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\nstart");
  EXPECT_EQ(Status(answer), "408");
  EXPECT_TRUE(Seen().empty());
}

TEST_F(StalledBodyTest, BodyInChunksWithoutProgressEndsAsNotRun)
{
  const auto answer =
    SendRaw(kCallerPort, "POST /once/x HTTP/1.1\r\nHost: h\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n5\r\nstart");
  EXPECT_EQ(Status(answer), "408");
  EXPECT_TRUE(Seen().empty());
}

// Guards against a time limit that cuts slow but steady callers.
TEST_F(StalledBodyTest, BodyThatProgressesIsServedHoweverLongItTakes)
{
  constexpr int kPieces = 9;
  const std::string piece(10'000, 'x');
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({ asio::ip::make_address("127.0.0.1"), kCallerPort });
  asio::write(socket, asio::buffer("POST /once/x HTTP/1.1\r\nHost: h\r\n"
                                   "X-Attempt-Id: a1\r\nConnection: close\r\n"
                                   "Content-Length: " +
                                   std::to_string(kPieces * piece.size()) +
                                   "\r\n\r\n"));
  for (int i = 0; i < kPieces; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    asio::write(socket, asio::buffer(piece));
  }
  std::string answer;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  EXPECT_EQ(Status(answer), "200");
}

/// Callers that ask for a long response and do not read it.
class SlowReaderTest : public WatchedProcess
{
protected:
  static constexpr std::size_t kAnswerBytes = 30U << 20U;

  asio::io_context context_;

  auto SetLongAnswers() -> void
  {
    SetScripts([](const std::string& aRequest) {
      return ScriptedAnswer{ Good(aRequest, std::string(kAnswerBytes, 'x')) };
    });
  }

  auto AskWithoutReading() -> asio::ip::tcp::socket
  {
    asio::ip::tcp::socket socket(context_);
    socket.connect({ asio::ip::make_address("127.0.0.1"), kCallerPort });
    asio::write(socket, asio::buffer(std::string(
                          "GET /once/x HTTP/1.1\r\nHost: h\r\n"
                          "X-Attempt-Id: a1\r\nX-Deadline-Ms: 20000\r\n"
                          "Connection: close\r\n\r\n")));
    return socket;
  }
};

class SlowReaderWithRoomTest : public SlowReaderTest
{
protected:
  auto SetUp() -> void override
  {
    memoryMb_ = 512;
    SlowReaderTest::SetUp();
  }
};

// Guards against a target that cuts off a response because a slow caller kept
// the router from reading it, though there was memory for it.
TEST_F(SlowReaderWithRoomTest, TargetIsReadToItsEnd)
{
  SetLongAnswers();
  auto socket = AskWithoutReading();
  // The kernel's buffers of both connections hold part of the response.
  EXPECT_TRUE(WaitUntil([] {
    return Metric("memory_held_bytes{purpose=\"unread\"}") >
             static_cast<long>(kAnswerBytes / 2) &&
           Metric("requests_open") == 0;
  }));
  std::string answer;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  EXPECT_EQ(Status(answer), "200");
  EXPECT_GT(answer.size(), kAnswerBytes);
}

class SlowReaderWithoutRoomTest : public SlowReaderTest
{
protected:
  static constexpr int kMemoryMb = 64;
  static constexpr int kMostResidentKb = kMemoryMb * 1024 * 3 / 4;
  static constexpr int kCallers = 20;

  auto SetUp() -> void override
  {
    memoryMb_ = kMemoryMb;
    SlowReaderTest::SetUp();
  }
};

// Guards against unread responses that take the process over its memory.
TEST_F(SlowReaderWithoutRoomTest, ProcessLivesAndServes)
{
  SetLongAnswers();
  std::vector<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < kCallers; ++i) {
    sockets.push_back(AskWithoutReading());
  }
  int mostResident = 0;
  for (int i = 0; i < 100; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    mostResident = std::max(mostResident, ResidentKb());
  }
  EXPECT_TRUE(process_.IsRunning());
  EXPECT_LT(mostResident, kMostResidentKb);
  SetScripts([](const std::string& aRequest) {
    return ScriptedAnswer{ Good(aRequest, "whole") };
  });
  EXPECT_TRUE(WaitUntil([] { return Status(Ask("/once/x")) == "200"; }));
}

class SmallBufferTest : public WatchedProcess
{
protected:
  auto SetUp() -> void override
  {
    memoryMb_ = 512;
    WatchedProcess::SetUp();
    std::ifstream file(settings_);
    std::string text(std::istreambuf_iterator<char>(file), {});
    const std::string limits = "\"limits\":{";
    text.insert(text.find(limits) + limits.size(), "\"bufferMb\":1,");
    std::ofstream(settings_) << text;
    process_.Signal(SIGHUP);
    ASSERT_TRUE(WaitUntil([] { return Metric("memory_limit_bytes") == kMb; }));
  }

  static constexpr long kMb = 1L << 20U;
};

// Guards against a connection that was paused as its response ended, and then
// is not read for the next request.
TEST_F(SmallBufferTest, PausedTargetConnectionIsReadAgain)
{
  SetScripts([](const std::string& aRequest) {
    return ScriptedAnswer{ Good(aRequest,
                                std::string((256U << 10U) + 1, 'x')) };
  });
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(Status(Ask("/once/x", "b", "X-Deadline-Ms: 2000\r\n")), "200");
  }
}

TEST_F(SmallBufferTest, BodyThatDoesNotFitIsToldAsNotRun)
{
  // Within the body limit, but beyond what may be held besides.
  std::vector<std::thread> callers;
  std::atomic<int> others{ 0 };
  std::atomic<int> refused{ 0 };
  for (int i = 0; i < 30; ++i) {
    callers.emplace_back([&] {
      const auto status = Status(Ask("/once/x", std::string(100'000, 'x')));
      refused += status == "503" ? 1 : 0;
      others += status != "503" && status != "200" ? 1 : 0;
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(others, 0);
  EXPECT_EQ(static_cast<int>(Seen().size()), 30 - refused);
  EXPECT_EQ(Status(Ask("/once/x", std::string(100'000, 'x'))), "200");
}

class LargestRequestTest : public ForwardProcess
{
protected:
  static constexpr std::size_t kBodyBytes = 4'194'304;

  auto SetUp() -> void override
  {
    memoryMb_ = 64;
    bodyBytes_ = kBodyBytes;
    ForwardProcess::SetUp();
  }
};

// Guards against a budget that keeps out a request within the documented
// limits.
TEST_F(LargestRequestTest, IsServedOnASmallVm)
{
  const std::string body(kBodyBytes, 'x');
  EXPECT_EQ(Status(Ask("/once/x", body)), "200");
  EXPECT_EQ(
    Status(SendRaw(kCallerPort, "POST /once/x HTTP/1.1\r\nHost: h\r\n"
                                "X-Attempt-Id: a1\r\nConnection: close\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n400000\r\n" +
                                  body + "\r\n0\r\n\r\n")),
    "200");
  const auto seen = Seen();
  ASSERT_EQ(seen.size(), 2U);
  for (const auto& request : seen) {
    EXPECT_TRUE(request.ends_with("\r\n\r\n" + body));
  }
}

// Guards against a limit on the number of fields that a header within its own
// limit meets.
TEST_F(LargestRequestTest, HeaderOfManyShortFieldsIsServed)
{
  constexpr int kFields = 1000;
  std::string fields;
  for (int i = 0; i < kFields; ++i) {
    fields += "f" + std::to_string(i) + ": 1\r\n";
  }
  EXPECT_EQ(
    Status(SendRaw(kCallerPort, "POST /once/x HTTP/1.1\r\nHost: h\r\n"
                                "X-Attempt-Id: a3\r\nConnection: close\r\n" +
                                  fields + "Content-Length: 1\r\n\r\nx")),
    "200");
}

// Guards against a limit on framing that keeps out small chunks, which no
// documented limit forbids.
TEST_F(LargestRequestTest, BodyInChunksOfOneByteIsServed)
{
  constexpr int kChunks = 60'000;
  std::string chunks;
  for (int i = 0; i < kChunks; ++i) {
    chunks += "1\r\nx\r\n";
  }
  EXPECT_EQ(
    Status(SendRaw(kCallerPort, "POST /once/x HTTP/1.1\r\nHost: h\r\n"
                                "X-Attempt-Id: a2\r\nConnection: close\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n" +
                                  chunks + "0\r\n\r\n")),
    "200");
}

} // namespace
} // namespace burdockring
