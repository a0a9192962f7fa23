/// @file
/// @brief The control state that traffic threads use: an immutable value, replaced as a whole.
#pragma once

#include "pepperbay/membership/engine_departure.hpp"
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
  std::string mId; ///< sent with each request, so that no other engine runs it
  std::string mAddress;
  std::string mDataCentre;
  WallTime mBorn{}; ///< start time of its incarnation
};

/// A serving replica. Its head is the member that receives the replica's requests.
struct PoolReplica
{
  std::string mGroup;
  std::uint64_t mEpoch = 0;
  std::string mModel;
  EngineTarget mHead;
  /// Takes no new requests: a member is lost or leaving and the replica will be re-formed.
  bool mSuspended = false;
  /// A member is known to be lost, so its requests in progress will not complete.
  bool mLost = false;
};

/// A slot allocator: a node that grants slots to the requests of other nodes; see
/// places/slot_agent.hpp.
struct AllocatorAddress
{
  std::string mNode;
  std::string mAddress; ///< `IP:port`, UDP
};

/// The update by the holder of the lease that the replicas of a plan reflect.
struct UpdateMark
{
  std::uint64_t mFence = 0;  ///< fencing number of the holder's lease
  std::uint64_t mChange = 0; ///< number of the last change in the plan
  TimePoint mAsOf{};         ///< when the holder last confirmed it
};

/// The exclusive right, among all nodes, to count the requests sent to engines with a rate limit.
struct RateLease
{
  TimePoint mSince{}; ///< held without interruption since
  TimePoint mUntil{};
};

/// The retry budget owner of plain services (their engines are not grouped into replicas); see
/// retries/retry_agent.hpp.
struct RetryBudgetOwnerPlan
{
  std::string mAddress; ///< `IP:port`, UDP; empty: no owner is known, or it is this node
  /// This node's own lease on the budget; none: it is not the owner. A node without peers is always
  /// the owner.
  std::optional<RateLease> mOwn =
    RateLease{ TimePoint{} - std::chrono::hours(1), TimePoint::max() };
};

/// By data centre of the engines.
using RateLeases = std::map<std::string, RateLease>;

/// Rate limits of engines for all nodes together, in requests per second, by ShortId().
using EngineLimits = std::unordered_map<std::uint32_t, double>;

/// The newest known incarnation of each engine that states its start time.
using EngineIncarnations = std::unordered_map<std::string, WallTime>;

/// `IP:port` of each registered engine, by id.
using EngineAddresses = std::unordered_map<std::string, std::string>;

struct TrafficPlan
{
  /// Configuration and registrations have both been read: what the plan lacks does not exist.
  bool mComplete = false;
  std::shared_ptr<const RouteTable> mRoutes; ///< null until a configuration is known
  std::map<std::string, std::vector<EngineTarget>> mEngines; ///< of plain services, by service
  std::map<std::string, std::vector<PoolReplica>> mReplicas; ///< by service
  /// Requests with slots granted by other slot allocators, by engine.
  std::unordered_map<std::string, int> mOthersInFlight;
  bool mIsAllocator = true;                  ///< this node is a slot allocator itself
  std::vector<AllocatorAddress> mAllocators; ///< slot allocators for this node, best first
  /// Of other data centres, used by a slot allocator.
  std::map<std::string, AllocatorAddress> mAllocatorsOf;
  EngineIncarnations mIncarnations; ///< of the listed engines
  /// Of the listed engines; null until they are known.
  std::shared_ptr<const EngineAddresses> mAddresses;
  /// Engines that leave or have left, as this node knows; null until any is known.
  std::shared_ptr<const EngineDepartures> mDepartures;
  /// Latest time at which all registrations were known here.
  TimePoint mEnginesAsOf{};
  /// When this node received the earliest of the changes of registrations that the last build of
  /// the plan added.
  TimePoint mEnginesTaken{};
  /// Peers that tunnel connections to engines for this node; null for none.
  std::shared_ptr<const ProxyPeers> mProxyPeers;
  UpdateMark mUpdate;
  /// Requests during which engines exited; null if nothing is known yet.
  std::shared_ptr<const SuspectRequests> mSuspects;
  /// Latest time at which the configuration is known to have been the newest.
  TimePoint mConfigurationAsOf{};
  /// When this node received the configuration.
  TimePoint mConfigurationTaken{};
  /// Customers' keys are known to be valid until this time; after it, a newer configuration may
  /// have revoked one without this node's knowledge.
  TimePoint mKeysValidUntil{};
  /// Entries absent from the configuration are known not to exist until this time; after it, a
  /// newer configuration may have added them without this node's knowledge.
  TimePoint mMissesValidUntil{};
  RateLeases mRateLeases; ///< held by this node
  RetryBudgetOwnerPlan mRetryBudgetOwner;
  EngineLimits mOthersLimits; ///< reported by slot allocators of other data centres
  int mListedNodes = 1;       ///< nodes that may be serving, silent ones included
  int mNodes = 1;             ///< nodes that share the load, this one included
};

} // namespace pepperbay
