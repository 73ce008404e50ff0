// A router that has read two requests of a connection is told to stop while the
// first is at work. Usage: stop_read_ahead FOLDER
// FOLDER gets record.txt. Exit code: 1 the rule was broken, 0 it held, 2 the
// case could not run.
#include "harness.h"

#include <filesystem>

namespace {

using namespace review;

constexpr int kClients = 6;
constexpr double kWork = 1.5;
/// From the last byte of the requests to SIGTERM: longer than lostMs.
constexpr double kUntilStop = 0.5;
/// The bound of the rule.
constexpr double kLostS = 0.2;

struct Outcome
{
  bool firstIsWhole_ = false;
  bool secondIsWhole_ = false;
  double endedAfter_ = 0;
};

auto Run(const std::string& aFolder, const std::string& aTemporary) -> int
{
  Record record(aFolder + "/record.txt");
  const bool trouble = HasTrouble();
  record.Line(trouble ? "with the trouble" : "without the trouble");
  Store store(&record);
  Listener server([&](int aFd) {
    std::string rest;
    while (const auto request = ReadMessage(aFd, &rest, 600.0)) {
      const auto id = FieldOf(request->head_, "X-Attempt-Id");
      record.Line("server: runs " + id);
      Pause(kWork);
      const std::string body = "answer to " + id;
      if (!SendAll(aFd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                          "\r\nX-Response-Stamp: s." + id +
                          "\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body)) {
        return;
      }
    }
  });
  const auto route = [](const std::string& aName, const std::string& aKind) {
    return "{\"name\":\"" + aName + "\",\"host\":\"h\",\"pathPrefix\":\"/" +
           aName + "/\",\"service\":\"app\",\"kind\":\"" + aKind +
           "\",\"timeoutMs\":15000,\"targetLatencyMs\":500,"
           "\"maxAttempts\":1,\"public\":true}";
  };
  store.Put("keyed.op", "config",
            "{\"version\":3,\"routes\":[" + route("read", "safe") + "," +
              route("book", "unsafe") +
              "],\"services\":[{\"name\":\"app\",\"maxConns\":110}],"
              "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
              "\"headerTimeoutMs\":10000,\"idleTimeoutMs\":30000},"
              "\"tenants\":[]}");
  store.Put("keyed.servers", "i-1", ServerEntry("app", "z", server.Port(), 64));
  Router router(&record, "front-1", "z", store.Port(), aTemporary);
  if (!router.Start() || !router.WaitReady(15.0)) {
    record.Line("the router did not become ready");
    return 2;
  }
  std::vector<Outcome> outcomes(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const auto first = "a" + std::to_string(i);
      const auto second = "b" + std::to_string(i);
      const int fd = ConnectTo(router.Front());
      // HTTP/1.1 lets a client send a request behind one of a safe method.
      SendAll(fd, "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + first +
                    "\r\nX-Deadline-Ms: 15000\r\n\r\n"
                    "POST /book/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " +
                    second +
                    "\r\nX-Deadline-Ms: 15000\r\nContent-Length: 4\r\n\r\n"
                    "book");
      const auto sent = SteadyClock::now();
      record.Line("client: sends " + first + " and " + second);
      std::string rest;
      auto& outcome = outcomes[i];
      const auto one = ReadMessage(fd, &rest, 12.0);
      outcome.firstIsWhole_ = one && one->body_ == "answer to " + first;
      record.Line("client: " + first + " gets " +
                  (one ? one->head_.substr(9, 3) : std::string("no answer")));
      const auto two = ReadMessage(fd, &rest, 12.0);
      // Any whole answer ends the request, a refusal too.
      outcome.secondIsWhole_ = two.has_value();
      const std::chrono::duration<double> passed = SteadyClock::now() - sent;
      outcome.endedAfter_ = passed.count();
      record.Line("client: " + second + " gets " +
                  (two ? two->head_.substr(9, 3)
                       : std::string("no answer, the connection ends")) +
                  " " + std::to_string(outcome.endedAfter_) +
                  " s after its last byte");
      close(fd);
    });
  }
  Pause(kUntilStop);
  if (trouble) {
    router.Signal(SIGTERM);
  }
  for (auto& client : clients) {
    client.join();
  }
  int lost = 0;
  int whole = 0;
  for (const auto& outcome : outcomes) {
    whole += outcome.firstIsWhole_ ? 1 : 0;
    lost += !outcome.secondIsWhole_ && outcome.endedAfter_ > kLostS ? 1 : 0;
  }
  std::string how;
  Pause(0.5);
  if (router.HasEnded(&how) && how != "exit code 0") {
    record.Line("the router ended: " + how);
    return 1;
  }
  record.Line(std::to_string(whole) + " first requests answered, " +
              std::to_string(lost) + " second ones lost");
  if (whole == 0) {
    return 2;
  }
  return lost > 0 ? 1 : 0;
}

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  signal(SIGPIPE, SIG_IGN);
  if (aCount != 2) {
    return 2;
  }
  char temporary[] = "/tmp/review-XXXXXX";
  if (mkdtemp(temporary) == nullptr) {
    return 2;
  }
  const int code = Run(aArguments[1], temporary);
  std::filesystem::remove_all(temporary);
  return code;
}
