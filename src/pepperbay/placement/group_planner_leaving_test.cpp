/// Replicas whose members leave, while their streams are still being written.
#include "group_planner_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// Orders to join that an engine was given.
int
JoinsOf(const World& aWorld, const std::string& aEngine)
{
  const auto it = aWorld.mJoins.find(aEngine);
  return it == aWorld.mJoins.end() ? 0 : it->second;
}

/// Symptom: streams are reset in a quiet hour, when engines are replaced.
/// Sequence: a member says that it leaves; its replica takes no new requests; after 1.6 s, with
/// streams in progress, the other members are told to join anew, which ends the group and them.
/// Cause: the wait for what is in progress had a bound far below the time that a stream takes, and
/// below the time for which a leaving engine works on.
TEST(GroupPlannerLeaving, WhatIsInProgressEndsBeforeTheMembersJoinAnew)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string head = world.MemberOf(planner, "big", 0);
  const std::string leaving = world.MemberOf(planner, "big", 2);
  const int before = JoinsOf(world, head);
  world.mInFlight = 2;
  world.mPool.At(leaving).mRecord.mLeaving = true;
  world.Run(planner, seconds(5));
  EXPECT_EQ(JoinsOf(world, head), before);
  world.mInFlight = 0;
  world.Run(planner, seconds(1));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_NE(world.MemberOf(planner, "big", 2), leaving);
}

/// A count that never falls, of a node that hangs say, does not hold the replica for ever.
TEST(GroupPlannerLeaving, WhatDoesNotEndIsNotWaitedForLongerThanAnEngineWorksOn)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string leaving = world.MemberOf(planner, "big", 2);
  world.mInFlight = 2;
  world.mPool.At(leaving).mRecord.mLeaving = true;
  world.Run(planner, seconds(10));
  EXPECT_NE(world.MemberOf(planner, "big", 2), leaving);
}

/// Symptom: as above, without any word of leaving.
/// Sequence: a member leaves without a word: its registration goes, later it stops listening, and
/// works on for its head's streams; it does not answer questions; the replica forms anew.
/// Cause: an engine that does not listen was taken for one that does not work.
TEST(GroupPlannerLeaving, AMemberThatOnlyStoppedListeningEndsItsStreamsFirst)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string head = world.MemberOf(planner, "big", 0);
  const std::string silent = world.MemberOf(planner, "big", 3);
  const int before = JoinsOf(world, head);
  world.mInFlight = 2;
  world.StopListening(silent);
  world.Run(planner, seconds(2));
  EXPECT_EQ(JoinsOf(world, head), before);
  world.mInFlight = 0;
  world.Run(planner, seconds(1));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

/// A member that has died shows by streams that stand still; nothing is waited for then.
TEST(GroupPlannerLeaving, AMemberWhoseReplicaStandsStillIsReplacedAtOnce)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.mInFlight = 2;
  world.Kill(world.MemberOf(planner, "big", 3));
  world.Run(planner, seconds(1));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

/// Symptom: streams are reset when another node takes the lease.
/// Sequence: a member's registration is gone, its replica works on; the lease changes hands; the
/// new holder sees a replica without all its members and tells the others to join anew. Cause: as
/// above; what the list of engines does not show was taken for what does not work.
TEST(GroupPlannerLeaving, ANewHolderEndsNothingThatWorksOn)
{
  World world(1);
  GroupPlanner before;
  world.Run(before, seconds(40));
  const std::string head = world.MemberOf(before, "big", 0);
  world.mPool.At(world.MemberOf(before, "big", 3)).mListed = false;
  world.mInFlight = 2;
  world.Run(before, milliseconds(200));
  const int joins = JoinsOf(world, head);
  GroupPlanner after;
  world.Run(after, seconds(3), 2);
  EXPECT_EQ(JoinsOf(world, head), joins);
  world.mInFlight = 0;
  world.Run(after, seconds(2), 2);
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_GT(JoinsOf(world, head), joins);
}

/// The engine was only cut off from the store: its replica serves on as it was.
TEST(GroupPlannerLeaving, AMemberThatIsListedAgainMakesItsReplicaWhole)
{
  World world(1);
  GroupPlanner before;
  world.Run(before, seconds(40));
  const std::string head = world.MemberOf(before, "big", 0);
  const std::string member = world.MemberOf(before, "big", 3);
  world.mPool.At(member).mListed = false;
  world.mInFlight = 2;
  world.Run(before, milliseconds(200));
  const int joins = JoinsOf(world, head);
  GroupPlanner after;
  world.Run(after, seconds(1), 2);
  world.mPool.At(member).mListed = true;
  world.Run(after, milliseconds(200), 2);
  world.mInFlight = 0;
  world.Run(after, seconds(2), 2);
  EXPECT_EQ(JoinsOf(world, head), joins);
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_EQ(world.MemberOf(after, "big", 0), head);
}

/// Symptom: a replica that was formed anew without one leaving engine stops serving again seconds
/// later, and refuses all that it is sent until that is found out.
/// Sequence: two members leave without a word, one after the other; when the first stops listening,
/// the replica is formed anew with the second, though a spare is ready.
/// Cause: an engine that is no longer listed was as good a member as any while it answered.
TEST(GroupPlannerLeaving, ASpareGoesBeforeAMemberThatIsNoLongerListed)
{
  World world(1);
  GroupPlanner planner;
  world.mTraffic = true;
  world.Run(planner, seconds(100));
  const std::string first = world.MemberOf(planner, "small", 1);
  const std::string second = world.MemberOf(planner, "small", 2);
  ASSERT_GE(SparesOf(world).size(), 2U);
  world.mPool.At(first).mListed = false;
  world.mPool.At(second).mListed = false;
  world.Run(planner, seconds(1));
  world.Kill(first);
  world.Run(planner, seconds(2));
  EXPECT_EQ(world.mPool.Serving("small"), 1U);
  for (const auto& [name, replica] : planner.Replicas()) {
    for (const auto& it : replica.mMembers) {
      EXPECT_NE(it, second) << name;
    }
  }
}

/// A member that has started again knows nothing of its group: nothing moves there, and nothing is
/// waited for, although no node sees a stream stand still where all of them wait.
TEST(GroupPlannerLeaving, AReplicaWhoseMemberHasStartedAgainIsFormedAnewAtOnce)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string member = world.MemberOf(planner, "big", 3);
  world.mInFlight = 2;
  world.mPool.Restart(member, WallTime(seconds(100)));
  world.Run(planner, seconds(4));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

/// Symptom: streams are reset when another node takes the lease.
/// Sequence: a head's registration is gone, it works on for its streams; the lease changes hands;
/// the new holder finds the other members and tells them to join anew.
/// Cause: a head that is not listed was taken for one that does not work.
TEST(GroupPlannerLeaving, ANewHolderEndsNothingOfAHeadThatIsNotListed)
{
  World world(1);
  GroupPlanner before;
  world.Run(before, seconds(40));
  const std::string member = world.MemberOf(before, "big", 3);
  world.mPool.At(world.MemberOf(before, "big", 0)).mListed = false;
  world.mInFlight = 2;
  world.Run(before, milliseconds(200));
  const int joins = JoinsOf(world, member);
  GroupPlanner after;
  world.Run(after, seconds(2), 2);
  EXPECT_EQ(JoinsOf(world, member), joins);
}

/// Guards against a replica that is formed anew, which ends its streams, as a member only pauses.
TEST(GroupPlannerLeaving, AMemberThatIsOnlySilentEndsNothing)
{
  for (const std::size_t rank : { 0U, 3U }) {
    for (const int streams : { 0, 2 }) {
      World world(1);
      GroupPlanner planner;
      world.Run(planner, seconds(40));
      const auto before = world.mJoins;
      const std::string silent = world.MemberOf(planner, "big", rank);
      const std::string name = world.mPool.At(silent).mRecord.mGroup.mName;
      world.mInFlight = streams;
      world.mSilent = { silent };
      world.Run(planner, milliseconds(20));
      EXPECT_TRUE(planner.Replicas().at(name).mMemberLost);
      EXPECT_TRUE(planner.Replicas().at(name).mLeavingSince) << "it takes no new requests";
      EXPECT_EQ(planner.Replicas().at(name).mWhy, "silent member " + silent);
      world.Run(planner, milliseconds(1500));
      world.mSilent.clear();
      world.Run(planner, milliseconds(40));
      EXPECT_FALSE(planner.Replicas().at(name).mLeavingSince) << "it is back";
      world.Run(planner, seconds(1));
      EXPECT_EQ(world.mJoins, before) << rank << " with " << streams << " streams";
      EXPECT_EQ(planner.Replicas().at(name).mPhase, ReplicaPhase::kOpen);
    }
  }
}

/// Guards against a replica that waits for ever for a member whose silence was no pause.
TEST(GroupPlannerLeaving, AMemberWhoseSilenceHasBecomeAnEndIsReplaced)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.mInFlight = 2;
  const std::string silent = world.MemberOf(planner, "big", 3);
  world.mSilent = { silent };
  world.Run(planner, milliseconds(1600));
  world.mSilent.clear();
  world.Kill(silent);
  world.Run(planner, milliseconds(800));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

/// Guards against a replica that is formed anew for orders that a member left unanswered in a
/// pause.
TEST(GroupPlannerLeaving, OrdersWithoutAnAnswerEndNoStreams)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string head = world.MemberOf(planner, "big", 0);
  const std::string member = world.MemberOf(planner, "big", 3);
  const int before = JoinsOf(world, head);
  world.mInFlight = 2;
  GroupOrder stage;
  stage.mKind = GroupOrderKind::kStage;
  stage.mEngine = member;
  stage.mBorn = world.mPool.At(member).mRecord.mBorn;
  for (int i = 0; i < GroupPlannerOptions().mMostUnanswered; ++i) {
    planner.OnAnswer(stage, OrderAnswer::kNone, world.Now());
  }
  ASSERT_EQ(planner.Unanswering().count(member), 1U);
  world.mSilent = { member };
  world.Run(planner, milliseconds(1500));
  world.mSilent.clear();
  planner.Forgive(member);
  world.Run(planner, seconds(1));
  EXPECT_EQ(JoinsOf(world, head), before);
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

/// Guards against a replica that is formed anew as a member's registration lapses in a pause.
TEST(GroupPlannerLeaving, AMemberWhoseRegistrationLapsesInAPauseStays)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string head = world.MemberOf(planner, "big", 0);
  const std::string member = world.MemberOf(planner, "big", 3);
  const int before = JoinsOf(world, head);
  world.mInFlight = 2;
  world.mSilent = { member };
  world.mPool.At(member).mListed = false;
  world.Run(planner, milliseconds(1500));
  world.mSilent.clear();
  world.mPool.At(member).mListed = true;
  world.Run(planner, seconds(1));
  EXPECT_EQ(JoinsOf(world, head), before);
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

/// Guards against a new holder that takes a registration that lapsed in a pause for an end.
TEST(GroupPlannerLeaving, ANewHolderWaitsForAMemberWhoseRegistrationLapsedInAPause)
{
  World world(1);
  GroupPlanner before;
  world.Run(before, seconds(40));
  const std::string head = world.MemberOf(before, "big", 0);
  const std::string member = world.MemberOf(before, "big", 3);
  const int joins = JoinsOf(world, head);
  world.mInFlight = 2;
  world.mSilent = { member };
  world.mPool.At(member).mListed = false;
  world.Run(before, milliseconds(200));
  GroupPlanner after;
  world.Run(after, milliseconds(1300), 2);
  world.mSilent.clear();
  world.mPool.At(member).mListed = true;
  world.Run(after, seconds(1), 2);
  EXPECT_EQ(JoinsOf(world, head), joins);
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

} // namespace
} // namespace pepperbay
