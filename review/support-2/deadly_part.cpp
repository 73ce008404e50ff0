// A part of prompts crashes each server that begins to write an answer on it.
// Usage: deadly_part FOLDER late|killed
// late: the servers crash far into the answer; TROUBLE=0: the part is harmless.
// killed: they crash soon, and all routers are killed at once; TROUBLE=0: they
// are not killed.
// FOLDER gets record.txt. Exit code: 1 the rule was broken, 0 it held, 2 the
// case could not run.
#include "harness.h"

#include <filesystem>

namespace {

using namespace review;

constexpr int kServers = 8;
constexpr int kRouters = 2;
/// stableWindowMs of the site.
constexpr double kStableS = 3.0;
/// A request with the part comes so often, at the routers in turn, and for so
/// long: the pages' own day has 22 s.
constexpr double kDeadlyPauseLateS = 2.1;
constexpr double kDeadlyPauseKilledS = 4.2;
constexpr double kDeadlyForS = 22.0;
constexpr double kSoundPauseS = 0.1;
constexpr double kDownS = 3.0;
/// From the first request with the part to the kill, and to the end.
constexpr double kKillAtS = 12.7;
constexpr double kLengthS = 27.0;
/// After its first event, a server with the part sends so many more, one each
/// pause, and crashes.
constexpr int kEventsLate = 15;
constexpr int kEventsSoon = 2;
int gEventsUntilCrash = kEventsLate;
bool gIsDeadly = true;
constexpr double kEventPauseS = 0.1;
/// The bound of the rule.
constexpr int kMostAfterwards = 3;

auto SecondsSince(SteadyClock::time_point aStart) -> double
{
  const std::chrono::duration<double> passed = SteadyClock::now() - aStart;
  return passed.count();
}

/// When requests with the part reached a server, and when servers crashed.
struct Log
{
  std::mutex mutex_;
  SteadyClock::time_point start_ = SteadyClock::now();
  std::vector<double> arrivals_;
  std::vector<double> crashes_;
  int soundRun_ = 0;
};

/// A server that crashes on the part and is back some seconds later.
class Server
{
  std::string name_;
  Store* store_;
  Record* record_;
  Log* log_;
  int port_;
  int listening_ = -1;
  int starts_ = 0;
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopping_{ false };
  std::atomic<bool> isDown_{ false };
  std::thread life_;

  auto Announce() -> void
  {
    store_->Put(
      "keyed.servers", name_,
      "{\"service\":\"pool\",\"address\":\"127.0.0.1:" + std::to_string(port_) +
        "\",\"zone\":\"z\",\"version\":\"1\",\"slots\":64,"
        "\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,"
        "\"born\":" +
        std::to_string(1780000000000 + starts_++) + "}");
  }

  auto Crash() -> void
  {
    {
      const std::lock_guard lock(log_->mutex_);
      if (isDown_.exchange(true)) {
        return;
      }
      log_->crashes_.push_back(SecondsSince(log_->start_));
    }
    record_->Line("server " + name_ + " crashes");
    const std::lock_guard lock(mutex_);
    // The listener's end is seen by Live.
    shutdown(listening_, SHUT_RDWR);
    for (const int fd : open_) {
      const linger reset{ 1, 0 };
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(fd, SHUT_RDWR);
    }
  }

  auto Serve(int aFd) -> void
  {
    std::string rest;
    while (const auto request = ReadMessage(aFd, &rest, 600.0)) {
      const auto id = FieldOf(request->head_, "X-Attempt-Id");
      const auto parts = FieldOf(request->head_, "X-Prompt-Prefix");
      const bool isDeadly = parts.find("dead0001:") != std::string::npos;
      const bool crashes = isDeadly && gIsDeadly;
      {
        const std::lock_guard lock(log_->mutex_);
        if (isDeadly) {
          log_->arrivals_.push_back(SecondsSince(log_->start_));
        } else {
          ++log_->soundRun_;
        }
      }
      if (isDeadly) {
        record_->Line("server " + name_ + ": " + id +
                      " with the part reaches it");
      }
      const auto event = [](int aId) {
        const auto text = "id: " + std::to_string(aId) + "\ndata: x\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        return size + text + "\r\n";
      };
      const auto last = FieldOf(request->head_, "Last-Event-Id");
      const int next = last.empty() ? 1 : std::stoi(last) + 1;
      Pause(0.02);
      SendAll(
        aFd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
               "\r\nX-Response-Stamp: s." + id +
               "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n\r\n" +
               event(next));
      if (crashes) {
        // Events go on until the server crashes.
        for (int i = 1; i <= gEventsUntilCrash; ++i) {
          Pause(kEventPauseS);
          if (!SendAll(aFd, event(next + i))) {
            return;
          }
        }
        Crash();
        return;
      }
      for (int i = next + 1; i <= 6; ++i) {
        Pause(0.05);
        if (!SendAll(aFd, event(i))) {
          return;
        }
      }
      if (!SendAll(aFd, "0\r\n\r\n")) {
        return;
      }
    }
  }

  auto Live() -> void
  {
    while (!stopping_) {
      isDown_ = false;
      Announce();
      for (;;) {
        const int fd = accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          break;
        }
        const std::lock_guard lock(mutex_);
        open_.push_back(fd);
        threads_.emplace_back([this, fd] {
          Serve(fd);
          shutdown(fd, SHUT_RDWR);
        });
      }
      close(listening_);
      if (stopping_) {
        return;
      }
      for (auto& thread : std::exchange(threads_, {})) {
        thread.join();
      }
      for (const int fd : std::exchange(open_, {})) {
        close(fd);
      }
      Pause(kDownS);
      for (listening_ = -1; listening_ < 0; Pause(0.05)) {
        listening_ = ListenOn(port_);
      }
      record_->Line("server " + name_ + " is back");
    }
  }

public:
  Server(std::string aName, Store* aStore, Record* aRecord, Log* aLog)
    : name_(std::move(aName))
    , store_(aStore)
    , record_(aRecord)
    , log_(aLog)
    , port_(FreePorts(1))
    , listening_(ListenOn(port_))
  {
    life_ = std::thread([this] { Live(); });
  }

  ~Server()
  {
    stopping_ = true;
    shutdown(listening_, SHUT_RDWR);
    life_.join();
    for (const int fd : open_) {
      shutdown(fd, SHUT_RDWR);
    }
    for (auto& thread : threads_) {
      thread.join();
    }
    for (const int fd : open_) {
      close(fd);
    }
  }
};

auto Run(const std::string& aFolder,
         const std::string& aTemporary,
         bool aIsLate) -> int
{
  Record record(aFolder + "/record.txt");
  const bool trouble = HasTrouble();
  gIsDeadly = trouble || !aIsLate;
  gEventsUntilCrash = aIsLate ? kEventsLate : kEventsSoon;
  record.Line(trouble ? "with the trouble" : "without the trouble");
  Store store(&record);
  Log log;
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Server>("i-" + std::to_string(i), &store,
                                               &record, &log));
  }
  store.Put("keyed.op", "config",
            "{\"version\":3,\"routes\":[{\"name\":\"talk\",\"host\":\"h\","
            "\"pathPrefix\":\"/talk/\",\"service\":\"pool\",\"kind\":"
            "\"stream\",\"timeoutMs\":15000,\"targetLatencyMs\":800,"
            "\"gapAimMs\":200,\"maxAttempts\":2,\"resumable\":true,"
            "\"sessionAffinity\":true,\"public\":true}],\"services\":[{"
            "\"name\":\"pool\",\"maxConns\":370,\"engine\":{\"kvTokens\":"
            "629678,\"kvBytes\":163840,\"linkMbps\":180000}}],\"limits\":{"
            "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            "\"headerTimeoutMs\":10000,\"idleTimeoutMs\":30000,"
            "\"tokensPerS\":340000},\"tenants\":[]}");
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 0; i < kRouters; ++i) {
    routers.push_back(std::make_unique<Router>(&record,
                                               "front-" + std::to_string(i + 1),
                                               "z", store.Port(), aTemporary));
    routers.back()->Start();
  }
  for (const auto& router : routers) {
    if (!router->WaitReady(15.0)) {
      record.Line("a router did not become ready");
      return 2;
    }
  }
  Pause(kStableS + 0.5);
  std::atomic<bool> isOver{ false };
  std::atomic<int> soundWhole{ 0 };
  const auto ask = [&](int aRouter, const std::string& aId,
                       const std::string& aPart) {
    const int fd = ConnectTo(routers[aRouter]->Front());
    if (fd < 0) {
      return std::string("no connection");
    }
    SendAll(fd, "POST /talk/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + aId +
                  "\r\nX-Deadline-Ms: 15000\r\nX-Model: m\r\n"
                  "X-Token-Counts: 900,30\r\nX-Prompt-Prefix: " +
                  aPart + "\r\nContent-Length: 2\r\n\r\nhi");
    std::string answer;
    int error = 0;
    while (!answer.ends_with("\r\n0\r\n\r\n")) {
      const auto more = ReadSome(fd, 10.0, 65536, &error);
      if (!more || more->empty()) {
        break;
      }
      answer += *more;
      if (answer.find("Content-Length") != std::string::npos) {
        break;
      }
    }
    close(fd);
    return answer.size() < 12 ? std::string("no answer") : answer.substr(9, 3);
  };
  std::thread sound([&] {
    std::vector<std::thread> asking;
    for (int i = 0; !isOver; ++i) {
      asking.emplace_back([&, i] {
        char parts[96];
        std::snprintf(parts, sizeof(parts),
                      "aaaa0001:500,bb%06x:300,cc%06x:100", i % 7, i);
        soundWhole +=
          ask(i % kRouters, "s" + std::to_string(i), parts) == "200" ? 1 : 0;
      });
      Pause(kSoundPauseS);
    }
    for (auto& thread : asking) {
      thread.join();
    }
  });
  const double pause = aIsLate ? kDeadlyPauseLateS : kDeadlyPauseKilledS;
  const auto begin = SteadyClock::now();
  std::thread deadly([&] {
    std::vector<std::thread> asking;
    for (int i = 0; i * pause < kDeadlyForS; ++i) {
      std::this_thread::sleep_until(
        begin + std::chrono::duration_cast<SteadyClock::duration>(
                  std::chrono::duration<double>(i * pause)));
      asking.emplace_back([&, i] {
        char parts[96];
        // No two alike.
        std::snprintf(parts, sizeof(parts),
                      "aaaa0001:500,dead0001:300,dd%06x:100", i);
        const auto id = "d" + std::to_string(i);
        const auto status = ask(i % kRouters, id, parts);
        record.Line("client: " + id + " with the part gets " + status);
      });
    }
    for (auto& thread : asking) {
      thread.join();
    }
  });
  // In these times the routers are not in touch.
  double killedAt = 0;
  double inTouchAgain = 0;
  Pause(aIsLate ? 0.0 : kKillAtS);
  if (!aIsLate && trouble) {
    killedAt = SecondsSince(log.start_);
    for (const auto& router : routers) {
      router->Signal(SIGKILL);
    }
    for (const auto& router : routers) {
      router->Kill();
    }
    Pause(0.3);
    for (const auto& router : routers) {
      router->Start();
    }
    for (const auto& router : routers) {
      router->WaitReady(10.0);
    }
    inTouchAgain = SecondsSince(log.start_) + kStableS;
    record.Line("all routers are ready again");
  }
  Pause(kLengthS - SecondsSince(begin));
  isOver = true;
  sound.join();
  deadly.join();
  const std::lock_guard lock(log.mutex_);
  int afterwards = 0;
  if (log.crashes_.size() >= 5) {
    for (const double at : log.arrivals_) {
      const bool isInTouch = at < killedAt || at >= inTouchAgain;
      afterwards += at > log.crashes_[4] + kStableS && isInTouch ? 1 : 0;
    }
  }
  record.Line(std::to_string(log.crashes_.size()) + " crashes, " +
              std::to_string(log.arrivals_.size()) +
              " requests with the part reached servers, " +
              std::to_string(afterwards) +
              " of them later than the rule allows; " +
              std::to_string(soundWhole.load()) + " sound ones served");
  if ((gIsDeadly && log.crashes_.size() < 3) || soundWhole < 50) {
    return 2;
  }
  return afterwards > kMostAfterwards ? 1 : 0;
}

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  signal(SIGPIPE, SIG_IGN);
  const std::string way = aCount == 3 ? aArguments[2] : "";
  if (way != "late" && way != "killed") {
    return 2;
  }
  char temporary[] = "/tmp/review-XXXXXX";
  if (mkdtemp(temporary) == nullptr) {
    return 2;
  }
  const int code = Run(aArguments[1], temporary, way == "late");
  std::filesystem::remove_all(temporary);
  return code;
}
