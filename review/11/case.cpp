// Another writer has an entry among those of the engines, for a server of its
// own. The entry lacks fields, and one has another type.

#include "../support-3/harness.h"

using namespace review;

namespace {

constexpr int kEngines = 3;
constexpr int kCallers = 4;
constexpr std::int64_t kBeforeMs = 3000;
constexpr std::int64_t kAfterMs = 12000;

} // namespace

auto main(int /*aCount*/, char** aArguments) -> int
{
  Record record(std::string(aArguments[1]) + "/record.txt");
  Folder folder;
  const int ports = FreePorts(24);
  Store store("127.0.0.1", ports);
  store.Put(
    "keyed.op",
    { "config",
      "{\"version\":3,\"routes\":[{\"name\":\"once\",\"host\":\"site.example\","
      "\"pathPrefix\":\"/once/\",\"kind\":\"unsafe\",\"timeoutMs\":1000,"
      "\"targetLatencyMs\":100,\"priority\":1,\"service\":\"app\","
      "\"maxAttempts\":1,\"public\":false}],\"services\":[{\"name\":\"app\","
      "\"maxConns\":110}],\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
      "15000},\"tenants\":[{\"name\":\"hotel\",\"apiKeys\":[\"key1\"]}]}" });
  std::mutex mutex;
  std::map<std::string, std::string> ranAt;
  int lab = 0;
  std::vector<std::unique_ptr<Server>> servers;
  const auto serve = [&](const std::string& aHost, const std::string& aId) {
    servers.push_back(std::make_unique<Server>(
      aHost, ports + 1, [&, aId](int aSocket, const Message& aRequest) {
        const auto id = aRequest.Field("x-attempt-id");
        const auto fields = "X-Attempt-Id: " + id + "\r\n";
        const auto expected = aRequest.Field("x-expect-instance");
        if (!expected.empty() && expected != aId) {
          return SendAll(aSocket,
                         Answer(421, fields + "X-Not-Executed: 1\r\n", ""));
        }
        {
          const std::lock_guard lock(mutex);
          ranAt[id] = aId;
          lab += aId == "lab-9" ? 1 : 0;
        }
        record.Line(aId + " runs " + id);
        SleepMs(15);
        return SendAll(
          aSocket, Answer(200, fields + "X-Response-Stamp: s." + aId + "\r\n",
                          "from " + aId));
      }));
  };
  for (int i = 1; i <= kEngines; ++i) {
    const auto host = "127.2.0." + std::to_string(i);
    const auto id = "i-" + std::to_string(i);
    serve(host, id);
    store.Put("keyed.servers",
              { id, EngineEntry("app", host + ":" + std::to_string(ports + 1),
                                "zone-a", 6) });
  }
  // A server of the lab's own service. It does not register.
  serve("127.2.0.9", "lab-9");
  RouterSettings settings;
  settings.name_ = "front-1";
  settings.ip_ = "127.1.0.1";
  settings.frontPort_ = ports + 2;
  settings.readyPort_ = ports + 3;
  settings.controlPort_ = ports + 4;
  settings.internalPort_ = ports + 5;
  settings.store_ = store.Where();
  Router router(settings, folder.Path());
  router.Start();
  if (!router.WaitReady(10000)) {
    CannotRun("the router is not ready");
  }
  std::atomic<bool> stop{ false };
  std::atomic<int> served{ 0 };
  std::atomic<int> others{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        const auto id = Text("c%d-%d", i, n);
        const int socket = Connect(settings.ip_, settings.frontPort_);
        std::string buffer;
        Message answer;
        const bool sent =
          socket >= 0 &&
          SendAll(socket, "POST /once/c HTTP/1.1\r\nHost: site.example\r\n"
                          "X-Attempt-Id: " +
                            id +
                            "\r\nX-Deadline-Ms: 1000\r\nAuthorization: "
                            "Token key1\r\nConnection: close\r\n"
                            "Content-Length: 5\r\n\r\ncount");
        const auto end =
          sent ? ReadMessage(socket, &buffer, &answer, 1500) : End::kClosed;
        if (socket >= 0) {
          close(socket);
        }
        const bool isServed = end == End::kWhole && answer.Status() == 200;
        ++(isServed ? served : others);
        record.Line(
          "caller " + id + ": " +
          (end == End::kWhole ? std::to_string(answer.Status()) : "no answer") +
          " " + (isServed ? answer.body_ : ""));
        SleepMs(40);
      }
    });
  }
  SleepMs(kBeforeMs);
  if (HasTrouble()) {
    store.Put("keyed.servers",
              { "lab-9", "{\"service\":\"app\",\"address\":\"127.2.0.9:" +
                           std::to_string(ports + 1) +
                           "\",\"zone\":\"zone-a\",\"slots\":6,\"state\":"
                           "\"ready\",\"coldLeftMs\":\"none\"}" });
    record.Line("another writer has put its entry");
  }
  SleepMs(kAfterMs);
  stop = true;
  for (auto& caller : callers) {
    caller.join();
  }
  router.Kill();
  const auto line = Text("%d served, %d not; %d ran at the lab's server",
                         served.load(), others.load(), lab);
  record.Line(line);
  printf("%s\n", line.c_str());
  if (served.load() < 20) {
    CannotRun("little is served");
  }
  record.Line(lab > 0 ? "ROUTE is broken" : "ROUTE holds");
  return lab > 0 ? 1 : 0;
}
