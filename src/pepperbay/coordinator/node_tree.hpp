/// @file
/// @brief Whom a node exchanges heartbeats with: its delegates, and among delegates each other.
/// Pure.
///
/// Heartbeats from each node to every other grow with the square of the nodes: with 295 nodes each
/// takes in 1,470 a second, which costs the small ones two thirds of their processor. So the nodes
/// of a data centre write to two delegates only, the delegates of all data centres to each other,
/// and whoever was written to answers. What is known travels up and down in two or three
/// heartbeats; what cannot wait for one (a broken replica, a record of the store) is passed on at
/// once.
///
/// Who the delegates are needs no agreement: every node ranks the same list in the same way, skips
/// those that it does not hear, and a delegate serves whoever writes to it. Two views side by side
/// cost a few messages and no more.
#pragma once

#include "peer_table.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

struct NodeTreeOptions
{
  std::string mNode;
  std::string mDataCentre;
  int mCpuPermille = 0; ///< of this node; nodes with less than half of the most come last
  /// Data centres with fewer nodes than this on the average share the delegates of all: a reader of
  /// the store for each would make most of the calls.
  std::size_t mMinNodes = 5;
  /// Delegates that a node writes to. The second is heard already when the first falls silent.
  std::size_t mDelegates = 2;
  /// Nodes of a data centre that may read the store and claim the lease while the delegates cannot.
  /// With a third of all nodes turned away, one in 700 data centres has none left.
  std::size_t mCandidates = 6;
  /// A node that was written to and not heard for this long is passed over: three heartbeats.
  Duration mSilence = std::chrono::milliseconds(650);
  /// A node waits for an answer of those that may read for it so long, then it reads.
  Duration mAwaitReader = std::chrono::milliseconds(1000);
  /// One that was passed over is written to again after this.
  Duration mRetry = std::chrono::milliseconds(1000);
  /// Who the delegates are is looked at this often: half a heartbeat.
  Duration mChooseEvery = std::chrono::milliseconds(100);
};

/// What a node knows of itself.
struct OwnState
{
  bool mStoreLost = false;
  bool mStopping = false;
  std::string mHolder; ///< of the lease, as far as known
  bool mHoldsLease = false;
};

class NodeTree
{
public:
  explicit NodeTree(NodeTreeOptions aOptions);

  /// Look at who is there; call every tick.
  void Tick(const PeerTable& aPeers, const OwnState& aOwn, TimePoint aNow);

  /// Nodes to write to at this heartbeat; they answer. Call once a heartbeat: one that is silent is
  /// named in one heartbeat a second.
  std::set<std::string> TakeTargets();
  /// Nodes that this node finds places and counts with, best first, without itself.
  const std::vector<std::string>& Delegates() const { return mDelegates; }
  /// The delegate that this node relies on; its own name when there is no other.
  const std::string& Followed() const { return mFollowed; }
  bool FollowsItself() const { return mFollowed == mOptions.mNode; }
  /// The node whose reads of the store this one relies on; empty: this one should read.
  const std::string& Reader() const { return mReader; }
  /// @return whether a node that may read for this one has yet to answer: reading now would cost a
  /// call of every node, at a start of all as many as the store bears.
  bool AwaitsReader() const { return mAwaitsReader; }
  /// @return whether this node talks to the delegates of the other data centres.
  bool IsInUpperTier() const { return mInUpperTier; }
  /// @return whether this node may claim the lease.
  bool IsCandidate() const { return mCandidate; }
  /// @return whether a data centre has this node's delegates.
  bool InScope(const std::string& aDataCentre) const;
  /// Delegates of the other data centres that are heard, best first; for delegates only.
  const std::map<std::string, std::vector<std::string>>& OtherDelegates() const { return mOthers; }

private:
  enum class Standing
  {
    kHeard,
    kUnknown, ///< written to too short a time ago to tell
    kSilent,
  };

  void Rank(const PeerTable& aPeers);
  void Choose(const PeerTable& aPeers, const OwnState& aOwn, TimePoint aNow);
  void ChooseOthers(const PeerTable& aPeers, TimePoint aNow);
  void ChooseReader(const PeerTable& aPeers, const OwnState& aOwn, TimePoint aNow);
  Standing StandingOf(const std::string& aNode, const PeerTable& aPeers, TimePoint aNow) const;
  /// Write to a node from now on.
  void Watch(const std::string& aNode, TimePoint aNow);
  /// The best of a ranking that are not silent and do not stop; silent ones before are tried again.
  std::vector<std::string> Select(const std::vector<std::string>& aOrder,
                                  const PeerTable& aPeers,
                                  const OwnState* aOwn,
                                  TimePoint aNow);

  NodeTreeOptions mOptions;
  std::uint64_t mRankedOf = 0;                             ///< revision of the list of nodes
  std::map<std::string, std::vector<std::string>> mOrders; ///< by data centre; one, if shared
  bool mSharesDelegates = true;
  std::string mScope; ///< key of this node's own order
  TimePoint mChooseDue{};
  TimePoint mTicked{};
  TimePoint mLastPauseEnd{};                   ///< end of the last pause of this process
  std::map<std::string, TimePoint> mWatched;   ///< nodes written to, since when
  std::map<std::string, TimePoint> mLastTried; ///< silent nodes, when they were last written to
  std::set<std::string> mSelected;             ///< chosen at the last look
  std::set<std::string> mProbes;               ///< silent nodes that are due to be tried again
  std::vector<std::string> mDelegates;
  std::map<std::string, std::vector<std::string>> mOthers;
  std::string mFollowed;
  std::string mReader;
  bool mInUpperTier = false;
  bool mCandidate = true;
  bool mAwaitsReader = false;
  TimePoint mReaderlessSince{}; ///< since when there is none; the zero time while there is one
};

} // namespace pepperbay
