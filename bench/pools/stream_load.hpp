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

/// One kind of request, as the association's sheet describes it.
struct RequestSpec
{
  const char* mModel;
  double mWeight; ///< of all requests
  double mPrompt; ///< tokens, mean
  double mSpread; ///< of the prompt's logarithm
  double mMost;   ///< tokens of the longest prompt
  double mEvents; ///< mean
  Duration mObjective;
  Duration mLongestPause;
  Duration mDeadline;
};

struct LoadOptions
{
  /// Requests a second for each engine in a replica; the association's sheet has 2.7.
  double mRate = 2.7;
  /// Streams leave a replica that stands still after this; see RelayOptions::mLeaveSilent.
  Duration mLeaveSilent = std::chrono::milliseconds(290);
  /// A refused caller comes back once, after this.
  Duration mComesBack = std::chrono::milliseconds(600);
  Choice mChoice = Choice::kBalancer;
  std::uint32_t mSeed = 1;
};

/// What callers got.
struct LoadResult
{
  std::size_t mAsked = 0;
  std::size_t mOnTime = 0; ///< first event within the objective and no pause too long
  std::size_t mLate = 0;
  std::size_t mRefused = 0; ///< twice
  std::size_t mCut = 0;
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

private:
  struct Stream
  {
    const RequestSpec* mSpec = nullptr;
    TimePoint mArrived{};
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
  void LeaveStill(const std::string& aHead, Replica& aState);
  void End(const Stream& aStream, bool aCut);
  const PoolReplica* Choose(const Stream& aStream);
  void MakePlan();
  void CountEnd(const Stream& aStream, bool aOnTime);

  LoadOptions mOptions;
  PoolWorld* mWorld;
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
