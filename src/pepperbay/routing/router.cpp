#include "pepperbay/routing/router.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

constexpr int kTries = 8;

/// Pick two different usable targets among the first `aCount` and return the better one.
const ReplicaTarget*
BetterOfTwo(const Pool& aPool,
            std::size_t aCount,
            const RouteQuery& aQuery,
            const RouteOptions& aOptions,
            TimePoint aNow,
            const std::function<std::uint64_t()>& aRandom)
{
  const ReplicaTarget* best = nullptr;
  double bestScore = 0;
  int found = 0;
  for (int i = 0; i < kTries && found < 2; ++i) {
    const ReplicaTarget& it = aPool.mTargets[aRandom() % aCount];
    const bool usable =
      !it.mEjected && !it.mLoad->Closed() && aQuery.mAvoid.count(it.mReplica) == 0 && &it != best;
    if (!usable) {
      continue;
    }
    ++found;
    const double score = Score(it, aQuery, aOptions, aNow);
    if (best == nullptr || score < bestScore) {
      best = &it;
      bestScore = score;
    }
  }
  return best;
}

/// When random tries found nothing: any target that is not closed, best first.
const ReplicaTarget*
AnyUsable(const Pool& aPool, const RouteQuery& aQuery, const RouteOptions& aOptions, TimePoint aNow)
{
  const ReplicaTarget* best = nullptr;
  double bestScore = 0;
  for (const auto& it : aPool.mTargets) {
    if (it.mLoad->Closed() || aQuery.mAvoid.count(it.mReplica) > 0) {
      continue;
    }
    constexpr double kEjectedPenalty = 1e6;
    const double score = Score(it, aQuery, aOptions, aNow) + (it.mEjected ? kEjectedPenalty : 0.0);
    if (best == nullptr || score < bestScore) {
      best = &it;
      bestScore = score;
    }
  }
  return best;
}

double
LoadPerSlot(const ReplicaTarget& aTarget)
{
  const int since = aTarget.mLoad->InFlight() - aTarget.mInFlightAtReport;
  const int load = std::max({ aTarget.mReported + since, aTarget.mLoad->InFlight(), 0 });
  return static_cast<double>(load) / std::max(1, aTarget.mSlots);
}

} // namespace

bool
ReplicaLoad::Enter()
{
  mInFlight.fetch_add(1);
  if (mClosed.load()) {
    mInFlight.fetch_sub(1);
    return false;
  }
  return true;
}

double
Score(const ReplicaTarget& aTarget,
      const RouteQuery& aQuery,
      const RouteOptions& aOptions,
      TimePoint aNow)
{
  double load = LoadPerSlot(aTarget);
  const Duration age = aNow - aTarget.mWholeSince;
  if (age < aOptions.mSlowStart) {
    const double left = 1.0 - std::chrono::duration<double>(age) / aOptions.mSlowStart;
    load = (load + 1.0 / std::max(1, aTarget.mSlots)) *
           (1.0 + (aOptions.mWarmest - 1.0) * std::clamp(left, 0.0, 1.0));
  }
  const double cached = aQuery.mCached ? aQuery.mCached(aTarget.mReplica) : 0.0;
  return aTarget.mSlowness * (load + 1.0 - aOptions.mPrefixWorth * cached);
}

const ReplicaTarget*
ChooseReplica(const RoutingTable& aTable,
              const RouteQuery& aQuery,
              const RouteOptions& aOptions,
              TimePoint aNow,
              const std::function<std::uint64_t()>& aRandom)
{
  const auto it = aTable.mPools.find(aQuery.mProfile);
  if (it == aTable.mPools.end() || it->second.mTargets.empty()) {
    return nullptr;
  }
  const Pool& pool = it->second;
  const std::size_t subset = std::clamp<std::size_t>(pool.mSubset, 1, pool.mTargets.size());
  // A target may close between choice and entry; another choice is then made.
  for (int i = 0; i < kTries; ++i) {
    const ReplicaTarget* target = BetterOfTwo(pool, subset, aQuery, aOptions, aNow, aRandom);
    const bool full = target == nullptr || LoadPerSlot(*target) >= aOptions.mSpillAt;
    if (full && subset < pool.mTargets.size()) {
      const ReplicaTarget* other =
        BetterOfTwo(pool, pool.mTargets.size(), aQuery, aOptions, aNow, aRandom);
      const bool better =
        other != nullptr && (target == nullptr || Score(*other, aQuery, aOptions, aNow) <
                                                    Score(*target, aQuery, aOptions, aNow));
      target = better ? other : target;
    }
    if (target == nullptr) {
      target = AnyUsable(pool, aQuery, aOptions, aNow);
    }
    if (target == nullptr) {
      return nullptr;
    }
    if (target->mLoad->Enter()) {
      return target;
    }
  }
  return nullptr;
}

void
EjectStragglers(Pool* aPool, const FirstTokenTimes& aTimes, double aFactor, double aMostShare)
{
  std::vector<Duration> sorted;
  for (const auto& it : aPool->mTargets) {
    const auto time = aTimes.find(it.mReplica);
    if (time != aTimes.end()) {
      sorted.push_back(time->second);
    }
  }
  if (sorted.size() < 3) {
    return; // too few to tell which one is odd
  }
  std::sort(sorted.begin(), sorted.end());
  const Duration median = std::max(sorted[sorted.size() / 2], Duration(1));
  std::vector<ReplicaTarget*> slow;
  for (auto& it : aPool->mTargets) {
    const auto time = aTimes.find(it.mReplica);
    if (time == aTimes.end()) {
      continue;
    }
    it.mSlowness = std::max(1.0, std::chrono::duration<double>(time->second) / median);
    if (it.mSlowness > aFactor) {
      slow.push_back(&it);
    }
  }
  std::sort(slow.begin(), slow.end(), [](const ReplicaTarget* aLeft, const ReplicaTarget* aRight) {
    return aLeft->mSlowness > aRight->mSlowness;
  });
  const auto most =
    static_cast<std::size_t>(aMostShare * static_cast<double>(aPool->mTargets.size()));
  for (std::size_t i = 0; i < slow.size() && i < most; ++i) {
    slow[i]->mEjected = true;
  }
}

} // namespace pepperbay
