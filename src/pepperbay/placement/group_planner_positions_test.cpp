#include "group_planner_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// A domain whose small replica has been re-formed with a spare. The registrations of that spare
/// and of the new head are outdated: both are from before the join.
struct StaleRegistrations
{
  StaleRegistrations()
  {
    mWorld.Run(mPlanner, kAllStaged, 1, milliseconds(100));
    mWorld.mTraffic = true;
    mSmall = InDomain("small");
    const auto members = mPlanner.Replicas().at(mSmall).mMembers;
    for (const auto& it : SparesOf(mWorld)) {
      mWorld.CutOff(it);
    }
    mWorld.CutOff(members[1]);
    mWorld.Kill(members[0]);
    mWorld.Run(mPlanner, seconds(2));
  }

  std::string InDomain(const std::string& aModel)
  {
    for (const auto& [name, replica] : mPlanner.Replicas()) {
      if (replica.mModel == aModel && replica.mDomain == "d0") {
        return name;
      }
    }
    return "";
  }

  World mWorld{ 3 };
  GroupPlanner mPlanner;
  std::string mSmall;
};

/// Guards against an engine in two replicas, whose head accepts streams but makes no progress.
/// Registrations are outdated while the store is unavailable. A replica is re-formed with a spare
/// and opens, but the registrations still show the spare as free and the head in the earlier epoch.
/// Then a larger replica of the domain loses a member and the first replica is given up for it. The
/// head is ordered to leave the earlier epoch, answers that this holds and keeps serving, while the
/// spare joins the larger replica.
/// The failure occurs if an old registration is used again half a second after the engine's newer
/// report, together with the number of accepted orders from that report, which passes the engine's
/// guard.
TEST(GroupPlannerPositions, AMemberWithAnOutdatedRegistrationLeavesBeforeItJoinsAnother)
{
  StaleRegistrations given;
  World& world = given.mWorld;
  ASSERT_EQ(world.mPool.Serving("small"), 3U);
  world.mInFlightOf = { { "big", 20 }, { "small", 8 } };
  for (const auto& it : SparesOf(world)) {
    world.Kill(it);
  }
  world.Kill(given.mPlanner.Replicas().at(given.InDomain("big")).mMembers[3]);
  world.Run(given.mPlanner, seconds(25)); // longer than a load, which the former head may need
  EXPECT_EQ(world.mPool.Violations(), std::vector<std::string>());
  EXPECT_EQ(world.mPool.Serving("big"), 3U); // its engines were free after leaving
}

/// Guards against a repair that takes 250 ms longer for each engine that has loaded weights for a
/// join. Repeats of a join in progress are each answered with kBegun. If each answer counts as
/// another accepted order, the engines refuse the next join.
TEST(GroupPlannerPositions, AJoinThatIsStillInProgressIsCountedOnce)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.Kill(world.MemberOf(planner, "big", 3));
  world.Run(planner, milliseconds(700));
  EXPECT_EQ(world.mRefusedJoins, 0);
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

/// Guards against an engine that has left one replica and refuses for half a second to join
/// another. A replica is given up for a larger one of its domain and its members leave, which is
/// answered as done. Such an order counts as accepted; otherwise the join carries a number one too
/// low, is refused, and the next report is still from before the leave.
TEST(GroupPlannerPositions, AnEngineThatHasLeftJoinsAtOnce)
{
  World world(3);
  GroupPlanner planner;
  world.Run(planner, kAllStaged, 1, milliseconds(100));
  world.mTraffic = true;
  world.mInFlightOf = { { "big", 20 }, { "small", 0 } };
  for (const auto& it : SparesOf(world)) {
    world.Kill(it);
  }
  world.Kill(world.MemberOf(planner, "big", 3));
  world.mRefusedJoins = 0;
  world.Run(planner, milliseconds(2500));
  EXPECT_EQ(world.mRefusedJoins, 0);
  EXPECT_EQ(world.mPool.Serving("big"), 3U);
}

/// Guards against a free engine that never gets the weights to be ready for a loss. The order to
/// stage weights is lost in transit; a sent order must not count as a transfer in progress forever.
TEST(GroupPlannerPositions, ALostOrderToStageIsRepeated)
{
  World world(1);
  GroupPlanner planner;
  std::set<std::string> lost;
  world.mDeliveryOf = [&lost](const GroupOrder& aOrder) {
    const bool first = aOrder.mKind == GroupOrderKind::kStage && lost.insert(aOrder.mEngine).second;
    return first ? OrderDelivery::kLost : OrderDelivery::kArrives;
  };
  world.Run(planner, kAllStaged, 1, milliseconds(100));
  EXPECT_EQ(SparesOf(world).size(), 2U);
}

/// Guards against a replica that serves although one of its members has never been ready. A replica
/// forms while one member still warms up. A query to an exited engine is answered by the engine now
/// at that address, which is a member here and is ready. Ready members must be tracked by id; a
/// count would include the answer of an engine that is no member.
TEST(GroupPlannerPositions, AnAnswerOfANonMemberMakesNoMemberReady)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(1)); // shorter than a load
  ASSERT_FALSE(planner.Replicas().empty());
  const PlannedReplica replica = planner.Replicas().begin()->second;
  ASSERT_EQ(replica.mPhase, ReplicaPhase::kForming);
  ASSERT_TRUE(replica.mReady.empty());
  EngineReport report;
  report.mGroup = { replica.mName, replica.mEpoch, 1, GroupPhase::kReady };
  for (std::size_t i = 0; i < replica.mMembers.size(); ++i) {
    planner.OnReport("gone-" + std::to_string(i), report, world.Now());
  }
  world.mGiven.clear();
  world.Run(planner, milliseconds(100));
  EXPECT_EQ(world.mGiven[GroupOrderKind::kOpen], 0);
}

} // namespace
} // namespace pepperbay
