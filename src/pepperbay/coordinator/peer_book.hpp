/// @file
/// @brief The other nodes before the same pool: where they hear, what they said last. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <pepperbay.pb.h>
#include <string>
#include <vector>

namespace pepperbay {

struct KnownPeer
{
  std::uint64_t mIncarnation = 0;
  std::string mAddress;
  TimePoint mHeard{}; ///< receipt of its last heartbeat; the zero time when there was none
  int mCpuPermille = 0;
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

  /// @return whether a message is of a known peer's present start
  bool IsCurrent(const proto::NodeBeat& aBeat) const;

  bool Alive(const KnownPeer& aPeer, TimePoint aNow) const;
  /// @return whether a peer that is heard and does not stop has twice this much processor or more.
  bool HasStronger(int aCpuPermille, TimePoint aNow) const;
  /// Nodes at work, this one included.
  int AliveCount(TimePoint aNow) const;
  /// Peers worth a heartbeat: those heard lately and those listed lately.
  std::vector<std::string> Addresses(TimePoint aNow) const;
  const std::map<std::string, KnownPeer>& Peers() const { return mPeers; }

private:
  std::string mSelf;
  Duration mSilence;
  std::map<std::string, KnownPeer> mPeers;
};

} // namespace pepperbay
