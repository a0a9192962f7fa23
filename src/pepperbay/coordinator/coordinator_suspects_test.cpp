#include "coordinator_fixture.hpp"

namespace pepperbay {
namespace {

const RequestKey kKey{ 1, 2 };

/// Several nodes of which each sees some of the engines end that one request ends.
class Suspects : public CoordinatorTest
{
protected:
  void SeesEnd(TestNode& aNode, std::uint64_t aEngine, const RequestKey& aKey = kKey)
  {
    aNode.mCoordinator->OnEngineEnded(aKey, { aEngine, Suspicion::kBegun, mClock.Now() });
  }

  SuspectRequest Of(const TestNode& aNode, const RequestKey& aKey = kKey) const
  {
    const auto it = aNode.mPlan->mSuspects->find(aKey);
    return it == aNode.mPlan->mSuspects->end() ? SuspectRequest{} : it->second;
  }

  /// Whether a node refuses the request for minutes, and not just for a moment.
  bool Quarantines(const TestNode& aNode) const
  {
    return Of(aNode).mQuarantinedUntil > mClock.Now() + minutes(1);
  }

  void LoseAllMessages()
  {
    mLoses = [](const std::string&, const std::string&) { return true; };
  }

  int Records() const
  {
    int n = 0;
    for (const auto& [key, value] : mNodeLog.mNewest) {
      n += key.rfind("held/", 0) == 0 ? 1 : 0;
    }
    return n;
  }

  using minutes = std::chrono::minutes;
};

/// Three nodes that each saw one engine end would each wait for two more.
TEST_F(Suspects, EndsSeenByDifferentNodesAddUpEverywhere)
{
  AddNode("a");
  AddNode("b");
  AddNode("c");
  AddNode("d");
  Run(seconds(2));
  for (int i = 0; i < 3; ++i) {
    SeesEnd(mNodes[static_cast<std::size_t>(i)], static_cast<std::uint64_t>(i));
  }
  Run(milliseconds(100));
  for (const auto& it : mNodes) {
    EXPECT_EQ(Of(it).mScore, 6) << it.mName;
    EXPECT_TRUE(Quarantines(it)) << it.mName;
  }
}

/// One engine's end reaches many nodes; counted by each, it would hold a request back.
TEST_F(Suspects, OneEndThatAllNodesSeeCountsOnce)
{
  AddNode("a");
  AddNode("b");
  AddNode("c");
  Run(seconds(2));
  for (auto& it : mNodes) {
    SeesEnd(it, 7);
  }
  Run(seconds(1));
  EXPECT_EQ(Of(mNodes[0]).mScore, 2);
  EXPECT_EQ(Of(mNodes[0]).mQuarantinedUntil, TimePoint{});
  EXPECT_EQ(Records(), 0);
}

/// Nodes that hear no peer but reach the store would go on sending what the others refuse.
TEST_F(Suspects, ReachesNodesThatHearNoPeerThroughTheStore)
{
  AddNode("a");
  AddNode("b");
  AddNode("c");
  Run(seconds(2));
  LoseAllMessages();
  Run(seconds(2));
  for (std::uint64_t it = 1; it <= 3; ++it) {
    SeesEnd(mNodes[0], it);
    Run(milliseconds(200));
  }
  Run(seconds(2));
  for (const auto& it : mNodes) {
    EXPECT_TRUE(Quarantines(it)) << it.mName;
  }
}

/// Two nodes that cannot hear each other see two ends each: together four.
TEST_F(Suspects, EndsOfNodesThatHearNoPeerAddUpThroughTheStore)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(2));
  LoseAllMessages();
  Run(seconds(2));
  SeesEnd(mNodes[0], 1);
  SeesEnd(mNodes[0], 2);
  SeesEnd(mNodes[1], 3);
  SeesEnd(mNodes[1], 4);
  Run(seconds(2));
  EXPECT_EQ(Of(mNodes[0]).mScore, 8);
  EXPECT_EQ(Of(mNodes[1]).mScore, 8);
}

/// A node that starts later would end an engine again, and so would all after a restart of all.
TEST_F(Suspects, ANodeThatStartsLaterKnowsThemFromTheStore)
{
  TestNode& first = AddNode("a");
  Run(seconds(2));
  for (std::uint64_t it = 1; it <= 3; ++it) {
    SeesEnd(first, it);
  }
  Run(seconds(1));
  first.mAlive = false;
  TestNode& later = AddNode("b");
  Run(milliseconds(200));
  EXPECT_TRUE(Quarantines(later));
}

/// While the store is away peers tell each other, and the record is written once it is back.
TEST_F(Suspects, AreWrittenOnceTheStoreIsBack)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(2));
  mStoreDown = true;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    SeesEnd(mNodes[0], it);
  }
  Run(seconds(4));
  EXPECT_TRUE(Quarantines(mNodes[1]));
  EXPECT_EQ(Records(), 0);
  EXPECT_LT(mWrites["a"], 12);
  mStoreDown = false;
  Run(seconds(6));
  EXPECT_EQ(Records(), 1);
}

/// The only node that saw the ends has ended itself before it could write them down.
TEST_F(Suspects, TheHolderWritesWhatItsObserverCouldNot)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(3));
  TestNode& observer = Holder().mName == "a" ? mNodes[1] : mNodes[0];
  observer.mStoreDown = true;
  for (std::uint64_t it = 1; it <= 3; ++it) {
    SeesEnd(observer, it);
  }
  Run(milliseconds(300));
  observer.mAlive = false;
  Run(seconds(2));
  EXPECT_EQ(Records(), 1);
}

/// One message of the first is lost; told once only, the others would not know.
TEST_F(Suspects, ALostMessageIsMadeGood)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(2));
  bool lost = false;
  mLoses = [&lost](const std::string& aFrom, const std::string&) {
    return aFrom == "a" && !std::exchange(lost, true);
  };
  SeesEnd(mNodes[0], 1);
  Run(milliseconds(500));
  EXPECT_EQ(Of(mNodes[1]).mScore, 2);
}

/// A request that runs to its end somewhere did not end the engines: its caller must be served.
TEST_F(Suspects, ARunToTheEndClearsARequestOnAllNodesAndInTheStore)
{
  AddNode("a");
  AddNode("b");
  AddNode("c");
  Run(seconds(2));
  for (std::uint64_t it = 1; it <= 3; ++it) {
    SeesEnd(mNodes[0], it);
  }
  Run(seconds(1));
  ASSERT_TRUE(Quarantines(mNodes[2]));
  ASSERT_EQ(Records(), 1);
  mNodes[1].mCoordinator->OnRanToCompletion(kKey);
  Run(seconds(2));
  for (const auto& it : mNodes) {
    EXPECT_EQ(Of(it).mScore, 0) << it.mName;
  }
  EXPECT_EQ(Records(), 0);
}

/// The store has no record of what holds nothing back, so peers hear of it from the node alone.
TEST_F(Suspects, ARunToTheEndClearsWhatTheStoreDoesNotHave)
{
  AddNode("a");
  AddNode("b");
  AddNode("c");
  Run(seconds(2));
  SeesEnd(mNodes[0], 1);
  Run(seconds(1));
  ASSERT_EQ(Of(mNodes[2]).mScore, 2);
  ASSERT_EQ(Records(), 0);
  mNodes[1].mCoordinator->OnRanToCompletion(kKey);
  Run(seconds(2));
  for (const auto& it : mNodes) {
    EXPECT_EQ(Of(it).mScore, 0) << it.mName;
  }
}

TEST_F(Suspects, AnOperatorLiftsARequestAtAnyNode)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(2));
  for (std::uint64_t it = 1; it <= 3; ++it) {
    SeesEnd(mNodes[0], it);
  }
  Run(seconds(1));
  EXPECT_TRUE(mNodes[1].mCoordinator->Lift(kKey));
  EXPECT_FALSE(mNodes[1].mCoordinator->Lift(kKey));
  Run(seconds(1));
  EXPECT_EQ(Of(mNodes[0]).mScore, 0);
  EXPECT_EQ(Records(), 0);
}

/// What a node tells again after a lost message would bring back what was cleared meanwhile.
TEST_F(Suspects, WhatHappenedBeforeARequestWasClearedIsNotTakenUpAgain)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(2));
  for (std::uint64_t it = 1; it <= 3; ++it) {
    SeesEnd(mNodes[0], it);
  }
  Run(milliseconds(60));
  ASSERT_TRUE(mNodes[1].mCoordinator->Lift(kKey));
  mLoses = [](const std::string& aFrom, const std::string&) { return aFrom == "b"; };
  Run(seconds(1)); // "a" has not heard, and tells it twice more
  EXPECT_EQ(Of(mNodes[1]).mScore, 0);
  EXPECT_EQ(Of(mNodes[0]).mScore, 0); // by the record that "b" has dropped
  EXPECT_EQ(Records(), 0);
  SeesEnd(mNodes[1], 4);
  Run(milliseconds(100));
  EXPECT_EQ(Of(mNodes[1]).mScore, 2); // a later end counts
}

/// A domain that ends leaves a suspicion for each request there; told again and again to hundreds
/// of nodes they would be most of what those hear.
TEST_F(Suspects, WhatHoldsNothingBackIsPassedOnOnce)
{
  AddNode("a");
  AddNode("b");
  AddNode("c");
  AddNode("d");
  Run(seconds(2));
  std::map<std::string, int> told;
  mOnSend = [&told](const std::string&, const proto::PeerMessage& aMessage) {
    told[aMessage.node()] += aMessage.has_suspects() ? 1 : 0;
  };
  for (std::uint64_t key = 0; key < 50; ++key) {
    SeesEnd(mNodes[3], 1, { 1, key });
  }
  Run(seconds(2));
  EXPECT_EQ(Of(mNodes[0], { 1, 49 }).mScore, 2);
  EXPECT_LE(told["d"], 9); // three times, to three peers at most
  for (const char* it : { "a", "b", "c" }) {
    EXPECT_LE(told[it], 3) << it;
  }
}

/// A caller with two hundred such requests would use up the calls that all nodes share.
TEST_F(Suspects, ManyRequestsAreWrittenAtABoundedRate)
{
  AddNode("a");
  AddNode("b");
  Run(seconds(2));
  const int before = mWrites["a"];
  for (std::uint64_t key = 0; key < 200; ++key) {
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
      SeesEnd(mNodes[0], engine, { 1, key });
    }
  }
  Run(seconds(5));
  EXPECT_LE(mWrites["a"] - before, 50);
  Run(seconds(20));
  EXPECT_EQ(Records(), 200);
  EXPECT_EQ(Of(mNodes[1], { 1, 199 }).mScore, 6);
}

/// A record of the nodes' log that cannot be read, or of another request than its key says.
TEST_F(Suspects, ABrokenRecordHoldsNothingBack)
{
  AddNode("a");
  Run(seconds(2));
  mNodeLog.Put("held/00000000000000010000000000000002", "\xff\xff");
  proto::SuspectRequest other;
  other.set_caller(8);
  mNodeLog.Put("held/00000000000000010000000000000003", other.SerializeAsString());
  Run(seconds(1));
  EXPECT_TRUE(mNodes[0].mPlan->mSuspects->empty());
  EXPECT_EQ(mNodes[0].mCoordinator->Counters().mBadSuspects, 2U);
}

} // namespace
} // namespace pepperbay
