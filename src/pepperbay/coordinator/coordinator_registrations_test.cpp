#include "coordinator_fixture.hpp"

namespace pepperbay {
namespace {

/// Symptom: after one strange record in the log of registrations requests go to an address that no
/// engine has, or none of the engines is used any more, or every round writes a line.
/// Sequence: another program writes under an engine's key and under a key of its own; later the
/// engine writes its own record again. The whole list is read anew in between.
/// Cause: a record that cannot be read left in force what stood there before.
TEST_F(CoordinatorTest, ARecordThatNamesNoEngineTakesOutThatEngineOnly)
{
  TestNode& node = AddNode("a");
  Run(seconds(10));
  ASSERT_EQ(Usable(node), 1);
  const std::string head = node.mPlan->mReplicas.at("pool").front().mHead.mId;
  mUnreadable = { head, "stranger" };
  mEngineLog.Put(head, "odd");
  mEngineLog.Put("stranger", "odd");
  mEngineLog.Put("stranger", "odd again");
  Run(milliseconds(60));
  EXPECT_GE(node.mCoordinator->Counters().mBadRegistrations, 3U);
  EXPECT_EQ(mLines["registration_refused"], 2) << "one for each key and reason";
  for (const auto& it : node.mPlan->mReplicas.at("pool")) {
    EXPECT_TRUE(it.mHead.mId != head || it.mSuspended);
  }
  Run(seconds(2));
  EXPECT_EQ(Usable(node), 1) << "another member is the head";
  mUnreadable.clear();
  mEngineLog.Put(head, "own again");
  Run(seconds(1));
  EXPECT_NE(node.mCoordinator->Dump().find("\"engines\": 5"), std::string::npos);
  EXPECT_TRUE(mPool.Violations().empty());
}

/// Guards against a change of registrations that is known and not in force without a sign of it.
TEST_F(CoordinatorTest, APlanStatesWhenItsChangeOfRegistrationsWasReceived)
{
  TestNode& node = AddNode("a");
  Run(seconds(10));
  const TimePoint changed = mClock.Now();
  ASSERT_LT(node.mPlan->mEnginesTaken, changed);
  mPool.At("e4").mRecord.mLeaving = true;
  Run(milliseconds(400));
  EXPECT_GT(node.mPlan->mEnginesTaken, changed);
  EXPECT_LT(node.mPlan->mEnginesTaken, mClock.Now());
}

/// Symptom: streams at a replica stand still for seconds, requests go to a head that has no
/// replica. Sequence: a head starts again under its id; its next registration says so. Cause: the
/// nodes knew an engine by its id alone.
TEST_F(CoordinatorTest, AHeadThatStartedAgainTakesNoRequestsUntilItIsInAReplicaAgain)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(10));
  TestNode& holder = Holder();
  const std::string head = holder.mPlan->mReplicas.at("pool").front().mHead.mId;
  mPool.Restart(head, WallTime(seconds(100)));
  Run(milliseconds(120));
  for (const auto& node : mNodes) {
    EXPECT_EQ(Usable(node), 0) << node.mName;
  }
  EXPECT_GE(mLines["engine_restarted"], 1);
  EXPECT_LE(mLines["engine_restarted"], 2) << "one line a node";
  EXPECT_EQ(holder.mPlan->mIncarnations.at(head), WallTime(seconds(100)));
  Run(seconds(2));
  for (const auto& node : mNodes) {
    EXPECT_EQ(Usable(node), 1) << node.mName;
  }
  EXPECT_TRUE(mPool.Violations().empty());
}

/// A report that was given before the engine started again is dropped, with a line.
TEST_F(CoordinatorTest, AReportOfAFormerStartIsNotTaken)
{
  TestNode& node = AddNode("a");
  Run(seconds(10));
  const std::string head = node.mPlan->mReplicas.at("pool").front().mHead.mId;
  mPool.Restart(head, WallTime(seconds(100)));
  Run(milliseconds(100));
  mPool.At(head).mRecord.mBorn = WallTime(seconds(50)); // an answer that was long on its way
  node.mCoordinator->OnSuspect(head, milliseconds(200));
  Run(milliseconds(300));
  EXPECT_EQ(node.mCoordinator->Counters().mRestarts, 1U);
  EXPECT_GE(node.mCoordinator->Counters().mStaleIncarnations, 1U);
  EXPECT_GE(mLines["former_start"], 1);
}

/// A new holder that does not know an unlisted head forms its replica anew under its streams.
TEST_F(CoordinatorTest, ANewHolderLeavesAnUnlistedHeadAloneWhileNodesHaveRequestsThere)
{
  AddNode("a");
  AddNode("b");
  AddNode("c");
  Run(seconds(10));
  TestNode& former = Holder();
  const std::string head = former.mPlan->mReplicas.at("pool").front().mHead.mId;
  const std::uint64_t epoch = former.mPlan->mReplicas.at("pool").front().mEpoch;
  for (auto& it : mNodes) {
    it.mCoordinator->SetInFlight({ { head, 2 } }, true);
  }
  Run(milliseconds(400)); // nodes tell each other
  former.mAlive = false;
  mPool.At(head).mListed = false;
  mEngineLog.Put(head, std::nullopt);
  Run(seconds(4));
  ASSERT_NE(Holder().mName, former.mName);
  for (const auto& it : mPool.At(head).mMembers) {
    EXPECT_EQ(mPool.At(it).mRecord.mGroup.mEpoch, epoch) << it << " joined anew";
  }
  for (auto& it : mNodes) {
    it.mCoordinator->SetInFlight({}, true);
  }
  Run(seconds(3));
  EXPECT_EQ(Usable(Holder()), 1) << "without that head, once nothing is in progress there";
}

} // namespace
} // namespace pepperbay
