/// @file
/// @brief Peers that carry connections to engines for this node, and which one is asked. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

/// A node that others reach engines through; see tunnel/tunnel_server.hpp.
struct ProxyPeer
{
  std::string mNode;
  std::string mAddress; ///< `IP:port`, TCP
  std::string mKey;     ///< which it lets nodes of this system in by
  std::string mDataCentre;
};

using ProxyPeers = std::vector<ProxyPeer>;

/// @param aPeers all that may be asked
/// @param aMost in all; half of them of the node's own data centre, where there are as many
/// @return a few peers for one node: other nodes get others, so that the load of many nodes that
/// are cut off spreads, and no node needs all
ProxyPeers
ChooseProxyPeers(const std::string& aNode,
                 const std::string& aDataCentre,
                 const ProxyPeers& aPeers,
                 std::size_t aMost);

struct ProxyChoiceOptions
{
  std::string mDataCentre; ///< of this node
  /// A peer that did not carry a connection is asked after others for so long; twice as long each
  /// time that it fails again.
  Duration mPassOver = std::chrono::milliseconds(500);
  Duration mMostPassOver = std::chrono::seconds(4);
  std::uint64_t mSeed = 0; ///< other nodes begin with other peers
};

/// @return the options of one node.
ProxyChoiceOptions
ProxyChoiceOptionsOf(const std::string& aNode, const std::string& aDataCentre);

class ProxyChoice
{
public:
  explicit ProxyChoice(ProxyChoiceOptions aOptions);

  /// @return whether it is another list than before.
  bool SetPeers(std::shared_ptr<const ProxyPeers> aPeers);
  /// The peer to ask for an engine of a data centre: one that has not failed lately, of a data
  /// centre that the bytes pass anyway, with the fewest tunnels of this node, asked longest ago.
  /// @param aTried names of peers to leave out
  /// @return null when there is none left; valid until `SetPeers()`
  const ProxyPeer* Pick(const std::string& aDataCentre,
                        const std::set<std::string>& aTried,
                        TimePoint aNow) const;
  /// @return whether a peer is still known and has not failed lately.
  bool Usable(const std::string& aNode, TimePoint aNow) const;
  bool Knows(const std::string& aNode) const;
  bool Any() const { return mPeers && !mPeers->empty(); }

  /// A peer is being asked; others are next.
  void OnAsked(const std::string& aNode) { mAsked[aNode] = ++mAsks; }
  /// A connection through a peer stands. @return counts it until it is destroyed
  std::shared_ptr<void> CountTunnel(const std::string& aNode);
  /// A peer did not answer, or does not carry anything now.
  void OnFailed(const std::string& aNode, TimePoint aNow);
  /// A peer has answered for the engine.
  void OnWorked(const std::string& aNode) { mFailures.erase(aNode); }

private:
  struct Failure
  {
    TimePoint mUntil{};
    Duration mPause{ 0 };
  };

  bool Fails(const std::string& aNode, TimePoint aNow) const;

  ProxyChoiceOptions mOptions;
  std::shared_ptr<const ProxyPeers> mPeers;
  /// Connections by peer. Shared with what counts them, which may live longer than this.
  std::shared_ptr<std::map<std::string, int>> mOpen =
    std::make_shared<std::map<std::string, int>>();
  std::map<std::string, Failure> mFailures;
  std::map<std::string, std::uint64_t> mAsked; ///< by peer, in the order of the last question
  std::uint64_t mAsks = 0;
};

} // namespace pepperbay
