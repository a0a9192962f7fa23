/// @file
/// @brief Streams of callers on the replicas of a PoolWorld, sent by the product's balancer; what
/// each caller gets.
///
/// An engine is modelled by the platform's own description: all waiting work in passes, a step for
/// all that write, prompts read between steps, so that a crowded replica is slower for everyone.
#pragma once

#include "pepperbay/admission/retry_budget.hpp"
#include "pepperbay/dispatch/failure_step.hpp"
#include "pepperbay/routing/balancer.hpp"
#include "pool_world.hpp"

namespace pepperbay::pools {

enum class Choice
{
  kBalancer,   ///< the product's
  kLeast,      ///< fewest in progress
  kRoundRobin, ///< one after the other
};

struct LoadOptions
{
  std::vector<RequestSpec> mRequests;
  /// Against the requests a second of the sheet.
  double mFactor = 1;
  std::vector<Turn> mTurns;
  /// Streams leave a replica that stands still after this; see RelayOptions::mLeaveSilent.
  Duration mLeaveSilent = std::chrono::milliseconds(290);
  /// A refused caller comes back once, after this and up to so much more.
  Duration mComesBack = std::chrono::milliseconds(600);
  Duration mSpread{ 0 };
  /// Callers leave a stream that gives no event for so long.
  Duration mPatience = std::chrono::seconds(2);
  Choice mChoice = Choice::kBalancer;
  BalancerOptions mBalancer;
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
  double mWorstSecond = 1; ///< least share on time of a second's requests
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
  std::vector<std::pair<TimePoint, Stream>> mAway;
  LoadResult mResult;
  std::map<std::int64_t, std::pair<std::size_t, std::size_t>> mSeconds; ///< asked, on time
  std::size_t mTurn = 0;
};

} // namespace pepperbay::pools
