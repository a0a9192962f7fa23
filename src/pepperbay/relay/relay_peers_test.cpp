/// A node without a direct path to engines that has eight peers, one of which opens tunnels.
#include "relay_reach_fixture.hpp"

namespace pepperbay {
namespace {

enum class BadPeer
{
  kGone,   ///< no process listens
  kFrozen, ///< accepts connections and never answers
  kBusy,   ///< opens no tunnel at the moment
  kCut,    ///< reaches no engine either
};

const char*
ToString(BadPeer aKind)
{
  switch (aKind) {
    case BadPeer::kGone:
      return "gone";
    case BadPeer::kFrozen:
      return "frozen";
    case BadPeer::kBusy:
      return "busy";
    case BadPeer::kCut:
      return "cut";
  }
  return "unknown";
}

struct PeersCase
{
  BadPeer mKind;
  PathState mPath;
};

class RelayPeers
  : public RelayReach
  , public testing::WithParamInterface<PeersCase>
{
protected:
  static constexpr int kBad = 7;

  /// Publishes seven unusable peers and one usable peer in another data centre. The node asks the
  /// unusable ones first, which are in the data centre of the engines.
  void ServeWithOneGoodPeer()
  {
    ServeBehindPaths();
    auto peers = std::make_shared<ProxyPeers>();
    for (int i = 0; i < kBad; ++i) {
      peers->push_back(BadOne("bad" + std::to_string(i)));
    }
    ProxyPeer good = mPeer.AsProxy();
    good.mDataCentre = "far";
    peers->push_back(good);
    mPlan.mProxyPeers = std::move(peers);
    Publish();
  }

  ProxyPeer BadOne(const std::string& aName)
  {
    switch (GetParam().mKind) {
      case BadPeer::kGone:
        return { aName, FreeAddress(), "key", "" };
      case BadPeer::kFrozen:
        mOthers.push_back(
          std::make_unique<RawEngine>([](RawConnection& aConnection) { aConnection.ReadToEnd(); }));
        return { aName, mOthers.back()->Address(), "key", "" };
      case BadPeer::kBusy:
        mOthers.push_back(std::make_unique<RawEngine>([](RawConnection& aConnection) {
          aConnection.ReadRequest();
          aConnection.Write("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
        }));
        return { aName, mOthers.back()->Address(), "key", "" };
      case BadPeer::kCut:
        break;
    }
    mCut.push_back(std::make_unique<Peer>(aName));
    mCut.back()->Serve(PlanBehindPaths());
    return mCut.back()->AsProxy();
  }

  std::vector<std::unique_ptr<RawEngine>> mOthers;
  std::vector<std::unique_ptr<Peer>> mCut;
};

/// Guards against a node that repeatedly asks peers which open no tunnel, and refuses its callers,
/// although another peer would open one.
TEST_P(RelayPeers, TheUsablePeerIsFoundAndReused)
{
  ServeWithOneGoodPeer();
  EXPECT_EQ(Served(2), 6) << "the path is open";
  Cut(GetParam().mPath);
  EXPECT_EQ(StatusOf(Ask(Get("/safe/x", "Left-Ms: 5000\r\n"))), 200) << "on a pooled connection";
  Served(2); // results ignored: the node may still be searching for a usable peer
  constexpr int kOfEach = 10;
  EXPECT_EQ(Served(kOfEach), 3 * kOfEach);
}

INSTANTIATE_TEST_SUITE_P(Others,
                         RelayPeers,
                         testing::Values(PeersCase{ BadPeer::kGone, PathState::kSilent },
                                         PeersCase{ BadPeer::kGone, PathState::kReset },
                                         PeersCase{ BadPeer::kFrozen, PathState::kSilent },
                                         PeersCase{ BadPeer::kFrozen, PathState::kReset },
                                         PeersCase{ BadPeer::kBusy, PathState::kSilent },
                                         PeersCase{ BadPeer::kBusy, PathState::kReset },
                                         PeersCase{ BadPeer::kCut, PathState::kSilent },
                                         PeersCase{ BadPeer::kCut, PathState::kReset }),
                         [](const testing::TestParamInfo<PeersCase>& aInfo) {
                           return std::string(ToString(aInfo.param.mKind)) +
                                  (aInfo.param.mPath == PathState::kSilent ? "_silent" : "_reset");
                         });

} // namespace
} // namespace pepperbay
