/// @file
/// @brief The other nodes in front of the same pool: their addresses and last heartbeats. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/reach/proxy_choice.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <pepperbay.pb.h>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

struct KnownPeer
{
  std::uint64_t mIncarnation = 0;
  std::string mAddress;          ///< where it receives messages of peers
  std::string mAllocatorAddress; ///< where its slot allocator receives messages
  std::string mTunnelAddress;    ///< where it tunnels connections to engines; empty: it does not
  std::string mTunnelKey;
  TimePoint mReportedUnreached{}; ///< when another node last reported that it reaches no engine
  TimePoint mLastHeard{}; ///< receipt of its last heartbeat; the zero time when there was none
  /// Receipt of its last heartbeat that asked for an answer; the zero time when there was none.
  TimePoint mLastAnswerWanted{};
  int mCpuPermille = 0;
  std::string mDataCentre;
  /// Since when its heartbeats have named an older configuration than is in force here.
  std::optional<TimePoint> mBehindSince;
  proto::Beat mBeat; ///< its last heartbeat
};

class PeerTable
{
public:
  PeerTable(std::string aSelf, Duration aSilence);

  /// Handles a node's record in the store.
  void OnRecord(const proto::NodeRecord& aRecord);
  void OnGone(const std::string& aNode);
  /// @param aNode the sender; precondition: IsCurrent() of the message
  void OnBeat(const std::string& aNode, const proto::Beat& aBeat, TimePoint aNow);

  /// Records whether a peer's configuration is older than the one here. @return for how long it has
  /// been
  Duration NoteBehind(const std::string& aNode, bool aBehind, TimePoint aNow);
  /// @return whether a message is from the current incarnation of a known peer
  bool IsCurrent(const proto::PeerMessage& aMessage) const;

  bool Alive(const KnownPeer& aPeer, TimePoint aNow) const;
  /// @return the peer; null when it is not listed.
  const KnownPeer* Find(const std::string& aNode) const;
  /// @return whether a live peer that is not stopping has at least twice this much CPU
  bool HasStronger(int aCpuPermille, TimePoint aNow) const;
  /// Handles another node's report of nodes that reach no engine.
  void OnUnreached(const std::set<std::uint32_t>& aShortIds, TimePoint aNow);
  /// @return whether a peer reaches no engine, by its own last heartbeats or by another node's.
  bool Unreached(const KnownPeer& aPeer, TimePoint aNow) const;
  /// Peers that this node may tunnel connections to engines through.
  ProxyPeers Proxies(TimePoint aNow) const;
  /// Peers that recently asked for this node's heartbeats.
  std::vector<std::string> Correspondents(TimePoint aNow) const;
  const std::map<std::string, KnownPeer>& Peers() const { return mPeers; }
  /// Increases whenever the list of nodes changes.
  std::uint64_t Revision() const { return mRevision; }

private:
  std::string mSelf;
  Duration mSilence;
  std::map<std::string, KnownPeer> mPeers;
  std::uint64_t mRevision = 1;
};

} // namespace pepperbay
