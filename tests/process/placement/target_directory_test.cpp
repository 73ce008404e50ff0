#include "process/placement/target_directory.h"

#include "support/forwarding_fixture.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

const ServiceId kPool = MakeId<ServiceId>("pool");

TEST(TargetDirectory, LeavingTargetIsNotUsable)
{
  TargetDirectory directory;
  auto target = MakeTarget("t1", "pool", 4);
  directory.Put("t1", target);
  EXPECT_EQ(directory.Usable(kPool).size(), 1U);
  target.leaving_ = true;
  directory.Put("t1", target);
  EXPECT_TRUE(directory.Usable(kPool).empty());
  // An outdated entry that arrives late does not make it usable again.
  target.leaving_ = false;
  directory.Put("t1", target);
  EXPECT_TRUE(directory.Usable(kPool).empty());
}

TEST(TargetDirectory, RemovedTargetIsDroppedAtOnce)
{
  TargetDirectory directory;
  directory.Put("t1", MakeTarget("t1", "pool", 4));
  directory.Remove("t1", 10s);
  EXPECT_EQ(directory.Size(), 0U);
}

TEST(TargetDirectory, ExpiredEntryIsKeptTwoSecondsAfterTheListIsReachable)
{
  TargetDirectory directory;
  directory.Put("lives", MakeTarget("lives", "pool", 4));
  directory.Put("died", MakeTarget("died", "pool", 4));
  directory.OnListRead(false, 10s);
  directory.OnListRead(true, 15s);
  directory.Remove("lives", 15s);
  directory.Remove("died", 15s);
  EXPECT_EQ(directory.Usable(kPool).size(), 2U);
  directory.Put("lives", MakeTarget("lives", "pool", 4));
  directory.Tick(16900ms);
  EXPECT_EQ(directory.Size(), 2U);
  directory.Tick(17001ms);
  EXPECT_EQ(directory.Size(), 1U);
  EXPECT_NE(directory.Find(MakeId<TargetId>("lives")), nullptr);
}

// Guards against live targets that are dropped since the part of the list in
// which they stand can't be read, and against gone ones that stay.
TEST(TargetDirectory, PartOfAListDropsOthersAfterTheGracePeriod)
{
  TargetDirectory directory;
  for (const auto* name : { "listed", "lives", "gone" }) {
    directory.Put(name, MakeTarget(name, "pool", 4));
  }
  directory.ReplaceInPart({ { "listed", MakeTarget("listed", "pool", 4) } },
                          10s);
  EXPECT_EQ(directory.Usable(kPool).size(), 3U);
  directory.Put("lives", MakeTarget("lives", "pool", 4));
  directory.Tick(12001ms);
  EXPECT_EQ(directory.Size(), 2U);
  EXPECT_EQ(directory.Find(MakeId<TargetId>("gone")), nullptr);
}

// Guards against targets that come back with the rest of an older copy's list.
TEST(TargetDirectory, GoneTargetsStayOutOfTheRestOfAnOlderCopysList)
{
  TargetDirectory directory;
  directory.Put("gone", MakeTarget("gone", "pool", 4));
  directory.Remove("gone", 10s);
  directory.OnStoreRestored(20s);
  directory.ReplaceInPart({}, 20s);
  directory.Replace({ { "gone", MakeTarget("gone", "pool", 4) } }, 25s);
  EXPECT_EQ(directory.Size(), 0U);
}

TEST(TargetDirectory, NothingExpiresWhileTheListIsUnreachable)
{
  TargetDirectory directory;
  directory.Put("t1", MakeTarget("t1", "pool", 4));
  directory.OnListRead(false, 10s);
  directory.Remove("t1", 11s);
  directory.Tick(60s);
  EXPECT_EQ(directory.Size(), 1U);
}

/// A directory with one target whose list is read twice a second by some
/// router.
class ReadTargetDirectory : public testing::Test
{
protected:
  static constexpr Duration kReadInterval = 500ms;

  TargetDirectory directory_;
  Instant now_ = 10s;

  auto SetUp() -> void override
  {
    directory_.Put("t1", MakeTarget("t1", "pool", 4));
    directory_.OnListRead(true, now_);
  }

  auto ReadFor(Duration aTime) -> void
  {
    for (const auto end = now_ + aTime; now_ < end;) {
      now_ += kReadInterval;
      directory_.OnListRead(true, now_);
      directory_.Tick(now_);
    }
  }

  auto IsKeptAfterRemoval() -> bool
  {
    directory_.Remove("t1", now_);
    return directory_.Size() == 1;
  }
};

// One router's cut from the store kept targets in use, at all routers, that had
// left: its word was taken for an outage of the store.
TEST_F(ReadTargetDirectory, FailedReadsOfOneRouterAreNoOutage)
{
  for (int round = 0; round < 10; ++round) {
    directory_.OnListRead(false, now_ + 100ms);
    ReadFor(1s);
  }
  EXPECT_FALSE(IsKeptAfterRemoval());
}

// The reader of the list is cut off and reports it; another takes over within
// the time that reveals its silence.
TEST_F(ReadTargetDirectory, ChangeOfReadersIsNoOutage)
{
  directory_.OnListRead(false, now_ + 100ms);
  now_ += 1500ms;
  directory_.OnListRead(true, now_);
  EXPECT_FALSE(IsKeptAfterRemoval());
}

// News of a failed read may arrive after a newer successful one.
TEST_F(ReadTargetDirectory, LateNewsOfAFailureKeepsNothingForLong)
{
  ReadFor(2s);
  directory_.OnListRead(false, now_);
  EXPECT_TRUE(IsKeptAfterRemoval());
  ReadFor(kReadInterval);
  EXPECT_EQ(directory_.Size(), 0U);
}

// A freeze of this router is no outage of the store.
TEST_F(ReadTargetDirectory, GapWithoutFailureIsNoOutage)
{
  now_ += 6s;
  directory_.OnListRead(true, now_);
  EXPECT_FALSE(IsKeptAfterRemoval());
}

TEST_F(ReadTargetDirectory, OutageInWhichTargetsExpireGivesThemTime)
{
  directory_.OnListRead(false, now_ + 100ms);
  now_ += 3s;
  directory_.OnListRead(true, now_);
  EXPECT_TRUE(IsKeptAfterRemoval());
  ReadFor(1500ms);
  EXPECT_EQ(directory_.Size(), 1U);
  ReadFor(500ms);
  EXPECT_EQ(directory_.Size(), 0U);
}

// The grace period of an outage must not hold for removals long after it.
TEST_F(ReadTargetDirectory, RemovalAfterTheGracePeriodIsFinal)
{
  directory_.OnListRead(false, now_ + 100ms);
  now_ += 5s;
  directory_.OnListRead(true, now_);
  ReadFor(2s);
  EXPECT_FALSE(IsKeptAfterRemoval());
}

// Targets that register more often expire in a shorter outage.
TEST_F(ReadTargetDirectory, ShortestOutageFollowsTheSettings)
{
  directory_.SetMinExpiringOutage(600ms);
  directory_.OnListRead(false, now_ + 100ms);
  now_ += 700ms;
  directory_.OnListRead(true, now_);
  EXPECT_TRUE(IsKeptAfterRemoval());
}

TEST(TargetDirectory, NewIncarnationUnderTheSameKeyIsAnotherTarget)
{
  TargetDirectory directory;
  directory.Put("t1", MakeTarget("t1#1", "pool", 4));
  directory.Put("t1", MakeTarget("t1#2", "pool", 4));
  EXPECT_EQ(directory.Find(MakeId<TargetId>("t1#1")), nullptr);
  EXPECT_NE(directory.Find(MakeId<TargetId>("t1#2")), nullptr);
}

TEST(TargetDirectory, ReplaceDropsMissingTargets)
{
  TargetDirectory directory;
  directory.Put("t1", MakeTarget("t1", "pool", 4));
  directory.Put("t2", MakeTarget("t2", "pool", 4));
  directory.Replace({ { "t2", MakeTarget("t2", "pool", 4) } }, 5s);
  EXPECT_EQ(directory.Size(), 1U);
}

TEST(TargetDirectoryLeaving, PersistsWhateverTheListSays)
{
  TargetDirectory directory;
  RegisteredTarget target;
  target.id_ = MakeId<TargetId>("t1#5");
  target.service_ = MakeId<ServiceId>("pool");
  directory.Put("t1", target);
  EXPECT_TRUE(directory.MarkLeaving(target.id_));
  EXPECT_FALSE(directory.MarkLeaving(target.id_));
  EXPECT_TRUE(directory.Usable(target.service_).empty());
  directory.Remove("t1", 1s);
  directory.Put("t1", target);
  EXPECT_TRUE(directory.Usable(target.service_).empty());
  // A new incarnation under the same name is another target.
  target.id_ = MakeId<TargetId>("t1#6");
  directory.Put("t1", target);
  EXPECT_EQ(directory.Usable(target.service_).size(), 1U);
}

} // namespace
} // namespace burdockring
