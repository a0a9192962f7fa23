/// A node without a direct path to engines. Most of its peers cannot help: they are cut off with
/// their data centre, full, late, frozen or gone. At least one of them opens tunnels.
#include "connector_world.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxProxies = 8;
constexpr std::size_t kEngines = 40;
constexpr milliseconds kLateTick{ 30 }; ///< tick interval of an overloaded node

/// @return nodes that are spread evenly over data centres.
ProxyPeers
Fleet(int aNodes, int aCentres)
{
  ProxyPeers fleet;
  for (int i = 0; i < aNodes; ++i) {
    fleet.push_back({ "n" + std::to_string(i), "", "", "c" + std::to_string(i % aCentres) });
  }
  return fleet;
}

/// @return the peers of a node in the first data centre, chosen as the control state does.
ProxyPeers
PeersOf(const std::string& aNode, ProxyPeers aFleet)
{
  aFleet.erase(std::remove_if(aFleet.begin(),
                              aFleet.end(),
                              [&aNode](const auto& aIt) { return aIt.mNode == aNode; }),
               aFleet.end());
  return ChooseProxyPeers(aNode, "c0", aFleet, kMaxProxies);
}

/// @return eight peers, of which the only one that opens tunnels is asked last.
ProxyPeers
OneGoodOfEight(PeerKind aOthers, ConnectorWorld* aWorld)
{
  ProxyPeers peers{ { "good", "", "", "far" } };
  while (peers.size() < kMaxProxies) {
    const std::string name = "p" + std::to_string(peers.size());
    peers.push_back({ name, "", "", "c0" });
    aWorld->mPeerKinds[name] = aOthers;
  }
  return peers;
}

struct Answers
{
  int mAsked = 0;
  int mServed = 0;
};

/// Sends requests one after the other, with random pauses.
void
RequestsFor(Answers* aAnswers, ConnectorWorld* aWorld, Duration aFor)
{
  for (const TimePoint end = aWorld->mClock.Now() + aFor; aWorld->mClock.Now() < end;) {
    aWorld->Run(milliseconds(*rc::gen::inRange(1, 250)));
    const auto took = aWorld->Request(*rc::gen::inRange<std::size_t>(0, kEngines));
    ++aAnswers->mAsked;
    aAnswers->mServed += took ? 1 : 0;
  }
}

/// Draws the states of peers: those in the node's own data centre are cut off as well, and at least
/// one of the others opens tunnels.
void
DrawKinds(const ProxyPeers& aPeers, ConnectorWorld* aWorld)
{
  ProxyPeers far;
  for (const auto& it : aPeers) {
    aWorld->mPeerKinds[it.mNode] = PeerKind::kCut;
    if (it.mDataCentre != "c0") {
      far.push_back(it);
    }
  }
  for (const auto& it : far) {
    aWorld->mPeerKinds[it.mNode] =
      *rc::gen::element(PeerKind::kFull, PeerKind::kFrozen, PeerKind::kGone, PeerKind::kCut);
  }
  aWorld->mPeerKinds[far[*rc::gen::inRange<std::size_t>(0, far.size())].mNode] =
    *rc::gen::element(PeerKind::kTunnels, PeerKind::kLate);
}

/// Guards against failures for longer than a second at a node whose whole data centre is cut off
/// from the engines, although at each moment one of its peers opens tunnels.
RC_GTEST_PROP(ConnectorPeers, ANodeWithoutADirectPathServesThroughOneGoodPeer, ())
{
  const auto [nodes, centres] =
    *rc::gen::element(std::pair{ 60, 4 }, std::pair{ 75, 5 }, std::pair{ 295, 5 });
  const std::string node = "n" + std::to_string(centres * *rc::gen::inRange(0, nodes / centres));
  const ProxyPeers peers = PeersOf(node, Fleet(nodes, centres));
  ConnectorWorld world(kEngines, node);
  world.SetPeers(peers);
  world.Run(milliseconds(*rc::gen::inRange(1, 20)));
  world.mPath = *rc::gen::element(PathKind::kSilent, PathKind::kRefuses);
  DrawKinds(peers, &world);
  Answers first;
  RequestsFor(&first, &world, seconds(1));
  Answers later;
  for (int change = 0; change < 4; ++change) {
    RequestsFor(&later, &world, milliseconds(*rc::gen::inRange(500, 3000)));
    DrawKinds(peers, &world);
  }
  RC_ASSERT(later.mServed >= 0.98 * later.mAsked);
}

/// Guards against asking peers one at a time: where only the last one opens tunnels, the first
/// request would wait for longer than the connect time-out.
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

/// Guards against giving up a connection before all usable peers were asked. A peer that failed a
/// while ago is asked after those that have not failed, but it must still be asked.
TEST(ConnectorPeers, OneThatFailedIsAskedAfterAllThatHaveNot)
{
  ConnectorWorld world(kEngines);
  ProxyPeers peers = OneGoodOfEight(PeerKind::kTunnels, &world);
  peers.front().mDataCentre = "c0"; // so that it is asked in turn with the others
  world.mPeerKinds["good"] = PeerKind::kFull;
  world.SetPeers(peers);
  world.mPath = PathKind::kRefuses;
  for (std::size_t i = 0; i < kMaxProxies; ++i) {
    ASSERT_TRUE(world.Request(i).has_value());
  }
  for (const auto& it : peers) {
    world.mPeerKinds[it.mNode] = PeerKind::kFull;
  }
  world.mPeerKinds["good"] = PeerKind::kTunnels;
  EXPECT_TRUE(world.CanConnect(0));
}

/// Guards against asking several peers for each connection when the first one answers.
TEST(ConnectorPeers, OnePeerIsAskedPerConnectionWherePeersOpenTunnels)
{
  ConnectorWorld world(kEngines);
  world.SetPeers(PeersOf("n0", Fleet(60, 4)));
  world.mPath = PathKind::kSilent;
  constexpr int kRequests = 50;
  for (std::size_t i = 0; i < kRequests; ++i) {
    EXPECT_TRUE(world.Request(i).has_value());
  }
  EXPECT_EQ(world.mTunnelRequests, kRequests);
}

} // namespace
} // namespace pepperbay
