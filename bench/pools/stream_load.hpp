/// @file
/// @brief Streams of callers on the replicas of a PoolWorld, sent by the product's balancer; what
/// each caller gets.
///
/// An engine is modelled by the platform's own description: all waiting work in passes, a step for
/// all that write, prompts read between steps, so that a crowded replica is slower for everyone.
#pragma once

#include "pepperbay/admission/retry_budget.hpp"
#include "pepperbay/dispatch/failure_step.hpp"
#include "pepperbay/places/rate_ledger.hpp"
#include "pepperbay/routing/balancer.hpp"
#include "pool_world.hpp"

namespace pepperbay::pools {

enum class Choice
{
  kBalancer,   ///< the product's
  kLeast,      ///< fewest in progress
  kRoundRobin, ///< one after the other
};

/// What is done about heads that name a limit of requests a second.
enum class LimitWay
{
  kNone,       ///< no head names one
  kIgnored,    ///< nothing
  kCounted,    ///< one node counts; the product's way
  kEvenShares, ///< each of many nodes keeps its part
  kGivenUp,    ///< such a head gets nothing
};

struct LoadOptions
{
  std::vector<RequestSpec> mRequests;
  /// Against the requests a second of the sheet.
  double mFactor = 1;
  std::vector<Turn> mTurns;
  /// Streams leave a replica that stands still after this; see RelayOptions::mMaxSilence.
  Duration mLeaveSilent = std::chrono::milliseconds(290);
  /// A refused caller comes back once, after this and up to so much more.
  Duration mComesBack = std::chrono::milliseconds(600);
  Duration mSpread{ 0 };
  /// Callers leave a stream that gives no event for so long.
  Duration mPatience = std::chrono::seconds(2);
  Choice mChoice = Choice::kBalancer;
  BalancerOptions mBalancer;
  LimitWay mLimits = LimitWay::kNone;
  /// One head of so many names a limit.
  std::size_t mLimitedHeads = 6;
  double mLimitPart = 1.0 / 3; ///< of the requests that a head gets on the average
  std::size_t mNodes = 75;     ///< that have parts, where shares are even
  std::uint32_t mSeed = 1;
};

/// What the callers of one model got.
struct ModelResult
{
  std::size_t mAsked = 0;
  std::size_t mOnTime = 0;
  std::size_t mLate = 0;
};

/// What callers got.
struct LoadResult
{
  std::map<std::string, ModelResult> mModels;
  std::size_t mAsked = 0;
  std::size_t mOnTime = 0; ///< first event within the objective and no pause too long
  std::size_t mLate = 0;
  std::size_t mRefused = 0; ///< twice
  std::size_t mCut = 0;
  std::size_t mGone = 0; ///< left: no event for too long, or not the whole answer in time
  std::size_t mResumed = 0;
  std::size_t mSentToLimited = 0; ///< requests sent to heads with a limit
  double mLimitsAllow = 0;        ///< what all limits allowed in that time
  double mWorstSecond = 1;        ///< least share on time of a second's requests
};

class StreamLoad
{
public:
  StreamLoad(LoadOptions aOptions, PoolWorld* aWorld);

  /// Requests of one step of the world, and the engines' work in it.
  void Step();
  /// @return the counts of requests that have ended.
  LoadResult Result() const;
  int InFlight(const std::string& aHead) const;

private:
  struct Stream
  {
    const RequestSpec* mSpec = nullptr;
    TimePoint mArrived{};
    TimePoint mTriedAt{}; ///< when it arrived, or came back
    TimePoint mLastEvent{};
    double mPromptLeft = 0; ///< tokens
    double mEventsLeft = 0;
    double mPrompt = 0;
    int mSent = 0;
    std::set<std::string> mTried; ///< heads
    bool mBegun = false;
    bool mLate = false;
    bool mCameBack = false;
  };
  struct Replica
  {
    std::vector<Stream> mStreams; ///< in the order of their arrival
    TimePoint mStillSince{};      ///< zero while it gives events
    double mProgress = 0;         ///< towards its next event; all that write get one at once
    TimePoint mLastEvent{};
  };

  void Arrive();
  /// @param aMean of the numbers drawn, not of their logarithms
  double LogNormal(double aMean, double aSpread);
  void Send(Stream aStream);
  void Refuse(Stream aStream);
  void Work(const PlannedReplica& aReplica, Replica& aState);
  /// Callers leave whose patience has ended, or their time.
  void DropImpatient(const std::string& aHead, Replica& aState);
  /// @return how much more or less than usual a model is asked for now
  double FactorOf(const std::string& aModel) const;
  void LeaveStill(const std::string& aHead, Replica& aState);
  void End(const Stream& aStream, bool aCut);
  const PoolReplica* Choose(const Stream& aStream);
  void MakePlan();
  /// Heads that serve at the start name their limits.
  void SetLimits();
  std::optional<double> LimitOf(const std::string& aHead) const;
  RateStanding StandingOf(const EngineTarget& aHead);
  /// Count a request that is sent.
  void CountLimited(const EngineTarget& aHead);
  void CountEnd(const Stream& aStream, bool aOnTime);

  LoadOptions mOptions;
  PoolWorld* mWorld;
  TimePoint mBegun;
  std::mt19937 mRandom;
  ServiceSpec mService;
  TrafficPlan mPlan;
  Balancer mBalancer;
  RetryBudget mBudget;
  std::map<std::string, Replica> mReplicas; ///< by head
  std::map<std::string, double> mLimits;    ///< by head
  RateLedger mLedger;
  std::map<std::pair<std::string, std::size_t>, TokenBucket> mParts; ///< by head and node
  std::size_t mNode = 0; ///< at which the request is that is being placed
  std::vector<std::pair<TimePoint, Stream>> mAway;
  LoadResult mResult;
  std::map<std::int64_t, std::pair<std::size_t, std::size_t>> mSeconds; ///< asked, on time
  std::size_t mTurn = 0;
};

} // namespace pepperbay::pools
