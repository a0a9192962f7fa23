/// @file
/// @brief Which replica a request goes to.
///
/// Two random choices and the two replicas that the prompt's beginning belongs to, scored by
/// expected first token: reported load corrected by what this node has sent since the report,
/// prefix cache, stragglers, slow start. The work of one decision hardly grows with the fleet.
/// Pure: tables are values, randomness is passed in.
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

/// What this node has in progress on one generation of a replica. Shared by the traffic threads,
/// which count, and the control thread, which closes; the only mutable part of a routing table.
class ReplicaLoad
{
public:
  /// Count a request in. @return false when the replica is closed; the request must go elsewhere.
  ///
  /// Counting comes before the check and closing before the read of the count, so a request that a
  /// thread with an old table begins is either seen by the control thread or turned away here.
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

/// What other nodes have in progress on a replica, from its reports.
///
/// Reports lag by about as long as a request takes, so the newest one says little of this moment:
/// nodes that follow it all crowd onto the replica that was idle a second ago. What lasts (a slow
/// replica, an uneven split between nodes) shows in the mean; the moment is this node's own count.
class OthersEstimate
{
public:
  /// A new report, and what this node has in progress at its receipt.
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
  double mOthers = 0;   ///< what other nodes have in progress on it; see OthersEstimate
  int mSlots = 1;
  double mSlowness = 1.0; ///< its time to first token over the pool's median; 1 is usual
  bool mEjected = false;  ///< a straggler; used only when there is nothing else
  TimePoint mWholeSince{};
  std::shared_ptr<ReplicaLoad> mLoad;
};

/// A place on the ring of prefixes.
struct RingPoint
{
  std::uint64_t mAt = 0;
  std::size_t mTarget = 0;
};

/// The replicas of one profile.
struct Pool
{
  std::vector<ReplicaTarget> mTargets; ///< this node's stable subset first
  std::size_t mSubset = 0;             ///< how many of them are the subset
  std::vector<RingPoint> mRing;        ///< see BuildRing()
};

/// Place the replicas on a ring, so that all nodes send a prompt's beginning to the same few
/// replicas, which then hold it in their cache, without a message between nodes. Call it once the
/// targets stand. A replica that comes or goes moves only its own part of the prefixes.
void
BuildRing(Pool* aPool);

struct RoutingTable
{
  std::uint64_t mOffset = 0; ///< of the control stream that it is drawn from
  std::map<std::string, Pool> mPools;
  std::map<std::string, std::vector<std::string>> mServices; ///< plain service to endpoints
};

struct RouteOptions
{
  Duration mSlowStart =
    std::chrono::seconds(10); ///< a replica that is whole again warms up so long
  double mWarmest = 4.0;      ///< how much heavier load counts at the start of it
  double mOthersWeight = 0.1; ///< of the others' mean load against this node's own part
  double mNodes = 1;          ///< nodes that share the pool; each is taken to do its part
  double mPrefixWorth = 2.0;  ///< load per slot that a cached prefix outweighs in a quiet pool
  double mFullness = 0.0;     ///< part of the pool's slots in use, 0 to 1
  double mPrefixEase = 0.4;   ///< free part of the pool from which on a prefix has its full worth
  double mComfort = 1.0;      ///< load per slot from which waiting is likely
  double mCrowded = 2.0;      ///< how much heavier load counts from there on
  double mSpillAt = 1.0;      ///< load per slot from which the subset is left for the whole pool
};

/// A request as routing sees it.
struct RouteQuery
{
  std::string mProfile;
  std::set<std::string> mAvoid; ///< replicas that have failed this request
  /// Hash of the prompt's beginning; 0 when it has none worth caching.
  std::uint64_t mPrefix = 0;
};

/// The expected cost of a target; smaller is better.
/// @param aCached how likely it is, 0 to 1, that the target holds the prompt's beginning
double
Score(const ReplicaTarget& aTarget, double aCached, const RouteOptions& aOptions, TimePoint aNow);

/// Choose a target and count the request in.
///
/// @param aRandom returns 64 random bits
/// @return null when no replica of the profile can take it; otherwise the caller calls
/// `mLoad->Leave()` when the attempt is over.
const ReplicaTarget*
ChooseReplica(const RoutingTable& aTable,
              const RouteQuery& aQuery,
              const RouteOptions& aOptions,
              TimePoint aNow,
              const std::function<std::uint64_t()>& aRandom);

/// Replica to its recent time to first token.
using FirstTokenTimes = std::map<std::string, Duration>;

/// Mark stragglers: a target slower than `aFactor` times the median is ejected, but never more than
/// `aMostShare` of a pool, or a general slowness would take all of it out.
void
EjectStragglers(Pool* aPool, const FirstTokenTimes& aTimes, double aFactor, double aMostShare);

} // namespace pepperbay
