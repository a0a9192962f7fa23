/// @file
/// @brief The other nodes before the same pool: where they hear, what they said last. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <pepperbay.pb.h>
#include <string>
#include <vector>

namespace pepperbay {

/// Where a node hears its peers.
struct PeerAddress
{
  std::string mNode;
  std::string mAddress;
};

struct KnownPeer
{
  std::uint64_t mIncarnation = 0;
  std::string mAddress;
  TimePoint mHeard{}; ///< receipt of its last heartbeat; the zero time when there was none
  int mCpuPermille = 0;
  std::string mDataCentre;
  /// Since when its heartbeats have named an older configuration than is in force here.
  std::optional<TimePoint> mBehindSince;
  TimePoint mKnown{}; ///< since when the node is listed under this address
  proto::NodeBeat mBeat;
};

class PeerBook
{
public:
  PeerBook(std::string aSelf, Duration aSilence);

  /// The store lists a node.
  void OnRecord(const proto::NodeRecord& aRecord, TimePoint aNow);
  void OnGone(const std::string& aNode) { mPeers.erase(aNode); }
  /// @return whether the heartbeat counts: it is of a known peer's present start
  bool OnBeat(const proto::NodeBeat& aBeat, TimePoint aNow);

  /// Note whether a peer's configuration is older than the one here. @return for how long it has
  /// been
  Duration NoteBehind(const std::string& aNode, bool aBehind, TimePoint aNow);
  /// @return whether a message is of a known peer's present start
  bool IsCurrent(const proto::NodeBeat& aBeat) const;

  bool Alive(const KnownPeer& aPeer, TimePoint aNow) const;
  /// @return whether a peer that is heard and does not stop has twice this much processor or more.
  bool HasStronger(int aCpuPermille, TimePoint aNow) const;
  /// Nodes at work, this one included.
  int AliveCount(TimePoint aNow) const;
  /// Peers worth a heartbeat: those heard lately and those listed lately.
  std::vector<PeerAddress> Addresses(TimePoint aNow) const;
  /// Names of the nodes at work, this one included.
  std::vector<std::string> AliveNodes(TimePoint aNow) const;
  const std::map<std::string, KnownPeer>& Peers() const { return mPeers; }

private:
  std::string mSelf;
  Duration mSilence;
  std::map<std::string, KnownPeer> mPeers;
};

} // namespace pepperbay
