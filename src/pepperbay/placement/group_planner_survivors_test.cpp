#include "group_planner_world.hpp"

#include <gtest/gtest.h>
#include <utility>

namespace pepperbay {
namespace {

/// Guards against two broken replicas of a domain that wait 12 to 24 s for weights, with seven
/// healthy engines between them. The spares of the domain are used up and a replica of each model
/// loses a member. The failure occurs if each waits for engines of its own and no host holds the
/// other model's weights.
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

/// The same losses with mJoinSurvivors off: no replica may be given up for another. If the option
/// has no effect, a trial that switches it off shows no benefit of the mechanism.
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

/// Losses affect the largest replicas first; their domain has no spare left, and the smaller model
/// has unused slots. Guards against five engines that wait 16 s for a sixth.
TEST(GroupPlannerSurvivors, AModelWithRoomCompletesOneThatIsShort)
{
  World world(3);
  GroupPlanner planner;
  world.Run(planner, kAllStaged, 1, milliseconds(100));
  world.mTraffic = true;
  world.mInFlightOf = { { "big", 20 }, { "small", 8 } }; // of 26 slots per replica
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

/// Guards against giving up a serving replica for one that a silent member will complete again.
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
  bool one = false; // that replaces the lost one
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

/// The same losses while the smaller model is full or has one replica only. Giving that one up
/// would refuse as many requests as it helps.
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

/// A replica that is given up has streams in progress. It takes no new ones, and its engines leave
/// only after the streams have completed or the drain time has passed.
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

/// Guards against a replica that forms for 16 s although it could be whole in a second. A domain
/// has no spare left and an empty engine appears; a replica loses a member; then a spare becomes
/// free. The failure occurs if the repair starts at once with the empty engine and is not
/// restarted.
TEST(GroupPlannerSurvivors, ARepairDoesNotBeginWithAnEngineThatHasToLoad)
{
  World world(1);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.mTraffic = true;
  const std::string member = world.MemberOf(planner, "small", 1);
  const auto spares = SparesOf(world);
  for (const auto& it : spares) {
    world.mDetectedLost.insert(it); // unreachable for a while
  }
  world.Kill(member);
  world.mPool.Add("empty", "d0");
  world.Run(planner, seconds(3));
  EXPECT_EQ(world.mPool.Serving("small"), 0U);
  world.mDetectedLost.erase(spares.front());
  world.Run(planner, milliseconds(2500));
  EXPECT_EQ(world.mPool.Serving("small"), 1U);
  EXPECT_TRUE(world.mPool.Violations().empty());
}

/// Guards against a broken replica that is never repaired although spares are ready. The pool's
/// configuration states no time for joining with staged weights, and two members die. The failure
/// occurs if a configured time of zero means that no engine counts as ready.
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

/// Guards against a domain that serves one model only, with unused slots, after many losses. Empty
/// engines appear while requests arrive, and the few engines of the smaller model are ready first.
/// The failure occurs if any model that can be formed at the moment is formed.
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
