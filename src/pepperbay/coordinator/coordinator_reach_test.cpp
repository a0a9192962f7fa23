/// Nodes that reach no engine, as the control state takes it.
#include "coordinator_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

/// Three nodes before fifteen engines in three domains, with replicas that serve.
class CoordinatorReach : public testing::Test
{
protected:
  CoordinatorReach()
  {
    for (const char* domain : { "d0", "d1", "d2" }) {
      for (int i = 0; i < 5; ++i) {
        mWorld.mPool.Add(std::string(domain) + "-e" + std::to_string(i), domain);
      }
    }
    mWorld.Configure("1");
    for (const char* it : { "n0", "n1", "n2" }) {
      mWorld.AddNode(it);
    }
    mWorld.mReaches = [this](const std::string& aNode, const std::string& aEngine) {
      return mCut.count(aNode) == 0 && mCut.count(aNode + ">" + aEngine) == 0;
    };
    mWorld.Run(seconds(10));
    mHolder = mWorld.Holder().mName;
  }

  /// Streams of all cut nodes stand still.
  void SuspectAllHeads()
  {
    for (auto& node : mWorld.mNodes) {
      if (mCut.count(node.mName) == 0) {
        continue;
      }
      for (const auto& it : node.mPlan->mReplicas.at("pool")) {
        node.mCoordinator->OnSuspect(it.mHead.mId, milliseconds(200));
      }
    }
  }

  /// @return the fewest replicas that take requests by the plan of any node, over a time.
  int FewestUsable(Duration aFor)
  {
    int fewest = 1000;
    for (const TimePoint end = mWorld.mClock.Now() + aFor; mWorld.mClock.Now() < end;) {
      SuspectAllHeads();
      mWorld.Run(milliseconds(200));
      for (const auto& it : mWorld.mNodes) {
        fewest = std::min(fewest, CoordinatorWorld::Usable(it));
      }
    }
    return fewest;
  }

  CoordinatorWorld mWorld;
  std::set<std::string> mCut; ///< nodes that reach no engine, and "node>engine" for single paths
  std::string mHolder;
};

/// Guards against a holder of the lease that takes its own blindness for the end of all engines,
/// so that no node serves.
TEST_F(CoordinatorReach, ABlindHolderClosesNoReplica)
{
  ASSERT_EQ(CoordinatorWorld::Usable(mWorld.mNodes.front()), 3);
  mCut = { mHolder };
  EXPECT_EQ(FewestUsable(seconds(12)), 3);
  EXPECT_EQ(mWorld.mLines["engine_lost"], 0);
  mCut.clear();
  EXPECT_EQ(FewestUsable(seconds(3)), 3);
  EXPECT_TRUE(mWorld.mPool.Violations().empty());
}

/// Guards against a blind holder that cannot tell a domain that is dark from its own blindness, or
/// cannot give the orders that repair it.
TEST_F(CoordinatorReach, ADomainThatIsDarkIsFoundAndSparesJoinThroughPeers)
{
  mCut = { mHolder };
  FewestUsable(seconds(1));
  const auto& replica = mWorld.mNodes.front().mPlan->mReplicas.at("pool").front();
  const std::string head = replica.mHead.mId;
  const std::string member = mWorld.mPool.At(head).mMembers.back();
  mWorld.mPool.End(member);
  for (auto& it : mWorld.mNodes) {
    it.mCoordinator->OnSuspect(head, milliseconds(200));
  }
  mWorld.Run(milliseconds(400));
  EXPECT_EQ(mWorld.mLines["engine_lost"], 1);
  EXPECT_EQ(CoordinatorWorld::Usable(mWorld.mNodes.back()), 2);
  mWorld.Run(seconds(2));
  EXPECT_EQ(mWorld.mPool.Serving("m"), 3U) << "a spare has taken its place";
  EXPECT_TRUE(mWorld.mPool.Violations().empty());
}

/// Guards against an engine that is dark being found only after several rounds of questions, while
/// requests wait at its replica.
TEST_F(CoordinatorReach, AnEngineThatIsDarkIsLostAfterOneRound)
{
  const std::string head = mWorld.mNodes.front().mPlan->mReplicas.at("pool").front().mHead.mId;
  const std::string member = mWorld.mPool.At(head).mMembers.back();
  mCut = { "n0>" + member, "n1>" + member, "n2>" + member };
  mWorld.Holder().mCoordinator->OnSuspect(head, milliseconds(200));
  mWorld.Run(milliseconds(200)); // a question has 110 ms
  EXPECT_EQ(mWorld.mLines["engine_lost"], 1);
}

/// Guards against a broken replica that is not repaired since every other node is cut.
TEST_F(CoordinatorReach, TheOnlyNodeThatReachesEnginesRepairsByItsOwnWord)
{
  for (const auto& it : mWorld.mNodes) {
    if (it.mName != mHolder) {
      mCut.insert(it.mName);
    }
  }
  const std::string head = mWorld.mNodes.front().mPlan->mReplicas.at("pool").front().mHead.mId;
  mWorld.mPool.End(mWorld.mPool.At(head).mMembers.back());
  mWorld.Holder().mCoordinator->OnSuspect(head, milliseconds(200));
  mWorld.Run(milliseconds(500));
  EXPECT_EQ(mWorld.mLines["engine_lost"], 1);
  mWorld.Run(seconds(2));
  EXPECT_EQ(mWorld.mPool.Serving("m"), 3U) << "a spare has taken its place";
}

/// Guards against one poor path of the holder that costs a replica.
TEST_F(CoordinatorReach, AnEngineThatOnlyTheHolderDoesNotReachStays)
{
  const std::string head = mWorld.mNodes.front().mPlan->mReplicas.at("pool").front().mHead.mId;
  mCut = { mHolder + ">" + mWorld.mPool.At(head).mMembers.back() };
  for (int i = 0; i < 20; ++i) {
    mWorld.Holder().mCoordinator->OnSuspect(head, milliseconds(200));
    mWorld.Run(milliseconds(200));
  }
  EXPECT_EQ(mWorld.mLines["engine_lost"], 0);
  EXPECT_EQ(CoordinatorWorld::Usable(mWorld.mNodes.front()), 3);
}

TEST_F(CoordinatorReach, WhoReachesNoEngineIsToldToAllAndCarriesNothing)
{
  const auto proxiesOf = [this](const std::string& aNode) {
    std::set<std::string> names;
    for (const auto& it : mWorld.mNodes) {
      if (it.mName == aNode) {
        for (const auto& peer : *it.mPlan->mProxyPeers) {
          names.insert(peer.mNode);
        }
      }
    }
    return names;
  };
  EXPECT_EQ(proxiesOf("n0"), (std::set<std::string>{ "n1", "n2" }));
  mWorld.mNodes[1].mCoordinator->SetReach(false);
  mWorld.Run(milliseconds(300));
  EXPECT_EQ(proxiesOf("n0"), std::set<std::string>{ "n2" });
  EXPECT_EQ(proxiesOf("n2"), std::set<std::string>{ "n0" });
  mWorld.mNodes[1].mCoordinator->SetReach(true);
  mWorld.Run(milliseconds(300));
  EXPECT_EQ(proxiesOf("n0"), (std::set<std::string>{ "n1", "n2" }));
}

class CoordinatorReachOfOthers
  : public CoordinatorReach
  , public testing::WithParamInterface<int>
{};

/// Guards against a new holder that reaches no engine while others do.
TEST_P(CoordinatorReachOfOthers, TheLeaseGoesToANodeThatReachesEngines)
{
  std::vector<CoordinatorWorld::TestNode*> others;
  for (auto& it : mWorld.mNodes) {
    if (it.mName != mHolder) {
      others.push_back(&it);
    }
  }
  auto& cut = *others[static_cast<std::size_t>(GetParam())];
  mCut = { cut.mName };
  cut.mCoordinator->SetReach(false);
  mWorld.Run(seconds(1));
  mWorld.Holder().mAlive = false;
  mWorld.Run(seconds(4));
  EXPECT_TRUE(mWorld.Holder().mCoordinator->HoldsLease());
  EXPECT_NE(mWorld.Holder().mName, cut.mName);
}

INSTANTIATE_TEST_SUITE_P(EitherIsCut, CoordinatorReachOfOthers, testing::Values(0, 1));

class CoordinatorReachOfOneOther
  : public CoordinatorReach
  , public testing::WithParamInterface<std::size_t>
{};

/// Guards against a holder that takes engines for lost by its own word, since it hears others over
/// connections from before the cut and the peers that it asks first are cut as well.
TEST_P(CoordinatorReachOfOneOther, AHolderWhoseOldConnectionsLiveOnTakesNoEngineForLost)
{
  for (const char* it : { "n3", "n4", "n5", "n6", "n7", "n8" }) {
    mWorld.AddNode(it);
  }
  mWorld.Run(seconds(2));
  for (const auto& it : mWorld.mNodes) {
    mCut.insert(it.mName);
  }
  const std::string well = mWorld.mNodes[GetParam()].mName;
  if (well != mHolder) {
    mCut.erase(well);
  }
  mWorld.mCutRefuses = true;
  for (const char* it : { "d0-e0", "d0-e1", "d0-e2", "d0-e3", "d0-e4" }) {
    mWorld.mKept.insert(mHolder + ">" + it);
  }
  EXPECT_EQ(FewestUsable(seconds(3)), 3);
  EXPECT_EQ(mWorld.mLines["engine_lost"], 0);
}

INSTANTIATE_TEST_SUITE_P(TheOtherIs, CoordinatorReachOfOneOther, testing::Range<std::size_t>(0, 9));

/// Guards against a replica that is dark for longer than a member of it was silent, and against a
/// second disruption when that one goes on.
TEST_F(CoordinatorReach, AnEngineThatIsSilentForASecondCostsItsReplicaNoMoreThanThat)
{
  for (const bool head : { false, true }) {
    const auto& replica = mWorld.mNodes.front().mPlan->mReplicas.at("pool").front();
    const std::string first = replica.mHead.mId;
    const auto members = mWorld.mPool.At(first).mMembers;
    const std::string silent = head ? first : members.back();
    for (const auto& it : mWorld.mNodes) {
      mCut.insert(it.mName + ">" + silent); // its questions run out of time
    }
    int dark = 0; // tenths of a second in which the pool lacks a replica
    for (int i = 0; i < 50; ++i) {
      if (i == 10) {
        mCut.clear(); // as it was
      }
      if (i < 10) {
        for (auto& it : mWorld.mNodes) {
          it.mCoordinator->OnSuspect(first, milliseconds(200));
        }
      }
      mWorld.Run(milliseconds(100));
      dark += CoordinatorWorld::Usable(mWorld.mNodes.back()) < 3 ? 1 : 0;
    }
    EXPECT_LE(dark, 10) << (head ? "a head" : "a member");
    EXPECT_EQ(CoordinatorWorld::Usable(mWorld.mNodes.front()), 3);
  }
  EXPECT_TRUE(mWorld.mPool.Violations().empty());
}

class CoordinatorReachAndPauses : public CoordinatorReach
{
protected:
  CoordinatorReachAndPauses()
  {
    mHead = mWorld.mNodes.front().mPlan->mReplicas.at("pool").front().mHead.mId;
    mMembers = mWorld.mPool.At(mHead).mMembers;
    for (auto& it : mWorld.mNodes) {
      it.mCoordinator->SetInFlight({ { mHead, 2 } }, true);
    }
  }

  /// No node hears an engine.
  void Silence(const std::string& aEngine)
  {
    for (const auto& it : mWorld.mNodes) {
      mCut.insert(it.mName + ">" + aEngine);
    }
  }

  /// Streams stand still for so long at most. @return how long it took until an engine was told to
  /// join
  Duration UntilJoin(Duration aMost)
  {
    mWorld.mOrders.clear();
    const TimePoint begun = mWorld.mClock.Now();
    const auto took = [&] { return mWorld.mClock.Now() - begun; };
    constexpr milliseconds kSuspect{ 200 };
    TimePoint told = begun;
    while (took() < aMost && mWorld.mOrders[GroupOrderKind::kJoin] == 0) {
      mWorld.Run(milliseconds(20));
      if (mWorld.mClock.Now() - told < kSuspect) {
        continue;
      }
      told = mWorld.mClock.Now();
      for (auto& it : mWorld.mNodes) {
        it.mCoordinator->OnSuspect(mHead, took());
      }
    }
    return took();
  }

  std::string mHead;
  std::vector<std::string> mMembers;
};

/// Guards against a pause of a member or head that is taken for its end.
TEST_F(CoordinatorReachAndPauses, AnEngineThatPausesIsInItsReplicaAsBeforeASecondLater)
{
  for (const auto& it : { mHead, mMembers.back() }) {
    Silence(it);
    EXPECT_GE(UntilJoin(milliseconds(1500)), milliseconds(1500)) << it;
    EXPECT_EQ(CoordinatorWorld::Usable(mWorld.mNodes.back()), 2) << "it got no new requests";
    mCut.clear();
    mWorld.Run(milliseconds(500));
    EXPECT_EQ(CoordinatorWorld::Usable(mWorld.mNodes.back()), 3);
    mWorld.Run(milliseconds(500));
    EXPECT_EQ(mWorld.mOrders[GroupOrderKind::kJoin] + mWorld.mOrders[GroupOrderKind::kLeave], 0);
  }
  EXPECT_EQ(mWorld.Holder().mCoordinator->Counters().mPauses, 2U);
}

/// Guards against a replica that waits long, or for ever, for a member that is silent for good.
TEST_F(CoordinatorReachAndPauses, AnEngineThatStaysSilentIsReplacedSoonAfterTheLongestPause)
{
  Silence(mMembers.back());
  const Duration took = UntilJoin(seconds(5));
  EXPECT_GT(took, GroupPlannerOptions().mMaxPause);
  EXPECT_EQ(mWorld.Holder().mCoordinator->Counters().mExitedEngines.at("silent"), 1U);
  EXPECT_LE(took, milliseconds(2500));
}

/// Guards against a repair that waits for a pause where the engine's host says that it has ended.
TEST_F(CoordinatorReachAndPauses, AnEngineWhoseHostRefusesIsReplacedAtOnce)
{
  mWorld.mPool.End(mMembers.back());
  EXPECT_LE(UntilJoin(seconds(5)), milliseconds(800));
}

/// Guards against a replica that waits out a pause for a member that is not listed, though its host
/// says that it has ended.
TEST_F(CoordinatorReachAndPauses, AnUnlistedEngineWhoseHostRefusesIsReplacedWithoutASuspicion)
{
  const std::string member = mMembers.back();
  mWorld.mPool.At(member).mListed = false;
  mWorld.mEngineLog.Put(member, std::nullopt);
  mWorld.Run(seconds(1));
  mWorld.mPool.End(member);
  for (auto& it : mWorld.mNodes) {
    it.mCoordinator->SetInFlight({}, true);
  }
  mWorld.mOrders.clear();
  mWorld.Run(milliseconds(800));
  EXPECT_GT(mWorld.mOrders[GroupOrderKind::kJoin], 0);
}

/// Guards against a new holder that takes a pause for an end.
TEST_F(CoordinatorReachAndPauses, ANewHolderWaitsForAnEngineThatPauses)
{
  mWorld.Holder().mAlive = false;
  for (int i = 0;
       i < 500 && !(mWorld.Holder().mAlive && mWorld.Holder().mCoordinator->HoldsLease());
       ++i) {
    mWorld.Run(milliseconds(20));
  }
  ASSERT_TRUE(mWorld.Holder().mCoordinator->HoldsLease());
  Silence(mMembers.back());
  EXPECT_GE(UntilJoin(milliseconds(1500)), milliseconds(1500));
  mCut.clear();
  mWorld.Run(seconds(1));
  EXPECT_EQ(CoordinatorWorld::Usable(mWorld.Holder()), 3);
  EXPECT_EQ(mWorld.mOrders[GroupOrderKind::kJoin] + mWorld.mOrders[GroupOrderKind::kLeave], 0);
}

/// Guards against fleets in which nodes ask others that are cut as well: who reaches no engine has
/// to be known everywhere within a second, and a data centre that is cut whole has to spread.
TEST(ReachOfAFleet, WhoIsCutIsKnownAndTheLoadSpreads)
{
  struct Size
  {
    int mCentres;
    int mOfEach;
  };
  for (const auto size : { Size{ 3, 25 }, Size{ 5, 59 } }) {
    CoordinatorWorld world;
    world.AddPool();
    for (int c = 0; c < size.mCentres; ++c) {
      for (int i = 0; i < size.mOfEach; ++i) {
        const std::string centre = "c" + std::to_string(c);
        world.AddNode(centre + "-" + std::to_string(i), 0, centre.c_str());
      }
    }
    world.Run(seconds(6));
    for (auto& it : world.mNodes) {
      if (it.mName.substr(0, 2) == "c0") {
        it.mCoordinator->SetReach(false);
      }
    }
    world.Run(seconds(1));
    std::map<std::string, int> asked;
    for (const auto& node : world.mNodes) {
      const bool cut = node.mName.substr(0, 2) == "c0";
      ASSERT_GE(node.mPlan->mProxyPeers->size(), 4U) << node.mName;
      for (const auto& it : *node.mPlan->mProxyPeers) {
        EXPECT_NE(it.mNode.substr(0, 2), "c0") << node.mName;
        asked[it.mNode] += cut ? 1 : 0;
      }
    }
    int most = 0;
    for (const auto& [node, n] : asked) {
      most = std::max(most, n);
    }
    const int others = size.mOfEach * (size.mCentres - 1);
    const int mean = 8 * size.mOfEach / others + 1;
    EXPECT_LE(most, 6 * mean) << size.mCentres * size.mOfEach << " nodes";
  }
}

/// Nodes that are cut, one after the other or at once, and engines that really end meanwhile: no
/// replica that is whole closes, what is broken is repaired, and no order goes wrong.
RC_GTEST_PROP(CoordinatorReachProperty, RandomCutsTakeNoWholeReplicaDown, ())
{
  CoordinatorWorld world;
  for (int d = 0; d < 3; ++d) {
    for (int i = 0; i < 5; ++i) {
      world.mPool.Add("d" + std::to_string(d) + "-e" + std::to_string(i), "d" + std::to_string(d));
    }
  }
  world.Configure("1");
  const int nodes = *rc::gen::inRange(2, 9);
  for (int i = 0; i < nodes; ++i) {
    world.AddNode("n" + std::to_string(i), 0, i % 2 == 0 ? "a" : "b");
  }
  std::set<std::string> cut;
  world.mReaches = [&cut](const std::string& aNode, const std::string&) {
    return cut.count(aNode) == 0;
  };
  world.Run(seconds(10));
  RC_ASSERT(CoordinatorWorld::Usable(world.mNodes.front()) == 3);
  const int steps = *rc::gen::inRange(3, 9);
  for (int step = 0; step < steps; ++step) {
    const auto& name = world.mNodes[static_cast<std::size_t>(*rc::gen::inRange(0, nodes))].mName;
    const bool mends = !cut.empty() && (*rc::gen::inRange(0, 3) == 0);
    if (mends) {
      cut.clear();
    } else if (static_cast<int>(cut.size()) + 1 < nodes) {
      cut.insert(name);
    }
    for (auto& node : world.mNodes) {
      // The relay tells that a path works again; that it is cut the control state may find out
      // first.
      const bool reaches = cut.count(node.mName) == 0;
      if (reaches || *rc::gen::arbitrary<bool>()) {
        node.mCoordinator->SetReach(reaches);
      }
    }
    for (int i = 0; i < 5; ++i) {
      for (auto& node : world.mNodes) {
        for (const auto& it : node.mPlan->mReplicas.at("pool")) {
          if (cut.count(node.mName) != 0) {
            node.mCoordinator->OnSuspect(it.mHead.mId, milliseconds(200));
          }
        }
      }
      world.Run(milliseconds(200));
      for (const auto& node : world.mNodes) {
        RC_ASSERT(CoordinatorWorld::Usable(node) == 3);
      }
    }
  }
  RC_ASSERT(world.mLines["engine_lost"] == 0);
  const auto& replicas = world.mNodes.front().mPlan->mReplicas.at("pool");
  const std::string head = replicas[static_cast<std::size_t>(*rc::gen::inRange(0, 3))].mHead.mId;
  const std::string member = world.mPool.At(head).mMembers.back();
  world.mPool.End(member);
  for (int i = 0; i < 10; ++i) {
    for (auto& node : world.mNodes) {
      node.mCoordinator->OnSuspect(head, milliseconds(200));
    }
    world.Run(milliseconds(200));
  }
  RC_ASSERT(world.mPool.Serving("m") == 3U);
  RC_ASSERT(world.mPool.Violations().empty());
}

} // namespace
} // namespace pepperbay
