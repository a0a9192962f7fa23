/// @file
/// @brief Who runs, who waits and who is refused, for one pool of replicas as one node sees it.
///
/// A customer's share is of the pool, not of a node: nodes tell each other what each customer runs,
/// and each node counts those figures beside its own. What a customer leaves unused is lent and
/// comes back as lent requests end. Pure: ids and times in, decisions out.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pepperbay {

struct AdmissionOptions
{
  std::size_t mQueue = 512; ///< requests that may wait here
  /// A request whose turn is expected to come later than this is refused, also long before its
  /// deadline: a queue that is longer than a burst only adds its length to every answer. The first
  /// in the queue waits on, or a pool of few slots would have no queue at all.
  Duration mLongestWait = std::chrono::milliseconds(500);
  Duration mAgeOneLevel = std::chrono::seconds(5); ///< a wait that raises priority by one level
  Duration mFirstServiceGuess = std::chrono::seconds(5); ///< service time before any is measured
  double mDefaultShare = 0.05;                           ///< of customers that no document names
};

/// One customer's work at other nodes, added up.
struct CustomerUsage
{
  std::size_t mRunning = 0;
  std::size_t mWaiting = 0;
};

/// What the pool looks like from here, told by the control thread.
struct PoolState
{
  std::size_t mSlots = 0;       ///< requests that all whole replicas of the pool run at once
  std::size_t mNodes = 1;       ///< nodes that serve this pool, this one included
  std::size_t mSilentNodes = 0; ///< of them, those not heard that may still be working
  std::map<std::string, double> mShares;        ///< customer to share of the pool, 0 to 1
  std::map<std::string, CustomerUsage> mOthers; ///< customer to its work at the nodes heard
  TimePoint mUsageAt{};                         ///< when `mOthers` was last told
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
  Duration mRetryAfter{ 0 }; ///< from the queue as measured, when refused
};

/// A waiting request that is given up, with the answer it gets now.
struct GivenUp
{
  std::uint64_t mId = 0;
  AdmissionDecision mDecision;
};

/// One pool's admission at one node. Not for several threads at once.
class Admission
{
public:
  explicit Admission(AdmissionOptions aOptions);

  void SetPool(PoolState aPool);

  /// A request has come. One that cannot be done by its deadline is refused at once.
  /// @param aGivenUp waiting requests that must make room for it are added here
  AdmissionDecision Arrive(const Arrival& aArrival, TimePoint aNow, std::vector<GivenUp>* aGivenUp);

  /// A running request has ended. @param aService how long it ran; zero when it says nothing
  void OnDone(std::uint64_t aId, Duration aService);

  /// A waiting request's caller has gone.
  void OnGone(std::uint64_t aId);

  /// @return waiting requests that may run now, in order.
  std::vector<std::uint64_t> Next(TimePoint aNow);

  /// @return waiting requests that can no longer be in time.
  std::vector<GivenUp> Hopeless(TimePoint aNow);

  /// This node's work by customer, for the heartbeat.
  std::map<std::string, CustomerUsage> Usage() const;

  std::size_t Running() const { return mRunning.size(); }
  std::size_t Waiting() const { return mWaiting.size(); }

  /// @return the part of the pool's slots in use, here and at the nodes heard; 1 when all are.
  double Fullness() const;

  /// @return requests that this node may have running at once now.
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
  std::size_t mBase = 0; ///< own requests running when the others' usage was last told
  std::map<std::uint64_t, std::string> mRunning;
  std::map<std::string, std::size_t> mOwnRunning;
  std::vector<Waiter> mWaiting;
  double mServiceSeconds = 0;
};

} // namespace pepperbay
