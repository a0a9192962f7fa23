/// @file
/// @brief Chooses the engine or replica of a request by the requests in progress there. Pure.
#pragma once

#include "pepperbay/routing/engine_limit_table.hpp"
#include "pepperbay/routing/failure_tracker.hpp"
#include "pepperbay/routing/refusal_tracker.hpp"
#include "pepperbay/routing/traffic_plan.hpp"
#include "pepperbay/routing/unanswered_tracker.hpp"

#include <functional>
#include <set>
#include <string>
#include <unordered_map>

namespace pepperbay {

/// How the queue of a replica without free slots is limited.
enum class QueueBound
{
  kShareOfSlots, ///< the same share of the slots for every request
  kInTime,       ///< so that a new request's first event is expected within its objective
};

/// Whether an engine's rate limit allows one more request.
enum class RateStanding
{
  kFree,      ///< no limit is known
  kMayTake,   ///< it has a limit that is not used up
  kElsewhere, ///< another node holds the rate lease and counts its requests
  kExhausted, ///< its limit is used up for now
};

using RateStandingFn = std::function<RateStanding(const EngineTarget&)>;

struct BalancerOptions
{
  std::string mDataCentre; ///< of this node; preferred in ties
  /// Remaining ties are broken by a hash with this seed; otherwise nodes that do not see each
  /// other's requests would all choose the first of many idle engines.
  std::uint64_t mSeed = 0;
  /// For this long, an engine that failed or stopped answering is chosen only after all others.
  /// Long enough to cover a typical partial fault, short enough to notice its end.
  Duration mFaultMemory = std::chrono::seconds(4);
  /// Queue limit of a replica beyond its slots, as a share of the slots. A wait longer than callers
  /// tolerate on a stream without events (two seconds) is wasted.
  double mQueueShare = 0.5;
  QueueBound mQueueBound = QueueBound::kInTime;
  /// Fraction of a request's objective that it may wait for a slot; the rest is for reading its
  /// prompt and the first step.
  double mWaitShare = 0.5;
  /// The costs below are expected delays of a request's first event. Each request in progress slows
  /// each of the few steps before that event by about 1 %.
  Duration mInFlightCost = std::chrono::microseconds(1500);
  /// Per request that is queued for a slot: an answer takes about a second, and a replica has some
  /// tens of slots.
  Duration mQueueCost = std::chrono::milliseconds(60);
  /// For another data centre: a round trip, and traffic that is paid for.
  Duration mRemoteCost = std::chrono::milliseconds(4);
  /// A replica whose events are this many times slower than those of its model's fastest replica
  /// is slow; one slow member causes that. Full replicas differ by less than half.
  double mSlowRatio = 2.0;
  Duration mSlowCost = std::chrono::milliseconds(300);
  /// After this time without an event, the measured pace of a replica is dropped, so that a few
  /// requests test whether it has recovered.
  Duration mPaceMemory = std::chrono::seconds(3);
};

/// Counts requests in progress by engine and chooses engines by these counts. Not thread-safe.
///
/// Own requests are counted at once, those of other nodes by their last heartbeat. Load reports of
/// the engines would be older than both.
class Balancer
{
public:
  explicit Balancer(BalancerOptions aOptions);

  void OnStart(const std::string& aEngine) { ++mOwn[aEngine]; }
  void OnEnd(const std::string& aEngine);
  /// A request failed at an engine without an answer from the engine.
  void OnFault(const std::string& aEngine, TimePoint aNow) { mFaultAt[aEngine] = aNow; }
  /// An engine answered; each answer shortens the time that a past fault counts.
  void OnAnswer(const std::string& aEngine);

  /// Replica heads that currently refuse requests; they are not chosen.
  RefusalTracker& Refusals() { return mRefusals; }
  const RefusalTracker& Refusals() const { return mRefusals; }

  /// Engines that fail requests which may run only once; such requests are sent there last.
  FailureTracker& Failures() { return mFailures; }

  /// Engines of plain services that have said nothing since a request was sent to them; they are
  /// chosen last.
  UnansweredTracker& Unanswered() { return mUnanswered; }

  /// Rate limits that engines state in their answers.
  EngineLimitTable& Limits() { return mLimits; }
  const EngineLimitTable& Limits() const { return mLimits; }

  /// The engine has restarted: drops its faults, pace, pending prompts, refusals and limit.
  void Forget(const std::string& aEngine);

  /// A prompt that takes `aWork` to read was sent to a replica, by this node or another. A replica
  /// reads prompts one after the other, between the decoding steps of other requests.
  void OnPrompt(const std::string& aHead, Duration aWork, TimePoint aNow);
  /// Two consecutive events of one stream were `aPause` apart.
  void OnPause(const std::string& aHead, Duration aPause, TimePoint aNow);

  /// Requests in progress of this node, by engine.
  const std::unordered_map<std::string, int>& Own() const { return mOwn; }

  /// Criteria of a choice among the engines of a plain service (one without replicas).
  struct EngineQuery
  {
    std::set<std::uint32_t> mTried; ///< engines to exclude, by ShortId()
    bool mOnce = false;             ///< the request may run only once
    RateStandingFn mStanding;       ///< null: no engine has a limit
    bool mHedge = false;            ///< another engine has the request and may still answer
  };
  /// Result of a choice among engines.
  struct EngineChoice
  {
    const EngineTarget* mEngine = nullptr;
    bool mLimited = false; ///< there are engines, but their rate limits are used up
  };

  EngineChoice PickEngine(const TrafficPlan& aPlan,
                          const std::string& aService,
                          const EngineQuery& aQuery,
                          TimePoint aNow) const;
  /// @param aTried engines that this request has been sent to
  /// @param aOnce the request may run only once
  /// @return null if no engine is available
  const EngineTarget* PickEngine(const TrafficPlan& aPlan,
                                 const std::string& aService,
                                 const std::set<std::string>& aTried,
                                 bool aOnce,
                                 TimePoint aNow) const;

  /// Engines with a fault within the fault memory.
  std::vector<std::string> Faulty(TimePoint aNow) const;

  /// Criteria of a choice among replicas.
  struct ReplicaQuery
  {
    std::string mModel;
    std::string mDataCentre; ///< of the node that sends the request
    /// Target time to the request's first event; zero: it is late in any case, or it resumes after
    /// its first event.
    Duration mObjective{ 0 };
    std::set<std::uint32_t> mTried;  ///< heads to exclude, by ShortId()
    std::set<std::uint32_t> mFaulty; ///< heads chosen only after all others, by ShortId()
    RateStandingFn mStanding;        ///< null: no head has a limit
  };
  /// Result of a choice among replicas.
  struct ReplicaChoice
  {
    const PoolReplica* mReplica = nullptr;
    bool mFull = false;    ///< there are replicas, but each is at its limit of requests or refuses
    bool mLimited = false; ///< some have room, but their rate limits are used up
  };

  /// Chooses the replica of a model with the earliest expected first event.
  ReplicaChoice PickReplica(const TrafficPlan& aPlan,
                            const ServiceSpec& aService,
                            const std::string& aModel,
                            const std::set<std::string>& aTried,
                            TimePoint aNow) const;
  ReplicaChoice PickReplica(const TrafficPlan& aPlan,
                            const ServiceSpec& aService,
                            const ReplicaQuery& aQuery,
                            TimePoint aNow) const;

  /// @return requests in progress at an engine: this node's, and those to which other slot
  /// allocators have granted slots according to the plan.
  int InFlight(const TrafficPlan& aPlan, const std::string& aEngine) const;

  /// @return the number of requests at a replica of a model, queued ones included, from which on no
  /// further request with this objective is sent there.
  int MaxRequestsAt(const EnginePool& aPool, const std::string& aModel, Duration aObjective) const;

private:
  bool RecentFault(const std::string& aEngine, TimePoint aNow) const;
  /// The mean pause between events; zero when unknown.
  Duration PauseOf(const std::string& aHead, TimePoint aNow) const;
  /// The shortest mean pause among a model's replicas; zero when unknown.
  Duration FastestPause(const std::vector<PoolReplica>& aReplicas,
                        const std::string& aModel,
                        TimePoint aNow) const;
  Duration CostOf(const TrafficPlan& aPlan,
                  const PoolReplica& aReplica,
                  const std::string& aDataCentre,
                  int aSlots,
                  Duration aFastest,
                  TimePoint aNow) const;

  struct Pace
  {
    Duration mPause{ 0 };
    int mSamples = 0;
    TimePoint mLast{};
  };

  BalancerOptions mOptions;
  std::unordered_map<std::string, int> mOwn;
  std::unordered_map<std::string, TimePoint> mFaultAt;
  /// By head: when the prompts sent to it will have been read.
  std::unordered_map<std::string, TimePoint> mReadsUntil;
  std::unordered_map<std::string, Pace> mPaces;
  RefusalTracker mRefusals;
  FailureTracker mFailures;
  UnansweredTracker mUnanswered;
  EngineLimitTable mLimits;
};

} // namespace pepperbay
