/// @file
/// @brief The other nodes before the same pool: where they hear, what they said last. Pure.
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
  std::string mAddress;          ///< where it hears its peers
  std::string mAllocatorAddress; ///< where its place desk hears others
  std::string mTunnelAddress;    ///< where it carries connections to engines; empty: it does not
  std::string mTunnelKey;
  TimePoint mReportedUnreached{}; ///< another node has last said that it reaches no engine
  TimePoint mLastHeard{}; ///< receipt of its last heartbeat; the zero time when there was none
  /// Receipt of its last heartbeat that asked for an answer; the zero time when there was none.
  TimePoint mLastAnswerWanted{};
  int mCpuPermille = 0;
  std::string mDataCentre;
  /// Since when its heartbeats have named an older configuration than is in force here.
  std::optional<TimePoint> mBehindSince;
  proto::Beat mBeat; ///< the last
};

class PeerTable
{
public:
  PeerTable(std::string aSelf, Duration aSilence);

  /// The store lists a node.
  void OnRecord(const proto::NodeRecord& aRecord);
  void OnGone(const std::string& aNode);
  /// @param aNode whose heartbeat it is; IsCurrent() said that it counts
  void OnBeat(const std::string& aNode, const proto::Beat& aBeat, TimePoint aNow);

  /// Note whether a peer's configuration is older than the one here. @return for how long it has
  /// been
  Duration NoteBehind(const std::string& aNode, bool aBehind, TimePoint aNow);
  /// @return whether a message is of a known peer's present start
  bool IsCurrent(const proto::PeerMessage& aMessage) const;

  bool Alive(const KnownPeer& aPeer, TimePoint aNow) const;
  /// @return the peer; null when it is not listed.
  const KnownPeer* Find(const std::string& aNode) const;
  /// @return whether a peer that is heard and does not stop has twice this much processor or more.
  bool HasStronger(int aCpuPermille, TimePoint aNow) const;
  /// Another node's heartbeat names nodes that reach no engine.
  void OnUnreached(const std::set<std::uint32_t>& aShortIds, TimePoint aNow);
  /// @return whether a peer reaches no engine, by its own word or another's of the last heartbeats.
  bool Unreached(const KnownPeer& aPeer, TimePoint aNow) const;
  /// Peers that may carry connections to engines for this node.
  ProxyPeers Proxies(TimePoint aNow) const;
  /// Peers that want this node's heartbeats: they wrote lately.
  std::vector<std::string> Correspondents(TimePoint aNow) const;
  const std::map<std::string, KnownPeer>& Peers() const { return mPeers; }
  /// Grows whenever the list of nodes changes.
  std::uint64_t Revision() const { return mRevision; }

private:
  std::string mSelf;
  Duration mSilence;
  std::map<std::string, KnownPeer> mPeers;
  std::uint64_t mRevision = 1;
};

} // namespace pepperbay
