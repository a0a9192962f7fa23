#include "pepperbay/reach/proxy_choice.hpp"

#include <gtest/gtest.h>

namespace pepperbay {
namespace {

using std::chrono::milliseconds;

ProxyPeers
Peers(int aCentres, int aOfEach)
{
  ProxyPeers peers;
  for (int c = 0; c < aCentres; ++c) {
    for (int i = 0; i < aOfEach; ++i) {
      const std::string centre = "c" + std::to_string(c);
      peers.push_back({ centre + "-" + std::to_string(i), "", "", centre });
    }
  }
  return peers;
}

ProxyChoiceOptions
InCentre()
{
  ProxyChoiceOptions options;
  options.mDataCentre = "c0";
  return options;
}

std::shared_ptr<const ProxyPeers>
Shared(ProxyPeers aPeers)
{
  return std::make_shared<const ProxyPeers>(std::move(aPeers));
}

TEST(ChooseProxyPeersTest, HalfAreOfTheOwnDataCentreAndNoneIsLeftOutOfAFew)
{
  EXPECT_EQ(ChooseProxyPeers("n", "c0", Peers(3, 2), 8).size(), 6U);
  const ProxyPeers some = ChooseProxyPeers("n", "c0", Peers(5, 59), 8);
  ASSERT_EQ(some.size(), 8U);
  EXPECT_EQ(std::count_if(
              some.begin(), some.end(), [](const auto& aIt) { return aIt.mDataCentre == "c0"; }),
            4);
  EXPECT_EQ(ChooseProxyPeers("n", "c0", Peers(1, 59), 8).size(), 8U);
}

/// Guards against a data centre that is cut whole and takes a few nodes of the others down.
TEST(ChooseProxyPeersTest, TheNodesOfADataCentreSpreadOverTheOthers)
{
  const ProxyPeers others = Peers(5, 59);
  std::map<std::string, int> asked;
  for (int i = 0; i < 59; ++i) {
    for (const auto& it : ChooseProxyPeers("c0-" + std::to_string(i), "c0", others, 8)) {
      asked[it.mNode] += it.mDataCentre == "c0" ? 0 : 1;
    }
  }
  int most = 0;
  for (const auto& [node, n] : asked) {
    most = std::max(most, n);
  }
  EXPECT_LE(most, 6) << "4 each over 236 is one each in the mean";
}

TEST(ProxyChoiceTest, TheFewestConnectionsThenAPeerOnTheWay)
{
  ManualClock clock;
  ProxyChoice choice(InCentre());
  choice.SetPeers(Shared(Peers(3, 1)));
  EXPECT_NE(choice.Pick("c1", {}, clock.Now())->mNode, "c2-0") << "c2 lies aside";
  auto first = choice.CountTunnel("c0-0");
  EXPECT_EQ(choice.Pick("c1", {}, clock.Now())->mNode, "c1-0");
  auto second = choice.CountTunnel("c1-0");
  auto third = choice.CountTunnel("c1-0");
  EXPECT_EQ(choice.Pick("c1", {}, clock.Now())->mNode, "c0-0");
  third.reset();
  second.reset();
  EXPECT_EQ(choice.Pick("c1", {}, clock.Now())->mNode, "c1-0") << "they are over";
  EXPECT_EQ(choice.Pick("c1", { "c0-0", "c1-0", "c2-0" }, clock.Now()), nullptr);
}

/// Guards against a node that has one connection at a time and always asks the same peer.
TEST(ProxyChoiceTest, PeersTakeTurns)
{
  ManualClock clock;
  ProxyChoice choice(InCentre());
  choice.SetPeers(Shared(Peers(1, 4)));
  std::map<std::string, int> asked;
  for (int i = 0; i < 40; ++i) {
    const std::string peer = choice.Pick("c0", {}, clock.Now())->mNode;
    ++asked[peer];
    choice.CountTunnel(peer);
  }
  for (const auto& [peer, n] : asked) {
    EXPECT_EQ(n, 10) << peer;
  }
}

TEST(ProxyChoiceTest, OneThatFailedIsAskedAfterOthersForLongerEachTime)
{
  ManualClock clock;
  ProxyChoice choice(InCentre());
  choice.SetPeers(Shared(Peers(1, 2)));
  const std::string first = choice.Pick("c0", {}, clock.Now())->mNode;
  choice.OnFailed(first, clock.Now());
  choice.OnFailed(first, clock.Now());
  EXPECT_NE(choice.Pick("c0", {}, clock.Now())->mNode, first);
  EXPECT_FALSE(choice.Usable(first, clock.Now()));
  clock.Advance(milliseconds(500));
  EXPECT_TRUE(choice.Usable(first, clock.Now()));
  choice.OnFailed(first, clock.Now());
  clock.Advance(milliseconds(999));
  EXPECT_FALSE(choice.Usable(first, clock.Now()));
  choice.OnWorked(first);
  EXPECT_TRUE(choice.Usable(first, clock.Now()));
  EXPECT_FALSE(choice.Usable("stranger", clock.Now()));
}

/// Guards against a node of a data centre that is cut whole, which asks the peers of that data
/// centre again and again and none of the others.
TEST(ProxyChoiceTest, PeersAsideHaveTheirTurnWhereAllHaveFailed)
{
  ManualClock clock;
  ProxyChoice choice(InCentre());
  choice.SetPeers(Shared(Peers(2, 4)));
  std::set<std::string> asked;
  while (const ProxyPeer* peer = choice.Pick("c0", asked, clock.Now())) {
    asked.insert(peer->mNode);
    choice.OnAsked(peer->mNode);
    choice.OnFailed(peer->mNode, clock.Now());
  }
  std::set<std::string> again;
  for (int i = 0; i < 8; ++i) {
    const std::string peer = choice.Pick("c0", {}, clock.Now())->mNode;
    again.insert(peer);
    choice.OnAsked(peer);
  }
  EXPECT_EQ(again.size(), 8U);
}

/// Guards against a node that keeps an entry for each peer there has ever been.
TEST(ProxyChoiceTest, WhatAPeerFailedAtIsForgottenWithThePeer)
{
  ManualClock clock;
  ProxyChoice choice(InCentre());
  choice.SetPeers(Shared(Peers(1, 2)));
  choice.OnFailed("c0-0", clock.Now());
  choice.SetPeers(Shared(Peers(1, 2)));
  EXPECT_FALSE(choice.Usable("c0-0", clock.Now())) << "another list with the same peer";
  choice.SetPeers(Shared(Peers(0, 0)));
  choice.SetPeers(Shared(Peers(1, 2)));
  EXPECT_TRUE(choice.Usable("c0-0", clock.Now()));
}

} // namespace
} // namespace pepperbay
