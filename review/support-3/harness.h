#ifndef REVIEW_SUPPORT_3_HARNESS_H
#define REVIEW_SUPPORT_3_HARNESS_H

// Stand-ins of the platform's store, of engines and of clients, and real
// router processes between them, all on loopback. Each case is one program
// that includes this file. Only the C and C++ libraries are used.

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const auto kBegan = Clock::now();

inline auto NowMs() -> std::int64_t
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kBegan)
    .count();
}

inline auto SleepMs(std::int64_t aMs) -> void
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

inline auto Text(const char* aFormat, ...) -> std::string
{
  char buffer[8192];
  va_list arguments;
  va_start(arguments, aFormat);
  vsnprintf(buffer, sizeof(buffer), aFormat, arguments);
  va_end(arguments);
  return buffer;
}

/// Ends the case as one that could not run.
[[noreturn]] inline auto CannotRun(const std::string& aWhy) -> void
{
  fprintf(stderr, "cannot run: %s\n", aWhy.c_str());
  exit(2);
}

/// Lines of record.txt, with the time in milliseconds.
class Record
{
  std::mutex mutex_;
  FILE* file_;

public:
  explicit Record(const std::string& aPath)
    : file_(fopen(aPath.c_str(), "w"))
  {
    if (file_ == nullptr) {
      CannotRun("no record file");
    }
  }
  ~Record() { fclose(file_); }
  Record(const Record&) = delete;
  auto operator=(const Record&) -> Record& = delete;

  auto Line(const std::string& aText) -> void
  {
    const std::lock_guard lock(mutex_);
    fprintf(file_, "%7lld ms  %s\n", static_cast<long long>(NowMs()),
            aText.c_str());
    fflush(file_);
  }
};

inline auto Address(const std::string& aHost, int aPort) -> sockaddr_in
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

inline auto Listen(const std::string& aHost, int aPort) -> int
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const auto address = Address(aHost, aPort);
  if (bind(socket, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(socket, 1024) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

/// Whether a port can be used on all of 127.0.0.0/8, by TCP and UDP.
inline auto IsFree(int aPort) -> bool
{
  for (const int kind : { SOCK_STREAM, SOCK_DGRAM }) {
    const int socket = ::socket(AF_INET, kind | SOCK_CLOEXEC, 0);
    const auto address = Address("0.0.0.0", aPort);
    const bool isFree =
      bind(socket, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0;
    close(socket);
    if (!isFree) {
      return false;
    }
  }
  return true;
}

/// The first of so many free ports in a row.
inline auto FreePorts(int aCount) -> int
{
  static int next = 20000 + static_cast<int>(getpid() % 400) * 30;
  for (; next < 60000; next += aCount) {
    bool isFree = true;
    for (int i = 0; i < aCount; ++i) {
      isFree = isFree && IsFree(next + i);
    }
    if (isFree) {
      const int first = next;
      next += aCount;
      return first;
    }
  }
  CannotRun("no free ports");
}

/// Connects within a second, or returns -1.
inline auto Connect(const std::string& aHost, int aPort) -> int
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return -1;
  }
  const int yes = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  timeval limit{ 1, 0 };
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const auto address = Address(aHost, aPort);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

inline auto SendAll(int aSocket, const std::string& aBytes) -> bool
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Appends what comes within the time: 1 bytes, 0 the end, -1 a reset, -2
/// nothing.
inline auto ReadMore(int aSocket, std::string* aInto, std::int64_t aMs) -> int
{
  pollfd wait{ aSocket, POLLIN, 0 };
  if (poll(&wait, 1, static_cast<int>(aMs < 0 ? 0 : aMs)) <= 0) {
    return -2;
  }
  char buffer[65536];
  const auto count = recv(aSocket, buffer, sizeof(buffer), 0);
  if (count > 0) {
    aInto->append(buffer, static_cast<std::size_t>(count));
    return 1;
  }
  return count == 0 ? 0 : -1;
}

/// A message of HTTP/1.1.
struct Message
{
  std::string start_;
  std::map<std::string, std::string> fields_;
  std::string body_;

  [[nodiscard]] auto Field(const std::string& aName) const -> std::string
  {
    const auto found = fields_.find(aName);
    return found == fields_.end() ? std::string() : found->second;
  }
  [[nodiscard]] auto Status() const -> int
  {
    return start_.size() < 12 ? 0 : atoi(start_.substr(9, 3).c_str());
  }
};

inline auto Lower(std::string aText) -> std::string
{
  for (auto& letter : aText) {
    letter = static_cast<char>(tolower(letter));
  }
  return aText;
}

/// Reads the head of a message from the front of the buffer; names of fields
/// are in lower case.
inline auto TakeHead(std::string* aBuffer) -> std::optional<Message>
{
  const auto end = aBuffer->find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Message message;
  std::size_t at = 0;
  while (at < end) {
    auto next = aBuffer->find("\r\n", at);
    const auto line = aBuffer->substr(at, next - at);
    at = next + 2;
    const auto colon = line.find(':');
    if (message.start_.empty()) {
      message.start_ = line;
    } else if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.fields_[Lower(line.substr(0, colon))] = value;
    }
  }
  aBuffer->erase(0, end + 4);
  return message;
}

/// Result of reading a message.
enum class End
{
  kWhole,
  /// The connection ended; before any byte if the message has no start.
  kClosed,
  kTimeout,
};

/// Reads one message, with a length, in chunks, or without a body.
inline auto ReadMessage(int aSocket,
                        std::string* aBuffer,
                        Message* aMessage,
                        std::int64_t aMs,
                        bool aToEnd = false) -> End
{
  const auto limit = NowMs() + aMs;
  const auto more = [&] {
    const int got = ReadMore(aSocket, aBuffer, limit - NowMs());
    return got == 1 ? End::kWhole : got == -2 ? End::kTimeout : End::kClosed;
  };
  std::optional<Message> head;
  while (!(head = TakeHead(aBuffer))) {
    if (const auto end = more(); end != End::kWhole) {
      return end;
    }
  }
  *aMessage = std::move(*head);
  if (Lower(aMessage->Field("transfer-encoding")) == "chunked") {
    for (;;) {
      const auto line = aBuffer->find("\r\n");
      if (line != std::string::npos) {
        const auto size = std::strtoul(aBuffer->c_str(), nullptr, 16);
        if (aBuffer->size() >= line + 2 + size + 2) {
          aMessage->body_ += aBuffer->substr(line + 2, size);
          aBuffer->erase(0, line + 2 + size + 2);
          if (size == 0) {
            return End::kWhole;
          }
          continue;
        }
      }
      if (const auto end = more(); end != End::kWhole) {
        return end;
      }
    }
  }
  const auto length = aMessage->Field("content-length");
  if (length.empty() && aToEnd) {
    End end;
    while ((end = more()) == End::kWhole) {
    }
    aMessage->body_ = std::exchange(*aBuffer, {});
    return end;
  }
  const auto size =
    length.empty() ? 0UL : std::strtoul(length.c_str(), nullptr, 10);
  while (aBuffer->size() < size) {
    if (const auto end = more(); end != End::kWhole) {
      return end;
    }
  }
  aMessage->body_ = aBuffer->substr(0, size);
  aBuffer->erase(0, size);
  return End::kWhole;
}

inline auto Answer(int aStatus,
                   const std::string& aFields,
                   const std::string& aBody) -> std::string
{
  return Text("HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n", aStatus,
              aFields.c_str(), aBody.size()) +
         aBody;
}

/// A server with a thread for each connection. The handler gets the requests
/// of a connection one after the other, and returns whether to keep it.
class Server
{
public:
  using Handler = std::function<bool(int aSocket, const Message& aRequest)>;

private:
  std::string host_;
  int port_;
  Handler handler_;
  std::atomic<bool> stops_{ false };
  std::atomic<int> running_{ 0 };
  int listener_;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::thread thread_;

  auto Serve(int aSocket) -> void
  {
    std::string buffer;
    while (!stops_) {
      Message request;
      const auto end = ReadMessage(aSocket, &buffer, &request, 60000);
      if (end != End::kWhole || !handler_(aSocket, request)) {
        break;
      }
    }
    {
      const std::lock_guard lock(mutex_);
      sockets_.erase(aSocket);
    }
    close(aSocket);
    --running_;
  }

public:
  Server(std::string aHost, int aPort, Handler aHandler)
    : host_(std::move(aHost))
    , port_(aPort)
    , handler_(std::move(aHandler))
    , listener_(Listen(host_, port_))
  {
    if (listener_ < 0) {
      CannotRun("cannot listen on " + host_);
    }
    thread_ = std::thread([this] {
      for (;;) {
        const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (stops_) {
          if (socket >= 0) {
            close(socket);
          }
          return;
        }
        if (socket < 0) {
          SleepMs(5);
          continue;
        }
        const int yes = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        ++running_;
        {
          const std::lock_guard lock(mutex_);
          sockets_.insert(socket);
        }
        std::thread([this, socket] { Serve(socket); }).detach();
      }
    });
  }

  /// Stops listening and ends all connections.
  auto Stop() -> void
  {
    if (stops_.exchange(true)) {
      return;
    }
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
    CloseConnections();
    while (running_ > 0) {
      SleepMs(5);
    }
  }

  auto CloseConnections() -> void
  {
    const std::lock_guard lock(mutex_);
    for (const int socket : sockets_) {
      shutdown(socket, SHUT_RDWR);
    }
  }

  ~Server() { Stop(); }
  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;
};

inline auto Base64(const std::string& aBytes) -> std::string
{
  static const char* const kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) |
              (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j])
                                     : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
        i + j > aBytes.size() ? '=' : kLetters[(group >> (18U - 6U * j)) & 63U];
    }
  }
  return text;
}

/// A string in JSON, with its quotes.
inline auto Quoted(const std::string& aText) -> std::string
{
  std::string text = "\"";
  for (const char letter : aText) {
    if (letter == '"' || letter == '\\') {
      text += '\\';
    }
    text += letter;
  }
  return text + '"';
}

/// The platform's store as PROTOCOL.md describes it, as far as the routers use
/// it.
class Store
{
public:
  struct Item
  {
    std::string key_;
    std::optional<std::string> value_;
  };

private:
  std::mutex mutex_;
  std::condition_variable news_;
  std::map<std::string, std::vector<Item>> topics_;
  int era_ = 1;
  std::map<std::string, int> calls_;
  std::string host_;
  int port_;
  std::unique_ptr<Server> server_;

  static auto Query(const std::string& aTarget, const std::string& aName)
    -> std::string
  {
    auto at = aTarget.find('?');
    while (at != std::string::npos) {
      const auto next = aTarget.find('&', at + 1);
      const auto pair = aTarget.substr(at + 1, next - at - 1);
      const auto equals = pair.find('=');
      if (pair.substr(0, equals) == aName && equals != std::string::npos) {
        return Unescaped(pair.substr(equals + 1));
      }
      at = next;
    }
    return {};
  }

  static auto Unescaped(const std::string& aText) -> std::string
  {
    std::string text;
    for (std::size_t i = 0; i < aText.size(); ++i) {
      if (aText[i] == '%' && i + 2 < aText.size()) {
        text += static_cast<char>(
          std::strtoul(aText.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        text += aText[i] == '+' ? ' ' : aText[i];
      }
    }
    return text;
  }

  static auto Number(std::uint64_t aNumber, int aBytes) -> std::string
  {
    std::string bytes;
    for (int i = aBytes - 1; i >= 0; --i) {
      bytes += static_cast<char>(aNumber >> (8U * static_cast<unsigned>(i)));
    }
    return bytes;
  }

  static auto Encode(const Item& aItem) -> std::string
  {
    const auto value = aItem.value_.value_or("");
    return Number(1 + aItem.key_.size() + value.size(), 4) +
           Number(aItem.key_.size(), 1) + aItem.key_ + value;
  }

  auto Newest(const std::string& aTarget) -> std::string
  {
    constexpr std::size_t kMaxItems = 500;
    constexpr std::size_t kMaxBytes = 1U << 20U;
    const auto& topic = topics_[Query(aTarget, "topic")];
    const auto after = Query(aTarget, "after");
    std::map<std::string, std::pair<std::size_t, const Item*>> newest;
    for (std::size_t i = 0; i < topic.size(); ++i) {
      newest[topic[i].key_] = { i, &topic[i] };
    }
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (const auto& [key, item] : newest) {
      if (key <= after || !item.second->value_) {
        continue;
      }
      const auto text = "{\"key\":" + Quoted(key) + ",\"value\":\"" +
                        Base64(*item.second->value_) +
                        "\",\"offset\":" + std::to_string(item.first) + "}";
      if (count == kMaxItems ||
          (count > 0 && items.size() + text.size() > kMaxBytes)) {
        more = true;
        break;
      }
      items += (count++ == 0 ? "" : ",") + text;
    }
    return "{\"items\":[" + items + "],\"more\":" + (more ? "true" : "false") +
           ",\"end\":" + std::to_string(topic.size()) + "}";
  }

  auto Handle(int aSocket, const Message& aRequest) -> bool
  {
    const auto space = aRequest.start_.find(' ');
    const auto end = aRequest.start_.rfind(' ');
    const auto target = aRequest.start_.substr(space + 1, end - space - 1);
    std::unique_lock lock(mutex_);
    int status = 200;
    std::string body;
    std::string type = "application/json";
    if (target.find(' ') != std::string::npos || space == end) {
      // A request line has two spaces.
      status = 400;
      body = "{}";
      ++calls_["malformed"];
    } else if (target.starts_with("/-/log-newest")) {
      ++calls_["newest " + Query(target, "topic")];
      body = Newest(target);
    } else if (target.starts_with("/-/log-read")) {
      ++calls_["read " + Query(target, "topic")];
      const auto& topic = topics_[Query(target, "topic")];
      const auto from =
        std::strtoul(Query(target, "from").c_str(), nullptr, 10);
      const auto wait =
        std::strtol(Query(target, "waitMs").c_str(), nullptr, 10);
      const int era = era_;
      news_.wait_for(lock, std::chrono::milliseconds(wait),
                     [&] { return topic.size() > from || era != era_; });
      if (from > topic.size()) {
        status = 410;
        body = "{\"first\":0}";
      } else {
        type = "application/octet-stream";
        body = Number(topic.size(), 8) + Number(0, 8);
        for (auto i = from; i < topic.size() && body.size() < (900U << 10U);
             ++i) {
          body += Encode(topic[i]);
        }
      }
    } else if (target.starts_with("/-/log-append")) {
      const auto name = Query(target, "topic");
      ++calls_["append " + name];
      auto& topic = topics_[name];
      const auto first = topic.size();
      std::string rest = aRequest.body_;
      if (name == "keyed.op" || name == "keyed.servers") {
        status = 403;
        rest.clear();
      }
      while (rest.size() >= 5) {
        std::size_t length = 0;
        for (int i = 0; i < 4; ++i) {
          length = (length << 8U) | static_cast<unsigned char>(rest[i]);
        }
        const auto keyBytes = static_cast<unsigned char>(rest[4]);
        Item item{ rest.substr(5, keyBytes), std::nullopt };
        if (length > 1U + keyBytes) {
          item.value_ = rest.substr(5U + keyBytes, length - 1 - keyBytes);
        }
        topic.push_back(std::move(item));
        rest.erase(0, 4 + length);
      }
      body = Text("{\"offset\":%zu,\"end\":%zu}", first, topic.size());
      news_.notify_all();
    } else {
      status = 404;
      body = "{}";
    }
    const auto fields = "Content-Type: " + type +
                        "\r\nStore-Era: " + std::to_string(era_) + "\r\n";
    lock.unlock();
    return SendAll(aSocket, Answer(status, fields, body));
  }

public:
  Store(std::string aHost, int aPort)
    : host_(std::move(aHost))
    , port_(aPort)
    , server_(std::make_unique<Server>(
        host_, port_, [this](int aSocket, const Message& aRequest) {
          return Handle(aSocket, aRequest);
        }))
  {
  }

  auto Put(const std::string& aTopic, Item aItem) -> void
  {
    const std::lock_guard lock(mutex_);
    topics_[aTopic].push_back(std::move(aItem));
    news_.notify_all();
  }

  [[nodiscard]] auto Where() const -> std::string
  {
    return host_ + ":" + std::to_string(port_);
  }

  auto Calls(const std::string& aName) -> int
  {
    const std::lock_guard lock(mutex_);
    return calls_[aName];
  }
};

/// An engine's entry in the store.
inline auto EngineEntry(const std::string& aService,
                        const std::string& aAddress,
                        const std::string& aZone,
                        int aSlots,
                        const std::string& aState = "ready") -> std::string
{
  return Text("{\"service\":%s,\"address\":%s,\"zone\":%s,\"version\":1,"
              "\"slots\":%d,\"state\":%s,\"coldLeftMs\":0,\"sequence\":1,"
              "\"born\":1700000000000}",
              Quoted(aService).c_str(), Quoted(aAddress).c_str(),
              Quoted(aZone).c_str(), aSlots, Quoted(aState).c_str());
}

/// A router's settings, as DEPLOY.md shows them.
struct RouterSettings
{
  std::string name_;
  std::string zone_ = "zone-a";
  std::string ip_;
  int frontPort_ = 0;
  int readyPort_ = 0;
  int controlPort_ = 0;
  int internalPort_ = 0;
  std::string store_;
  double cpuShare_ = 0.25;
  int memoryMb_ = 260;
  int maxFds_ = 4100;
  int drainMs_ = 2000;
};

inline auto SettingsText(const RouterSettings& aRouter) -> std::string
{
  return Text(
    "{\"nodeName\":\"%s\",\"role\":\"router\",\"machineClass\":\"front\","
    "\"serves\":[\"front\",\"control\"],\"ip\":\"%s\",\"zone\":\"%s\","
    "\"region\":\"region\",\"zones\":{\"zone-a\":\"region\",\"zone-b\":"
    "\"region\"},\"bind\":{\"front\":\"%s:%d\",\"ready\":\"%s:%d\","
    "\"control\":\"%s:%d\"},\"internalPorts\":[%d,%d],\"seedNodes\":[],"
    "\"firstStart\":true,\"faultCounted\":false,\"limits\":{\"cpuShare\":%.2f,"
    "\"cores\":1,\"memoryMb\":%d,\"maxFds\":%d,\"linkMbps\":1000.0,\"diskMb\":"
    "0},\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\","
    "\"heartbeatMs\":1200,\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,"
    "\"stableWindowMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":%d,"
    "\"graceS\":8,\"lostMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":"
    "250,\"maxSkewMs\":5000,\"failClosed\":true,\"revokeMs\":5000,"
    "\"budgetRatio\":0.2,\"budgetWindowS\":10,\"budgetSlack\":56,\"recoverS\":"
    "12,\"passMs\":120,\"againS\":10,\"quotaWindowS\":4},\"platform\":{"
    "\"address\":\"%s\",\"form\":\"log\",\"writesPerS\":400,\"readsPerS\":2000,"
    "\"parts\":8,\"appendMs\":4.0,\"recordBytes\":262144,\"callBytes\":2097152,"
    "\"keep_s\":300,\"partMb\":200,\"ttlMinMs\":1000}}",
    aRouter.name_.c_str(), aRouter.ip_.c_str(), aRouter.zone_.c_str(),
    aRouter.ip_.c_str(), aRouter.frontPort_, aRouter.ip_.c_str(),
    aRouter.readyPort_, aRouter.ip_.c_str(), aRouter.controlPort_,
    aRouter.internalPort_, aRouter.internalPort_ + 15, aRouter.cpuShare_,
    aRouter.memoryMb_, aRouter.maxFds_, aRouter.drainMs_,
    aRouter.store_.c_str());
}

/// One real router process, started as the deploy file says.
class Router
{
  RouterSettings settings_;
  std::string folder_;
  pid_t id_ = 0;

public:
  Router(RouterSettings aSettings, std::string aFolder)
    : settings_(std::move(aSettings))
    , folder_(std::move(aFolder))
  {
  }
  ~Router() { Kill(); }
  Router(const Router&) = delete;
  auto operator=(const Router&) -> Router& = delete;

  auto Start() -> void
  {
    const auto path = folder_ + "/" + settings_.name_ + ".json";
    FILE* file = fopen(path.c_str(), "w");
    if (file == nullptr) {
      CannotRun("no settings file");
    }
    fputs(SettingsText(settings_).c_str(), file);
    fclose(file);
    const auto log = folder_ + "/" + settings_.name_ + ".log";
    const auto variable = "BURDOCKRING_SETTINGS=" + path;
    id_ = fork();
    if (id_ == 0) {
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      const rlimit files{ static_cast<rlim_t>(settings_.maxFds_),
                          static_cast<rlim_t>(settings_.maxFds_) };
      setrlimit(RLIMIT_NOFILE, &files);
      const char* const program = "target/src/main/burdockring";
      const char* const arguments[] = { program, "forward", nullptr };
      const char* const variables[] = { "PATH=/usr/bin:/bin", variable.c_str(),
                                        nullptr };
      execve(program, const_cast<char* const*>(arguments),
             const_cast<char* const*>(variables));
      _exit(127);
    }
  }

  auto Signal(int aSignal) -> void
  {
    if (id_ > 0) {
      kill(id_, aSignal);
    }
  }

  auto Kill() -> void
  {
    if (id_ > 0) {
      kill(id_, SIGKILL);
      waitpid(id_, nullptr, 0);
      id_ = 0;
    }
  }

  /// Whether it runs; a process that has ended is collected.
  auto IsRunning() -> bool
  {
    if (id_ > 0 && waitpid(id_, nullptr, WNOHANG) == id_) {
      id_ = 0;
    }
    return id_ > 0;
  }

  [[nodiscard]] auto Settings() const -> const RouterSettings&
  {
    return settings_;
  }

  /// Resident memory in kilobytes.
  [[nodiscard]] auto MemoryKb() const -> long
  {
    const auto path = "/proc/" + std::to_string(id_) + "/statm";
    FILE* file = fopen(path.c_str(), "r");
    long size = 0;
    long resident = 0;
    if (file != nullptr) {
      if (fscanf(file, "%ld %ld", &size, &resident) != 2) {
        resident = 0;
      }
      fclose(file);
    }
    return resident * (sysconf(_SC_PAGESIZE) / 1024);
  }

  /// Status of the ready address, or 0.
  [[nodiscard]] auto Ready() const -> int
  {
    const int socket = Connect(settings_.ip_, settings_.readyPort_);
    if (socket < 0) {
      return 0;
    }
    std::string buffer;
    Message answer;
    const bool whole =
      SendAll(socket, "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
      ReadMessage(socket, &buffer, &answer, 500) == End::kWhole;
    close(socket);
    return whole ? answer.Status() : 0;
  }

  [[nodiscard]] auto WaitReady(std::int64_t aMs) const -> bool
  {
    for (const auto limit = NowMs() + aMs; NowMs() < limit; SleepMs(50)) {
      if (Ready() == 200) {
        return true;
      }
    }
    return false;
  }
};

/// A folder of its own under /tmp, removed at the end.
class Folder
{
  std::string path_;

public:
  Folder()
  {
    char name[] = "/tmp/review-3-XXXXXX";
    if (mkdtemp(name) == nullptr) {
      CannotRun("no temporary folder");
    }
    path_ = name;
  }
  ~Folder()
  {
    if (getenv("KEEP") == nullptr && system(("rm -rf " + path_).c_str()) != 0) {
      fprintf(stderr, "left %s\n", path_.c_str());
    }
  }
  Folder(const Folder&) = delete;
  auto operator=(const Folder&) -> Folder& = delete;
  [[nodiscard]] auto Path() const -> const std::string& { return path_; }
};

inline auto HasTrouble() -> bool
{
  const char* const value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace review

#endif
