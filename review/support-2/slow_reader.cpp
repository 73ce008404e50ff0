// A client on a kept connection reads a long answer slowly. Usage:
//   slow_reader FOLDER
// FOLDER gets record.txt. Exit code: 1 the rule was broken, 0 it held, 2 the
// case could not run.
#include "harness.h"

#include <filesystem>

namespace {

using namespace review;

constexpr std::size_t kAnswerBytes = 240'000;
/// The deadline and the time limit of the route: those of the sheets.
constexpr int kDeadlineMs = 15'000;
/// How fast the clients read: the whole answer in 12 s.
constexpr double kBytesPerS = 20'000;
constexpr int kClients = 6;

struct Outcome
{
  bool gotHead_ = false;
  bool isWhole_ = false;
  std::size_t bytes_ = 0;
  std::string end_;
};

/// What comes of an answer whose body has a length, read at aBytesPerS.
auto ReadAnswer(int aFd, double aBytesPerS) -> Outcome
{
  Outcome outcome;
  std::string answer;
  const auto start = SteadyClock::now();
  for (;;) {
    const std::chrono::duration<double> passed = SteadyClock::now() - start;
    if (passed.count() * 1000 > kDeadlineMs) {
      outcome.end_ = "the client's deadline";
      return outcome;
    }
    int error = 0;
    const auto bytes = ReadSome(aFd, 5.0, 1024, &error);
    if (!bytes) {
      continue;
    }
    if (bytes->empty()) {
      outcome.end_ = error == 0 ? "closed" : std::strerror(error);
      return outcome;
    }
    answer += *bytes;
    const auto end = answer.find("\r\n\r\n");
    outcome.gotHead_ = end != std::string::npos;
    if (outcome.gotHead_) {
      outcome.bytes_ = answer.size() - end - 4;
      const auto length = FieldOf(answer.substr(0, end + 4), "Content-Length");
      if (length.empty() ? answer.ends_with("\r\n0\r\n\r\n")
                         : outcome.bytes_ == std::stoul(length)) {
        outcome.isWhole_ = true;
        outcome.end_ = "whole";
        return outcome;
      }
    }
    if (aBytesPerS > 0) {
      Pause(static_cast<double>(bytes->size()) / aBytesPerS);
    }
  }
}

auto Run(const std::string& aFolder, const std::string& aTemporary) -> int
{
  Record record(aFolder + "/record.txt");
  const bool trouble = HasTrouble();
  record.Line(trouble ? "with the trouble" : "without the trouble");
  Store store(&record);
  std::atomic<int> ran{ 0 };
  Listener server([&](int aFd) {
    std::string rest;
    while (const auto request = ReadMessage(aFd, &rest, 600.0)) {
      const auto id = FieldOf(request->head_, "X-Attempt-Id");
      ++ran;
      record.Line("server: runs " + id + ", answers whole and at once");
      if (!SendAll(aFd,
                   "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                     "\r\nX-Response-Stamp: s." + id +
                     "\r\nContent-Length: " + std::to_string(kAnswerBytes) +
                     "\r\n\r\n" + std::string(kAnswerBytes, 'a'))) {
        return;
      }
    }
  });
  store.Put("keyed.op", "config",
            "{\"version\":3,\"routes\":[{\"name\":\"read\",\"host\":\"h\","
            "\"pathPrefix\":\"/read/\",\"service\":\"app\",\"kind\":\"safe\","
            "\"timeoutMs\":15000,\"targetLatencyMs\":500,\"maxAttempts\":2,"
            "\"public\":true}],\"services\":[{\"name\":\"app\","
            "\"maxConns\":110}],\"limits\":{\"maxHeaderBytes\":16384,"
            "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":10000,"
            "\"idleTimeoutMs\":30000},\"tenants\":[]}");
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
      const auto id = "a" + std::to_string(i);
      const int fd = ConnectTo(router.Front());
      SendAll(fd, "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
                    "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
                    "\r\n\r\n");
      record.Line("client: sends " + id);
      outcomes[i] = ReadAnswer(fd, trouble ? kBytesPerS : 0.0);
      record.Line("client: " + id + " ends: " + outcomes[i].end_ + ", " +
                  std::to_string(outcomes[i].bytes_) + " bytes");
      close(fd);
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  std::string how;
  if (router.HasEnded(&how)) {
    record.Line("the router ended: " + how);
    return 1;
  }
  int lost = 0;
  for (const auto& outcome : outcomes) {
    lost += outcome.isWhole_ ? 0 : 1;
  }
  record.Line(std::to_string(ran.load()) + " requests ran, " +
              std::to_string(lost) + " of " + std::to_string(kClients) +
              " answers were cut by the router");
  return lost > 3 ? 1 : 0;
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
