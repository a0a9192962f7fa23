/// Tests of replicas whose members leave while their streams are still being written.
#include "group_planner_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// The number of join orders sent to an engine.
int
JoinsOf(const World& aWorld, const std::string& aEngine)
{
  const auto it = aWorld.mJoins.find(aEngine);
  return it == aWorld.mJoins.end() ? 0 : it->second;
}

/// Guards against streams reset when a leaving engine is replaced. Its replica takes no new
/// requests. If the wait for streams in progress is too short (it was 1.6 s, far less than a stream
/// takes or a leaving engine works on), the other members are ordered to join again, which ends the
/// group and its streams.
TEST(GroupPlannerLeaving, RequestsInProgressCompleteBeforeTheMembersJoinAgain)
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

/// A count of requests that never falls, for example from a hung node, must not block the replica
/// forever.
TEST(GroupPlannerLeaving, RequestsThatDoNotCompleteAreAwaitedForTheDrainTimeOnly)
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

/// Guards against the same for a member that leaves unannounced: its registration disappears, then
/// it stops listening and answers no queries, but still works for its head's streams. An engine
/// that does not listen must not be taken for one that does not work.
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

/// A member that has died shows by streams that make no progress; the planner then does not wait.
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

/// Guards against streams reset by a change of the lease holder. A member's registration is gone
/// but its replica still works. The new holder sees an incomplete replica and must not order the
/// other members to join again: an unlisted engine may still work.
TEST(GroupPlannerLeaving, ANewHolderEndsNoReplicaThatStillWorks)
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

/// The engine was only cut off from the store: its replica continues to serve unchanged.
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

/// Guards against re-forming a replica with a member that is about to stop. Two members leave
/// unannounced one after the other. When the first stops listening, the replica must be re-formed
/// with a ready spare, not with the second, which still answers but is no longer listed. Otherwise
/// it stops serving again seconds later and refuses all requests until that is detected.
TEST(GroupPlannerLeaving, ASpareIsPreferredToAMemberThatIsNoLongerListed)
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

/// A restarted member has lost its group state: the replica makes no progress, and the planner must
/// not wait, even if no node reports a stalled stream because all of them are waiting.
TEST(GroupPlannerLeaving, AReplicaWithARestartedMemberIsReformedAtOnce)
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

/// Guards against streams reset by a change of the lease holder. A head's registration is gone but
/// it still serves its streams. The new holder discovers the other members and must not order them
/// to join again: an unlisted head may still work.
TEST(GroupPlannerLeaving, ANewHolderEndsNoStreamsOfAnUnlistedHead)
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

/// Guards against re-forming a replica, which ends its streams, while a member only pauses.
TEST(GroupPlannerLeaving, AMemberThatIsOnlySilentEndsNoStreams)
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
      EXPECT_TRUE(planner.Replicas().at(name).mLeavingSince) << "takes no new requests";
      EXPECT_EQ(planner.Replicas().at(name).mWhy, "silent member " + silent);
      world.Run(planner, milliseconds(1500));
      world.mSilent.clear();
      world.Run(planner, milliseconds(40));
      EXPECT_FALSE(planner.Replicas().at(name).mLeavingSince) << "the member answers again";
      world.Run(planner, seconds(1));
      EXPECT_EQ(world.mJoins, before) << rank << " with " << streams << " streams";
      EXPECT_EQ(planner.Replicas().at(name).mPhase, ReplicaPhase::kOpen);
    }
  }
}

/// Guards against a replica that waits forever for a member that has exited rather than paused.
TEST(GroupPlannerLeaving, AMemberThatExitedWhileSilentIsReplaced)
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

/// Guards against re-forming a replica because of orders that a member left unanswered in a pause.
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
  for (int i = 0; i < GroupPlannerOptions().mMaxUnanswered; ++i) {
    planner.OnAnswer(stage, OrderAnswer::kNone, world.Now());
  }
  ASSERT_EQ(planner.Unanswering().count(member), 1U);
  world.mSilent = { member };
  world.Run(planner, milliseconds(1500));
  world.mSilent.clear();
  planner.ReinstateEngine(member);
  world.Run(planner, seconds(1));
  EXPECT_EQ(JoinsOf(world, head), before);
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

/// Guards against re-forming a replica because a member's registration lapsed in a pause.
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

/// Guards against a new holder that takes a registration that lapsed in a pause for an exit.
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
