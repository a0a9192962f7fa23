#include "group_planner_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

constexpr seconds kLoadsCounted{ 5 };

/// @return the maximum number of loads started within any five seconds, of those after a given
/// time.
std::size_t
MaxLoads(World& aWorld, TimePoint aFrom)
{
  const auto& loads = aWorld.mPool.Loads();
  std::size_t most = 0;
  for (auto first = loads.begin(); first != loads.end(); ++first) {
    if (*first < aFrom) {
      continue;
    }
    const auto last = std::find_if(
      first, loads.end(), [&](TimePoint aAt) { return aAt - *first >= kLoadsCounted; });
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

std::size_t
MaxLoadsAllowed(World& aWorld)
{
  return static_cast<std::size_t>(aWorld.mPool.Pool().mLoadsPerSecond * kLoadsCounted.count()) + 1;
}

/// The whole pool restarts empty while requests arrive. Guards against overloading the weight
/// store, which slows down all loads: loads caused by joins count against the rate like staged
/// ones.
TEST(GroupPlanner, LoadsKeepToTheRateWhileRequestsComeIn)
{
  World world(6);
  GroupPlanner planner;
  world.Run(planner, seconds(40));
  world.mTraffic = true;
  const TimePoint back = world.RestartEmpty(planner, 6, seconds(3));
  world.Run(planner, seconds(60));
  EXPECT_LE(MaxLoads(world, back), MaxLoadsAllowed(world));
  EXPECT_EQ(world.mPool.Serving("big"), 6U);
  EXPECT_EQ(world.mPool.Serving("small"), 6U);
}

/// Requests arrive before the hosts of a large pool have staged all their weights. Guards against
/// continuous loading of weights onto hosts that will not need them.
TEST(GroupPlanner, WhileRequestsComeWeightsAreLoadedAheadOnlyWhereEnginesWereLost)
{
  World world(6);
  GroupPlanner planner;
  while (world.mPool.Serving("big") < 6U || world.mPool.Serving("small") < 6U) {
    world.Run(planner, milliseconds(200));
  }
  world.mTraffic = true;
  const std::size_t begun = world.mPool.Loads().size();
  world.Run(planner, seconds(30));
  const std::size_t before = world.mPool.Loads().size();
  EXPECT_LE(before - begun, 12U) << "two spares per domain, each with one model's weights";
  world.Run(planner, seconds(60));
  EXPECT_EQ(world.mPool.Loads().size(), before);
  const std::string lost = world.MemberOf(planner, "big", 2);
  world.Kill(lost);
  world.Run(planner, seconds(60));
  EXPECT_GT(world.mPool.Loads().size(), before);
  EXPECT_LE(world.mPool.Loads().size() - before, 11U) << "engines of one domain only";
  world.mInFlightOf = { { "big", 2 }, { "small", 18 } }; // of 26
  world.Run(planner, seconds(120));
  EXPECT_GT(world.mPool.Loads().size() - before, 20U) << "a model is almost out of slots";
}

/// Guards against overloading the weight store while holders change, if each new holder of the
/// lease counts loads from zero.
TEST(GroupPlanner, LoadsKeepToTheRateWhileHoldersChange)
{
  World world(6);
  GroupPlanner first;
  world.Run(first, seconds(40));
  world.mTraffic = true;
  const TimePoint back = world.RestartEmpty(first, 6, seconds(3));
  for (std::uint64_t fence = 2; fence < 22; ++fence) {
    GroupPlanner next;
    world.Run(next, milliseconds(500), fence); // each releases the lease when it stops
  }
  EXPECT_LE(MaxLoads(world, back), MaxLoadsAllowed(world));
  GroupPlanner last;
  world.Run(last, seconds(60), 22);
  EXPECT_EQ(world.mPool.Serving("big"), 6U);
}

} // namespace
} // namespace pepperbay
