#ifndef BURDOCKRING_REVIEW_SUPPORT_REVIEW_H
#define BURDOCKRING_REVIEW_SUPPORT_REVIEW_H

// Small stand-ins for the review's scripts: the platform's store, engines,
// clients, and router processes. POSIX sockets and threads only; everything is
// on 127.0.0.1.

#include <algorithm>
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
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Milliseconds since the script began, on the steady clock.
inline auto NowMs() -> double
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - start)
    .count();
}

inline auto SleepMs(double aMs) -> void
{
  if (aMs > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(aMs));
  }
}

inline auto SleepUntil(double aAt) -> void
{
  SleepMs(aAt - NowMs());
}

/// Whether the disruption is made (TROUBLE is not 0).
inline auto Trouble() -> bool
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Lines with their time, for record.txt.
class Record
{
  std::mutex mutex_;
  std::ofstream file_;

public:
  explicit Record(const std::string& aPath)
    : file_(aPath)
  {
  }

  auto Line(const char* aFormat, ...) -> void
  {
    char text[1024];
    va_list list;
    va_start(list, aFormat);
    std::vsnprintf(text, sizeof(text), aFormat, list);
    va_end(list);
    char at[32];
    std::snprintf(at, sizeof(at), "%9.1f ", NowMs());
    const std::lock_guard lock(mutex_);
    file_ << at << text << '\n';
    file_.flush();
  }
};

inline auto Lower(std::string aText) -> std::string
{
  for (auto& letter : aText) {
    letter = static_cast<char>(std::tolower(letter));
  }
  return aText;
}

/// An HTTP message; field names in lower case.
struct Message
{
  std::string startLine_;
  std::map<std::string, std::string> fields_;
  std::string body_;
  bool complete_ = false;

  [[nodiscard]] auto Field(const std::string& aName) const -> std::string
  {
    const auto found = fields_.find(aName);
    return found == fields_.end() ? std::string() : found->second;
  }
  /// Of an answer; 0 if none came.
  [[nodiscard]] auto Status() const -> int
  {
    return startLine_.size() < 12 ? 0 : std::atoi(startLine_.c_str() + 9);
  }
  /// Of a request.
  [[nodiscard]] auto Target() const -> std::string
  {
    const auto begin = startLine_.find(' ');
    const auto end = startLine_.find(' ', begin + 1);
    return begin == std::string::npos
             ? std::string()
             : startLine_.substr(begin + 1, end - begin - 1);
  }
};

/// A connection with a buffer for reading.
class Link
{
  int fd_;
  std::string in_;
  bool ended_ = false;

  auto Fill(double aDeadline) -> bool
  {
    while (!ended_) {
      const double left = aDeadline - NowMs();
      if (left <= 0) {
        return false;
      }
      pollfd item{ fd_, POLLIN, 0 };
      const int ready = poll(&item, 1, static_cast<int>(left) + 1);
      if (ready <= 0) {
        continue;
      }
      char bytes[16384];
      const auto count = recv(fd_, bytes, sizeof(bytes), 0);
      if (count <= 0) {
        ended_ = true;
        return false;
      }
      in_.append(bytes, static_cast<std::size_t>(count));
      return true;
    }
    return false;
  }

public:
  explicit Link(int aFd)
    : fd_(aFd)
  {
    const int yes = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  }
  ~Link() { Close(); }
  Link(const Link&) = delete;
  auto operator=(const Link&) -> Link& = delete;

  auto Close() -> void
  {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  /// Closes with a reset.
  auto Reset() -> void
  {
    const linger now{ 1, 0 };
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  [[nodiscard]] auto Fd() const -> int { return fd_; }
  /// Whether the other end has closed.
  [[nodiscard]] auto HasEnded() -> bool
  {
    char byte = 0;
    const auto count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  auto Write(const std::string& aBytes) -> bool
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const auto count =
        send(fd_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Reads the start line and the fields; nothing if none came in time.
  auto ReadHead(double aDeadline) -> std::optional<Message>
  {
    std::size_t end = 0;
    while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aDeadline)) {
        return std::nullopt;
      }
    }
    Message message;
    const auto head = in_.substr(0, end);
    in_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    message.startLine_ = head.substr(0, at);
    while (at != std::string::npos) {
      const auto begin = at + 2;
      at = head.find("\r\n", begin);
      const auto line = head.substr(begin, at - begin);
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.fields_[Lower(line.substr(0, colon))] = value;
      }
    }
    return message;
  }

  /// Reads the body of a message whose head has been read.
  auto ReadBody(Message* aMessage, double aDeadline) -> void
  {
    if (Lower(aMessage->Field("transfer-encoding")) == "chunked") {
      for (;;) {
        std::size_t end = 0;
        while ((end = in_.find("\r\n")) == std::string::npos) {
          if (!Fill(aDeadline)) {
            return;
          }
        }
        const auto size = std::strtoul(in_.c_str(), nullptr, 16);
        while (in_.size() < end + 2 + size + 2) {
          if (!Fill(aDeadline)) {
            return;
          }
        }
        aMessage->body_ += in_.substr(end + 2, size);
        in_.erase(0, end + 2 + size + 2);
        if (size == 0) {
          aMessage->complete_ = true;
          return;
        }
      }
    }
    const std::size_t length =
      std::strtoul(aMessage->Field("content-length").c_str(), nullptr, 10);
    while (in_.size() < length) {
      if (!Fill(aDeadline)) {
        return;
      }
    }
    aMessage->body_ = in_.substr(0, length);
    in_.erase(0, length);
    aMessage->complete_ = true;
  }

  auto ReadMessage(double aDeadline) -> Message
  {
    auto message = ReadHead(aDeadline);
    if (!message) {
      return {};
    }
    ReadBody(&*message, aDeadline);
    return std::move(*message);
  }
};

inline auto Loopback(std::uint16_t aPort) -> sockaddr_in
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline auto Connect(std::uint16_t aPort) -> int
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = Loopback(aPort);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// A port, and the one above it, that are free for TCP and UDP.
inline auto FreePort() -> std::uint16_t
{
  static std::mutex mutex;
  static std::set<int> given;
  const std::lock_guard lock(mutex);
  static unsigned seed = static_cast<unsigned>(getpid()) * 7919U;
  for (int i = 0; i < 2000; ++i) {
    seed = seed * 1103515245U + 12345U;
    const int port = 20000 + static_cast<int>((seed >> 8U) % 10000U);
    bool free = true;
    for (const int candidate : { port, port + 1 }) {
      for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
        const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const auto address = Loopback(static_cast<std::uint16_t>(candidate));
        free = free && !given.contains(candidate) &&
               bind(fd, reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)) == 0;
        close(fd);
      }
    }
    if (free) {
      given.insert(port);
      given.insert(port + 1);
      return static_cast<std::uint16_t>(port);
    }
  }
  std::exit(kCouldNotRun);
}

/// Accepts connections and serves each in a thread of its own.
class Server
{
public:
  using Handler = std::function<void(Link*)>;

private:
  std::uint16_t port_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::set<int> open_;
  std::atomic<int> running_{ 0 };
  std::thread thread_;

  auto Run() -> void
  {
    while (!stopping_) {
      int listener = -1;
      {
        const std::lock_guard lock(mutex_);
        listener = listener_;
      }
      if (listener < 0) {
        SleepMs(5);
        continue;
      }
      pollfd item{ listener, POLLIN, 0 };
      if (poll(&item, 1, 20) <= 0) {
        continue;
      }
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(1);
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      ++running_;
      std::thread([this, fd] {
        {
          Link link(dup(fd));
          handler_(&link);
        }
        {
          const std::lock_guard lock(mutex_);
          open_.erase(fd);
          close(fd);
        }
        --running_;
      }).detach();
    }
  }

public:
  Server(std::uint16_t aPort, Handler aHandler)
    : port_(aPort)
    , handler_(std::move(aHandler))
  {
    Listen();
    thread_ = std::thread([this] { Run(); });
  }
  ~Server()
  {
    stopping_ = true;
    thread_.join();
    Refuse();
    while (running_ > 0) {
      SleepMs(2);
    }
  }
  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;

  [[nodiscard]] auto Port() const -> std::uint16_t { return port_; }
  [[nodiscard]] auto IsStopping() const -> bool { return stopping_; }

  auto Listen() -> void
  {
    const std::lock_guard lock(mutex_);
    if (listener_ >= 0) {
      return;
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const auto address = Loopback(port_);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(fd, 128) != 0) {
      std::fprintf(stderr, "cannot listen on %d\n", port_);
      std::exit(kCouldNotRun);
    }
    listener_ = fd;
  }
  /// Ends open connections, with a reset, and refuses new ones.
  auto Refuse() -> void
  {
    const std::lock_guard lock(mutex_);
    if (listener_ >= 0) {
      close(listener_);
      listener_ = -1;
    }
    for (const int fd : open_) {
      const linger now{ 1, 0 };
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      shutdown(fd, SHUT_RDWR);
    }
  }
};

/// The platform's store: topics of keyed records, of one partition each. It is
/// reached by doors, one for each router, that can be shut.
class Store
{
  struct Item
  {
    std::string key_;
    std::optional<std::string> value_;
  };

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Item>> topics_;
  std::map<std::string, std::vector<Item>> copy_;
  std::atomic<int> era_{ 1 };
  std::vector<std::unique_ptr<Server>> doors_;
  std::atomic<bool> stopping_{ false };
  /// The door that read the engines last.
  std::atomic<int> lastReader_{ -1 };

  static auto Base64(const std::string& aBytes) -> std::string
  {
    static const char* letters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < aBytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group = (group << 8U) | (i + j < aBytes.size()
                                   ? static_cast<unsigned char>(aBytes[i + j])
                                   : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text += i + j > aBytes.size()
                  ? '='
                  : letters[(group >> (18U - 6U * j)) & 63U];
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
  static auto Query(const std::string& aTarget, const std::string& aName)
    -> std::string
  {
    const auto at = aTarget.find(aName + "=");
    if (at == std::string::npos) {
      return {};
    }
    const auto begin = at + aName.size() + 1;
    return aTarget.substr(begin, aTarget.find('&', begin) - begin);
  }
  auto Reply(int aStatus, const std::string& aBody) -> std::string
  {
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " X\r\nStore-Era: " + std::to_string(era_) +
           "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  auto Newest(const std::string& aTopic) -> std::string
  {
    const std::lock_guard lock(mutex_);
    const auto& items = topics_[aTopic];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < items.size(); ++i) {
      newest[items[i].key_] = i;
    }
    std::string list;
    for (const auto& entry : newest) {
      const auto& item = items[entry.second];
      if (item.value_) {
        list += (list.empty() ? "" : ",") + ("{\"key\":\"" + item.key_) +
                "\",\"value\":\"" + Base64(*item.value_) +
                "\",\"offset\":" + std::to_string(entry.second) + "}";
      }
    }
    return "{\"items\":[" + list +
           "],\"more\":false,\"end\":" + std::to_string(items.size()) + "}";
  }
  auto Read(const std::string& aTopic,
            std::size_t aFrom,
            std::size_t aMostBytes,
            double aWaitMs) -> std::string
  {
    std::unique_lock lock(mutex_);
    const auto& items = topics_[aTopic];
    changed_.wait_for(lock, std::chrono::duration<double, std::milli>(aWaitMs),
                      [&] { return stopping_ || items.size() > aFrom; });
    auto bytes = Number(items.size(), 8) + Number(0, 8);
    for (auto i = aFrom; i < items.size(); ++i) {
      const auto value = items[i].value_.value_or("");
      const auto length = 1 + items[i].key_.size() + value.size();
      if (i > aFrom && bytes.size() + length > aMostBytes) {
        break;
      }
      bytes += Number(length, 4) + Number(items[i].key_.size(), 1) +
               items[i].key_ + value;
    }
    lock.unlock();
    // As on the sheets: 4 ms an answer, and readMbPerS is 80.
    SleepMs(4.0 + static_cast<double>(bytes.size()) / 80'000.0);
    return bytes;
  }
  auto Append(const std::string& aTopic, const std::string& aBytes) -> void
  {
    std::size_t at = 0;
    while (at + 5 <= aBytes.size()) {
      std::size_t length = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        length = length << 8U | static_cast<unsigned char>(aBytes[at + i]);
      }
      const std::size_t key = static_cast<unsigned char>(aBytes[at + 4]);
      const auto value = aBytes.substr(at + 5 + key, length - 1 - key);
      Put(aTopic, aBytes.substr(at + 5, key),
          value.empty() ? std::nullopt : std::optional(value));
      at += 4 + length;
    }
  }
  auto Serve(int aDoor, Link* aLink) -> void
  {
    while (!stopping_) {
      const auto request = aLink->ReadMessage(NowMs() + 60'000);
      if (!request.complete_) {
        return;
      }
      const auto target = request.Target();
      const auto topic = Query(target, "topic");
      if (topic == "keyed.servers") {
        lastReader_ = aDoor;
      }
      std::string answer;
      if (target.starts_with("/-/log-newest")) {
        answer = Reply(200, Newest(topic));
      } else if (target.starts_with("/-/log-read") &&
                 std::stoul(Query(target, "from")) > Size(topic)) {
        // An offset of an earlier era.
        answer = Reply(410, "{\"first\":0}");
      } else if (target.starts_with("/-/log-read")) {
        answer = Reply(200, Read(topic, std::stoul(Query(target, "from")),
                                 std::stoul(Query(target, "maxKb")) * 1024,
                                 std::atof(Query(target, "waitMs").c_str())));
      } else if (target.starts_with("/-/log-append")) {
        Append(topic, request.body_);
        answer = Reply(200, "{\"offset\":0,\"end\":1}");
      } else {
        answer = Reply(404, "{}");
      }
      if (!aLink->Write(answer)) {
        return;
      }
    }
  }

public:
  ~Store()
  {
    stopping_ = true;
    changed_.notify_all();
    doors_.clear();
  }

  /// Another address of the store; returns its number.
  auto AddDoor() -> int
  {
    const int number = static_cast<int>(doors_.size());
    doors_.push_back(std::make_unique<Server>(
      FreePort(), [this, number](Link* aLink) { Serve(number, aLink); }));
    return number;
  }
  auto Door(int aDoor) -> Server& { return *doors_.at(aDoor); }
  [[nodiscard]] auto LastReader() const -> int { return lastReader_; }
  /// Takes a copy of all topics.
  auto TakeCopy() -> void
  {
    const std::lock_guard lock(mutex_);
    copy_ = topics_;
  }
  /// Goes back to the copy, in a new era.
  auto Restore() -> void
  {
    const std::lock_guard lock(mutex_);
    topics_ = copy_;
    ++era_;
  }
  /// Away for all, or back.
  auto SetAway(bool aAway) -> void
  {
    for (const auto& door : doors_) {
      aAway ? door->Refuse() : door->Listen();
    }
  }
  [[nodiscard]] auto Size(const std::string& aTopic) -> std::size_t
  {
    const std::lock_guard lock(mutex_);
    return topics_[aTopic].size();
  }
  /// Without a value, the key is dropped.
  auto Put(const std::string& aTopic,
           const std::string& aKey,
           std::optional<std::string> aValue) -> void
  {
    {
      const std::lock_guard lock(mutex_);
      topics_[aTopic].push_back({ aKey, std::move(aValue) });
    }
    changed_.notify_all();
  }
};

/// A request that an engine began to run.
struct Run
{
  std::string attemptId_;
  std::string engine_;
  std::string service_;
  std::string path_;
  double at_ = 0;
};

/// The head of an engine's answer with a length.
inline auto AnswerBytes(const std::string& aAttemptId,
                        const std::string& aEngine,
                        const std::string& aBody) -> std::string
{
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + aAttemptId +
         "\r\nX-Response-Stamp: " + aEngine +
         "\r\nKeep-Alive: timeout=5\r\nContent-Type: text/plain\r\n"
         "Content-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// An engine: registers itself, writes its entry every 1.2 s, answers 421 to a
/// request that expects another instance, and runs the rest.
class Engine
{
public:
  /// Answers a request; false closes the connection.
  using Behaviour = std::function<bool(const Message&, Link*)>;

private:
  Store* store_;
  std::string id_;
  std::string service_;
  std::string zone_;
  Behaviour behaviour_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::atomic<bool> beats_{ true };
  std::atomic<bool> stopping_{ false };
  int sequence_ = 0;
  std::int64_t born_ = 0;
  std::unique_ptr<Server> server_;
  std::thread thread_;

  auto Serve(Link* aLink) -> void
  {
    while (!stopping_) {
      const auto request = aLink->ReadMessage(NowMs() + 30'000);
      if (!request.complete_) {
        return;
      }
      const auto id = request.Field("x-attempt-id");
      if (request.Field("x-expect-instance") != id_) {
        if (!aLink->Write("HTTP/1.1 421 Misdirected Request\r\n"
                          "X-Not-Executed: 1\r\nX-Attempt-Id: " +
                          id + "\r\nX-Instance-Id: " + id_ +
                          "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        runs_.push_back({ id, id_, service_, request.Target(), NowMs() });
      }
      if (!behaviour_(request, aLink)) {
        return;
      }
    }
  }

public:
  Engine(Store* aStore,
         std::string aId,
         std::string aService,
         std::string aZone,
         Behaviour aBehaviour)
    : store_(aStore)
    , id_(std::move(aId))
    , service_(std::move(aService))
    , zone_(std::move(aZone))
    , behaviour_(std::move(aBehaviour))
  {
    server_ = std::make_unique<Server>(FreePort(),
                                       [this](Link* aLink) { Serve(aLink); });
    SetBorn();
    Beat();
    thread_ = std::thread([this] {
      double next = NowMs() + 1200;
      while (!stopping_) {
        SleepMs(10);
        if (NowMs() >= next) {
          next += 1200;
          if (beats_) {
            Beat();
          }
        }
      }
    });
  }
  ~Engine()
  {
    stopping_ = true;
    thread_.join();
    server_.reset();
  }

  auto SetBorn() -> void
  {
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  }
  /// Writes the entry as the engine itself does.
  auto Beat() -> void
  {
    store_->Put("keyed.servers", id_,
                "{\"service\":\"" + service_ + "\",\"address\":\"" + Address() +
                  "\",\"zone\":\"" + zone_ +
                  "\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
                  "\"coldLeftMs\":0,\"sequence\":" +
                  std::to_string(++sequence_) +
                  ",\"born\":" + std::to_string(born_) + "}");
  }
  /// Removes the entry and stops the beats, as an engine that leaves without a
  /// word does; it goes on serving.
  auto Deregister() -> void
  {
    beats_ = false;
    store_->Put("keyed.servers", id_, std::nullopt);
  }
  /// Dies: connections are reset and new ones refused, until Return().
  auto Crash() -> void
  {
    beats_ = false;
    server_->Refuse();
  }
  auto Return() -> void
  {
    SetBorn();
    server_->Listen();
    Beat();
    beats_ = true;
  }
  [[nodiscard]] auto Id() const -> const std::string& { return id_; }
  [[nodiscard]] auto Zone() const -> const std::string& { return zone_; }
  [[nodiscard]] auto Address() const -> std::string
  {
    return "127.0.0.1:" + std::to_string(server_->Port());
  }
  auto Runs() -> std::vector<Run>
  {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
};

/// A router: the program of the deploy file, as a process of its own.
class Router
{
  std::string name_;
  std::string zone_;
  std::string folder_;
  std::uint16_t store_;
  std::uint16_t front_ = FreePort();
  std::uint16_t ready_ = FreePort();
  std::uint16_t control_ = FreePort();
  std::uint16_t internal_ = FreePort();
  pid_t pid_ = -1;

public:
  Router(std::string aName,
         std::string aZone,
         std::string aFolder,
         std::uint16_t aStore)
    : name_(std::move(aName))
    , zone_(std::move(aZone))
    , folder_(std::move(aFolder))
    , store_(aStore)
  {
  }
  ~Router()
  {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      Wait();
    }
  }
  Router(const Router&) = delete;
  auto operator=(const Router&) -> Router& = delete;

  auto Start() -> void
  {
    const auto path = folder_ + "/" + name_ + ".json";
    const auto at = [](std::uint16_t aPort) {
      return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
    };
    std::ofstream(path)
      << "{\"nodeName\":\"" << name_ << "\",\"role\":\"router\","
      << "\"machineClass\":\"front\",\"serves\":[\"front\",\"control\"],"
      << "\"ip\":\"127.0.0.1\",\"zone\":\"" << zone_ << "\",\"bind\":{"
      << "\"front\":" << at(front_) << ",\"ready\":" << at(ready_)
      << ",\"control\":" << at(control_) << "},\"internalPorts\":[" << internal_
      << "," << internal_ + 1
      << "],\"seedNodes\":[],\"firstStart\":true,\"limits\":{\"cpuShare\":"
      << "0.25,\"cores\":1,\"memoryMb\":260,\"maxFds\":4100},"
      << "\"heartbeatMs\":1200,\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,"
      << "\"stableWindowMs\":3000,\"ackMs\":4000,\"catchUpS\":4,"
      << "\"drainMs\":2000,\"graceS\":8,\"lostMs\":200,"
      << "\"configApplyMs\":2000,\"rollbackSlackMs\":250,"
      << "\"maxSkewMs\":5000,\"failClosed\":true,\"revokeMs\":5000,"
      << "\"budgetRatio\":0.2,\"budgetWindowS\":10,\"budgetSlack\":56,"
      << "\"recoverS\":12,\"passMs\":120},\"platform\":{\"address\":"
      << at(store_) << ",\"form\":\"log\",\"writesPerS\":400,"
      << "\"readsPerS\":2000}}\n";
    const auto log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      setenv("BURDOCKRING_SETTINGS", path.c_str(), 1);
      execl("target/src/main/burdockring", "burdockring", "forward", nullptr);
      _exit(127);
    }
  }
  auto Signal(int aSignal) const -> void { kill(pid_, aSignal); }
  auto Wait() -> int
  {
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return status;
  }
  /// Whether the process has ended.
  auto HasEnded() -> bool
  {
    if (pid_ <= 0) {
      return true;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    return false;
  }
  [[nodiscard]] auto IsReady() const -> bool
  {
    const int fd = Connect(ready_);
    if (fd < 0) {
      return false;
    }
    Link link(fd);
    link.Write("GET /-/ready HTTP/1.1\r\nHost: h\r\n"
               "Connection: close\r\n\r\n");
    return link.ReadMessage(NowMs() + 1000).Status() == 200;
  }
  [[nodiscard]] auto Pid() const -> pid_t { return pid_; }
  [[nodiscard]] auto Front() const -> std::uint16_t { return front_; }
  [[nodiscard]] auto Name() const -> const std::string& { return name_; }
  [[nodiscard]] auto Zone() const -> const std::string& { return zone_; }
};

/// A folder for settings and logs, removed at the end unless KEEP is set.
class Folder
{
  std::string path_;

public:
  Folder()
  {
    const char* base = std::getenv("TMPDIR");
    std::string path =
      std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    if (mkdtemp(path.data()) == nullptr) {
      std::exit(kCouldNotRun);
    }
    path_ = path;
  }
  ~Folder()
  {
    if (std::getenv("KEEP") != nullptr) {
      std::fprintf(stderr, "logs are in %s\n", path_.c_str());
      return;
    }
    const auto command = "rm -rf '" + path_ + "'";
    if (std::system(command.c_str()) != 0) {
      std::fprintf(stderr, "the folder could not be removed\n");
    }
  }
  Folder(const Folder&) = delete;
  auto operator=(const Folder&) -> Folder& = delete;
  [[nodiscard]] auto Path() const -> const std::string& { return path_; }
};

struct Route
{
  std::string prefix_;
  std::string kind_;
  std::string service_;
  int timeoutMs_ = 1000;
  int maxAttempts_ = 1;
  bool resumable_ = false;
};

/// A configuration with public routes of one host.
inline auto ConfigurationText(int aVersion,
                              const std::vector<Route>& aRoutes,
                              const std::vector<std::string>& aServices)
  -> std::string
{
  std::string routes;
  for (const auto& route : aRoutes) {
    routes += (routes.empty() ? "" : ",") +
              ("{\"name\":\"r" + route.prefix_.substr(1, 4)) +
              "\",\"host\":\"h.example\",\"pathPrefix\":\"" + route.prefix_ +
              "\",\"kind\":\"" + route.kind_ +
              "\",\"timeoutMs\":" + std::to_string(route.timeoutMs_) +
              ",\"targetLatencyMs\":300,\"priority\":1,\"service\":\"" +
              route.service_ +
              "\",\"maxAttempts\":" + std::to_string(route.maxAttempts_) +
              ",\"public\":true,\"sessionAffinity\":false,\"resumable\":" +
              (route.resumable_ ? "true" : "false") + "}";
  }
  std::string services;
  for (const auto& service : aServices) {
    services += (services.empty() ? "" : ",") + ("{\"name\":\"" + service) +
                "\",\"healthPath\":\"/health\",\"maxConns\":110,"
                "\"protocol\":\"h1\",\"tls\":false}";
  }
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" + routes +
         "],\"services\":[" + services +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}}";
}

/// A request as a client sends it, on a connection of its own.
inline auto RequestBytes(const std::string& aPath,
                         const std::string& aAttemptId,
                         int aDeadlineMs,
                         const std::string& aFields = "",
                         const std::string& aBody = "body") -> std::string
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + aAttemptId +
         "\r\nX-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n" +
         aFields + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/// Sends a request on a new connection and reads the answer, until the deadline
/// and a little longer.
inline auto Ask(std::uint16_t aPort,
                const std::string& aRequest,
                double aWaitMs) -> Message
{
  const int fd = Connect(aPort);
  if (fd < 0) {
    return {};
  }
  Link link(fd);
  if (!link.Write(aRequest)) {
    return {};
  }
  return link.ReadMessage(NowMs() + aWaitMs);
}

inline auto WaitUntil(double aMostMs, const std::function<bool()>& aCondition)
  -> bool
{
  const double until = NowMs() + aMostMs;
  while (NowMs() < until) {
    if (aCondition()) {
      return true;
    }
    SleepMs(20);
  }
  return false;
}

/// Must be called first.
inline auto Prepare() -> void
{
  std::signal(SIGPIPE, SIG_IGN);
  NowMs();
  if (access("target/src/main/burdockring", X_OK) != 0) {
    std::fprintf(stderr, "the program is not built\n");
    std::exit(kCouldNotRun);
  }
}

} // namespace review

#endif
