#include "coordinator_fixture.hpp"

namespace pepperbay {
namespace {

/// A dozen nodes before one pool.
class ManyNodesTest : public CoordinatorTest
{
protected:
  static constexpr int kNodes = 12;

  void SetUp() override
  {
    CoordinatorTest::SetUp();
    for (int i = 0; i < kNodes; ++i) {
      AddNode("n" + std::to_string(i));
    }
    Run(seconds(10));
  }

  int ReadsOfAll() const
  {
    int n = 0;
    for (const auto& [name, reads] : mReads) {
      n += reads;
    }
    return n;
  }

  TestNode& NotHolder()
  {
    for (auto& it : mNodes) {
      if (it.mAlive && !it.mCoordinator->HoldsLease()) {
        return it;
      }
    }
    return mNodes.front();
  }
};

/// Symptom: bytes between data centres and the nodes' processor time grow with the square of the
/// nodes whenever an engine dies.
/// Sequence: many nodes find one head silent.
/// Cause: each told every other node, and only the holder acts on it.
TEST_F(ManyNodesTest, ASuspicionGoesToTheHolderOnly)
{
  TestNode& node = NotHolder();
  const std::string head = node.mPlan->mReplicas.at("pool").front().mHead.mId;
  std::map<std::string, int> told;
  mOnSend = [&](const std::string& aAddress, const proto::PeerMessage& aMessage) {
    told[aAddress] += aMessage.suspicions().engines_size();
  };
  node.mCoordinator->OnSuspect(head, milliseconds(200));
  EXPECT_EQ(told.size(), 1U);
  EXPECT_EQ(told[Holder().mName], 1);
}

/// Symptom: the members of a replica that works are asked a dozen times for one long pause; each
/// question is paid for, and the holder is busy with the answers.
/// Sequence: every node has streams at one head, which reads long prompts; they notice it at once,
/// the holder too.
/// Cause: a suspicion was answered by questions, however lately they had been asked.
TEST_F(ManyNodesTest, OnePauseOfAHeadIsAskedAboutOnce)
{
  TestNode& holder = Holder();
  const std::string head = holder.mPlan->mReplicas.at("pool").front().mHead.mId;
  const std::uint64_t before = holder.mCoordinator->Counters().mAsks;
  for (auto& it : mNodes) {
    it.mCoordinator->OnSuspect(head, milliseconds(200));
  }
  Run(milliseconds(60));
  const std::uint64_t oneToEachOfThree = 3;
  EXPECT_EQ(holder.mCoordinator->Counters().mAsks - before, oneToEachOfThree);
  Run(seconds(1));
  const std::uint64_t later = holder.mCoordinator->Counters().mAsks;
  holder.mCoordinator->OnSuspect(head, milliseconds(400));
  EXPECT_EQ(holder.mCoordinator->Counters().mAsks - later, oneToEachOfThree);
}

/// Symptom: heartbeats are five times as long as usual while the store turns some nodes away.
/// Sequence: a third of the nodes ask how fresh the others' configuration is.
/// Cause: every answer stood in every heartbeat.
TEST_F(ManyNodesTest, AnAnswerGoesToTheNodeThatAsked)
{
  for (int i = 0; i < kNodes; i += 3) {
    mNodes[static_cast<std::size_t>(i)].mStoreDown = true;
  }
  Run(seconds(3));
  int foreign = 0;
  int own = 0;
  mOnSend = [&](const std::string& aAddress, const proto::PeerMessage& aMessage) {
    for (const auto& it : aMessage.beat().freshness()) {
      (it.node() == aAddress ? own : foreign) += 1;
    }
  };
  Run(seconds(1));
  EXPECT_EQ(foreign, 0);
  EXPECT_GT(own, 0);
  for (const auto& it : mNodes) {
    EXPECT_GT(it.mPlan->mKeysValidUntil, mClock.Now()) << it.mName;
  }
}

/// Symptom: a change of the configuration is followed by hundreds of copies of it between nodes.
/// Sequence: the store turns some nodes away; each of their peers sees an older version in their
/// heartbeats.
/// Cause: every peer passed the whole configuration on, at every heartbeat.
TEST_F(ManyNodesTest, FewNodesPassAConfigurationOn)
{
  for (int i = 0; i < kNodes; i += 3) {
    mNodes[static_cast<std::size_t>(i)].mStoreDown = true;
  }
  Run(seconds(3));
  int copies = 0;
  mOnSend = [&](const std::string&, const proto::PeerMessage& aMessage) {
    copies += aMessage.configuration().empty() ? 0 : 1;
  };
  Configure("7");
  Run(seconds(1));
  for (const auto& it : mNodes) {
    EXPECT_EQ(it.mPlan->mRoutes->Version(), 7U) << it.mName;
  }
  EXPECT_LE(copies, kNodes);
}

/// Symptom: calls to the store grow with the number of nodes, and at some size its rate is spent.
/// Sequence: a calm time; then engines and configuration change.
/// Cause: every node followed every log by itself.
TEST_F(ManyNodesTest, OneNodeReadsTheStoreForTheOthers)
{
  mReads.clear();
  Run(seconds(10));
  int busy = 0;
  for (const auto& [name, n] : mReads) {
    busy += n > 3 ? 1 : 0;
  }
  EXPECT_LE(busy, 2) << "the delegate and the holder";
  mPool.Add("new", "d");
  Configure("9");
  Run(milliseconds(400));
  for (const auto& it : mNodes) {
    EXPECT_EQ(it.mPlan->mRoutes->Version(), 9U) << it.mName;
    EXPECT_NE(it.mCoordinator->Dump().find("\"engines\": 6"), std::string::npos) << it.mName;
    EXPECT_GT(it.mPlan->mKeysValidUntil, mClock.Now()) << it.mName;
  }
}

/// Symptom: nodes use engines that have left, or refuse keys, after one node has lost the store.
/// Sequence: the node that reads for the others dies, or the store turns it away; then things
/// change.
/// Cause: the others would go by what they last heard of it.
TEST_F(ManyNodesTest, AnotherNodeReadsWhenTheDelegateDiesOrLosesTheStore)
{
  for (const bool dies : { true, false }) {
    mReads.clear();
    Run(seconds(4));
    const auto busiest =
      std::max_element(mReads.begin(), mReads.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    for (auto& it : mNodes) {
      if (it.mName == busiest->first) {
        (dies ? it.mAlive : it.mStoreDown) = !dies;
      }
    }
    Configure(dies ? "20" : "21");
    Run(milliseconds(1900));
    for (const auto& it : mNodes) {
      if (it.mAlive) {
        EXPECT_EQ(it.mPlan->mRoutes->Version(), dies ? 20U : 21U) << it.mName;
        EXPECT_GT(it.mPlan->mKeysValidUntil, mClock.Now()) << it.mName;
      }
    }
  }
}

/// Symptom: a node never learns of an engine.
/// Sequence: one message of the delegate is lost.
/// Cause: later records were taken as if nothing were missing, or none were taken any more.
TEST_F(ManyNodesTest, RecordsThatWereLostOnTheWayAreRead)
{
  mLoseFeeds = true;
  mPool.Add("new", "d");
  Run(milliseconds(200));
  mLoseFeeds = false;
  mPool.Add("newer", "d");
  Run(milliseconds(600));
  for (const auto& it : mNodes) {
    EXPECT_NE(it.mCoordinator->Dump().find("\"engines\": 7"), std::string::npos) << it.mName;
  }
}

} // namespace
} // namespace pepperbay
