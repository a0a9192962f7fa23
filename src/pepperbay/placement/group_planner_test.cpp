#include "group_planner_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

/// By then every host of two domains holds the weights that it is to hold, one load at a time.
constexpr seconds kAllStaged{ 500 };

/// The engines of a world that are in no replica.
std::vector<std::string>
SparesOf(World& aWorld)
{
  std::vector<std::string> spares;
  for (const auto& [id, engine] : aWorld.mPool.Engines()) {
    if (engine.mRecord.mGroup.mName.rfind("spare-", 0) == 0) {
      spares.push_back(id);
    }
  }
  return spares;
}

TEST(GroupPlanner, FormsEachModelInEachDomainAndKeepsSpares)
{
  World world(6);
  GroupPlanner planner;
  world.Run(planner, seconds(20));
  EXPECT_EQ(world.mPool.Serving("big"), 6U);
  EXPECT_EQ(world.mPool.Serving("small"), 6U);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Symptom: a replica is dark for a whole load of weights after one loss, though engines are free.
/// Sequence: a member dies; a free engine replaces it.
/// Cause: only an engine whose last group was of the model is quick to join.
TEST(GroupPlanner, ASpareStandsReadyForEachModel)
{
  for (const char* model : { "big", "small" }) {
    World world(1);
    GroupPlanner planner;
    world.Run(planner, seconds(40));
    world.Kill(world.MemberOf(planner, model, 0));
    world.Run(planner, milliseconds(700));
    EXPECT_EQ(world.mPool.Serving(model), 1U) << model;
    EXPECT_TRUE(world.mPool.Violations().empty());
  }
}

TEST(GroupPlanner, LeavesStandingReplicasAloneAfterATakeover)
{
  World world(2);
  GroupPlanner first;
  world.Run(first, kAllStaged, 1, milliseconds(100));
  world.mGiven.clear();
  GroupPlanner second;
  world.mTraffic = true;
  world.Run(second, seconds(3), 7);
  EXPECT_EQ(world.mGiven[GroupOrderKind::kOpen], 0);
  EXPECT_EQ(world.mGiven[GroupOrderKind::kLeave], 0);
  EXPECT_EQ(world.mGiven[GroupOrderKind::kStage], 0);
  EXPECT_EQ(world.mPool.Serving("big"), 2U);
}

/// Symptom: after a takeover every replica took no requests for the time of forming.
/// Sequence: the new holder adopts open replicas and tells the nodes of them.
/// Cause: they counted as opened at the moment of the takeover.
TEST(GroupPlanner, AnAdoptedOpenReplicaHasServedForLong)
{
  World world(1);
  GroupPlanner first;
  world.Run(first, seconds(40));
  GroupPlanner second;
  world.Round(second, 7);
  for (const auto& [name, replica] : second.Replicas()) {
    EXPECT_EQ(replica.mPhase, ReplicaPhase::kOpen);
    EXPECT_GE(world.Now() - replica.mSince, world.mPool.Pool().mFormTime);
  }
}

/// Symptom: an engine is in two replicas at once: it joins a spare's group while the replica that
/// it never left serves.
/// Sequence: a member does not answer for a while and is replaced; then it answers again.
/// Cause: an engine that no planned replica holds was taken for free, though by its own word it was
/// still in a group.
TEST(GroupPlanner, AReplacedMemberThatComesBackLeavesFirst)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string lost = world.MemberOf(planner, "big", 3);
  world.mFound.insert(lost); // it lives, but nobody reaches it
  world.Run(planner, seconds(2));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  world.mFound.erase(lost);
  world.Run(planner, seconds(20));
  EXPECT_TRUE(world.mPool.Violations().empty()) << world.mPool.Violations().front();
  EXPECT_GE(world.mGiven[GroupOrderKind::kLeave], 1);
}

/// Symptom: a replica is formed anew every round and never serves; an engine is said to be in
/// another replica, which it has left.
/// Sequence: a replaced member comes back, leaves and is taken for a broken replica; the first join
/// is lost, so it is asked where it stands.
/// Cause: its report, which was older than its leaving, went before its registration for good.
TEST(GroupPlanner, AnOldReportDoesNotHoldAnEngineThatHasLeft)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string back = world.MemberOf(planner, "big", 3);
  world.mFound.insert(back); // it lives, but nobody reaches it
  world.Run(planner, seconds(2));
  for (const auto& [id, engine] : world.mPool.Engines()) {
    if (engine.mRecord.mGroup.mName.rfind("spare-", 0) == 0) {
      world.Kill(id);
    }
  }
  world.Kill(world.MemberOf(planner, "small", 1));
  world.Run(planner, milliseconds(200));
  world.mFound.erase(back);
  world.mGiven.clear();
  int joins = 0;
  world.mFate = [&](const GroupOrder& aOrder) {
    const bool first =
      aOrder.mKind == GroupOrderKind::kJoin && aOrder.mEngine == back && joins++ == 0;
    return first ? Fate::kLost : Fate::kArrives;
  };
  world.Run(planner, seconds(20));
  EXPECT_EQ(world.mPool.Serving("small"), 1U);
  EXPECT_LT(world.mGiven[GroupOrderKind::kJoin], 60);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Symptom: several replicas form anew at once and wait for loads, though none of their engines has
/// failed.
/// Sequence: some engines are cut off from the store; their registrations lapse, and they serve on.
/// Cause: an engine without a registration was taken for lost without being asked.
TEST(GroupPlanner, AMemberThatIsNoLongerListedButAnswersStays)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.mGiven.clear();
  world.mPool.At(world.MemberOf(planner, "big", 3)).mListed = false;
  world.mPool.At(world.MemberOf(planner, "small", 2)).mListed = false;
  world.Run(planner, seconds(5));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_EQ(world.mGiven[GroupOrderKind::kOpen], 0);
}

/// A head without a registration may get no requests: another member becomes the head.
TEST(GroupPlanner, AHeadThatIsNoLongerListedHandsOver)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string head = world.MemberOf(planner, "big", 0);
  world.mPool.At(head).mListed = false;
  world.Run(planner, seconds(1));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_NE(world.MemberOf(planner, "big", 0), head);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// A member that left without a word is replaced once it stops answering.
TEST(GroupPlanner, AnUnlistedMemberThatStopsAnsweringIsReplaced)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string member = world.MemberOf(planner, "big", 3);
  world.mPool.At(member).mListed = false;
  world.Run(planner, seconds(2));
  world.mPool.At(member).mAlive = false;
  world.Run(planner, seconds(2));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

TEST(GroupPlanner, AReplicaWithALeavingMemberDrainsAndThenSwapsIt)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string leaving = world.MemberOf(planner, "big", 2);
  world.mInFlight = 5;
  world.mPool.At(leaving).mRecord.mLeaving = true;
  world.Run(planner, milliseconds(500));
  EXPECT_EQ(world.mPool.Serving("big"), 1U); // still at work on what it has
  world.mInFlight = 0;
  world.Run(planner, milliseconds(700));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_NE(world.MemberOf(planner, "big", 2), leaving);
}

TEST(GroupPlanner, OrdersThatAreNotAnsweredAreGivenAgain)
{
  World world(1);
  GroupPlanner planner;
  int n = 0;
  world.mFate = [&n](const GroupOrder&) { return ++n % 3 == 0 ? Fate::kLost : Fate::kArrives; };
  world.Run(planner, seconds(60));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_EQ(world.mPool.Serving("small"), 1U);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Symptom: a replica stands still for seconds, a third of all orders go to engines that refuse
/// them, and a replica without a spare is formed anew four times a second.
/// Sequence: a member cut off from the store ends and starts again under another id; the list still
/// has the old one, and the new process answers questions at its address.
/// Cause: an answer to a question counted as a sign of life of the engine that was meant.
TEST(GroupPlanner, AnEngineWhoseAddressBelongsToAnotherIsGone)
{
  World world(1);
  for (auto& [id, engine] : world.mPool.Engines()) {
    engine.mRecord.mBorn = WallTime{}; // these engines do not state their start
  }
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  const std::string gone = world.MemberOf(planner, "big", 2);
  world.mPool.At(gone).mReborn = true;
  world.mGiven.clear();
  int refused = 0;
  world.mFate = [&](const GroupOrder& aOrder) {
    refused += aOrder.mEngine == gone ? 1 : 0;
    return Fate::kArrives;
  };
  // The head's streams stand still, and its members are asked.
  planner.OnReport(gone, world.mPool.Report(gone), world.Now());
  world.Run(planner, milliseconds(800));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  for (int i = 0; i < 20; ++i) {
    planner.OnReport(gone, world.mPool.Report(gone), world.Now());
    planner.Forgive(gone);
    world.Run(planner, milliseconds(250));
  }
  EXPECT_LE(refused, 2);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Symptom: a replica's streams stand still until its head breaks, seconds later, and the engine
/// that caused it stays unused.
/// Sequence: a member ends and starts again under its id; its registration never lapses.
/// Cause: an engine was told apart by its id alone, so the new start counted as the old member.
TEST(GroupPlanner, AMemberThatStartedAgainIsReplacedAndComesBackFree)
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
TEST(GroupPlanner, WhatAFormerStartAnsweredIsNotTaken)
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
TEST(GroupPlanner, AnEngineThatOnlyLooksNewIsAskedAfterItHasRefused)
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
TEST(GroupPlanner, MembersThatAnotherHolderLeftOutAreFree)
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

/// Symptom: two replicas of a domain wait for weights for 12 to 24 s, with seven engines that are
/// well.
/// Sequence: the spares of a domain are used up; then a replica of each model loses a member.
/// Cause: each waited for engines of its own, and no host held the other model's weights.
TEST(GroupPlanner, BrokenReplicasOfADomainCompleteEachOther)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, kAllStaged, 1, milliseconds(100));
  world.mTraffic = true;
  for (const auto& it : SparesOf(world)) {
    world.Kill(it);
  }
  world.Kill(world.MemberOf(planner, "big", 3));
  world.Kill(world.MemberOf(planner, "small", 1));
  world.Run(planner, seconds(4));
  EXPECT_EQ(world.mPool.Serving("big") + world.mPool.Serving("small"), 1U);
  EXPECT_TRUE(world.mPool.Violations().empty()) << world.mPool.Violations().front();
}

/// Symptom: a replica that could be whole in a second forms for 16 s.
/// Sequence: a domain has no spare left and an empty engine comes; a replica loses a member and
/// takes the empty engine; then a spare comes free.
/// Cause: a repair began with whatever engine was there, and was not begun again.
TEST(GroupPlanner, ARepairDoesNotBeginWithAnEngineThatHasToLoad)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.mTraffic = true;
  const std::string member = world.MemberOf(planner, "small", 1);
  const auto spares = SparesOf(world);
  for (const auto& it : spares) {
    world.mFound.insert(it); // nobody reaches them for a while
  }
  world.Kill(member);
  world.mPool.Add("empty", "d0");
  world.Run(planner, seconds(3));
  EXPECT_EQ(world.mPool.Serving("small"), 0U);
  world.mFound.erase(spares.front());
  world.Run(planner, milliseconds(2500));
  EXPECT_EQ(world.mPool.Serving("small"), 1U);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Symptom: after many losses a domain serves one model only, and that one has places to spare.
/// Sequence: empty engines come while requests do; the smaller model's few engines are ready first.
/// Cause: whichever model could be formed at the moment was.
TEST(GroupPlanner, TheModelThatIsShortGetsItsEnginesFirst)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.mTraffic = true;
  for (auto& [id, engine] : world.mPool.Engines()) {
    engine.mListed = false;
    world.Kill(id);
  }
  world.Run(planner, seconds(2));
  for (int i = 0; i < 11; ++i) {
    world.mPool.Add("new" + std::to_string(i), "d0");
  }
  world.Run(planner, seconds(60));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_EQ(world.mPool.Serving("small"), 1U);
}

/// Symptom: the memory of the holder grows with every engine that there ever was.
/// Sequence: engines die and others with new ids come, for hours.
/// Cause: what had been learnt of an engine was kept for good. Seen from outside by an id that is
/// used again much later: nothing of before is known of it.
TEST(GroupPlanner, AnEngineThatIsLongGoneIsForgotten)
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

/// Symptom: the store of weights is asked for more loads than it bears, and all of them get slow.
/// Sequence: the whole pool restarts empty while requests come in.
/// Cause: weights that a join brings were not counted against the rate, only staged ones.
TEST(GroupPlanner, LoadsKeepToTheRateWhileRequestsComeIn)
{
  World world(6);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.mTraffic = true;
  for (auto& [id, engine] : world.mPool.Engines()) {
    engine.mListed = false;
    world.Kill(id);
  }
  world.Run(planner, seconds(3));
  const TimePoint back = world.Now();
  for (std::size_t d = 0; d < 6; ++d) {
    for (std::size_t i = 0; i < 11; ++i) {
      world.mPool.Add("n" + std::to_string(d) + "-" + std::to_string(i), "d" + std::to_string(d));
    }
  }
  world.Run(planner, seconds(60));
  constexpr seconds kWindow{ 5 };
  const auto& loads = world.mPool.Loads();
  const auto most =
    static_cast<std::size_t>(world.mPool.Pool().mLoadsPerSecond * kWindow.count()) + 1;
  for (auto first = loads.begin(); first != loads.end(); ++first) {
    if (*first < back) {
      continue;
    }
    const auto last =
      std::find_if(first, loads.end(), [&](TimePoint aAt) { return aAt - *first >= kWindow; });
    ASSERT_LE(static_cast<std::size_t>(last - first), most);
  }
  EXPECT_EQ(world.mPool.Serving("big"), 6U);
  EXPECT_EQ(world.mPool.Serving("small"), 6U);
}

/// Under any order of losses, returns, leaving, lost and late answers and two holders at once: no
/// replica serves that is not whole under its epoch and list, and no engine joins another replica
/// while one that it has not left serves. And once faults end, every replica stands again.
RC_GTEST_PROP(GroupPlanner, NeverServesPartOrTwice, ())
{
  World world(2);
  GroupPlanner first;
  GroupPlanner second;
  constexpr milliseconds kCoarse{ 100 };
  world.Run(first, seconds(30), 1, kCoarse);
  world.mTraffic = true;
  world.mFate = [](const GroupOrder&) {
    return *rc::gen::weightedElement<Fate>(
      { { 8, Fate::kArrives }, { 1, Fate::kLost }, { 1, Fate::kAnswerLost }, { 1, Fate::kLate } });
  };
  bool taken = false;
  std::size_t added = 0;
  const auto steps = *rc::gen::inRange(20, 120);
  for (int i = 0; i < steps; ++i) {
    const auto d = *rc::gen::inRange<std::size_t>(0, 2);
    const std::string engine = World::Name(d, *rc::gen::inRange<std::size_t>(0, 11));
    switch (*rc::gen::inRange(0, 10)) {
      case 9:
        world.mPool.Restart(engine, WallTime(seconds(100 + i)));
        world.mFound.erase(engine);
        break;
      case 0:
        world.Kill(engine);
        break;
      case 1:
        world.mFound.insert(engine); // lives, but seems lost
        break;
      case 2:
        if (world.mPool.At(engine).mAlive) {
          world.mFound.erase(engine);
        }
        break;
      case 3:
        world.mPool.At(engine).mRecord.mLeaving = true;
        break;
      case 4:
        world.mPool.Add("n" + std::to_string(added++), "d" + std::to_string(d));
        break;
      case 5:
        taken = true;
        break;
      case 6:
        world.mPool.At(engine).mListed = !world.mPool.At(engine).mListed;
        break;
      default:
        break;
    }
    for (int k = 0; k < 5; ++k) {
      world.Round(first, 1);
      if (taken) {
        world.Round(second, 2);
      }
      world.Step();
    }
    RC_ASSERT(world.mPool.Violations() == std::vector<std::string>());
  }
  world.mFate = nullptr;
  for (std::size_t d = 0; d < 2; ++d) {
    for (std::size_t i = 0; i < 11; ++i) {
      world.mPool.Add("f" + std::to_string(d) + "-" + std::to_string(i), "d" + std::to_string(d));
    }
  }
  world.Run(second, seconds(90), 2, kCoarse);
  RC_ASSERT(world.mPool.Violations() == std::vector<std::string>());
  RC_ASSERT(world.mPool.Serving("big") >= 2U);
  RC_ASSERT(world.mPool.Serving("small") >= 2U);
}

} // namespace
} // namespace pepperbay
