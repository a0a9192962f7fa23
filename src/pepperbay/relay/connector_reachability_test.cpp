/// Engines that pause for a moment while the node checks whether its own direct path is down.
#include "connector_world.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ProxyPeers
TwoPeers()
{
  return { { "p0", "", "", "c0" }, { "p1", "", "", "c1" } };
}

/// Guards against a false direct-path-down on an idle node: the one engine it connects to pauses,
/// and a peer reaches that engine a moment later.
TEST(ConnectorReachability, APauseOfOneEngineIsNoPathFailure)
{
  for (int pause = 1; pause < 120; ++pause) {
    ConnectorWorld world(5);
    world.SetPeers(TwoPeers());
    world.Run(seconds(1));
    world.mPausedUntil["e0"] = world.mClock.Now() + milliseconds(pause);
    world.Request(0);
    world.Run(milliseconds(300));
    EXPECT_EQ(world.mDirectPathDownEvents, 0) << "a pause of " << pause << " ms";
  }
}

/// Guards against a false direct-path-down when two engines pause at once and a peer reaches them a
/// moment later. Only the first of the two faults is checked against another engine.
TEST(ConnectorReachability, APauseOfTwoEnginesIsNoPathFailure)
{
  for (int pause = 1; pause < 120; ++pause) {
    ConnectorWorld world(5);
    world.SetPeers(TwoPeers());
    world.Run(seconds(1));
    world.mPausedUntil["e0"] = world.mClock.Now() + milliseconds(pause);
    world.mPausedUntil["e1"] = world.mClock.Now() + milliseconds(pause);
    world.mConnector.Connect(world.mEngines[0], [](const EngineConnection&) {});
    world.mConnector.Connect(world.mEngines[1], [](const EngineConnection&) {});
    world.Run(milliseconds(300));
    EXPECT_EQ(world.mDirectPathDownEvents, 0) << "a pause of " << pause << " ms";
  }
}

/// As above, but the second engine pauses longer and is the one used for the reachability check.
TEST(ConnectorReachability, APauseOfTheProbedEngineIsNoPathFailure)
{
  for (int pause = 1; pause < 120; ++pause) {
    for (int other = 1; other < 5; ++other) {
      ConnectorWorld world(5);
      world.SetPeers(TwoPeers());
      world.Run(seconds(1));
      world.mPausedUntil["e0"] = world.mClock.Now() + milliseconds(pause);
      world.mPausedUntil["e" + std::to_string(other)] = world.mClock.Now() + seconds(1);
      world.Request(0);
      world.Run(milliseconds(300));
      EXPECT_EQ(world.mDirectPathDownEvents, 0) << "a pause of " << pause << " ms, other " << other;
    }
  }
}

/// Guards against a node that goes on trying its own connections after its direct path is down.
TEST(ConnectorReachability, APathFailureIsDetectedSoonAfterTheFirstFault)
{
  for (const PathKind cut : { PathKind::kSilent, PathKind::kRefuses }) {
    ConnectorWorld world(5);
    world.SetPeers(TwoPeers());
    world.Run(seconds(1));
    world.mPath = cut;
    EXPECT_TRUE(world.Request(0).has_value());
    world.Run(milliseconds(40));
    EXPECT_TRUE(world.mConnector.IsDirectPathDown());
  }
}

/// Guards against a false direct-path-down when the engine used for a reachability check pauses at
/// that moment. Such a check reports no reachability, and has no further effect.
TEST(ConnectorReachability, AProbeOfAPausingEngineIsNoPathFailure)
{
  ConnectorWorld world(3);
  world.SetPeers(TwoPeers());
  world.mPathTo["e0"] = PathKind::kRefuses;
  world.mPausedUntil["e1"] = world.mClock.Now() + milliseconds(1500);
  std::vector<bool> seen;
  for (int i = 0; i < 4; ++i) {
    world.mConnector.CheckReachability(
      "e0", world.mClock.Now(), [&seen](bool aReachable) { seen.push_back(aReachable); });
    world.Run(milliseconds(150));
  }
  EXPECT_EQ(std::count(seen.begin(), seen.end(), true), 2) << "every second probe is at e2";
  EXPECT_EQ(seen.size(), 4U);
  EXPECT_EQ(world.mDirectPathDownEvents, 0);
}

/// Guards against a false direct-path-down on a node that receives data from one engine only, while
/// that engine pauses.
TEST(ConnectorReachability, APauseOfTheOnlyRecentlyActiveEngineIsNoPathFailure)
{
  for (int pause = 1; pause < 1500; pause += 7) {
    ConnectorWorld world(5);
    world.SetPeers(TwoPeers());
    EXPECT_TRUE(world.Request(0).has_value());
    world.Run(milliseconds(100));
    world.mPausedUntil["e0"] = world.mClock.Now() + milliseconds(pause);
    for (int i = 0; i < 10; ++i) {
      world.mConnector.ProbeIfDue(world.mEngines[0]);
      world.Run(milliseconds(200));
    }
    EXPECT_EQ(world.mDirectPathDownEvents, 0) << "a pause of " << pause << " ms";
  }
}

/// Guards against a positive reachability check on a node that reaches no engine.
TEST(ConnectorReachability, ANodeWithoutADirectPathReportsNoReachability)
{
  for (const PathKind cut : { PathKind::kSilent, PathKind::kRefuses }) {
    ConnectorWorld world(5);
    world.SetPeers(TwoPeers());
    world.mPath = cut;
    std::optional<bool> reachable;
    world.mConnector.CheckReachability(
      "e0", world.mClock.Now(), [&reachable](bool aReachable) { reachable = aReachable; });
    world.Run(milliseconds(150));
    ASSERT_TRUE(reachable.has_value());
    EXPECT_FALSE(*reachable);
  }
}

} // namespace
} // namespace pepperbay
