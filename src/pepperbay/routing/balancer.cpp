#include "pepperbay/routing/balancer.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pepperbay {

namespace {

RateStanding
StandingOf(const RateStandingFn& aStanding, const EngineTarget& aEngine)
{
  return aStanding ? aStanding(aEngine) : RateStanding::kFree;
}

} // namespace

Balancer::Balancer(BalancerOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
Balancer::OnEnd(const std::string& aEngine)
{
  const auto it = mOwn.find(aEngine);
  if (it != mOwn.end() && --it->second <= 0) {
    mOwn.erase(it);
  }
}

void
Balancer::OnAnswer(const std::string& aEngine)
{
  const auto it = mFaultAt.find(aEngine);
  if (it != mFaultAt.end()) {
    it->second -= mOptions.mFaultMemory / 2;
  }
}

void
Balancer::Forget(const std::string& aEngine)
{
  mFaultAt.erase(aEngine);
  mReadsUntil.erase(aEngine);
  mPaces.erase(aEngine);
  mRefusals.Forget(aEngine);
  mUnanswered.Forget(aEngine);
  mLimits.Forget(ShortId(aEngine));
}

int
Balancer::InFlight(const TrafficPlan& aPlan, const std::string& aEngine) const
{
  const auto own = mOwn.find(aEngine);
  const auto others = aPlan.mOthersInFlight.find(aEngine);
  return (own == mOwn.end() ? 0 : own->second) +
         (others == aPlan.mOthersInFlight.end() ? 0 : others->second);
}

bool
Balancer::RecentFault(const std::string& aEngine, TimePoint aNow) const
{
  const auto it = mFaultAt.find(aEngine);
  return it != mFaultAt.end() && aNow - it->second < mOptions.mFaultMemory;
}

const EngineTarget*
Balancer::PickEngine(const TrafficPlan& aPlan,
                     const std::string& aService,
                     const std::set<std::string>& aTried,
                     bool aOnce,
                     TimePoint aNow) const
{
  EngineQuery query;
  query.mTried = ShortIds(aTried);
  query.mOnce = aOnce;
  return PickEngine(aPlan, aService, query, aNow).mEngine;
}

Balancer::EngineChoice
Balancer::PickEngine(const TrafficPlan& aPlan,
                     const std::string& aService,
                     const EngineQuery& aQuery,
                     TimePoint aNow) const
{
  EngineChoice choice;
  const auto engines = aPlan.mEngines.find(aService);
  if (engines == aPlan.mEngines.end()) {
    return choice;
  }
  std::tuple<bool, bool, bool, int, bool, std::uint64_t> bestRank;
  for (const auto& it : engines->second) {
    const std::uint32_t id = ShortId(it.mId);
    if (aQuery.mTried.count(id) != 0 || (aQuery.mHedge && !mUnanswered.MayRepeatAt(it.mId, aNow))) {
      continue;
    }
    const RateStanding standing = StandingOf(aQuery.mStanding, it);
    if (standing == RateStanding::kExhausted) {
      choice.mLimited = true;
      continue;
    }
    const bool fails = aQuery.mOnce && mFailures.Fails(id, aNow);
    const std::tuple<bool, bool, bool, int, bool, std::uint64_t> rank{
      standing == RateStanding::kElsewhere,   mUnanswered.IsSilent(it.mId, aNow),
      fails || RecentFault(it.mId, aNow),     InFlight(aPlan, it.mId),
      it.mDataCentre != mOptions.mDataCentre, Hash64(it.mId, mOptions.mSeed)
    };
    if (choice.mEngine == nullptr || rank < bestRank) {
      choice.mEngine = &it;
      bestRank = rank;
    }
  }
  return choice;
}

void
Balancer::OnPrompt(const std::string& aHead, Duration aWork, TimePoint aNow)
{
  TimePoint& until = mReadsUntil[aHead];
  until = std::max(until, aNow) + aWork;
}

void
Balancer::OnPause(const std::string& aHead, Duration aPause, TimePoint aNow)
{
  constexpr int kWeight = 16; // samples in the running mean: about 0.5 s of a busy replica
  Pace& pace = mPaces[aHead];
  if (aNow - pace.mLast > mOptions.mPaceMemory) {
    pace = Pace{};
  }
  pace.mLast = aNow;
  const int weight = std::min(pace.mSamples, kWeight);
  pace.mPause = (pace.mPause * weight + aPause) / (weight + 1);
  ++pace.mSamples;
}

Duration
Balancer::PauseOf(const std::string& aHead, TimePoint aNow) const
{
  constexpr int kMinSamples = 8;
  const auto it = mPaces.find(aHead);
  const bool known = it != mPaces.end() && it->second.mSamples >= kMinSamples &&
                     aNow - it->second.mLast <= mOptions.mPaceMemory;
  return known ? it->second.mPause : Duration::zero();
}

Duration
Balancer::CostOf(const TrafficPlan& aPlan,
                 const PoolReplica& aReplica,
                 const std::string& aDataCentre,
                 int aSlots,
                 Duration aFastest,
                 TimePoint aNow) const
{
  const std::string& head = aReplica.mHead.mId;
  const int inFlight = InFlight(aPlan, head);
  Duration cost = mOptions.mInFlightCost * inFlight;
  cost += mOptions.mQueueCost * std::max(0, inFlight + 1 - aSlots);
  const auto reads = mReadsUntil.find(head);
  if (reads != mReadsUntil.end()) {
    cost += std::max(Duration::zero(), reads->second - aNow);
  }
  if (aReplica.mHead.mDataCentre != aDataCentre) {
    cost += mOptions.mRemoteCost;
  }
  const Duration pause = PauseOf(head, aNow);
  if (pause > Duration::zero() && pause > aFastest * mOptions.mSlowRatio) {
    cost += mOptions.mSlowCost;
  }
  return cost;
}

std::vector<std::string>
Balancer::Faulty(TimePoint aNow) const
{
  std::vector<std::string> faulty;
  for (const auto& [engine, at] : mFaultAt) {
    if (RecentFault(engine, aNow)) {
      faulty.push_back(engine);
    }
  }
  return faulty;
}

Balancer::ReplicaChoice
Balancer::PickReplica(const TrafficPlan& aPlan,
                      const ServiceSpec& aService,
                      const std::string& aModel,
                      const std::set<std::string>& aTried,
                      TimePoint aNow) const
{
  ReplicaQuery query;
  query.mModel = aModel;
  query.mDataCentre = mOptions.mDataCentre;
  query.mTried = ShortIds(aTried);
  return PickReplica(aPlan, aService, query, aNow);
}

Duration
Balancer::FastestPause(const std::vector<PoolReplica>& aReplicas,
                       const std::string& aModel,
                       TimePoint aNow) const
{
  Duration fastest = Duration::max();
  for (const auto& it : aReplicas) {
    const Duration pause = it.mModel == aModel ? PauseOf(it.mHead.mId, aNow) : Duration::zero();
    if (pause > Duration::zero()) {
      fastest = std::min(fastest, pause);
    }
  }
  // Without measurements no replica counts as slow.
  return fastest == Duration::max() ? Duration::zero() : fastest;
}

int
Balancer::MaxRequestsAt(const EnginePool& aPool,
                        const std::string& aModel,
                        Duration aObjective) const
{
  const int share = static_cast<int>(aPool.mSlots * (1.0 + mOptions.mQueueShare));
  const ModelSpec* model = aPool.FindModel(aModel);
  if (mOptions.mQueueBound == QueueBound::kShareOfSlots || aObjective <= Duration::zero() ||
      model == nullptr) {
    return share;
  }
  const Duration answer = UsualAnswerTime(aPool, *model);
  if (answer <= Duration::zero()) {
    return share;
  }
  // Each slot comes free once per usual answer time; the slots come free evenly spread over it.
  const double wait = std::chrono::duration<double>(aObjective).count() * mOptions.mWaitShare;
  const double places = wait * aPool.mSlots / std::chrono::duration<double>(answer).count();
  return std::min(share, aPool.mSlots + static_cast<int>(places));
}

Balancer::ReplicaChoice
Balancer::PickReplica(const TrafficPlan& aPlan,
                      const ServiceSpec& aService,
                      const ReplicaQuery& aQuery,
                      TimePoint aNow) const
{
  ReplicaChoice choice;
  const auto replicas = aPlan.mReplicas.find(aService.mName);
  if (replicas == aPlan.mReplicas.end() || !aService.mPool) {
    return choice;
  }
  const int slots = aService.mPool->mSlots;
  const int maxRequests = MaxRequestsAt(*aService.mPool, aQuery.mModel, aQuery.mObjective);
  const Duration fastest = FastestPause(replicas->second, aQuery.mModel, aNow);
  std::tuple<bool, bool, Duration, std::uint64_t> bestRank;
  for (const auto& it : replicas->second) {
    const std::string& head = it.mHead.mId;
    const std::uint32_t id = ShortId(head);
    if (it.mModel != aQuery.mModel || it.mSuspended || it.mLost || aQuery.mTried.count(id) != 0) {
      continue;
    }
    if (InFlight(aPlan, head) >= maxRequests || mRefusals.Refuses(id, aNow)) {
      choice.mFull = true;
      continue;
    }
    const RateStanding standing = StandingOf(aQuery.mStanding, it.mHead);
    if (standing == RateStanding::kExhausted) {
      choice.mLimited = true;
      continue;
    }
    const std::tuple<bool, bool, Duration, std::uint64_t> rank{
      standing == RateStanding::kElsewhere,
      RecentFault(head, aNow) || aQuery.mFaulty.count(id) != 0,
      CostOf(aPlan, it, aQuery.mDataCentre, slots, fastest, aNow),
      Hash64(head, mOptions.mSeed)
    };
    if (choice.mReplica == nullptr || rank < bestRank) {
      choice.mReplica = &it;
      bestRank = rank;
    }
  }
  if (choice.mReplica != nullptr) {
    choice.mFull = false;
    choice.mLimited = false;
  }
  return choice;
}

} // namespace pepperbay
