/// @file
/// @brief What nodes before a shared pool say of themselves, put side by side for operators. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pepperbay {

/// A replica as a node knows it.
struct ReplicaStatus
{
  std::string mName;
  std::string mService;
  std::string mModel;
  std::string mDomain;
  std::string mPhase;
  std::string mWhy; ///< it does not serve; empty when it does
  std::uint64_t mEpoch = 0;
  std::vector<std::string> mMembers;
  Duration mSince{ 0 }; ///< in this phase
};

/// A request that a node sends to no engine, because engines ended under it.
struct HeldRequestStatus
{
  std::string mKey;
  std::size_t mEngines = 0; ///< that ended
  Duration mLeft{ 0 };
};

/// An engine that takes so many requests a second from all nodes together, by its own answers.
struct LimitStatus
{
  std::string mEngine;
  std::string mDataCentre;
  double mPerSecond = 0;
};

/// A node's own account.
struct NodeStatus
{
  std::string mNode;
  bool mReady = false;
  bool mHoldsLease = false;
  std::string mLeaseHolder;
  std::uint64_t mFence = 0;
  bool mStoreReachable = false; ///< by the last call about the lease
  std::uint64_t mConfiguration = 0;
  Duration mConfigurationAge{ 0 };
  std::size_t mEngines = 0;
  std::vector<std::string> mLostEngines;
  std::vector<ReplicaStatus> mReplicas; ///< of the holder only
  std::vector<HeldRequestStatus> mHeld;
  std::vector<LimitStatus> mLimits;    ///< as this node has been told
  std::vector<std::string> mCountsFor; ///< data centres whose engines it counts requests to
  std::size_t mPeers = 0;
  std::size_t mPeersAlive = 0; ///< heard lately; most nodes hear their delegates only
  std::string mDelegate;       ///< that finds places for it; itself where none
  std::string mReader;         ///< that reads the store for it; itself where none
  Duration mEnginesAge{ 0 };   ///< since all registrations were known to it for certain
  std::size_t mFollowers = 0;  ///< nodes whose delegate it is
  /// Its own connections reach the engines; if not, it goes through the peers named.
  bool mReachesEngines = true;
  std::vector<std::string> mProxies;
  Duration mNewsAge{ 0 }; ///< since the holder stood by what this node knows of the replicas
};

/// What came of asking one address.
struct AskedNode
{
  std::string mAddress;
  Result<NodeStatus> mStatus;
};

/// Read a node's state dump.
Result<NodeStatus>
ParseNodeStatus(const std::string& aAddress, const std::string& aDump);

/// @return the nodes side by side, then the replicas as the holder plans them, each with why it
/// does not serve; requests that are held back; engines with a limit and who counts what they get;
/// and what does not fit together: nodes that reach no engine, two holders, nodes with an older
/// configuration.
///
/// @code
/// std::cout << PoolReport({ { "10.0.0.1:8081", ParseNodeStatus("10.0.0.1:8081", body) } });
/// @endcode
std::string
PoolReport(const std::vector<AskedNode>& aNodes);

} // namespace pepperbay
