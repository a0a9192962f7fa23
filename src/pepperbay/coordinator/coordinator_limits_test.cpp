#include "coordinator_fixture.hpp"

#include <random>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

/// Nodes before engines of the data centres a, b and c, all of which have a limit.
class LimitsTest : public CoordinatorTest
{
protected:
  void Begin(int aPerCentre)
  {
    for (const char* centre : { "a", "b", "c" }) {
      for (int i = 0; i < aPerCentre; ++i) {
        AddNode(std::string(centre) + std::to_string(i), 0, centre);
      }
    }
    mPool.At("e0").mRecord.mDataCentre = "a";
    mPool.At("e1").mRecord.mDataCentre = "b";
    mPool.At("e2").mRecord.mDataCentre = "c";
    Run(seconds(8));
    for (auto& it : mNodes) {
      TellLimits(it);
    }
  }

  static void TellLimits(TestNode& aNode)
  {
    aNode.mCoordinator->SetLimits(
      { { ShortId("e0"), 3.4 }, { ShortId("e1"), 2.6 }, { ShortId("e2"), 0.5 } });
  }

  bool Counts(const TestNode& aNode, const std::string& aCentre) const
  {
    const auto it = aNode.mPlan->mRateLeases.find(aCentre);
    return it != aNode.mPlan->mRateLeases.end() && mClock.Now() < it->second.mUntil;
  }

  /// @return the nodes that count for a data centre; those that stand still included, which go on
  /// by the plan that they have.
  std::vector<std::string> Counting(const std::string& aCentre) const
  {
    std::vector<std::string> counting;
    for (const auto& it : mNodes) {
      if (it.mPlan && Counts(it, aCentre)) {
        counting.push_back(it.mName);
      }
    }
    return counting;
  }

  /// @return the nodes that keep the budget of second attempts, by the plans that they have.
  std::vector<std::string> Keeping() const
  {
    std::vector<std::string> keeping;
    for (const auto& it : mNodes) {
      const auto& own = it.mPlan ? it.mPlan->mRetryBudgetOwner.mOwn : std::nullopt;
      if (own && mClock.Now() < own->mUntil) {
        keeping.push_back(it.mName);
      }
    }
    return keeping;
  }

  TestNode& At(const std::string& aName)
  {
    return *std::find_if(
      mNodes.begin(), mNodes.end(), [&](const TestNode& aNode) { return aNode.mName == aName; });
  }
};

TEST_F(LimitsTest, OneDeskCountsForEachDataCentre)
{
  Begin(12);
  Run(seconds(2));
  for (const char* centre : { "a", "b", "c" }) {
    const auto counting = Counting(centre);
    ASSERT_EQ(counting.size(), 1U) << centre;
    EXPECT_EQ(counting.front().substr(0, 1), centre);
  }
}

TEST_F(LimitsTest, NodesThatShareADeskShareItsCount)
{
  Begin(3);
  Run(seconds(2));
  const auto counting = Counting("a");
  ASSERT_EQ(counting.size(), 1U);
  EXPECT_EQ(Counting("b"), counting);
  EXPECT_EQ(Counting("c"), counting);
}

TEST_F(LimitsTest, NobodyAsksWhereNoEngineHasALimit)
{
  Begin(3);
  for (auto& it : mNodes) {
    it.mCoordinator->SetLimits({});
  }
  Run(seconds(3));
  bool asked = false;
  mOnSend = [&](const std::string&, const proto::PeerMessage& aMessage) {
    asked = asked || aMessage.beat().has_rate_leases_asked();
  };
  Run(seconds(2));
  EXPECT_FALSE(asked);
  EXPECT_TRUE(Counting("a").empty());
}

/// Guards against a limit that nobody counts for after its desk has died.
TEST_F(LimitsTest, AnotherDeskCountsSoonAfterOneHasDied)
{
  Begin(12);
  Run(seconds(2));
  const std::string first = Counting("b").front();
  At(first).mAlive = false;
  Run(seconds(3));
  const auto counting = Counting("b");
  ASSERT_EQ(counting.size(), 1U);
  EXPECT_NE(counting.front(), first);
}

/// Guards against a limit that nobody counts for after the holder of the lease has died.
TEST_F(LimitsTest, ANewHolderGivesTheRightSoonAfterTheOldOneHasDied)
{
  Begin(12);
  Run(seconds(2));
  Holder().mAlive = false;
  Run(seconds(6));
  for (const char* centre : { "a", "b", "c" }) {
    EXPECT_EQ(Counting(centre).size(), 1U) << centre;
  }
}

TEST_F(LimitsTest, OtherDesksAndTheHolderHearOfLimits)
{
  Begin(12);
  for (auto& it : mNodes) {
    if (it.mName.substr(0, 1) != "a") {
      it.mCoordinator->SetLimits({}); // nobody there has been told by an engine
    }
  }
  Run(seconds(2));
  const std::string counts = Counting("a").front();
  const std::set<std::string> desks = [&] {
    std::set<std::string> names = { Holder().mName };
    for (const auto& it : mNodes) {
      if (it.mPlan->mIsAllocator) {
        names.insert(it.mName);
      }
    }
    return names;
  }();
  ASSERT_GE(desks.size(), 3U);
  for (const auto& it : desks) {
    if (it != counts) {
      EXPECT_EQ(At(it).mPlan->mOthersLimits.count(ShortId("e0")), 1U) << it;
    }
  }
  for (auto& it : mNodes) {
    it.mCoordinator->SetLimits({});
  }
  Run(seconds(1));
  for (const auto& it : desks) {
    EXPECT_TRUE(At(it).mPlan->mOthersLimits.empty()) << it;
  }
}

/// Guards against nodes that do not know whom to ask for a second attempt.
TEST_F(LimitsTest, TheHolderKeepsTheBudgetOfSecondAttemptsAndAllKnowIt)
{
  Begin(12);
  Run(seconds(2));
  const auto keeping = Keeping();
  ASSERT_EQ(keeping.size(), 1U);
  EXPECT_EQ(keeping.front(), Holder().mName);
  for (const auto& it : mNodes) {
    const std::string& keeper = it.mPlan->mRetryBudgetOwner.mAddress;
    EXPECT_EQ(keeper.empty(), it.mName == keeping.front()) << it.mName;
  }
}

/// Guards against a budget that nobody keeps after the holder of the lease has died.
TEST_F(LimitsTest, ANewHolderKeepsTheBudgetSoonAfterTheOldOneHasDied)
{
  Begin(12);
  Run(seconds(2));
  const std::string first = Keeping().front();
  At(first).mAlive = false;
  Run(seconds(6));
  std::vector<std::string> keeping = Keeping();
  ASSERT_EQ(keeping.size(), 1U);
  EXPECT_NE(keeping.front(), first);
}

/// Guards against two nodes that count for one data centre at once.
/// Property: with nodes that die, stand still, start again, lose the store, or are cut off from
/// some or all others, at no moment do two nodes count for one data centre.
RC_GTEST_FIXTURE_PROP(LimitsTest, AtMostOneNodeCountsWhateverHappens, ())
{
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  const auto chance = [&](int aPercent) { return static_cast<int>(random() % 100) < aPercent; };
  Begin(chance(50) ? 3 : 6);
  std::map<std::string, TimePoint> stands; // nodes that stand still, until when
  std::set<std::string> cut;               // from all others
  std::map<std::string, int> side;         // of a fleet that is cut in two
  bool split = false;
  mLoses = [&](const std::string& aFrom, const std::string& aTo) {
    return cut.count(aFrom) != 0 || cut.count(aTo) != 0 || (split && side[aFrom] != side[aTo]) ||
           chance(5);
  };
  for (int step = 0; step < 16; ++step) {
    auto& node = mNodes[random() % mNodes.size()];
    switch (random() % 8) {
      case 0:
        node.mAlive = false;
        stands[node.mName] = mClock.Now() + milliseconds(random() % 4000);
        break;
      case 1:
        node.mStoreDown = !node.mStoreDown;
        break;
      case 2:
        cut.insert(node.mName);
        break;
      case 3:
        cut.clear();
        break;
      case 4:
        split = !split;
        for (const auto& it : mNodes) {
          side[it.mName] = chance(50) ? 1 : 0;
        }
        break;
      case 5:
        mStoreDown = chance(50);
        break;
      case 6:
        Holder().mStoreDown = true;
        break;
      default:
        for (auto& it : mNodes) {
          it.mStoreDown = false;
        }
        break;
    }
    for (const TimePoint until = mClock.Now() + milliseconds(random() % 900);
         mClock.Now() < until;) {
      for (auto& it : mNodes) {
        it.mAlive = it.mAlive || mClock.Now() >= stands[it.mName];
      }
      Run(milliseconds(20));
      for (const char* centre : { "a", "b", "c" }) {
        RC_ASSERT(Counting(centre).size() <= 1U);
      }
      RC_ASSERT(Keeping().size() <= 1U);
    }
  }
}

} // namespace
} // namespace pepperbay
