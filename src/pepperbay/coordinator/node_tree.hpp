/// @file
/// @brief Decides which nodes a node exchanges heartbeats with: its delegates, and delegates with
/// each other. Pure.
///
/// Heartbeats from each node to every other grow with the square of the number of nodes: with 295
/// nodes each receives 1,470 a second, which takes two thirds of a small node's CPU. So the nodes
/// of a data centre send to two delegates only, the delegates of all data centres to each other,
/// and every node answers those that send to it. Information travels up and down in two or three
/// heartbeats; what cannot wait for one (a broken replica, a record of the store) is forwarded at
/// once.
///
/// The choice of delegates needs no agreement: every node ranks the same list in the same way and
/// skips nodes that it receives nothing from, and a delegate serves every node that sends to it.
/// Two differing views at once only cost a few messages.
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
  int mCpuPermille = 0; ///< of this node; nodes with less than half of the largest CPU rank last
  /// Data centres with fewer nodes than this on average share one set of delegates: a reader of the
  /// store for each would cause most of the calls.
  std::size_t mMinNodes = 5;
  /// Delegates that a node sends heartbeats to. With two, the second is already in contact when the
  /// first falls silent.
  std::size_t mDelegates = 2;
  /// Nodes of a data centre that may read the store and claim the lease while the delegates cannot.
  /// If a third of all nodes cannot reach the store, one in 700 data centres has none left.
  std::size_t mCandidates = 6;
  /// A node that was sent heartbeats and has not been heard from for this long is skipped: three
  /// heartbeats.
  Duration mSilence = std::chrono::milliseconds(650);
  /// How long a node waits for an answer of nodes that may read for it, before it reads itself.
  Duration mAwaitReader = std::chrono::milliseconds(1000);
  /// A skipped node is sent a heartbeat again after this.
  Duration mRetry = std::chrono::milliseconds(1000);
  /// Interval of the choice of delegates: half a heartbeat.
  Duration mChooseEvery = std::chrono::milliseconds(100);
};

/// State of this node that the choice depends on.
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

  /// Updates the choice; call every tick.
  void Tick(const PeerTable& aPeers, const OwnState& aOwn, TimePoint aNow);

  /// Nodes to send this heartbeat to; they answer. Call once a heartbeat: a silent node is included
  /// in one heartbeat a second.
  std::set<std::string> TakeTargets();
  /// The delegates that this node's slot allocations and counts go through, best first, without
  /// itself.
  const std::vector<std::string>& Delegates() const { return mDelegates; }
  /// The delegate that this node follows; its own name when there is no other.
  const std::string& Followed() const { return mFollowed; }
  bool FollowsItself() const { return mFollowed == mOptions.mNode; }
  /// The node whose reads of the store this one relies on; empty: this one should read.
  const std::string& Reader() const { return mReader; }
  /// @return whether a node that may read for this one has yet to answer. Reading meanwhile would
  /// cost a call of every node, as many as the store can bear when all start at once.
  bool AwaitsReader() const { return mAwaitsReader; }
  /// @return whether this node exchanges heartbeats with the delegates of the other data centres.
  bool IsInUpperTier() const { return mInUpperTier; }
  /// @return whether this node may claim the lease.
  bool IsCandidate() const { return mCandidate; }
  /// @return whether the nodes of a data centre have the same delegates as this node.
  bool InScope(const std::string& aDataCentre) const;
  /// Delegates of the other data centres that have been heard from, best first; for delegates only.
  const std::map<std::string, std::vector<std::string>>& OtherDelegates() const { return mOthers; }

private:
  enum class Standing
  {
    kHeard,
    kUnknown, ///< not sent heartbeats for long enough to tell
    kSilent,
  };

  void Rank(const PeerTable& aPeers);
  void Choose(const PeerTable& aPeers, const OwnState& aOwn, TimePoint aNow);
  void ChooseOthers(const PeerTable& aPeers, TimePoint aNow);
  void ChooseReader(const PeerTable& aPeers, const OwnState& aOwn, TimePoint aNow);
  Standing StandingOf(const std::string& aNode, const PeerTable& aPeers, TimePoint aNow) const;
  /// Sends heartbeats to a node from now on.
  void Watch(const std::string& aNode, TimePoint aNow);
  /// Selects the best of a ranking that are neither silent nor stopping; silent ones that rank
  /// higher are tried again.
  std::vector<std::string> Select(const std::vector<std::string>& aOrder,
                                  const PeerTable& aPeers,
                                  const OwnState* aOwn,
                                  TimePoint aNow);

  NodeTreeOptions mOptions;
  std::uint64_t mRankedOf = 0; ///< revision of the list of nodes
  /// By data centre; a single one, if shared.
  std::map<std::string, std::vector<std::string>> mOrders;
  bool mSharesDelegates = true;
  std::string mScope; ///< key of this node's own ranking
  TimePoint mChooseDue{};
  TimePoint mTicked{};
  TimePoint mLastPauseEnd{};                 ///< end of the last pause of this process
  std::map<std::string, TimePoint> mWatched; ///< nodes that are sent heartbeats, since when
  /// Silent nodes, when they were last sent a heartbeat.
  std::map<std::string, TimePoint> mLastTried;
  std::set<std::string> mSelected; ///< result of the last choice
  std::set<std::string> mProbes;   ///< silent nodes that are due to be tried again
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
