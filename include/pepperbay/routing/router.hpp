/// @file
/// @brief Chooses the replica of a request.
///
/// Candidates are some consecutive replicas from a random index on and the two that own the
/// prompt's prefix on a hash ring. They are scored by expected time to first token: load of this
/// node and of others, prefix cache, stragglers, slow start. The work per decision hardly grows
/// with the number of replicas. Pure: tables are values, randomness is passed in.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

/// This node's requests in progress on one generation of a replica. Shared by the traffic threads,
/// which count, and the control thread, which closes; the only mutable part of a routing table.
class ReplicaLoad
{
public:
  /// Counts a new request. @return false if the replica is closed; another one must be chosen.
  ///
  /// A request is counted before the check for closing, and the replica is closed before the count
  /// is read. So a request of a thread with an old table is either seen by the control thread or
  /// refused here.
  bool Enter();
  void Leave() { mInFlight.fetch_sub(1); }
  void Close() { mClosed.store(true); }
  void Open() { mClosed.store(false); }
  bool Closed() const { return mClosed.load(); }
  int InFlight() const { return mInFlight.load(); }

private:
  std::atomic<int> mInFlight{ 0 };
  std::atomic<bool> mClosed{ false };
};

/// Estimates the requests of other nodes on a replica from its load reports.
///
/// Reports lag by about the duration of a request, so the newest one does not describe the current
/// load: nodes that follow it all choose the replica that was idle a second ago. The mean shows
/// lasting differences (a slow replica, an uneven split between nodes); the current load is
/// estimated from this node's own count.
class OthersEstimate
{
public:
  /// A new report, with this node's own requests in progress at its receipt.
  void OnReport(int aReported, int aOwn);
  double Value() const;

private:
  double mReported = 0;
  double mOwn = 0;
  bool mAny = false;
};

/// One replica that may be routed to.
struct ReplicaTarget
{
  std::string mReplica;
  std::uint64_t mGeneration = 0;
  std::string mAddress; ///< of the member that takes requests
  double mOthers = 0;   ///< estimated requests of other nodes on it; see OthersEstimate
  int mSlots = 1;
  double mSlowness = 1.0; ///< its time to first token divided by the pool's median; 1: typical
  bool mEjected = false;  ///< a straggler; used only if there is no other
  TimePoint mWholeSince{};
  std::shared_ptr<ReplicaLoad> mLoad;
};

/// A point on the hash ring of prefixes.
struct RingPoint
{
  std::uint64_t mAt = 0;
  std::size_t mTarget = 0;
};

/// The replicas of one profile.
struct Pool
{
  std::vector<ReplicaTarget> mTargets; ///< this node's stable subset first
  std::size_t mSubset = 0;             ///< size of the subset
  std::vector<RingPoint> mRing;        ///< see BuildRing()
};

/// Builds the hash ring of a pool, by which all nodes send prompts with the same prefix to the same
/// few replicas, which then have it cached, without messages between nodes. Call it after the
/// targets are set. A replica that is added or removed moves only its own share of the prefixes.
void
BuildRing(Pool* aPool);

struct RoutingTable
{
  std::uint64_t mOffset = 0; ///< of the control stream that the table reflects
  std::map<std::string, Pool> mPools;
  std::map<std::string, std::vector<std::string>> mServices; ///< endpoints by plain service
};

struct RouteOptions
{
  /// Warm-up time of a replica that is complete again.
  Duration mSlowStart = std::chrono::seconds(10);
  double mSlowStartFactor = 4.0; ///< load factor at the start of the warm-up
  double mOthersWeight = 0.1;    ///< weight of others' mean load against this node's own
  double mNodes = 1;             ///< nodes that share the pool, assumed to carry equal load
  double mPrefixWorth = 2.0;     ///< load per slot that a cached prefix outweighs in an idle pool
  double mFullness = 0.0;        ///< fraction of the pool's slots in use, 0 to 1
  double mPrefixEase = 0.4; ///< free fraction of the pool from which a prefix has its full worth
  double mComfort = 1.0;    ///< load per slot above which queueing is likely
  double mCrowded = 2.0;    ///< load factor above mComfort
  double mSpillAt = 1.0;    ///< load per slot from which the whole pool is used, not the subset
};

/// The properties of a request that routing uses.
struct RouteQuery
{
  std::string mProfile;
  std::set<std::string> mAvoid; ///< replicas that have failed this request
  /// Hash of the prompt's prefix; 0 if it is not worth caching.
  std::uint64_t mPrefix = 0;
};

/// The expected cost of a target; smaller is better.
/// @param aCached probability, 0 to 1, that the target has the prompt's prefix cached
double
Score(const ReplicaTarget& aTarget, double aCached, const RouteOptions& aOptions, TimePoint aNow);

/// Chooses a target and counts the request there.
///
/// @param aRandom returns 64 random bits
/// @return null if no replica of the profile can take it; otherwise the caller must call
/// `mLoad->Leave()` when the attempt ends.
const ReplicaTarget*
ChooseReplica(const RoutingTable& aTable,
              const RouteQuery& aQuery,
              const RouteOptions& aOptions,
              TimePoint aNow,
              const std::function<std::uint64_t()>& aRandom);

/// Recent time to first token, by replica.
using FirstTokenTimes = std::map<std::string, Duration>;

/// Marks stragglers: a target slower than `aFactor` times the median is ejected, but never more
/// than `aMaxShare` of a pool; otherwise a general slowdown could eject all of it.
void
EjectStragglers(Pool* aPool, const FirstTokenTimes& aTimes, double aFactor, double aMaxShare);

} // namespace pepperbay
