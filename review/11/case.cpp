// Another writer has entries among those of the engines, which name no engine
// and whose names hold a space. Then all routers are killed and start again.

#include "../support-3/harness.h"

using namespace review;

namespace {

constexpr int kRouters = 2;
constexpr int kEngines = 4;
constexpr int kEntries = 30;
constexpr std::size_t kEntryBytes = 40000;
constexpr std::int64_t kRecoverMs = 12000;

struct Tally
{
  int sent_ = 0;
  int served_ = 0;
  std::map<std::string, int> others_;
};

auto Ask(const RouterSettings& aRouter, const std::string& aId) -> std::string
{
  const int socket = Connect(aRouter.ip_, aRouter.frontPort_);
  if (socket < 0) {
    return "no connection";
  }
  std::string buffer;
  Message answer;
  const bool sent =
    SendAll(socket, "GET /read/x HTTP/1.1\r\nHost: site.example\r\n"
                    "X-Attempt-Id: " +
                      aId +
                      "\r\nX-Deadline-Ms: 1000\r\nConnection: close"
                      "\r\n\r\n");
  const auto end =
    sent ? ReadMessage(socket, &buffer, &answer, 1500) : End::kClosed;
  close(socket);
  return end == End::kWhole ? std::to_string(answer.Status()) : "no answer";
}

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
      "{\"version\":3,\"routes\":[{\"name\":\"read\",\"host\":\"site.example\","
      "\"pathPrefix\":\"/read/\",\"kind\":\"safe\",\"timeoutMs\":1000,"
      "\"targetLatencyMs\":100,\"priority\":1,\"service\":\"app\","
      "\"maxAttempts\":2,\"public\":true}],\"services\":[{\"name\":\"app\","
      "\"maxConns\":110}],\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
      "15000},\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"]}]}" });
  std::vector<std::unique_ptr<Server>> engines;
  for (int i = 1; i <= kEngines; ++i) {
    const auto host = "127.2.0." + std::to_string(i);
    engines.push_back(std::make_unique<Server>(
      host, ports + 1, [&](int aSocket, const Message& aRequest) {
        const auto id = aRequest.Field("x-attempt-id");
        SleepMs(15);
        return SendAll(aSocket,
                       Answer(200,
                              "X-Attempt-Id: " + id +
                                "\r\nX-Response-Stamp: s." + id + "\r\n",
                              std::string(800, 'a')));
      }));
    store.Put("keyed.servers",
              { "i-" + std::to_string(i),
                EngineEntry("app", host + ":" + std::to_string(ports + 1),
                            "zone-a", 6) });
  }
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 1; i <= kRouters; ++i) {
    RouterSettings settings;
    settings.name_ = "front-" + std::to_string(i);
    settings.ip_ = "127.1.0." + std::to_string(i);
    settings.frontPort_ = ports + 2;
    settings.readyPort_ = ports + 3;
    settings.controlPort_ = ports + 4;
    settings.internalPort_ = ports + 5;
    settings.store_ = store.Where();
    routers.push_back(std::make_unique<Router>(settings, folder.Path()));
    routers.back()->Start();
  }
  for (const auto& router : routers) {
    if (!router->WaitReady(10000)) {
      CannotRun("a router is not ready at the start");
    }
  }
  int number = 0;
  const auto ask = [&](std::int64_t aMs, const char* aWhen) {
    Tally tally;
    for (const auto until = NowMs() + aMs; NowMs() < until; SleepMs(50)) {
      const auto id = Text("a%d", ++number);
      const auto& router =
        *routers[static_cast<std::size_t>(number) % routers.size()];
      const auto answer = Ask(router.Settings(), id);
      record.Line("request " + id + " to " + router.Settings().name_ + ": " +
                  answer);
      ++tally.sent_;
      if (answer == "200") {
        ++tally.served_;
      } else {
        ++tally.others_[answer];
      }
    }
    auto line =
      Text("%s: %d sent, %d served", aWhen, tally.sent_, tally.served_);
    for (const auto& [answer, count] : tally.others_) {
      line += ", " + answer + ": " + std::to_string(count);
    }
    record.Line(line);
    printf("%s\n", line.c_str());
    return tally;
  };
  const auto before = ask(4000, "before");
  if (HasTrouble()) {
    for (int i = 1; i <= kEntries; ++i) {
      store.Put("keyed.servers", { Text("lab stand %02d", i),
                                   std::string(kEntryBytes, '\x91') });
    }
    record.Line("another writer has put its entries");
  }
  const auto between = ask(6000, "with the entries");
  for (const auto& router : routers) {
    router->Kill();
  }
  record.Line("all routers are killed");
  SleepMs(1000);
  for (const auto& router : routers) {
    router->Start();
  }
  record.Line("all routers run again");
  ask(kRecoverMs + 500, "within recoverS");
  const auto after = ask(15000, "later");
  long memory = 0;
  for (const auto& router : routers) {
    memory = std::max(memory, router->MemoryKb());
    record.Line(Text("%s: ready answers %d, %ld kB",
                     router->Settings().name_.c_str(), router->Ready(),
                     router->MemoryKb()));
  }
  record.Line(Text("calls of the store that were no HTTP request: %d; newest "
                   "of the engines: %d",
                   store.Calls("malformed"),
                   store.Calls("newest keyed.servers")));
  if (before.served_ * 2 < before.sent_ ||
      between.served_ * 2 < between.sent_) {
    CannotRun("little is served before the fault");
  }
  const bool isBroken = after.served_ * 4 < after.sent_;
  record.Line(isBroken ? "RECOVER is broken" : "RECOVER holds");
  return isBroken ? 1 : 0;
}
