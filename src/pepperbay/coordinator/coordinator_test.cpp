#include "coordinator_fixture.hpp"

namespace pepperbay {
namespace {

TEST_F(CoordinatorTest, OneNodeOrdersAndAllRoute)
{
  AddNode("a");
  AddNode("b");
  AddNode("c");
  Run(seconds(8));
  int holders = 0;
  for (const auto& it : mNodes) {
    holders += it.mCoordinator->HoldsLease() ? 1 : 0;
    EXPECT_TRUE(it.mCoordinator->IsReady());
    EXPECT_EQ(Usable(it), 1) << it.mName;
    EXPECT_EQ(it.mPlan->mNodes, 3);
  }
  EXPECT_EQ(holders, 1);
  EXPECT_EQ(mPool.Serving("m"), 1U);
  EXPECT_EQ(mLines["lease_taken"], 1) << "the others plan nothing";
  EXPECT_TRUE(mPool.Violations().empty());
}

/// Symptom: replicas are formed anew, or nobody repairs, after the node that gave the orders died.
/// Sequence: it dies; another takes the lease; later a member of the replica dies.
TEST_F(CoordinatorTest, AnotherNodeTakesOverAndRepairs)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(10));
  Holder().mAlive = false;
  mOrders.clear();
  Run(seconds(3));
  ASSERT_TRUE(Holder().mCoordinator->HoldsLease());
  EXPECT_EQ(mOrders[GroupOrderKind::kOpen], 0);
  EXPECT_EQ(mPool.Serving("m"), 1U);
  const std::string head = Holder().mPlan->mReplicas.at("pool").front().mHead.mId;
  for (const auto& it : mPool.At(head).mMembers) {
    if (it != head) {
      mPool.End(it);
      break;
    }
  }
  Holder().mCoordinator->OnSuspect(head, milliseconds(200));
  Run(seconds(2));
  EXPECT_EQ(mPool.Serving("m"), 1U);
  EXPECT_EQ(Usable(Holder()), 1);
}

/// Symptom: a head refuses everything for most of a second before its replica is closed.
/// Sequence: a member leaves without a word and stops listening; its head refuses; a node that does
/// not hold the lease, and whose word of the head is all there is, says so.
/// Cause: the holder waited until the member had not answered its rare questions for long.
TEST_F(CoordinatorTest, TheMembersOfAHeadThatRefusesAreAskedAtOnce)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(10));
  TestNode& holder = Holder();
  TestNode& other = &holder == &mNodes.front() ? mNodes.back() : mNodes.front();
  const std::string head = holder.mPlan->mReplicas.at("pool").front().mHead.mId;
  const std::string member = mPool.At(head).mMembers.back();
  other.mCoordinator->SetInFlight({ { head, 4 } }, true);
  Run(milliseconds(500));
  mPool.At(head).mListed = false; // no longer found by its short hash among the listed
  mEngineLog.Put(head, std::nullopt);
  Run(milliseconds(500));
  mPool.At(member).mAlive = false;
  EXPECT_EQ(mLines["engine_lost"], 0);
  other.mCoordinator->OnRefused(head);
  Run(milliseconds(100));
  EXPECT_EQ(mLines["engine_lost"], 1);
  EXPECT_EQ(Usable(other), 0);
}

/// Symptom: some twenty streams are reset at once in a quiet hour.
/// Sequence: a replica's head leaves, its registration goes; it works on for streams of several
/// nodes; within a tenth of a second its replica is formed anew, which ends them.
/// Cause: the requests that other nodes have in progress were counted for listed engines only, so
/// the head passed for idle.
TEST_F(CoordinatorTest, RequestsOfOtherNodesCountAtAHeadThatIsNoLongerListed)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(10));
  TestNode& holder = Holder();
  TestNode& other = &holder == &mNodes.front() ? mNodes.back() : mNodes.front();
  const std::string head = holder.mPlan->mReplicas.at("pool").front().mHead.mId;
  other.mCoordinator->SetInFlight({ { head, 4 } }, true);
  Run(seconds(1));
  mPool.At(head).mListed = false;
  mEngineLog.Put(head, std::nullopt);
  mOrders.clear();
  Run(seconds(1));
  EXPECT_EQ(mOrders[GroupOrderKind::kJoin], 0);
  other.mCoordinator->SetInFlight({}, true);
  Run(seconds(2));
  EXPECT_NE(holder.mPlan->mReplicas.at("pool").front().mHead.mId, head);
}

/// Symptom: dozens of engines that live are taken for lost just after a takeover, and the pool
/// falls apart.
/// Sequence: nodes of an eighth and of half a core share the work; one of the small ones takes the
/// lease and has 160 engines to follow.
/// Cause: every node was as good a holder as any other.
TEST_F(CoordinatorTest, TheLeaseGoesToNodesWithTheProcessorForIt)
{
  TestNode& weak = AddNode("weak", 120);
  Run(seconds(10));
  ASSERT_TRUE(weak.mCoordinator->HoldsLease());
  TestNode& strong = AddNode("strong", 500);
  mOrders.clear();
  Run(seconds(3));
  EXPECT_TRUE(strong.mCoordinator->HoldsLease());
  EXPECT_EQ(mLines["lease_yielded"], 1);
  EXPECT_EQ(mOrders[GroupOrderKind::kOpen], 0) << "what serves goes on";
  strong.mAlive = false;
  Run(seconds(3));
  EXPECT_TRUE(weak.mCoordinator->HoldsLease()) << "better than nobody";
  EXPECT_EQ(mPool.Serving("m"), 1U);
  strong.mAlive = true;
  strong.mStoreDown = true; // it is heard, and cannot take the lease
  Run(seconds(20));
  EXPECT_TRUE(weak.mCoordinator->HoldsLease());
  EXPECT_LE(mLines["lease_yielded"], 4) << "not handed to and fro";
  EXPECT_TRUE(mPool.Violations().empty());
}

/// Symptom: nodes that do not give the orders send requests to a replica that is broken, though the
/// holder knows; each round logs every replica as new.
/// Sequence: two pools; the members of one pool's replica die while the registrations still
/// name them.
/// Cause: the news of one pool's replicas was dropped when the other pool's was put together, and
/// both pools called their replicas by the same names.
TEST_F(CoordinatorTest, NewsOfTwoPoolsReachesTheOtherNodes)
{
  mTwoPools = true;
  for (const char* it : { "f0", "f1", "f2", "f3" }) {
    mPool.Add(it, "d2", "", "second");
  }
  AddNode("a");
  AddNode("b");
  Run(seconds(12));
  TestNode& holder = Holder();
  TestNode& other = &holder == &mNodes[0] ? mNodes[1] : mNodes[0];
  ASSERT_EQ(Usable(other, "pool"), 1);
  ASSERT_EQ(Usable(other, "second"), 1);
  const std::string head = other.mPlan->mReplicas.at("pool").front().mHead.mId;
  for (auto& [id, engine] : mPool.Engines()) {
    engine.mAlive = id == head || engine.mRecord.mService != "pool";
  }
  holder.mCoordinator->OnSuspect(head, milliseconds(200));
  Run(milliseconds(400));
  EXPECT_EQ(Usable(other, "pool"), 0);
  EXPECT_EQ(Usable(other, "second"), 1);
  const int lines = mLines["replica"];
  Run(seconds(1));
  EXPECT_EQ(mLines["replica"], lines) << "nothing has changed";
}

/// Symptom: requests go for most of a second to a replica that has lost a member.
/// Sequence: a member's registration lapses, though it lives and answers; later it dies, and a node
/// finds the head silent.
/// Cause: only members that are registered were asked at once.
TEST_F(CoordinatorTest, AMemberWhoseRegistrationLapsedIsAskedLikeTheOthers)
{
  TestNode& node = AddNode("a");
  Run(seconds(10));
  const std::string head = node.mPlan->mReplicas.at("pool").front().mHead.mId;
  std::string member;
  for (auto& [id, engine] : mPool.Engines()) {
    const bool spare = engine.mRecord.mGroup.mName != mPool.At(head).mRecord.mGroup.mName;
    engine.mAlive = !spare; // no repair can hide what is asked here
    if (!spare && id != head) {
      member = id;
    }
  }
  mPool.At(member).mListed = false;
  mEngineLog.Put(member, std::nullopt);
  Run(seconds(4));
  ASSERT_EQ(Usable(node), 1) << "it answers";
  mPool.At(member).mAlive = false;
  node.mCoordinator->OnSuspect(head, milliseconds(200));
  Run(milliseconds(200));
  EXPECT_EQ(Usable(node), 0);
}

/// Symptom: a replica is dark for as long as the store is.
/// Cause: its repair waited for a lease that nobody could renew.
TEST_F(CoordinatorTest, TheLastHolderRepairsWhileTheStoreIsDown)
{
  TestNode& node = AddNode("a");
  Run(seconds(10));
  mStoreDown = true;
  Run(seconds(5));
  EXPECT_FALSE(node.mCoordinator->HoldsLease());
  const std::string head = node.mPlan->mReplicas.at("pool").front().mHead.mId;
  mPool.End(head);
  node.mCoordinator->OnSuspect(head, milliseconds(200));
  Run(seconds(2));
  EXPECT_EQ(mPool.Serving("m"), 1U);
  EXPECT_TRUE(mPool.Violations().empty());
}

/// Symptom: a node goes back to an older configuration, or loses the one it has.
TEST_F(CoordinatorTest, AConfigurationOnlyGoesForward)
{
  TestNode& node = AddNode("a");
  Run(seconds(1));
  Configure("5");
  Run(milliseconds(200));
  EXPECT_EQ(node.mPlan->mRoutes->Version(), 5U);
  Configure("3");
  Configure("bad");
  Run(milliseconds(200));
  EXPECT_EQ(node.mPlan->mRoutes->Version(), 5U);
  EXPECT_EQ(node.mCoordinator->Counters().mBadConfigurations, 1U);
}

TEST_F(CoordinatorTest, BytesThatAreNoMessageAreCountedAndDropped)
{
  TestNode& node = AddNode("a");
  Run(seconds(1));
  node.mCoordinator->OnMessage("\xff\xff garbage");
  EXPECT_EQ(node.mCoordinator->Counters().mBadMessages, 1U);
}

TEST_F(CoordinatorTest, AStoppingNodeIsNotReadyAndGivesTheLeaseBack)
{
  TestNode& a = AddNode("a");
  TestNode& b = AddNode("b");
  Run(seconds(3));
  TestNode& holder = Holder();
  TestNode& other = &holder == &a ? b : a;
  holder.mCoordinator->BeginStop();
  Run(milliseconds(700)); // less than a lease
  EXPECT_FALSE(holder.mCoordinator->IsReady());
  EXPECT_TRUE(other.mCoordinator->HoldsLease());
}

TEST_F(CoordinatorTest, TheDumpNamesReplicasAndWhyOneDoesNotServe)
{
  TestNode& node = AddNode("a");
  Run(seconds(10));
  const std::string head = node.mPlan->mReplicas.at("pool").front().mHead.mId;
  for (const auto& it : { "e0", "e1", "e2", "e3", "e4" }) {
    if (it != head) {
      mPool.End(it);
    }
  }
  node.mCoordinator->OnSuspect(head, milliseconds(200));
  Run(seconds(1));
  const std::string dump = node.mCoordinator->Dump();
  EXPECT_NE(dump.find("\"phase\": \"broken\""), std::string::npos) << dump;
  EXPECT_NE(dump.find("no spare in domain d"), std::string::npos);
}

} // namespace
} // namespace pepperbay
