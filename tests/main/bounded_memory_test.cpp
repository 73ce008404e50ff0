#include "support/forward_process.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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

  auto ResidentKb() -> int
  {
    std::ifstream status(ProcFolder() + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmRSS:")) {
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

} // namespace
} // namespace burdockring
