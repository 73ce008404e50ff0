#ifndef BURDOCKRING_REVIEW_SUPPORT_2_HARNESS_H
#define BURDOCKRING_REVIEW_SUPPORT_2_HARNESS_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

/// Small stand-ins for the review's scripts: the platform's store, servers and
/// clients, over plain sockets on loopback, and the router as a process.
namespace review {

using SteadyClock = std::chrono::steady_clock;

inline auto Pause(double aSeconds) -> void
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

/// Writes record.txt, with the time since its start in each line.
class Record
{
  std::mutex mutex_;
  std::ofstream file_;
  SteadyClock::time_point start_ = SteadyClock::now();

public:
  explicit Record(const std::string& aPath)
    : file_(aPath)
  {
  }

  auto Line(const std::string& aText) -> void
  {
    const std::lock_guard lock(mutex_);
    const std::chrono::duration<double> passed = SteadyClock::now() - start_;
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", passed.count());
    file_ << time << aText << std::endl;
  }
};

inline auto Loopback(int aPort) -> sockaddr_in
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// A listening socket on a port of loopback (0: any); -1 if it is taken.
inline auto ListenOn(int aPort) -> int
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  auto address = Loopback(aPort);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline auto PortOf(int aFd) -> int
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(aFd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// The first of aCount ports (20 at most) that are free, below the range that
/// the system gives out by itself. The port before them stays taken while this
/// process lives, so that another one that runs beside it takes other ports.
inline auto FreePorts(int aCount) -> int
{
  constexpr int kFirst = 12000;
  constexpr int kBlock = 24;
  constexpr int kBlocks = 750;
  static int block = static_cast<int>(getpid()) % kBlocks;
  for (;;) {
    const int guard = kFirst + block * kBlock;
    block = (block + 1) % kBlocks;
    const int taken = ListenOn(guard);
    if (taken < 0) {
      continue;
    }
    bool free = true;
    for (int i = 1; i <= aCount && free; ++i) {
      const int fd = ListenOn(guard + i);
      free = fd >= 0;
      if (fd >= 0) {
        close(fd);
      }
    }
    if (free) {
      return guard + 1;
    }
    close(taken);
  }
}

/// Connects to a port of loopback; -1 if nobody listens.
inline auto ConnectTo(int aPort) -> int
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = Loopback(aPort);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline auto SendAll(int aFd, const std::string& aBytes) -> bool
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count =
      send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Reads what is there, after at most so many seconds. Empty optional: nothing
/// came. An empty text: the connection ended; aError tells how.
inline auto ReadSome(int aFd, double aSeconds, std::size_t aMost, int* aError)
  -> std::optional<std::string>
{
  pollfd entry{ aFd, POLLIN, 0 };
  if (poll(&entry, 1, static_cast<int>(aSeconds * 1000)) <= 0) {
    return std::nullopt;
  }
  std::string bytes(aMost, '\0');
  const auto count = recv(aFd, bytes.data(), bytes.size(), 0);
  *aError = count < 0 ? errno : 0;
  bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
  return bytes;
}

inline auto LowerCase(std::string aText) -> std::string
{
  for (auto& letter : aText) {
    letter =
      static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return aText;
}

/// The value of a field in a head, or empty.
inline auto FieldOf(const std::string& aHead, const std::string& aName)
  -> std::string
{
  const auto at = LowerCase(aHead).find("\r\n" + LowerCase(aName) + ":");
  if (at == std::string::npos) {
    return {};
  }
  auto begin = at + aName.size() + 3;
  while (begin < aHead.size() && aHead[begin] == ' ') {
    ++begin;
  }
  return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
}

/// A request or an answer with a stated length.
struct Message
{
  std::string head_;
  std::string body_;
};

/// Reads a message whose body has a length, or none. Bytes behind it stay in
/// aRest. Nothing if the connection ended before.
inline auto ReadMessage(int aFd, std::string* aRest, double aSeconds = 60.0)
  -> std::optional<Message>
{
  int error = 0;
  for (;;) {
    const auto end = aRest->find("\r\n\r\n");
    if (end != std::string::npos) {
      Message message;
      message.head_ = aRest->substr(0, end + 4);
      const auto length = FieldOf(message.head_, "Content-Length");
      const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
      if (aRest->size() >= end + 4 + bytes) {
        message.body_ = aRest->substr(end + 4, bytes);
        aRest->erase(0, end + 4 + bytes);
        return message;
      }
    }
    const auto more = ReadSome(aFd, aSeconds, 65536, &error);
    if (!more || more->empty()) {
      return std::nullopt;
    }
    *aRest += *more;
  }
}

/// Accepts connections on a port, each served by a thread of its own.
class Listener
{
  int fd_;
  int port_;
  std::thread thread_;
  std::mutex mutex_;
  std::vector<std::thread> served_;
  std::vector<int> open_;

public:
  explicit Listener(std::function<void(int)> aServe)
    : fd_(ListenOn(0))
    , port_(PortOf(fd_))
  {
    thread_ = std::thread([this, serve = std::move(aServe)] {
      for (;;) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          return;
        }
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        const std::lock_guard lock(mutex_);
        open_.push_back(fd);
        served_.emplace_back([serve, fd] {
          serve(fd);
          shutdown(fd, SHUT_RDWR);
        });
      }
    });
  }

  ~Listener()
  {
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    for (const int fd : open_) {
      shutdown(fd, SHUT_RDWR);
    }
    for (auto& thread : served_) {
      thread.join();
    }
    for (const int fd : open_) {
      close(fd);
    }
    close(fd_);
  }

  [[nodiscard]] auto Port() const -> int { return port_; }
};

inline auto Base64(const std::string& aBytes) -> std::string
{
  static const char* kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = (bits << 8U) |
             (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j < aBytes.size() + 1 ? kLetters[(bits >> (18 - 6 * j)) & 63U]
                                        : '=';
    }
  }
  return text;
}

/// The platform's store: topics of keyed records, newest and from an offset.
class Store
{
  struct Entry
  {
    std::string key_;
    std::string value_;
  };

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Entry>> topics_;
  bool stopping_ = false;
  Record* record_;
  std::unique_ptr<Listener> listener_;

  static auto BigEndian(std::uint64_t aNumber, int aBytes) -> std::string
  {
    std::string bytes;
    for (int i = aBytes - 1; i >= 0; --i) {
      bytes += static_cast<char>(aNumber >> (8U * static_cast<unsigned>(i)));
    }
    return bytes;
  }

  static auto Query(const std::string& aPath, const std::string& aName)
    -> std::string
  {
    const auto at = aPath.find(aName + "=");
    if (at == std::string::npos) {
      return {};
    }
    const auto begin = at + aName.size() + 1;
    return aPath.substr(begin, aPath.find('&', begin) - begin);
  }

  auto Newest(const std::string& aTopic) -> std::string
  {
    const std::lock_guard lock(mutex_);
    const auto& entries = topics_[aTopic];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      newest[entries[i].key_] = i;
    }
    std::string items;
    for (const auto& [key, at] : newest) {
      if (entries[at].value_.empty()) {
        continue;
      }
      items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key +
               "\",\"value\":\"" + Base64(entries[at].value_) +
               "\",\"offset\":" + std::to_string(at) + "}";
    }
    return "{\"items\":[" + items +
           "],\"more\":false,\"end\":" + std::to_string(entries.size()) + "}";
  }

  auto Read(const std::string& aPath) -> std::optional<std::string>
  {
    const auto from = std::stoul(Query(aPath, "from"));
    const auto wait = Query(aPath, "waitMs");
    std::unique_lock lock(mutex_);
    const auto& entries = topics_[Query(aPath, "topic")];
    if (from > entries.size()) {
      return std::nullopt;
    }
    changed_.wait_for(
      lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait)),
      [&] { return stopping_ || entries.size() > from; });
    auto bytes = BigEndian(entries.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < entries.size(); ++i) {
      const auto& entry = entries[i];
      bytes += BigEndian(1 + entry.key_.size() + entry.value_.size(), 4) +
               static_cast<char>(entry.key_.size()) + entry.key_ + entry.value_;
    }
    return bytes;
  }

  auto Append(const std::string& aTopic, std::string_view aBatch) -> void
  {
    while (aBatch.size() >= 4) {
      std::size_t length = 0;
      for (int i = 0; i < 4; ++i) {
        length = (length << 8U) | static_cast<unsigned char>(aBatch[i]);
      }
      const auto record = aBatch.substr(4, length);
      const auto key = static_cast<unsigned char>(record.at(0));
      Put(aTopic, std::string(record.substr(1, key)),
          std::string(record.substr(1U + key)));
      aBatch.remove_prefix(4 + length);
    }
  }

  auto Serve(int aFd) -> void
  {
    std::string rest;
    while (const auto request = ReadMessage(aFd, &rest, 600.0)) {
      const auto begin = request->head_.find(' ') + 1;
      const auto path =
        request->head_.substr(begin, request->head_.find(' ', begin) - begin);
      int status = 200;
      std::string body = "{}";
      if (path.starts_with("/-/log-newest")) {
        body = Newest(Query(path, "topic"));
      } else if (path.starts_with("/-/log-read")) {
        const auto read = Read(path);
        status = read ? 200 : 410;
        body = read.value_or("{\"first\":0}");
      } else if (path.starts_with("/-/log-append")) {
        Append(Query(path, "topic"), request->body_);
      } else {
        status = 404;
      }
      if (!SendAll(aFd, "HTTP/1.1 " + std::to_string(status) +
                          " Answer\r\nStore-Era: 1\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

public:
  explicit Store(Record* aRecord)
    : record_(aRecord)
    , listener_(std::make_unique<Listener>([this](int aFd) { Serve(aFd); }))
  {
  }

  ~Store()
  {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    listener_.reset();
  }

  auto Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue) -> void
  {
    record_->Line("store: " + aTopic + " " + aKey + " = " + aValue);
    {
      const std::lock_guard lock(mutex_);
      topics_[aTopic].push_back({ aKey, aValue });
    }
    changed_.notify_all();
  }

  [[nodiscard]] auto Port() const -> int { return listener_->Port(); }
};

/// A router: the command of the deploy file, with a settings file of its own.
class Router
{
  pid_t pid_ = -1;
  std::string name_;
  std::string zone_;
  std::string settings_;
  std::string log_;
  Record* record_;
  int front_;
  int ready_;
  int control_;
  int inner_;
  int storePort_;
  bool isFirst_ = true;

public:
  Router(Record* aRecord,
         std::string aName,
         std::string aZone,
         int aStorePort,
         const std::string& aFolder)
    : name_(std::move(aName))
    , zone_(std::move(aZone))
    , settings_(aFolder + "/" + name_ + ".json")
    , log_(aFolder + "/" + name_ + ".log")
    , record_(aRecord)
    , front_(FreePorts(20))
    , ready_(front_ + 1)
    , control_(front_ + 2)
    , inner_(front_ + 4)
    , storePort_(aStorePort)
  {
  }

  ~Router() { Kill(); }

  auto WriteSettings(bool aIsFirst) const -> void
  {
    const auto at = [](int aPort) {
      return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
    };
    std::ofstream(settings_)
      << "{\"nodeName\":\"" << name_ << "\",\"role\":\"router\","
      << "\"machineClass\":\"front\",\"serves\":[\"front\",\"control\"],"
      << "\"ip\":\"127.0.0.1\",\"zone\":\"" << zone_
      << "\",\"region\":\"r\",\"zones\":{\"" << zone_
      << "\":\"r\"},\"bind\":{\"front\":" << at(front_)
      << ",\"ready\":" << at(ready_) << ",\"control\":" << at(control_)
      << "},\"internalPorts\":[" << inner_ << "," << inner_ + 15
      << "],\"seedNodes\":[],\"firstStart\":" << (aIsFirst ? "true" : "false")
      << ",\"faultCounted\":false,"
      << "\"limits\":{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,"
      << "\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0},\"dataDir\":null,"
      << "\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,"
      << "\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,"
      << "\"stableWindowMs\":3000,\"ackMs\":4000,\"catchUpS\":4,"
      << "\"drainMs\":2000,\"graceS\":8,\"lostMs\":200,"
      << "\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxSkewMs\":5000,"
      << "\"failClosed\":true,\"revokeMs\":5000,\"budgetRatio\":0.2,"
      << "\"budgetWindowS\":10,\"budgetSlack\":56,\"recoverS\":12,"
      << "\"passMs\":120,\"againS\":10,\"quotaWindowS\":4},"
      << "\"platform\":{\"address\":" << at(storePort_)
      << ",\"form\":\"log\",\"writesPerS\":400,\"readsPerS\":2000}}";
  }

  auto Start() -> bool
  {
    WriteSettings(std::exchange(isFirst_, false));
    const std::string variable = "BURDOCKRING_SETTINGS=" + settings_;
    pid_ = fork();
    if (pid_ == 0) {
      const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      // The command of deploy/system.toml.
      const char* arguments[] = { "target/src/main/burdockring", "forward",
                                  nullptr };
      const char* path = "PATH=/usr/bin:/bin";
      const char* environment[] = { variable.c_str(), path, nullptr };
      execve(arguments[0], const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
      _exit(127);
    }
    record_->Line("router " + name_ + " started");
    return pid_ > 0;
  }

  auto IsReady() const -> bool
  {
    const int fd = ConnectTo(ready_);
    if (fd < 0) {
      return false;
    }
    std::string rest;
    SendAll(fd, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n");
    const auto answer = ReadMessage(fd, &rest, 1.0);
    close(fd);
    return answer && answer->head_.starts_with("HTTP/1.1 200");
  }

  auto WaitReady(double aSeconds) const -> bool
  {
    for (int i = 0; i < static_cast<int>(aSeconds * 100); ++i) {
      if (IsReady()) {
        return true;
      }
      Pause(0.01);
    }
    return false;
  }

  auto Signal(int aSignal) const -> void
  {
    if (pid_ > 0) {
      record_->Line("router " + name_ + " gets signal " +
                    std::to_string(aSignal));
      kill(pid_, aSignal);
    }
  }

  /// Whether the process runs; if it has ended, aHow says how.
  auto HasEnded(std::string* aHow) -> bool
  {
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
      return false;
    }
    *aHow = WIFSIGNALED(status)
              ? "signal " + std::to_string(WTERMSIG(status))
              : "exit code " + std::to_string(WEXITSTATUS(status));
    pid_ = -1;
    return true;
  }

  auto Kill() -> void
  {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }

  [[nodiscard]] auto Front() const -> int { return front_; }
};

/// A server's entry in the store.
inline auto ServerEntry(const std::string& aService,
                        const std::string& aZone,
                        int aPort,
                        int aSlots) -> std::string
{
  return "{\"service\":\"" + aService +
         "\",\"address\":\"127.0.0.1:" + std::to_string(aPort) +
         "\",\"zone\":\"" + aZone +
         "\",\"version\":\"1\",\"slots\":" + std::to_string(aSlots) +
         ",\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,"
         "\"born\":1780000000000}";
}

/// Whether the script shall cause the trouble.
inline auto HasTrouble() -> bool
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

} // namespace review

#endif
