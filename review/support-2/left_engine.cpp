// A router that reads the list of engines for the others is cut off from the
// store. At that time an engine leaves without a word: its entry is removed.
// For how long do the other routers go on sending requests to it?

#include "../support/review.h"

namespace {

using namespace review;

constexpr double kDrainMs = 2000;
constexpr double kCutMs = 2500;
constexpr int kEngines = 14;
constexpr int kRounds = 10;
constexpr double kRoundMs = 8000;
/// An engine that leaves serves for so long: drainMs and a little longer.
constexpr double kServeOnMs = kDrainMs + 200;

auto AnswerSoon(const Message& aRequest, Link* aLink) -> bool
{
  SleepMs(80);
  return aLink->Write(
    AnswerBytes(aRequest.Field("x-attempt-id"), "stamp", "booked"));
}

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  Prepare();
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const Folder folder;
  Store store;
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(
      std::make_unique<Engine>(&store, "i-app-" + std::to_string(i), "app",
                               "z" + std::to_string(i % 3), AnswerSoon));
  }
  store.Put("keyed.op", "config",
            ConfigurationText(
              1, { { "/book/", "unsafe", "app", 1000, 1, false } }, { "app" }));
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<std::atomic<double>> cutAt(3);
  std::vector<std::atomic<double>> backAt(3);
  for (int i = 0; i < 3; ++i) {
    cutAt[i] = -1e9;
    backAt[i] = -1e9;
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
  std::atomic<bool> stop{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> answered{ 0 };
  std::atomic<int> failed{ 0 };
  std::mutex mutex;
  std::map<std::string, int> routerOf;
  std::vector<std::thread> clients;
  for (int client = 0; client < 24; ++client) {
    clients.emplace_back([&, client] {
      const int router = client % 3;
      while (!stop) {
        const auto id = "book-" + std::to_string(++sent);
        {
          const std::lock_guard lock(mutex);
          routerOf[id] = router;
        }
        const auto answer = Ask(routers[router]->Front(),
                                RequestBytes("/book/x", id, 1000), 1500);
        record.Line("sent %s to %s answered %d", id.c_str(),
                    routers[router]->Name().c_str(), answer.Status());
        answered += answer.Status() == 200 ? 1 : 0;
        failed += answer.Status() != 200 ? 1 : 0;
        SleepMs(40);
      }
    });
  }
  int late = 0;
  double latest = 0;
  SleepMs(1000);
  for (int round = 0; round < kRounds; ++round) {
    const double begin = NowMs();
    const int reader = store.LastReader();
    if (Trouble()) {
      record.Line("%s, which read the list last, is cut off from the store",
                  routers[reader]->Name().c_str());
      store.Door(reader).Refuse();
    }
    SleepMs(100.0 * (round % 5 + 1));
    auto& engine = *engines[round];
    const double removedAt = NowMs();
    engine.Deregister();
    record.Line("servers/%s is removed; it serves on", engine.Id().c_str());
    std::thread leaver([&] {
      SleepUntil(removedAt + kServeOnMs);
      engine.Crash();
      record.Line("%s has exited", engine.Id().c_str());
    });
    SleepUntil(begin + kCutMs);
    if (Trouble()) {
      store.Door(reader).Listen();
      record.Line("%s reaches the store again",
                  routers[reader]->Name().c_str());
    }
    SleepUntil(begin + kRoundMs);
    leaver.join();
    for (const auto& run : engine.Runs()) {
      const std::lock_guard lock(mutex);
      const int router = routerOf[run.attemptId_];
      const double lag = run.at_ - removedAt;
      // Only what machines in touch took and sent on.
      if (lag > kDrainMs && (router != reader || !Trouble())) {
        ++late;
        latest = std::max(latest, lag);
        record.Line("LATE %s by %s at %s, %.0f ms after the removal",
                    run.attemptId_.c_str(), routers[router]->Name().c_str(),
                    run.engine_.c_str(), lag);
      }
    }
  }
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  record.Line("requests %d, answered 200 %d, otherwise %d, later than drainMs "
              "at an engine "
              "that has left %d, the last %.0f ms after the removal",
              sent.load(), answered.load(), failed.load(), late, latest);
  std::printf("requests %d, answered 200 %d, otherwise %d, later than drainMs "
              "at an engine "
              "that has left %d, the last %.0f ms after the removal\n",
              sent.load(), answered.load(), failed.load(), late, latest);
  if (answered < sent / 2) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
}
