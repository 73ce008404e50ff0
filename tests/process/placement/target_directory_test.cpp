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
  directory.SetReachable(false, 10s);
  directory.SetReachable(true, 15s);
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

TEST(TargetDirectory, NothingExpiresWhileTheListIsUnreachable)
{
  TargetDirectory directory;
  directory.Put("t1", MakeTarget("t1", "pool", 4));
  directory.SetReachable(false, 10s);
  directory.Remove("t1", 11s);
  directory.Tick(60s);
  EXPECT_EQ(directory.Size(), 1U);
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
