#include "group_planner_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// A domain whose small replica has been formed anew with a spare while the registrations of that
/// spare and of the new head stood still; both are of before the join.
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

/// Symptom: a head takes streams and nothing in it moves; one of its members has joined another
/// replica.
/// Sequence: registrations stand still while the store is away. A replica is formed anew with a
/// spare, and opens; by their registrations the spare is still one, and the head in the former
/// epoch. A larger replica of the domain loses a member and the first is given up for it. Its head
/// is told to leave the former epoch, answers that this holds, and goes on serving; the spare is
/// told to join the larger replica, and does.
/// Cause: an old registration counted again once the engine's own newer word was half a second old;
/// the count of orders that went with that word was kept, and passed the engine's guard.
TEST(GroupPlannerPlaces, AMemberWhoseRegistrationStandsStillLeavesBeforeItJoinsAnother)
{
  StaleRegistrations given;
  World& world = given.mWorld;
  ASSERT_EQ(world.mPool.Serving("small"), 3U);
  world.mInFlightOf = { { "big", 20 }, { "small", 8 } };
  for (const auto& it : SparesOf(world)) {
    world.Kill(it);
  }
  world.Kill(given.mPlanner.Replicas().at(given.InDomain("big")).mMembers[3]);
  world.Run(given.mPlanner, seconds(25)); // longer than a load, which the old head may need
  EXPECT_EQ(world.mPool.Violations(), std::vector<std::string>());
  EXPECT_EQ(world.mPool.Serving("big"), 3U); // its engines were free once they had left
}

/// Symptom: each repair of an engine that has once loaded weights for a join takes 250 ms longer.
/// Sequence: a join that loads is asked for again while it is in progress, and answered as begun
/// each time. A member dies, and the others are told to join anew; they refuse.
/// Cause: each of these answers was counted as one more order that the engine had accepted.
TEST(GroupPlannerPlaces, AJoinThatIsStillInProgressIsCountedOnce)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.Kill(world.MemberOf(planner, "big", 3));
  world.Run(planner, milliseconds(700));
  EXPECT_EQ(world.mRefusedJoins, 0);
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

/// Symptom: an engine that has left one replica for another refuses to join it for half a second.
/// Sequence: a replica is given up for a larger one of its domain; its members leave, which is
/// answered as done, and are told to join.
/// Cause: an order that is done when it is answered was not counted as accepted; the engine, which
/// counts it, refused the join that named one too few, and what it said then was of before.
TEST(GroupPlannerPlaces, AnEngineThatHasLeftJoinsAtOnce)
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

/// Symptom: a free engine never stands ready for a loss, and never gets the weights for it.
/// Sequence: the order to bring weights onto its host is lost on its way.
/// Cause: an order that had been given counted as weights on their way, for good.
TEST(GroupPlannerPlaces, AnOrderToStageThatComesToNothingIsGivenAgain)
{
  World world(1);
  GroupPlanner planner;
  std::set<std::string> lost;
  world.mFate = [&lost](const GroupOrder& aOrder) {
    const bool first = aOrder.mKind == GroupOrderKind::kStage && lost.insert(aOrder.mEngine).second;
    return first ? Fate::kLost : Fate::kArrives;
  };
  world.Run(planner, kAllStaged, 1, milliseconds(100));
  EXPECT_EQ(SparesOf(world).size(), 2U);
}

/// Symptom: a replica serves though one of its members has never been ready.
/// Sequence: a replica forms; one member still warms up. An engine that has ended is asked for its
/// state; at its address another has started, which is a member here, and answers that it is ready.
/// Cause: the ready were counted, not looked at one by one, and a stranger's word counted as well.
TEST(GroupPlannerPlaces, AWordOfAnEngineThatIsNoMemberMakesNoneReady)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(1)); // loads take longer than that
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
