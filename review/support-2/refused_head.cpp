// A HEAD request meets a route that was taken away, on a connection that is
// used again. Usage: refused_head FOLDER FOLDER gets record.txt. Exit code: 1
// the rule was broken, 0 it held, 2 the case could not run.
#include "harness.h"

#include <filesystem>

namespace {

using namespace review;

constexpr int kClients = 6;

/// Reads a head alone: an answer to HEAD has no body.
auto ReadHead(int aFd, std::string* aRest, double aSeconds)
  -> std::optional<std::string>
{
  int error = 0;
  for (;;) {
    const auto end = aRest->find("\r\n\r\n");
    if (end != std::string::npos) {
      auto head = aRest->substr(0, end + 4);
      aRest->erase(0, end + 4);
      return head;
    }
    const auto more = ReadSome(aFd, aSeconds, 65536, &error);
    if (!more || more->empty()) {
      return std::nullopt;
    }
    *aRest += *more;
  }
}

auto Run(const std::string& aFolder, const std::string& aTemporary) -> int
{
  Record record(aFolder + "/record.txt");
  const bool trouble = HasTrouble();
  record.Line(trouble ? "with the trouble" : "without the trouble");
  Store store(&record);
  Listener server([&](int aFd) {
    std::string rest;
    const auto request = ReadMessage(aFd, &rest, 600.0);
    if (!request) {
      return;
    }
    const auto id = FieldOf(request->head_, "X-Attempt-Id");
    const bool isHead = request->head_.starts_with("HEAD ");
    record.Line("server: runs " + id);
    // An answer that ends with its connection.
    SendAll(aFd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                   "\r\nX-Response-Stamp: s." + id +
                   "\r\nConnection: close\r\n\r\n" +
                   (isHead ? std::string() : "answer to " + id));
  });
  const auto route = [](const std::string& aName) {
    return "{\"name\":\"" + aName + "\",\"host\":\"h\",\"pathPrefix\":\"/" +
           aName +
           "/\",\"service\":\"app\",\"kind\":\"safe\",\"timeoutMs\":1000,"
           "\"targetLatencyMs\":100,\"maxAttempts\":2,\"public\":true}";
  };
  const auto configuration = [](int aVersion, const std::string& aRoutes) {
    return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" +
           aRoutes +
           "],\"services\":[{\"name\":\"app\",\"maxConns\":110}],"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
           "\"headerTimeoutMs\":10000,\"idleTimeoutMs\":30000},"
           "\"tenants\":[]}";
  };
  store.Put("keyed.op", "config",
            configuration(3, route("read") + "," + route("list")));
  store.Put("keyed.servers", "i-1", ServerEntry("app", "z", server.Port(), 64));
  Router router(&record, "front-1", "z", store.Port(), aTemporary);
  if (!router.Start() || !router.WaitReady(15.0)) {
    record.Line("the router did not become ready");
    return 2;
  }
  if (trouble) {
    // The operator takes a route away.
    store.Put("keyed.op", "config", configuration(4, route("list")));
    Pause(2.5);
  }
  int broken = 0;
  int answered = 0;
  for (int i = 0; i < kClients; ++i) {
    const int fd = ConnectTo(router.Front());
    std::string rest;
    const auto ask = [&](const std::string& aLine, const std::string& aId) {
      SendAll(fd, aLine + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + aId +
                    "\r\nX-Deadline-Ms: 1000\r\n\r\n");
    };
    const auto first = "a" + std::to_string(i);
    ask("HEAD /read/x", first);
    const auto head = ReadHead(fd, &rest, 3.0);
    record.Line("client: HEAD " + first + " gets " +
                (head ? head->substr(9, 3) : std::string("no answer")));
    const bool ends =
      !head || LowerCase(FieldOf(*head, "Connection")) == "close";
    if (ends) {
      close(fd);
      continue;
    }
    Pause(0.05);
    const auto second = "b" + std::to_string(i);
    ask("GET /list/x", second);
    const auto next = ReadHead(fd, &rest, 3.0);
    const auto line = next ? next->substr(0, next->find('\n')) : std::string();
    record.Line("client: GET " + second + ": the next bytes are '" +
                line.substr(0, 60) + "'");
    answered += next ? 1 : 0;
    broken += next && !next->starts_with("HTTP/1.1 ") ? 1 : 0;
    close(fd);
  }
  std::string how;
  if (router.HasEnded(&how)) {
    record.Line("the router ended: " + how);
    return 1;
  }
  record.Line(std::to_string(answered) + " connections used again, on " +
              std::to_string(broken) +
              " of them bytes that are no answer came");
  return broken > 0 ? 1 : answered > 0 ? 0 : 2;
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
