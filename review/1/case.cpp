// A new version takes the last tenant away: its list of tenants is empty. Do
// requests with the tenant's key run later than revokeMs after it? And requests
// with a key that no configuration ever held?

#include "../support/review.h"

namespace {

using namespace review;

constexpr int kRouters = 2;
constexpr int kClients = 6;
constexpr double kRevokeMs = 5000;
constexpr const char* kHeldKey = "asnmgkcuyj8pjbvk9m68";
constexpr const char* kForeignKey = "zz00never0held0zz000";

std::mutex tenantMutex;
/// The tenant that the engine was told, by attempt.
std::map<std::string, std::string> tenants;

auto Record800Bytes(const Message& aRequest, Link* aLink) -> bool
{
  const auto id = aRequest.Field("x-attempt-id");
  {
    const std::lock_guard lock(tenantMutex);
    tenants[id] = aRequest.Field("x-tenant");
  }
  SleepMs(15);
  return aLink->Write(AnswerBytes(id, "stamp", std::string(800, 'x')));
}

/// One tenant as in the pages' example, or none.
auto Configuration(int aVersion, bool aHasTenant) -> std::string
{
  const auto tenant = "{\"name\":\"hule930\",\"apiKeys\":[\"" +
                      std::string(kHeldKey) +
                      "\",\"k7b2ex5wa5xwyhks8nbk\"],\"priority\":1}";
  return "{\"version\":" + std::to_string(aVersion) +
         ",\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
         "\"pathPrefix\":\"/book/\",\"kind\":\"unsafe\",\"timeoutMs\":1000,"
         "\"targetLatencyMs\":100,\"priority\":2,\"service\":\"app\","
         "\"maxAttempts\":1,\"public\":false}],\"services\":[{\"name\":\"app\","
         "\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\","
         "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
         "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000},\"tenants\":[" +
         (aHasTenant ? tenant : std::string()) + "]}";
}

struct Sent
{
  double at_ = 0;
  bool isHeldKey_ = true;
  int status_ = 0;
};

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  Prepare();
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const Folder folder;
  Store store;
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 3; ++i) {
    engines.push_back(
      std::make_unique<Engine>(&store, "i-app-" + std::to_string(i), "app",
                               "z" + std::to_string(i % 2), Record800Bytes));
  }
  store.Put("keyed.op", "config", Configuration(7, true));
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 0; i < kRouters; ++i) {
    routers.push_back(std::make_unique<Router>(
      "front-" + std::to_string(i), "z" + std::to_string(i), folder.Path(),
      store.Door(store.AddDoor()).Port()));
    routers.back()->Start();
  }
  for (const auto& router : routers) {
    if (!WaitUntil(8000, [&] { return router->IsReady(); })) {
      return kCouldNotRun;
    }
  }
  SleepMs(4000);
  const double begin = NowMs();
  std::atomic<bool> stop{ false };
  std::atomic<int> number{ 0 };
  std::mutex mutex;
  std::map<std::string, Sent> all;
  std::vector<std::thread> clients;
  // The last client has a key that no configuration ever held.
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      const bool isHeldKey = client + 1 < kClients;
      const auto fields = "Authorization: Token " +
                          std::string(isHeldKey ? kHeldKey : kForeignKey) +
                          "\r\n";
      const auto& router = routers[client % kRouters];
      for (int i = 0; !stop; ++i) {
        SleepUntil(begin + i * 100 + client * 15);
        const auto id = "req-" + std::to_string(++number);
        Sent sent{ NowMs(), isHeldKey, 0 };
        sent.status_ =
          Ask(router->Front(), RequestBytes("/book/x", id, 1000, fields), 1500)
            .Status();
        record.Line("sent %s to %s at %.1f with %s key, answer %d", id.c_str(),
                    router->Name().c_str(), sent.at_,
                    isHeldKey ? "the tenant's" : "a foreign", sent.status_);
        const std::lock_guard lock(mutex);
        all[id] = sent;
      }
    });
  }
  SleepMs(2000);
  if (Trouble()) {
    store.Put("keyed.op", "config", Configuration(8, false));
  }
  // The store has acknowledged it by now.
  const double takenAt = NowMs();
  if (Trouble()) {
    record.Line("version 8 has no tenant any more; acknowledged at %.1f",
                takenAt);
  }
  SleepMs(8000);
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  std::set<std::string> ran;
  for (const auto& engine : engines) {
    for (const auto& run : engine->Runs()) {
      ran.insert(run.attemptId_);
      record.Line("run %s at %s at %.1f", run.attemptId_.c_str(),
                  run.engine_.c_str(), run.at_);
    }
  }
  int before = 0;
  int late = 0;
  int foreign = 0;
  for (const auto& [id, sent] : all) {
    if (!ran.contains(id)) {
      continue;
    }
    before += sent.isHeldKey_ && sent.at_ < takenAt ? 1 : 0;
    if (!sent.isHeldKey_) {
      ++foreign;
      record.Line("FOREIGN KEY RUNS %s, sent at %.1f, X-Tenant '%s'",
                  id.c_str(), sent.at_, tenants[id].c_str());
    } else if (Trouble() && sent.at_ - takenAt > kRevokeMs) {
      ++late;
      record.Line("REVOKED KEY RUNS %s, sent %.0f ms after the "
                  "acknowledgement, X-Tenant '%s'",
                  id.c_str(), sent.at_ - takenAt, tenants[id].c_str());
    }
  }
  record.Line("requests %zu; run before the change %d; run with the key later "
              "than revokeMs after it was taken away %d; run with a key that "
              "was never held %d",
              all.size(), before, late, foreign);
  std::printf("requests %zu; run before the change %d; run with the key later "
              "than revokeMs after it was taken away %d; run with a key that "
              "was never held %d\n",
              all.size(), before, late, foreign);
  return before < 20 ? kCouldNotRun : late + foreign > 0 ? kBroken : kHeld;
}
