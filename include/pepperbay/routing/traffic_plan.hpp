/// @file
/// @brief What traffic threads know of the control state: one immutable value, swapped whole.
#pragma once

#include "pepperbay/quarantine/suspects.hpp"
#include "pepperbay/reach/proxy_choice.hpp"
#include "pepperbay/routing/route_table.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pepperbay {

/// An engine that takes requests.
struct EngineTarget
{
  std::string mId; ///< a request names it, so that no other engine runs it
  std::string mAddress;
  std::string mDataCentre;
  WallTime mBorn{}; ///< of its start
};

/// A replica that serves, reached through its head.
struct PoolReplica
{
  std::string mGroup;
  std::uint64_t mEpoch = 0;
  std::string mModel;
  EngineTarget mHead;
  /// Takes no new requests: a member is lost or leaving and the replica is about to form anew.
  bool mSuspended = false;
  /// A member is known to be lost, so nothing in progress there goes on.
  bool mLost = false;
};

/// A node that finds places for the requests of others; see places/slot_agent.hpp.
struct DeskAddress
{
  std::string mNode;
  std::string mAddress; ///< `IP:port`, UDP
};

/// Which word of the holder of the lease the replicas of a plan go by.
struct NewsMark
{
  std::uint64_t mFence = 0;  ///< the holder's tenure
  std::uint64_t mChange = 0; ///< the last change that is in the plan
  TimePoint mAsOf{};         ///< when the holder stood by it
};

/// The right to count the requests that go to engines with a limit, alone among all nodes.
struct RateLease
{
  TimePoint mSince{}; ///< without a break
  TimePoint mUntil{};
};

/// Who keeps the budget of second attempts of plain services; see retries/retry_agent.hpp.
struct RetryKeeperPlan
{
  std::string mAddress; ///< `IP:port`, UDP; empty: nobody is known, or this node
  /// This node's own right to keep it; none: it does not. A node that has no others keeps it
  /// always.
  std::optional<RateLease> mOwn =
    RateLease{ TimePoint{} - std::chrono::hours(1), TimePoint::max() };
};

/// By data centre of the engines.
using RateLeases = std::map<std::string, RateLease>;

/// Requests a second that engines take from all nodes together, by ShortId().
using EngineLimits = std::unordered_map<std::uint32_t, double>;

/// The newest start of each engine that states one.
using EngineStarts = std::unordered_map<std::string, WallTime>;

/// `IP:port` of each registered engine, by id.
using EngineAddresses = std::unordered_map<std::string, std::string>;

struct TrafficPlan
{
  /// Configuration and registrations have both been read once: what is not here does not exist.
  bool mComplete = false;
  std::shared_ptr<const RouteTable> mRoutes; ///< null until a configuration is known
  std::map<std::string, std::vector<EngineTarget>> mEngines; ///< of plain services, by service
  std::map<std::string, std::vector<PoolReplica>> mReplicas; ///< by service
  /// Engine to requests that other desks have found places for.
  std::unordered_map<std::string, int> mOthersInFlight;
  bool mIsDesk = true;             ///< this node finds places itself
  std::vector<DeskAddress> mDesks; ///< others that find places for this node, best first
  std::map<std::string, DeskAddress> mDesksOf; ///< of the other data centres, for a desk
  EngineStarts mStarts;                        ///< of the listed engines
  /// Of the listed engines; null until they are known.
  std::shared_ptr<const EngineAddresses> mAddresses;
  /// Peers that carry connections to engines for this node; null for none.
  std::shared_ptr<const ProxyPeers> mProxyPeers;
  NewsMark mNews;
  /// Requests under which engines have ended; null where nothing is known yet.
  std::shared_ptr<const SuspectRequests> mSuspects;
  /// The configuration was the newest at this time for certain.
  TimePoint mConfigurationAsOf{};
  /// When this node took the configuration in.
  TimePoint mConfigurationTaken{};
  /// Keys of customers are known to be in force up to here; later, the configuration may have taken
  /// one away unseen.
  TimePoint mKeysValidUntil{};
  /// What the configuration does not have is known not to be there up to here; later, it may have
  /// been added unseen.
  TimePoint mMissesValidUntil{};
  RateLeases mRateLeases; ///< that this node holds
  RetryKeeperPlan mRetryKeeper;
  EngineLimits mOthersLimits; ///< as the desks of other data centres tell them
  int mListedNodes = 1;       ///< nodes that may be at work, those that are silent included
  int mNodes = 1;             ///< nodes that share the work, this one included
};

} // namespace pepperbay
