/// A node that is cut from engines, whose peers are cut with their data centre, full, late, frozen
/// or gone, but for one or more.
#include "connector_world.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMostProxies = 8;
constexpr std::size_t kEngines = 40;
constexpr milliseconds kLateTick{ 30 }; ///< of a node that is busy

/// A fleet of some nodes in a few data centres.
ProxyPeers
Fleet(int aNodes, int aCentres)
{
  ProxyPeers fleet;
  for (int i = 0; i < aNodes; ++i) {
    fleet.push_back({ "n" + std::to_string(i), "", "", "c" + std::to_string(i % aCentres) });
  }
  return fleet;
}

/// @return the peers of a node of the first data centre, as the control state chooses them.
ProxyPeers
PeersOf(const std::string& aNode, ProxyPeers aFleet)
{
  aFleet.erase(std::remove_if(aFleet.begin(),
                              aFleet.end(),
                              [&aNode](const auto& aIt) { return aIt.mNode == aNode; }),
               aFleet.end());
  return ChooseProxyPeers(aNode, "c0", aFleet, kMostProxies);
}

/// @return peers of which the one that carries is asked last.
ProxyPeers
OneGoodOfEight(PeerKind aOthers, ConnectorWorld* aWorld)
{
  ProxyPeers peers{ { "good", "", "", "far" } };
  while (peers.size() < kMostProxies) {
    const std::string name = "p" + std::to_string(peers.size());
    peers.push_back({ name, "", "", "c0" });
    aWorld->mPeerKinds[name] = aOthers;
  }
  return peers;
}

/// Guards against a node that asks peers one after the other, while the only one that carries is
/// the last, so that the first request waits for longer than a connection may take.
TEST(ConnectorPeers, TheLastOfEightPeersIsAskedWhileTheFirstConnectionIsMade)
{
  for (const PeerKind kind : { PeerKind::kFrozen, PeerKind::kCut }) {
    for (int phase = 0; phase < kLateTick.count(); ++phase) {
      ConnectorWorld world(kEngines);
      world.mTick = kLateTick;
      world.SetPeers(OneGoodOfEight(kind, &world));
      world.mPath = PathKind::kSilent;
      world.Run(milliseconds(phase));
      const auto took = world.Request(0);
      ASSERT_TRUE(took.has_value());
      EXPECT_LE(ToMs(*took).count(), ToMs(EngineConnectorOptions{}.mTimeout).count())
        << "phase " << phase;
    }
  }
}

/// Guards against a node that asks many peers for each connection though the first one answers.
TEST(ConnectorPeers, WhereThePeersCarryOneIsAskedForEachConnection)
{
  ConnectorWorld world(kEngines);
  world.SetPeers(PeersOf("n0", Fleet(60, 4)));
  world.mPath = PathKind::kSilent;
  constexpr int kRequests = 50;
  for (std::size_t i = 0; i < kRequests; ++i) {
    EXPECT_TRUE(world.Request(i).has_value());
  }
  EXPECT_EQ(world.mAsked, kRequests);
}

} // namespace
} // namespace pepperbay
