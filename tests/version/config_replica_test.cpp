#include "version/config_replica.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace burdockring {
namespace {

auto MakeText(int aNumber) -> std::string
{
  return "zones: [{name: z" + std::to_string(aNumber) +
         "}]\n"
         "client_accounts: [{name: a, token_sha256: " +
         std::string(64, 'a') +
         "}]\n"
         "services: [{name: s}]\n";
}

auto MakeChange(ConfigNumber aBase, int aNumber) -> ConfigChange
{
  auto text = MakeText(aNumber);
  return { MakeChangeId(aBase, text), aBase, "test", text };
}

/// The log record at one offset.
struct LogItem
{
  std::optional<ConfigChange> change_;
  std::optional<ConfigSnapshot> snapshot_;
};

auto ReplayLog(ConfigReplica* aReplica,
               const std::vector<LogItem>& aLog,
               LogOffset aFrom,
               LogOffset aTo) -> void
{
  aReplica->BeginRead(aFrom);
  for (auto offset = aFrom; offset < aTo; ++offset) {
    const auto& item = aLog[static_cast<std::size_t>(offset)];
    if (item.change_) {
      aReplica->Apply(offset, *item.change_);
    } else if (item.snapshot_) {
      aReplica->Apply(offset, *item.snapshot_);
    }
  }
  aReplica->EndRead(aTo);
}

TEST(ConfigReplica, FirstChangeOnABaseWins)
{
  ConfigReplica replica;
  replica.BeginRead(0);
  EXPECT_EQ(replica.Apply(0, MakeChange(0, 1)), ChangeResult::kAccepted);
  EXPECT_EQ(replica.Apply(1, MakeChange(0, 2)), ChangeResult::kConflict);
  EXPECT_EQ(replica.Apply(2, MakeChange(1, 3)), ChangeResult::kAccepted);
  EXPECT_EQ(replica.Current().version_, 2);
  EXPECT_EQ(replica.History().size(), 3U);
}

TEST(ConfigReplica, RepublishedChangeIsADuplicate)
{
  ConfigReplica replica;
  replica.BeginRead(0);
  EXPECT_EQ(replica.Apply(0, MakeChange(0, 1)), ChangeResult::kAccepted);
  EXPECT_EQ(replica.Apply(1, MakeChange(0, 1)), ChangeResult::kDuplicate);
  EXPECT_EQ(replica.Current().version_, 1);
}

TEST(ConfigReplica, InvalidChangeIsRejected)
{
  ConfigReplica replica;
  replica.BeginRead(0);
  EXPECT_EQ(replica.Apply(0, ConfigChange{ "id", 0, "tool", "zones: 7" }),
            ChangeResult::kInvalid);
  EXPECT_EQ(replica.Current().version_, 0);
}

TEST(ConfigReplica, StaleSnapshotIsIgnored)
{
  ConfigReplica replica;
  replica.BeginRead(0);
  replica.Apply(0, MakeChange(0, 1));
  replica.Apply(1, MakeChange(1, 2));
  EXPECT_FALSE(replica.Apply(2, ConfigSnapshot{ 1, 0, "x", MakeText(1) }));
  EXPECT_EQ(replica.Current().version_, 2);
}

TEST(ConfigReplica, SnapshotSynchronizesAndLaterChangesAreDecided)
{
  // The writer had decided up to 9; the change at 10 precedes its snapshot.
  ConfigReplica replica;
  replica.BeginRead(8);
  EXPECT_EQ(replica.Apply(10, MakeChange(4, 5)), ChangeResult::kUndecided);
  EXPECT_TRUE(replica.Apply(11, ConfigSnapshot{ 4, 9, "four", MakeText(4) }));
  EXPECT_EQ(replica.Current().version_, 5);
  EXPECT_TRUE(replica.IsSynchronized());
}

TEST(ConfigReplica, SnapshotBeforeAReadGapIsServedButDoesNotSynchronize)
{
  ConfigReplica replica;
  replica.BeginRead(20);
  EXPECT_TRUE(replica.Apply(21, ConfigSnapshot{ 4, 9, "four", MakeText(4) }));
  EXPECT_EQ(replica.Current().version_, 4);
  EXPECT_FALSE(replica.IsSynchronized());
  EXPECT_EQ(replica.Apply(22, MakeChange(4, 5)), ChangeResult::kUndecided);
}

TEST(ConfigReplica, AppliesOnlyNewerPeerVersions)
{
  ConfigReplica replica;
  replica.BeginRead(0);
  replica.Apply(0, MakeChange(0, 1));
  EXPECT_FALSE(replica.ApplyPeerVersion(1, 5, "same", MakeText(1)));
  EXPECT_TRUE(replica.ApplyPeerVersion(3, 7, "three", MakeText(3)));
  EXPECT_EQ(replica.Current().version_, 3);
  EXPECT_FALSE(replica.ApplyPeerVersion(2, 9, "two", MakeText(2)));
  EXPECT_FALSE(replica.ApplyPeerVersion(9, 9, "bad", "zones: 7"));
  EXPECT_EQ(replica.Current().version_, 3);
}

/// Reference implementation: replays the whole log from its first record.
auto ReferenceVersion(const std::vector<LogItem>& aLog, LogOffset aTo)
  -> std::pair<ConfigNumber, std::string>
{
  ConfigNumber version = 0;
  std::string id;
  for (LogOffset offset = 0; offset < aTo; ++offset) {
    const auto& item = aLog[static_cast<std::size_t>(offset)];
    if (item.change_ && item.change_->base_ == version &&
        item.change_->changeId_ != id) {
      ++version;
      id = item.change_->changeId_;
    }
  }
  return { version, id };
}

/// Makes a log of concurrent changes and delayed, possibly stale snapshots.
auto MakeLog() -> std::vector<LogItem>
{
  std::vector<LogItem> log;
  std::vector<ConfigReplica> writers(2);
  const int length = *rc::gen::inRange(1, 40);
  for (int i = 0; i < length; ++i) {
    const auto end = static_cast<LogOffset>(log.size());
    const auto now = ReferenceVersion(log, end).first;
    auto& writer = writers[*rc::gen::inRange<std::size_t>(0, 2)];
    if (*rc::gen::inRange(0, 3) == 0) {
      ReplayLog(&writer, log, 0, end);
    }
    LogItem item;
    if (*rc::gen::inRange(0, 4) == 0 && writer.Current().version_ > 0) {
      const auto& current = writer.Current();
      item.snapshot_ = ConfigSnapshot{ current.version_, writer.DecidedTo(),
                                       current.changeId_, current.text_ };
    } else {
      const auto stale = *rc::gen::inRange<ConfigNumber>(0, 3);
      item.change_ = MakeChange(std::max<ConfigNumber>(0, now - stale),
                                *rc::gen::inRange(0, 5));
    }
    log.push_back(std::move(item));
  }
  return log;
}

TEST(ConfigReplica, MatchesReferenceReplayFromAnyStart)
{
  EXPECT_TRUE(rc::check("replay", [] {
    const auto log = MakeLog();
    const auto end = static_cast<LogOffset>(log.size());
    const auto start = *rc::gen::inRange<LogOffset>(0, end);
    ConfigReplica replica;
    ConfigNumber highest = 0;
    for (auto from = start; from < end;) {
      const auto to = *rc::gen::inRange<LogOffset>(from + 1, end + 1);
      ReplayLog(&replica, log, from, to);
      RC_ASSERT(replica.Current().version_ >= highest);
      highest = replica.Current().version_;
      from = to;
      if (replica.IsSynchronized()) {
        const auto expected = ReferenceVersion(log, to);
        RC_ASSERT(replica.Current().version_ == expected.first);
        RC_ASSERT(replica.Current().changeId_ == expected.second);
      }
    }
    RC_ASSERT(start > 0 || replica.IsSynchronized());
  }));
}

} // namespace
} // namespace burdockring
