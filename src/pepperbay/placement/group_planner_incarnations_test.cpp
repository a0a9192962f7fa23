#include "group_planner_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// Guards against a replica whose streams stall until its head breaks seconds later, while the
/// engine that caused it stays unused. A member restarts under its id and its registration never
/// lapses. An engine identified by its id alone looks like the old member.
TEST(GroupPlannerIncarnations, ARestartedMemberIsReplacedAndReturnsAsFree)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string member = world.MemberOf(planner, "big", 2);
  world.mGiven.clear();
  world.mPool.Restart(member, WallTime(seconds(100)));
  world.Run(planner, milliseconds(100));
  EXPECT_EQ(planner.Replicas().size(), 2U);
  world.Run(planner, milliseconds(700));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_NE(world.MemberOf(planner, "big", 2), member) << "a spare that stands ready is quicker";
  world.Run(planner, seconds(3));
  EXPECT_EQ(world.mPool.At(member).mRecord.mGroup.mName, "spare-" + member);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// A head restarts; the answer to an order and a report from its stale incarnation arrive
/// afterwards. Guards against attributing them to the new incarnation: a head that lost its
/// requests would be sent new ones, or an engine would be excluded for unanswered orders of its
/// stale incarnation.
TEST(GroupPlannerIncarnations, AnswersOfAStaleIncarnationAreIgnored)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string head = world.MemberOf(planner, "big", 0);
  world.mPool.Restart(head, WallTime(seconds(100)));
  EngineReport before = world.mPool.Report(head);
  before.mBorn = WallTime(seconds(50));
  before.mGroup = { planner.Replicas().begin()->first, 7, 0, GroupPhase::kOpen };
  world.Run(planner, milliseconds(60));
  GroupOrder order;
  order.mKind = GroupOrderKind::kStage;
  order.mEngine = head;
  order.mBorn = WallTime(seconds(50));
  for (int i = 0; i < 9; ++i) {
    planner.OnAnswer(order, OrderAnswer::kNone, world.Now());
    planner.OnReport(head, before, world.Now());
  }
  EXPECT_EQ(planner.Unanswering().count(head), 0U);
  planner.OnAnswer(order, OrderAnswer::kOtherEngine, world.Now());
  world.Run(planner, seconds(3));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_EQ(world.mPool.At(head).mRecord.mGroup.mName, "spare-" + head);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Guards against a replica that never finishes forming because a member refuses the same join
/// every 250 ms. An engine accepts orders of an earlier holder and loses their effect: it is in no
/// replica and its host holds no weights. The next holder takes it for a newly started engine.
/// After a refusal it must be queried, not assumed new again.
TEST(GroupPlannerIncarnations, AnEngineAssumedNewIsQueriedAfterItHasRefused)
{
  World world(1);
  for (auto& [id, engine] : world.mPool.Engines()) {
    engine.mAccepted = 3;
  }
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_EQ(world.mPool.Serving("small"), 1U);
}

/// Guards against stale entries in the index from engines to replicas. Another holder has re-formed
/// a replica with fewer of its members, and this holder sees that in the registrations. If the
/// index keeps the former members, they are never used again, and a restart of one of them re-forms
/// the whole replica or ends the holder with an exception.
TEST(GroupPlannerIncarnations, MembersThatAnotherHolderLeftOutAreFree)
{
  World world(1);
  GroupPlanner first;
  world.Run(first, seconds(40));
  const std::string out = world.MemberOf(first, "small", 2);
  GroupPlanner second;
  world.Run(second, seconds(1), 7);
  world.mDetectedLost.insert(out);
  world.Run(second, seconds(3), 7);
  ASSERT_EQ(world.mPool.Serving("small"), 1U);
  world.mDetectedLost.erase(out);
  world.Run(second, seconds(3), 7);
  world.Round(first, 1); // sees the effect of the second holder
  world.mPool.Restart(out, WallTime(seconds(100)));
  world.mGiven.clear();
  world.Run(first, seconds(3), 8);
  EXPECT_EQ(world.mGiven[GroupOrderKind::kOpen], 0) << "no replica has lost a member";
  EXPECT_EQ(world.mPool.At(out).mRecord.mGroup.mName, "spare-" + out);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Guards against memory that grows with every engine ever seen, as engines exit and others with
/// new ids appear for hours. The test observes this by reusing an id much later: no earlier state
/// of it may be known.
TEST(GroupPlannerIncarnations, AnEngineThatExitedLongAgoIsForgotten)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  std::string spare;
  for (const auto& [id, engine] : world.mPool.Engines()) {
    spare = engine.mRecord.mGroup.mName.rfind("spare-", 0) == 0 ? id : spare;
  }
  world.Kill(spare);
  world.mPool.At(spare).mListed = false;
  world.Run(planner, seconds(1));
  world.mPool.Engines().erase(spare);
  world.Run(planner, seconds(40));
  world.mDetectedLost.erase(spare);
  world.mPool.Add(spare, "d0"); // an empty engine; its counts restart at zero
  int refused = 0;
  world.mDeliveryOf = [&](const GroupOrder& aOrder) {
    refused += aOrder.mAccepted.value_or(0) != 0 && aOrder.mEngine == spare ? 1 : 0;
    return OrderDelivery::kArrives;
  };
  world.Run(planner, milliseconds(500));
  EXPECT_EQ(refused, 0);
  world.Run(planner, seconds(30));
  EXPECT_EQ(world.mPool.At(spare).mRecord.mGroup.mName, "spare-" + spare);
}

} // namespace
} // namespace pepperbay
