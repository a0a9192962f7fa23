#include "group_planner_world.hpp"

#include <gtest/gtest.h>
#include <utility>

namespace pepperbay {
namespace {

/// Symptom: two replicas of a domain wait for weights for 12 to 24 s, with seven engines that are
/// well.
/// Sequence: the spares of a domain are used up; then a replica of each model loses a member.
/// Cause: each waited for engines of its own, and no host held the other model's weights.
TEST(GroupPlannerSurvivors, BrokenReplicasOfADomainCompleteEachOther)
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

/// Symptom: switched off in a trial, the mechanism seems to be worth nothing.
/// Sequence: the same losses, with the switch off.
/// Cause: replicas were given up for each other whatever the switch said.
TEST(GroupPlannerSurvivors, SwitchedOffNoReplicaIsGivenUpForAnother)
{
  World world(1);
  GroupPlannerOptions options;
  options.mJoinSurvivors = false;
  GroupPlanner planner(options);
  world.Run(planner, seconds(40));
  world.mTraffic = true;
  for (const auto& it : SparesOf(world)) {
    world.Kill(it);
  }
  world.Kill(world.MemberOf(planner, "big", 3));
  world.Kill(world.MemberOf(planner, "small", 1));
  const auto before = planner.Replicas();
  world.Run(planner, seconds(5));
  for (const auto& [name, replica] : before) {
    ASSERT_EQ(planner.Replicas().count(name), 1U) << name;
    EXPECT_EQ(planner.Replicas().at(name).mMembers, replica.mMembers);
  }
}

/// Pattern: losses fall on the largest replicas first; their domain has no spare left, and the
/// smaller model has places that nobody uses. Symptom of failure: five engines wait 16 s for a
/// sixth.
TEST(GroupPlannerSurvivors, AModelWithRoomCompletesOneThatIsShort)
{
  World world(3);
  GroupPlanner planner;
  world.Run(planner, kAllStaged, 1, milliseconds(100));
  world.mTraffic = true;
  world.mInFlightOf = { { "big", 20 }, { "small", 8 } }; // of 26 at each
  world.mStreamsLast = milliseconds(1600);
  const std::string lost = world.MemberOf(planner, "big", 3);
  const std::string domain = world.mPool.At(lost).mRecord.mDomain;
  for (const auto& it : SparesOf(world)) {
    if (world.mPool.At(it).mRecord.mDomain == domain) {
      world.Kill(it);
    }
  }
  world.Kill(lost);
  world.Run(planner, seconds(5));
  EXPECT_EQ(world.mPool.Serving("big"), 3U);
  EXPECT_EQ(world.mPool.Serving("small"), 2U);
  EXPECT_TRUE(world.mPool.Violations().empty()) << world.mPool.Violations().front();
  world.Run(planner, seconds(30));
  EXPECT_EQ(world.mPool.Serving("big"), 3U) << "no flapping";
  EXPECT_EQ(world.mPool.Serving("small"), 2U);
}

/// Guards against a replica that serves being given up for one that a silent member will complete.
TEST(GroupPlannerSurvivors, NoReplicaIsGivenUpForOneWhoseMemberOnlyPauses)
{
  World world(3);
  GroupPlanner planner;
  world.Run(planner, kAllStaged, 1, milliseconds(100));
  world.mTraffic = true;
  world.mInFlightOf = { { "big", 20 }, { "small", 8 } };
  world.mStreamsLast = milliseconds(200);
  const std::string lost = world.MemberOf(planner, "big", 3);
  const std::string domain = world.mPool.At(lost).mRecord.mDomain;
  bool one = false; // that takes the place of the lost one
  for (const auto& it : SparesOf(world)) {
    if (world.mPool.At(it).mRecord.mDomain == domain && std::exchange(one, true)) {
      world.Kill(it);
    }
  }
  world.mSilent = { world.MemberOf(planner, "big", 4) };
  world.Kill(lost);
  world.Run(planner, milliseconds(1500));
  world.mSilent.clear();
  world.Run(planner, seconds(3));
  EXPECT_EQ(world.mPool.Serving("big"), 3U);
  EXPECT_EQ(world.mPool.Serving("small"), 3U);
}

/// Pattern: the same losses while the smaller model is full, or has one replica only. To give that
/// up would refuse as many callers as it helps.
TEST(GroupPlannerSurvivors, AModelWithoutRoomKeepsItsReplicas)
{
  for (const std::size_t domains : { std::size_t(3), std::size_t(1) }) {
    World world(domains);
    GroupPlanner planner;
    world.Run(planner, kAllStaged, 1, milliseconds(100));
    world.mTraffic = true;
    const int full = 24;
    world.mInFlightOf = { { "big", 20 }, { "small", domains == 1 ? 1 : full } };
    const std::string lost = world.MemberOf(planner, "big", 3);
    for (const auto& it : SparesOf(world)) {
      world.Kill(it);
    }
    world.Kill(lost);
    world.Run(planner, seconds(5));
    EXPECT_EQ(world.mPool.Serving("small"), domains);
  }
}

/// Pattern: a replica that is given up has streams. It takes no new ones, and its engines leave it
/// only when they have ended or had their time.
TEST(GroupPlannerSurvivors, AReplicaThatIsGivenUpEndsItsStreamsFirst)
{
  World world(3);
  GroupPlanner planner;
  world.Run(planner, kAllStaged, 1, milliseconds(100));
  world.mTraffic = true;
  world.mInFlightOf = { { "big", 20 }, { "small", 8 } };
  world.mStreamsLast = milliseconds(1600);
  const std::string lost = world.MemberOf(planner, "big", 3);
  for (const auto& it : SparesOf(world)) {
    world.Kill(it);
  }
  world.Kill(lost);
  world.mGiven.clear();
  world.Run(planner, seconds(1));
  EXPECT_EQ(world.mGiven[GroupOrderKind::kLeave], 0);
  std::size_t closing = 0;
  for (const auto& [name, replica] : planner.Replicas()) {
    closing += replica.mGivenUp && replica.mLeavingSince ? 1 : 0;
  }
  EXPECT_EQ(closing, 1U);
  EXPECT_EQ(world.mPool.Serving("small"), 3U);
  world.Run(planner, seconds(2));
  EXPECT_EQ(world.mGiven[GroupOrderKind::kLeave], 3);
}

/// Symptom: a replica that could be whole in a second forms for 16 s.
/// Sequence: a domain has no spare left and an empty engine comes; a replica loses a member and
/// takes the empty engine; then a spare comes free.
/// Cause: a repair began with whatever engine was there, and was not begun again.
TEST(GroupPlannerSurvivors, ARepairDoesNotBeginWithAnEngineThatHasToLoad)
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

/// Symptom: a replica that has lost members is never whole again, with spares that stand ready.
/// Sequence: the pool's configuration states no time for joining with staged weights; two members
/// die. Cause: no engine joins in no time, so none counted as ready.
TEST(GroupPlannerSurvivors, APoolThatStatesNoWarmupHasReadySparesToo)
{
  EnginePool pool = TwoModels();
  for (auto& it : pool.mModels) {
    it.mWarmupTime = Duration::zero();
  }
  World world(1, 11, pool);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.mTraffic = true;
  const std::string one = world.MemberOf(planner, "big", 2);
  world.Kill(world.MemberOf(planner, "big", 3));
  world.Kill(one);
  world.Run(planner, seconds(2));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
}

/// Symptom: after many losses a domain serves one model only, and that one has places to spare.
/// Sequence: empty engines come while requests do; the smaller model's few engines are ready first.
/// Cause: whichever model could be formed at the moment was.
TEST(GroupPlannerSurvivors, TheModelThatIsShortGetsItsEnginesFirst)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.mTraffic = true;
  world.RestartEmpty(planner, 1, seconds(2));
  world.Run(planner, seconds(60));
  EXPECT_EQ(world.mPool.Serving("big"), 1U);
  EXPECT_EQ(world.mPool.Serving("small"), 1U);
}

} // namespace
} // namespace pepperbay
