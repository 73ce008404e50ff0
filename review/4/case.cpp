// One part of a prompt crashes each engine that begins to write an answer on
// it: the engine writes the head and the first event, and dies. How many such
// requests reach engines after the fifth crash?

#include "../support/review.h"

namespace {

using namespace review;

constexpr double kStableWindowMs = 3000;
constexpr double kPoisonForMs = 22'000;
constexpr int kEngines = 10;
constexpr const char* kDeadlyPart = "dead0001";

auto Event(int aNumber) -> std::string
{
  return "id: " + std::to_string(aNumber) + "\ndata: abcdefgh\n\n";
}

auto Chunk(const std::string& aBytes) -> std::string
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

/// For comparison: with HEAD_ONLY=1 the engine dies before its first event.
auto HeadOnly() -> bool
{
  const char* value = std::getenv("HEAD_ONLY");
  return value != nullptr && std::string(value) == "1";
}

struct Fleet
{
  std::mutex mutex_;
  std::vector<std::unique_ptr<Engine>> engines_;
  /// Crashes, and arrivals of requests with the deadly part.
  std::vector<double> crashes_;
  std::vector<double> arrivals_;
};

auto Answer(Fleet* aFleet,
            int aEngine,
            Record* aRecord,
            const Message& aRequest,
            Link* aLink) -> bool
{
  const auto id = aRequest.Field("x-attempt-id");
  const bool deadly =
    aRequest.Field("x-prompt-prefix").find(kDeadlyPart) != std::string::npos;
  const int after = std::atoi(aRequest.Field("last-event-id").c_str());
  if (deadly) {
    const std::lock_guard lock(aFleet->mutex_);
    aFleet->arrivals_.push_back(NowMs());
    aRecord->Line("deadly request %s reaches engine %d", id.c_str(), aEngine);
  } else {
    aRecord->Line("sound request %s runs at engine %d", id.c_str(), aEngine);
  }
  SleepMs(20);
  if (!aLink->Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                    "\r\nX-Response-Stamp: s" + std::to_string(aEngine) +
                    "\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n" +
                    (deadly && HeadOnly() ? "" : Chunk(Event(after + 1))))) {
    return false;
  }
  if (deadly) {
    SleepMs(5);
    {
      const std::lock_guard lock(aFleet->mutex_);
      aFleet->crashes_.push_back(NowMs());
      aRecord->Line("engine %d crashes", aEngine);
    }
    // Does not wait for this call to end.
    aFleet->engines_[aEngine]->Crash();
    std::thread([aFleet, aEngine] {
      SleepMs(3000);
      aFleet->engines_[aEngine]->Return();
    }).detach();
    return false;
  }
  for (int i = after + 2; i <= 40; ++i) {
    SleepMs(20);
    if (!aLink->Write(Chunk(Event(i)))) {
      return false;
    }
  }
  return aLink->Write("0\r\n\r\n");
}

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  Prepare();
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const Folder folder;
  Store store;
  Fleet fleet;
  for (int i = 0; i < kEngines; ++i) {
    fleet.engines_.push_back(std::make_unique<Engine>(
      &store, "i-llm-" + std::to_string(i), "llm", i % 2 == 0 ? "z1" : "z2",
      [&fleet, &record, i](const Message& aRequest, Link* aLink) {
        return Answer(&fleet, i, &record, aRequest, aLink);
      }));
  }
  store.Put(
    "keyed.op", "config",
    ConfigurationText(1,
                      { { "/talk/", "stream", "llm", 15'000, 2, true },
                        { "/note/", "stream", "llm", 15'000, 1, false } },
                      { "llm" }));
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 0; i < 2; ++i) {
    routers.push_back(std::make_unique<Router>(
      "front-" + std::to_string(i), i == 0 ? "z1" : "z2", folder.Path(),
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
  std::atomic<int> sent{ 0 };
  std::atomic<int> whole{ 0 };
  std::atomic<int> cut{ 0 };
  std::vector<std::thread> clients;
  // 20 requests a second, of which one (a share of 0.05) has the deadly part.
  for (int client = 0; client < 20; ++client) {
    clients.emplace_back([&, client] {
      for (int i = 0;; ++i) {
        SleepUntil(begin + i * 1000 + client * 50);
        if (NowMs() > begin + kPoisonForMs) {
          return;
        }
        const bool deadly = Trouble() && client == 7;
        char parts[96];
        std::snprintf(parts, sizeof(parts), "aa01:512,%s:200,c%x%02x:50",
                      deadly ? kDeadlyPart : "bb02", i, client);
        const auto id =
          "talk-" + std::to_string(client) + "-" + std::to_string(i);
        const auto answer =
          Ask(routers[static_cast<std::size_t>(i + client) % 2]->Front(),
              RequestBytes(client % 2 == 1 ? "/talk/x" : "/note/x", id, 5000,
                           "X-Model: m\r\nX-Token-Counts: 762,20\r\n"
                           "X-Prompt-Prefix: " +
                             std::string(parts) + "\r\n"),
              6000);
        if (!deadly) {
          ++sent;
          ++(answer.complete_ && answer.Status() == 200 ? whole : cut);
        }
        record.Line("sent %s%s answer %d%s", id.c_str(),
                    deadly ? " deadly" : "", answer.Status(),
                    answer.complete_ ? "" : " incomplete");
      }
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  SleepMs(3500);
  const std::lock_guard lock(fleet.mutex_);
  int late = 0;
  if (fleet.crashes_.size() >= 5) {
    for (const double at : fleet.arrivals_) {
      late += at > fleet.crashes_[4] + kStableWindowMs ? 1 : 0;
    }
  }
  const int crashes = static_cast<int>(fleet.crashes_.size());
  record.Line(
    "sound requests %d, whole %d, lost or refused %d; crashes %d; deadly "
    "requests at engines later than 3 s after the fifth crash %d",
    sent.load(), whole.load(), cut.load(), crashes, late);
  std::printf(
    "sound requests %d, whole %d, lost or refused %d; crashes %d; deadly "
    "requests at engines later than 3 s after the fifth crash %d\n",
    sent.load(), whole.load(), cut.load(), crashes, late);
  if (whole < sent / 4) {
    return kCouldNotRun;
  }
  return late > 3 ? kBroken : kHeld;
}
