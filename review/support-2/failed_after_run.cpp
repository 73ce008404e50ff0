// A server runs unsafe requests and fails some of them with its own 503, which
// lacks X-Not-Executed. Usage: failed_after_run FOLDER
// FOLDER gets record.txt. Exit code: 1 the rule was broken, 0 it held, 2 the
// case could not run.
#include "harness.h"

#include <filesystem>

namespace {

using namespace review;

/// As in comptes-app: 4 servers with 6 slots each.
constexpr int kServers = 4;
constexpr int kSlots = 6;
constexpr int kBookings = 120;
/// Of ten requests at the first server, so many fail: share 0.25, x 0.4.
constexpr int kFailedOfTen = 4;
/// The site file has 6.5 s.
constexpr double kFailsForS = 6.5;

/// What the servers did, by the request's id and by the booking in its body.
class Book
{
  std::mutex mutex_;
  std::map<std::string, int> runsById_;
  std::map<std::string, int> runsByBooking_;

public:
  auto Run(const std::string& aId, const std::string& aBooking) -> void
  {
    const std::lock_guard lock(mutex_);
    ++runsById_[aId];
    ++runsByBooking_[aBooking];
  }

  auto RunsOf(const std::string& aId) -> int
  {
    const std::lock_guard lock(mutex_);
    return runsById_[aId];
  }

  auto BookedTwice() -> int
  {
    const std::lock_guard lock(mutex_);
    int twice = 0;
    for (const auto& [booking, runs] : runsByBooking_) {
      twice += runs > 1 ? 1 : 0;
    }
    return twice;
  }
};

auto StatusOf(const std::optional<Message>& aAnswer) -> std::string
{
  return aAnswer ? aAnswer->head_.substr(9, 3) : "none";
}

auto Run(const std::string& aFolder, const std::string& aTemporary) -> int
{
  Record record(aFolder + "/record.txt");
  const bool trouble = HasTrouble();
  record.Line(trouble ? "with the trouble" : "without the trouble");
  Store store(&record);
  Book book;
  std::atomic<int> arrivals{ 0 };
  const auto begin = SteadyClock::now();
  std::vector<std::unique_ptr<Listener>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Listener>([&, i](int aFd) {
      std::string rest;
      while (const auto request = ReadMessage(aFd, &rest, 600.0)) {
        const auto id = FieldOf(request->head_, "X-Attempt-Id");
        book.Run(id, request->body_);
        Pause(0.015);
        const std::chrono::duration<double> passed = SteadyClock::now() - begin;
        const bool fails = trouble && i == 0 && passed.count() < kFailsForS &&
                           arrivals.fetch_add(1) % 10 < kFailedOfTen;
        record.Line("server i-" + std::to_string(i) + ": ran " + id + " (" +
                    request->body_ + "), answers " + (fails ? "503" : "200"));
        const std::string body = fails ? "no database" : "booked";
        if (!SendAll(
              aFd, std::string("HTTP/1.1 ") +
                     (fails ? "503 Service Unavailable" : "200 OK") +
                     "\r\nX-Attempt-Id: " + id + "\r\nX-Response-Stamp: s." +
                     id + "\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body)) {
          return;
        }
      }
    }));
  }
  store.Put("keyed.op", "config",
            "{\"version\":3,\"routes\":[{\"name\":\"confirm\",\"host\":\"h\","
            "\"pathPrefix\":\"/confirm/\",\"service\":\"app\",\"kind\":"
            "\"unsafe\",\"timeoutMs\":1000,\"targetLatencyMs\":100,"
            "\"maxAttempts\":1,\"public\":true}],\"services\":[{\"name\":"
            "\"app\",\"maxConns\":110}],\"limits\":{\"maxHeaderBytes\":16384,"
            "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":10000,"
            "\"idleTimeoutMs\":30000},\"tenants\":[]}");
  for (int i = 0; i < kServers; ++i) {
    store.Put("keyed.servers", "i-" + std::to_string(i),
              ServerEntry("app", "z", servers[i]->Port(), kSlots));
  }
  Router router(&record, "front-1", "z", store.Port(), aTemporary);
  if (!router.Start() || !router.WaitReady(15.0)) {
    record.Line("the router did not become ready");
    return 2;
  }
  int broken = 0;
  int served = 0;
  // Sends an attempt on a new connection; returns its status.
  const auto ask = [&](const std::string& aId, const std::string& aBooking) {
    const int fd = ConnectTo(router.Front());
    std::string rest;
    SendAll(fd, "POST /confirm/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + aId +
                  "\r\nX-Deadline-Ms: 1000\r\nContent-Length: " +
                  std::to_string(aBooking.size()) + "\r\n\r\n" + aBooking);
    const auto status = StatusOf(ReadMessage(fd, &rest, 2.0));
    close(fd);
    const int runs = book.RunsOf(aId);
    record.Line("client: " + aId + " (" + aBooking + ") gets " + status +
                ", it ran " + std::to_string(runs) + " times");
    broken += (status == "503" || status == "429") && runs > 0 ? 1 : 0;
    served += status == "200" ? 1 : 0;
    return status;
  };
  for (int i = 0; i < kBookings; ++i) {
    const auto booking = "booking-" + std::to_string(i);
    if (ask("a" + std::to_string(i), booking) == "503") {
      // 503 is a promise: the client tries again, once.
      Pause(0.05);
      ask("b" + std::to_string(i), booking);
    }
  }
  std::string how;
  if (router.HasEnded(&how)) {
    record.Line("the router ended: " + how);
    return 1;
  }
  record.Line(std::to_string(served) + " of " + std::to_string(kBookings) +
              " served; " + std::to_string(broken) +
              " requests ran and were answered 503; " +
              std::to_string(book.BookedTwice()) + " bookings were made twice");
  if (served < kBookings / 2) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
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
