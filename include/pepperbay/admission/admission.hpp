/// @file
/// @brief Admission control for one pool of replicas at one node: run, queue or refuse.
///
/// A customer's share is of the whole pool, not of a node: nodes exchange the number of requests
/// that each customer runs, and each node adds those figures to its own. Unused share is lent to
/// other customers and returns as lent requests end. Pure: ids and times in, decisions out.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pepperbay {

struct AdmissionOptions
{
  std::size_t mQueue = 512; ///< queue limit: requests that may wait at this node
  /// A request with a longer expected wait is refused, even long before its deadline: a queue
  /// longer than a burst only adds its length to every answer. The first request in the queue is
  /// exempt; otherwise a pool with few slots would have no queue at all.
  Duration mLongestWait = std::chrono::milliseconds(500);
  /// Waiting this long raises the priority by one level.
  Duration mAgeOneLevel = std::chrono::seconds(5);
  /// Service time assumed before any is measured.
  Duration mFirstServiceGuess = std::chrono::seconds(5);
  double mDefaultShare = 0.05; ///< for customers without a configured share
};

/// Requests of one customer, summed over nodes.
struct CustomerUsage
{
  std::size_t mRunning = 0;
  std::size_t mWaiting = 0;
};

/// This node's view of the pool, set by the control thread.
struct PoolState
{
  std::size_t mSlots = 0;       ///< concurrent requests of all replicas whose members are all up
  std::size_t mNodes = 1;       ///< nodes that serve this pool, this one included
  std::size_t mSilentNodes = 0; ///< of these, nodes without recent reports that may still serve
  std::map<std::string, double> mShares; ///< customer to share of the pool, 0 to 1
  /// Customer to its usage at nodes with recent reports.
  std::map<std::string, CustomerUsage> mOthers;
  TimePoint mUsageAt{}; ///< when `mOthers` was last updated
};

struct Arrival
{
  std::uint64_t mId = 0;
  std::string mCustomer;
  std::uint32_t mPriority = 5; ///< 0 is most urgent
  TimePoint mDeadline{};
};

enum class AdmissionVerdict
{
  kRun,
  kWait,
  kRefuse,
};

struct AdmissionDecision
{
  AdmissionVerdict mVerdict = AdmissionVerdict::kRefuse;
  std::string mReason;       ///< for the caller, when refused
  Duration mRetryAfter{ 0 }; ///< derived from the current queue, when refused
};

/// A waiting request that is removed from the queue, with the refusal it is answered with.
struct GivenUp
{
  std::uint64_t mId = 0;
  AdmissionDecision mDecision;
};

/// Admission of one pool at one node. Not thread-safe.
class Admission
{
public:
  explicit Admission(AdmissionOptions aOptions);

  void SetPool(PoolState aPool);

  /// Admits, queues or refuses a new request. A request that cannot finish by its deadline is
  /// refused at once.
  /// @param aGivenUp receives waiting requests that are evicted to make room for it
  AdmissionDecision Arrive(const Arrival& aArrival, TimePoint aNow, std::vector<GivenUp>* aGivenUp);

  /// A running request has ended. @param aService its service time; zero: not to be averaged in
  void OnDone(std::uint64_t aId, Duration aService);

  /// The caller of a waiting request has disconnected.
  void OnGone(std::uint64_t aId);

  /// Starts waiting requests while slots are available. @return their ids, in order.
  std::vector<std::uint64_t> Next(TimePoint aNow);

  /// Removes waiting requests that can no longer finish in time. @return them with their refusals.
  std::vector<GivenUp> Hopeless(TimePoint aNow);

  /// This node's usage by customer, sent in its heartbeat.
  std::map<std::string, CustomerUsage> Usage() const;

  std::size_t Running() const { return mRunning.size(); }
  std::size_t Waiting() const { return mWaiting.size(); }

  /// @return the fraction of the pool's slots in use, here and at nodes with recent reports, 0
  /// to 1.
  double Fullness() const;

  /// @return the number of requests that this node may run concurrently now.
  std::size_t Allowance() const;

private:
  struct Waiter
  {
    Arrival mArrival;
    TimePoint mSince;
  };
  /// Smaller runs first.
  struct Rank
  {
    bool mOverShare;
    std::int64_t mLevel;
    double mUse;
    TimePoint mSince;
    bool operator<(const Rank& aOther) const;
  };

  double ShareOf(const std::string& aCustomer) const;
  std::size_t RunningOf(const std::string& aCustomer) const;
  Rank RankOf(const Arrival& aArrival, TimePoint aSince, TimePoint aNow) const;
  Duration WaitBehind(std::size_t aAhead) const;
  Duration ServiceTime() const;
  void Start(const Arrival& aArrival);
  AdmissionDecision Refusal(const std::string& aReason, Duration aRetryAfter) const;

  AdmissionOptions mOptions;
  PoolState mPool;
  std::size_t mOthersRunning = 0;
  std::size_t mBase = 0; ///< own requests running when the others' usage was last updated
  std::map<std::uint64_t, std::string> mRunning;
  std::map<std::string, std::size_t> mOwnRunning;
  std::vector<Waiter> mWaiting;
  double mServiceSeconds = 0;
};

} // namespace pepperbay
