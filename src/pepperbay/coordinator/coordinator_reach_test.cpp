/// Nodes that reach no engine, as the control state takes it.
#include "coordinator_world.hpp"

#include <gtest/gtest.h>

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

} // namespace
} // namespace pepperbay
