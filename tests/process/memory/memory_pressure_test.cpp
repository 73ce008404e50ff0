#include "process/memory/memory_pressure.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
#include <random>

namespace burdockring {
namespace {

constexpr std::size_t kMb = 1U << 20U;
constexpr std::size_t kLimit = 16 * kMb;
constexpr std::size_t kCloseAt = kLimit / 8 * 7;

TEST(MemoryPressure, LevelsFollowEachOther)
{
  const MemoryPressure pressure(kLimit);
  EXPECT_EQ(pressure.LevelAt(0), MemoryLevel::kFree);
  EXPECT_EQ(pressure.LevelAt(kLimit / 2 - 1), MemoryLevel::kFree);
  EXPECT_EQ(pressure.LevelAt(kLimit / 2), MemoryLevel::kBackpressure);
  EXPECT_EQ(pressure.LevelAt(kLimit / 4 * 3), MemoryLevel::kReject);
  EXPECT_EQ(pressure.LevelAt(kCloseAt), MemoryLevel::kClose);
}

// Guards against a full budget that keeps out ordinary requests as well.
TEST(MemoryPressure, LastEighthIsForSmallHolders)
{
  const MemoryPressure pressure(kLimit);
  EXPECT_FALSE(pressure.MayHold(kCloseAt, 4 * kMb, 1));
  EXPECT_TRUE(pressure.MayHold(kCloseAt, 0, 1000));
  EXPECT_FALSE(pressure.MayHold(kLimit, 0, 1));
  EXPECT_FALSE(pressure.MayBegin(kLimit / 4 * 3, 100'000));
  EXPECT_TRUE(pressure.MayBegin(kLimit / 4 * 3, 1000));
  EXPECT_TRUE(pressure.MayBegin(kLimit / 4 * 3 - 1, 4 * kMb));
}

TEST(MemoryPressure, NothingIsPausedOrClosedWhileThereIsRoom)
{
  const MemoryPressure pressure(kLimit);
  EXPECT_TRUE(
    pressure.SelectPaused(kLimit / 2 - 1, { { 1, kMb, kMb, 1s } }).empty());
  EXPECT_TRUE(
    pressure.SelectClosed(kCloseAt - 2, 1, { { 1, kMb, 10s } }).empty());
}

TEST(MemoryPressure, SlowestBodiesArePausedSoThatTheOthersFit)
{
  const MemoryPressure pressure(kLimit);
  // 6 MB are free for large holders. The rates are 1, 4, 2 and 3 MB/s.
  const std::vector<BodyInProgress> bodies{ { 1, kMb, 3 * kMb, 1s },
                                            { 2, 2 * kMb, 2 * kMb, 500ms },
                                            { 3, 2 * kMb, 3 * kMb, 1s },
                                            { 4, 3 * kMb, 3 * kMb, 1s } };
  EXPECT_EQ(pressure.SelectPaused(8 * kMb, bodies),
            (std::vector<std::uint64_t>{ 3, 1 }));
}

TEST(MemoryPressure, OneBodyIsReadHoweverLittleRoomThereIs)
{
  const MemoryPressure pressure(kLimit);
  EXPECT_EQ(pressure.SelectPaused(
              kLimit, { { 1, kMb, 3 * kMb, 1s }, { 2, kMb, 3 * kMb, 2s } }),
            std::vector<std::uint64_t>{ 2 });
}

TEST(MemoryPressure, SmallBodiesAreNotPaused)
{
  const MemoryPressure pressure(kLimit);
  EXPECT_TRUE(
    pressure.SelectPaused(kLimit, { { 1, 1, 1000, 1s }, { 2, 1, 1000, 2s } })
      .empty());
}

TEST(MemoryPressure, MostBytesWithLeastProgressAreClosedFirst)
{
  const MemoryPressure pressure(kLimit);
  // A large body that progresses, a smaller one that stalls, a response that
  // nobody reads, and a small request.
  const std::vector<MemoryHolder> holders{
    { 1, 4 * kMb, 2ms }, { 2, kMb, 3s }, { 3, 3 * kMb, 2s }, { 4, 1000, 500ms }
  };
  EXPECT_EQ(pressure.SelectClosed(kCloseAt, 0, holders),
            std::vector<std::uint64_t>{ 3 });
  EXPECT_EQ(pressure.SelectClosed(kCloseAt, 2 * kMb, holders),
            (std::vector<std::uint64_t>{ 3, 2 }));
  EXPECT_EQ(pressure.SelectClosed(10 * kLimit, 0, holders),
            (std::vector<std::uint64_t>{ 3, 2, 1 }));
}

// Guards against many small holders that never end, which together fill the
// budget.
TEST(MemoryPressure, SmallHoldersThatStallAreClosed)
{
  const MemoryPressure pressure(kLimit);
  std::vector<MemoryHolder> holders;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    holders.push_back({ i, 15'000, i < 500 ? Duration(1500ms) : 10ms });
  }
  const auto closed = pressure.SelectClosed(kCloseAt, 0, holders);
  EXPECT_FALSE(closed.empty());
  EXPECT_TRUE(std::ranges::all_of(closed, [](auto aId) { return aId < 500; }));
}

/// Bodies that stop one byte short, beside bodies that progress: replays the
/// load in steps, with the decisions as the router takes them.
TEST(MemoryPressure, BodiesThatProgressCompleteBesideThoseThatStall)
{
  const MemoryPressure pressure(kLimit);
  struct Client
  {
    std::size_t body_ = 0;
    std::size_t stopsAt_ = 0;
    std::size_t received_ = 0;
    Duration progressedAt_{};
    bool open_ = true;
    bool whole_ = false;
  };
  std::mt19937 random(20261206);
  std::vector<Client> clients;
  for (int i = 0; i < 1000; ++i) {
    const auto body = 50'000 + random() % 50'000;
    const bool isHonest = i % 10 == 0;
    clients.push_back({ body, isHonest ? body : body - 1 });
  }
  const auto held = [&] {
    return std::accumulate(clients.begin(), clients.end(), std::size_t{ 0 },
                           [](std::size_t aSum, const Client& aClient) {
                             return aSum +
                                    (aClient.open_ ? aClient.received_ : 0);
                           });
  };
  std::size_t most = 0;
  Duration now{};
  for (int step = 0; step < 200; ++step) {
    now += 50ms;
    std::vector<BodyInProgress> bodies;
    std::vector<MemoryHolder> holders;
    for (std::size_t i = 0; i < clients.size(); ++i) {
      const auto& client = clients[i];
      if (client.open_) {
        bodies.push_back(
          { i, client.received_, client.body_ - client.received_, now });
        holders.push_back({ i, client.received_, now - client.progressedAt_ });
      }
    }
    const auto paused = pressure.SelectPaused(held(), bodies);
    for (const auto id : pressure.SelectClosed(held(), 0, holders)) {
      clients[id].open_ = false;
    }
    for (std::size_t i = 0; i < clients.size(); ++i) {
      auto& client = clients[i];
      const auto more =
        std::min<std::size_t>(8000, client.stopsAt_ - client.received_);
      if (!client.open_ || more == 0 ||
          std::ranges::find(paused, i) != paused.end()) {
        continue;
      }
      if (!pressure.MayHold(held(), client.received_, more)) {
        client.open_ = false;
        continue;
      }
      client.received_ += more;
      client.progressedAt_ = now;
      if (client.received_ == client.body_) {
        client.whole_ = true;
        client.open_ = false;
      }
      most = std::max(most, held());
    }
  }
  EXPECT_LE(most, kLimit);
  const auto whole =
    std::ranges::count_if(clients, [](const auto& aC) { return aC.whole_; });
  EXPECT_GT(whole, 0);
}

} // namespace
} // namespace burdockring
