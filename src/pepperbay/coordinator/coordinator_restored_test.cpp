#include "coordinator_fixture.hpp"

namespace pepperbay {
namespace {

/// Several nodes before a store that comes back from an older copy.
class Restored : public CoordinatorTest
{
protected:
  void GoBack(std::size_t aRecords)
  {
    mConfigLog.GoBack(aRecords);
    mEngineLog.GoBack(aRecords);
    mNodeLog.GoBack(aRecords);
    mLeaseLog.GoBack(aRecords);
  }

  /// The operator and the engines write again what was lost.
  void WriteAgain(const std::string& aVersion)
  {
    Configure(aVersion);
    mRegistered.clear();
  }
};

/// The log of the lease is shorter than the holder knows it: nobody could claim at its end, no
/// replica would be repaired, and a number given out again would be refused by engines.
TEST_F(Restored, TheLeaseIsTakenAnewWithAHigherNumberAndReplicasAreRepaired)
{
  AddNode("a");
  AddNode("b");
  AddNode("c");
  Run(seconds(10));
  ASSERT_EQ(Usable(mNodes[0]), 1);
  const std::uint64_t fence = mLeaseLog.mBase; // of the era
  GoBack(8);
  WriteAgain("1");
  Run(seconds(4));
  EXPECT_TRUE(Holder().mCoordinator->HoldsLease());
  EXPECT_GT(mLeaseLog.mBase, fence);
  const std::string head = Holder().mPlan->mReplicas.at("pool").front().mHead.mId;
  mPool.At(head).mAlive = false;
  Holder().mCoordinator->OnSuspect(head, milliseconds(200));
  Run(seconds(4));
  for (const auto& it : mNodes) {
    EXPECT_EQ(Usable(it), 1) << it.mName;
  }
  EXPECT_TRUE(mPool.Violations().empty());
}

/// A replica that serves is not formed anew for registrations that the store has lost for a moment.
TEST_F(Restored, WhatServesGoesOnServing)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(10));
  ASSERT_EQ(Usable(mNodes[0]), 1);
  const int joins = mOrders[GroupOrderKind::kJoin];
  for (auto& it : mNodes) {
    it.mCoordinator->SetInFlight({ { it.mPlan->mReplicas.at("pool").front().mHead.mId, 2 } }, true);
  }
  GoBack(6);
  Run(milliseconds(600));
  WriteAgain("1");
  for (int i = 0; i < 40; ++i) {
    Run(milliseconds(100));
    EXPECT_EQ(Usable(mNodes[0]), 1);
    EXPECT_EQ(Usable(mNodes[1]), 1);
  }
  EXPECT_EQ(mOrders[GroupOrderKind::kJoin], joins);
}

/// In one life of a process a configuration never goes back, and the next one is taken.
TEST_F(Restored, AnOlderConfigurationIsNotTakenAndTheNextOneIs)
{
  TestNode& a = AddNode("a");
  TestNode& b = AddNode("b");
  Run(seconds(2));
  Configure("2");
  Configure("5");
  Run(seconds(1));
  ASSERT_EQ(a.mPlan->mRoutes->Version(), 5U);
  GoBack(1);
  Run(seconds(2));
  EXPECT_EQ(a.mPlan->mRoutes->Version(), 5U);
  EXPECT_EQ(b.mPlan->mRoutes->Version(), 5U);
  Configure("5");
  Configure("9");
  Run(seconds(2));
  EXPECT_EQ(a.mPlan->mRoutes->Version(), 9U);
  EXPECT_EQ(b.mPlan->mRoutes->Version(), 9U);
}

/// The same offsets are given out again at once: a node that read on from its own would miss the
/// records before them.
TEST_F(Restored, NothingIsMissedThoughTheLogHasGrownPastItsFormerEnd)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(2));
  Configure("2");
  Run(seconds(1));
  GoBack(1);
  for (const char* it : { "3", "4", "7" }) {
    Configure(it);
  }
  Run(seconds(2));
  for (const auto& it : mNodes) {
    EXPECT_EQ(it.mPlan->mRoutes->Version(), 7U) << it.mName;
  }
}

/// Nodes that start later would not find those whose records were lost, nor hold back what ends
/// engines.
TEST_F(Restored, NodesWriteAgainWhatOnlyTheyKnow)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(2));
  const RequestKey key{ 1, 2 };
  for (std::uint64_t it = 1; it <= 3; ++it) {
    mNodes[0].mCoordinator->OnEngineEnded(key, { it, Suspicion::kBegun, mClock.Now() });
  }
  Run(seconds(1));
  ASSERT_EQ(mNodeLog.mNewest.size(), 3U);
  GoBack(20);
  ASSERT_TRUE(mNodeLog.mNewest.empty());
  const int before = mWrites["a"] + mWrites["b"];
  Run(seconds(3));
  EXPECT_EQ(mNodeLog.mNewest.size(), 3U);
  EXPECT_LE(mWrites["a"] + mWrites["b"] - before, 6);
}

/// More than one drill, one right after the other.
TEST_F(Restored, TwiceInARow)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(10));
  GoBack(5);
  Run(milliseconds(300));
  GoBack(5);
  WriteAgain("1");
  Run(seconds(5));
  EXPECT_TRUE(Holder().mCoordinator->HoldsLease());
  EXPECT_EQ(Usable(mNodes[0]), 1);
  EXPECT_EQ(Usable(mNodes[1]), 1);
}

} // namespace
} // namespace pepperbay
