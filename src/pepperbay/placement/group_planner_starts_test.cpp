#include "group_planner_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

/// Symptom: a replica's streams stand still until its head breaks, seconds later, and the engine
/// that caused it stays unused.
/// Sequence: a member ends and starts again under its id; its registration never lapses.
/// Cause: an engine was told apart by its id alone, so the new start counted as the old member.
TEST(GroupPlannerStarts, AMemberThatStartedAgainIsReplacedAndComesBackFree)
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

/// Symptom: a head that lost its requests is sent new ones, or an engine waits to be forgiven for
/// what its former start did.
/// Sequence: a head starts again; the answer of an order to its former start and a report that the
/// former start gave come in afterwards.
/// Cause: both were taken for the new start's.
TEST(GroupPlannerStarts, WhatAFormerStartAnsweredIsNotTaken)
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

/// Symptom: a replica forms for ever; one member refuses the same join each quarter of a second.
/// Sequence: an engine accepts orders of an earlier holder and loses their effect: it is in no
/// replica and its host holds no weights. The next holder takes it for one that has just started.
/// Cause: after each refusal it was taken for new again and never asked.
TEST(GroupPlannerStarts, AnEngineThatOnlyLooksNewIsAskedAfterItHasRefused)
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

/// Symptom: engines that are in no replica are never used again, and when one of them starts again
/// a whole replica is formed anew, or the holder ends with an exception.
/// Sequence: another holder has formed a replica anew with fewer of its old members; this one reads
/// of it in the registrations.
/// Cause: the index of engines kept the members that the replica no longer has.
TEST(GroupPlannerStarts, MembersThatAnotherHolderLeftOutAreFree)
{
  World world(1);
  GroupPlanner first;
  world.Run(first, seconds(40));
  const std::string out = world.MemberOf(first, "small", 2);
  GroupPlanner second;
  world.Run(second, seconds(1), 7);
  world.mFound.insert(out);
  world.Run(second, seconds(3), 7);
  ASSERT_EQ(world.mPool.Serving("small"), 1U);
  world.mFound.erase(out);
  world.Run(second, seconds(3), 7);
  world.Round(first, 1); // reads what the second has done
  world.mPool.Restart(out, WallTime(seconds(100)));
  world.mGiven.clear();
  world.Run(first, seconds(3), 8);
  EXPECT_EQ(world.mGiven[GroupOrderKind::kOpen], 0) << "no replica has lost anything";
  EXPECT_EQ(world.mPool.At(out).mRecord.mGroup.mName, "spare-" + out);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Symptom: the memory of the holder grows with every engine that there ever was.
/// Sequence: engines die and others with new ids come, for hours.
/// Cause: what had been learnt of an engine was kept for good. Seen from outside by an id that is
/// used again much later: nothing of before is known of it.
TEST(GroupPlannerStarts, AnEngineThatIsLongGoneIsForgotten)
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
  world.mFound.erase(spare);
  world.mPool.Add(spare, "d0"); // an empty engine; its counts start anew
  int refused = 0;
  world.mFate = [&](const GroupOrder& aOrder) {
    refused += aOrder.mAccepted.value_or(0) != 0 && aOrder.mEngine == spare ? 1 : 0;
    return Fate::kArrives;
  };
  world.Run(planner, milliseconds(500));
  EXPECT_EQ(refused, 0);
  world.Run(planner, seconds(30));
  EXPECT_EQ(world.mPool.At(spare).mRecord.mGroup.mName, "spare-" + spare);
}

} // namespace
} // namespace pepperbay
