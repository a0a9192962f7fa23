/// Engines that fall silent for a moment beside a node that judges its own paths.
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

/// Guards against an idle node that takes itself for cut since the one engine that it connects to
/// paused, and is reached by a peer a moment later.
TEST(ConnectorSight, APauseOfOneEngineMakesNoNodeBlind)
{
  for (int pause = 1; pause < 120; ++pause) {
    ConnectorWorld world(5);
    world.SetPeers(TwoPeers());
    world.Run(seconds(1));
    world.mPausedUntil["e0"] = world.mClock.Now() + milliseconds(pause);
    world.Request(0);
    world.Run(milliseconds(300));
    EXPECT_EQ(world.mAvoided, 0) << "a pause of " << pause << " ms";
  }
}

/// Guards against a node that takes itself for cut since two engines paused at once, and were
/// reached by a peer a moment later: only the first of the two faults is checked at another engine.
TEST(ConnectorSight, APauseOfTwoEnginesMakesNoNodeBlind)
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
    EXPECT_EQ(world.mAvoided, 0) << "a pause of " << pause << " ms";
  }
}

/// The same where the second pauses longer, and is the one by which the node judges its sight.
TEST(ConnectorSight, APauseOfTheEngineThatIsLookedAtMakesNoNodeBlind)
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
      EXPECT_EQ(world.mAvoided, 0) << "a pause of " << pause << " ms, other " << other;
    }
  }
}

/// Guards against a node that is cut and goes on trying its own connections.
TEST(ConnectorSight, ACutIsKnownSoonAfterTheFirstPathFault)
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

/// Guards against a node that takes itself for cut since the one engine that it asks, to judge its
/// own sight, pauses at that moment. It says that it has no word, and no more.
TEST(ConnectorSight, ALookAtAnEngineThatPausesMakesNoNodeBlind)
{
  ConnectorWorld world(3);
  world.SetPeers(TwoPeers());
  world.mPathTo["e0"] = PathKind::kRefuses;
  world.mPausedUntil["e1"] = world.mClock.Now() + milliseconds(1500);
  std::vector<bool> seen;
  for (int i = 0; i < 4; ++i) {
    world.mConnector.CheckReachability(
      "e0", world.mClock.Now(), [&seen](bool aSees) { seen.push_back(aSees); });
    world.Run(milliseconds(150));
  }
  EXPECT_EQ(std::count(seen.begin(), seen.end(), true), 2) << "each second look is at e2";
  EXPECT_EQ(seen.size(), 4U);
  EXPECT_EQ(world.mAvoided, 0);
}

/// Guards against a node that hears one engine only, and takes itself for cut while that pauses.
TEST(ConnectorSight, APauseOfTheOnlyEngineLatelyHeardMakesNoNodeBlind)
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
    EXPECT_EQ(world.mAvoided, 0) << "a pause of " << pause << " ms";
  }
}

/// Guards against a node that is cut and has a word on engines.
TEST(ConnectorSight, ANodeThatIsCutFindsNoSight)
{
  for (const PathKind cut : { PathKind::kSilent, PathKind::kRefuses }) {
    ConnectorWorld world(5);
    world.SetPeers(TwoPeers());
    world.mPath = cut;
    std::optional<bool> sees;
    world.mConnector.CheckReachability(
      "e0", world.mClock.Now(), [&sees](bool aSees) { sees = aSees; });
    world.Run(milliseconds(150));
    ASSERT_TRUE(sees.has_value());
    EXPECT_FALSE(*sees);
  }
}

} // namespace
} // namespace pepperbay
