#include "pepperbay/routing/router.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

constexpr int kTries = 8;
constexpr int kPointsPerReplica = 8;
/// How likely the owners of a prefix on the ring hold it, first and second.
constexpr double kOwnerCached[] = { 0.9, 0.5 };

double
LoadPerSlot(const ReplicaTarget& aTarget)
{
  const int since = aTarget.mLoad->InFlight() - aTarget.mInFlightAtReport;
  const int load = std::max({ aTarget.mReported + since, aTarget.mLoad->InFlight(), 0 });
  return static_cast<double>(load) / std::max(1, aTarget.mSlots);
}

/// Gathers candidates and keeps the best.
class Choice
{
public:
  Choice(const RouteQuery& aQuery, const RouteOptions& aOptions, TimePoint aNow)
    : mQuery(aQuery)
    , mOptions(aOptions)
    , mNow(aNow)
  {
  }

  /// @return whether the target was usable and new.
  bool Consider(const ReplicaTarget& aTarget, double aCached)
  {
    const bool usable = !aTarget.mLoad->Closed() && mQuery.mAvoid.count(aTarget.mReplica) == 0;
    if (!usable || &aTarget == mBest) {
      return false;
    }
    // A straggler is used only when there is nothing else.
    constexpr double kEjectedPenalty = 1e6;
    const double score =
      Score(aTarget, aCached, mOptions, mNow) + (aTarget.mEjected ? kEjectedPenalty : 0.0);
    if (mBest == nullptr || score < mScore) {
      mBest = &aTarget;
      mScore = score;
    }
    return !aTarget.mEjected;
  }

  const ReplicaTarget* Best() const { return mBest; }

private:
  const RouteQuery& mQuery;
  const RouteOptions& mOptions;
  TimePoint mNow;
  const ReplicaTarget* mBest = nullptr;
  double mScore = 0;
};

/// The two replicas that a prefix belongs to.
void
ConsiderOwners(const Pool& aPool, std::uint64_t aPrefix, Choice* aChoice)
{
  if (aPrefix == 0 || aPool.mRing.empty()) {
    return;
  }
  auto it =
    std::lower_bound(aPool.mRing.begin(),
                     aPool.mRing.end(),
                     aPrefix,
                     [](const RingPoint& aPoint, std::uint64_t aAt) { return aPoint.mAt < aAt; });
  std::size_t last = aPool.mTargets.size();
  int found = 0;
  for (int i = 0; i < kTries && found < 2; ++i, ++it) {
    if (it == aPool.mRing.end()) {
      it = aPool.mRing.begin();
    }
    if (it->mTarget != last) {
      last = it->mTarget;
      aChoice->Consider(aPool.mTargets[last], kOwnerCached[found]);
      ++found;
    }
  }
}

/// Two usable targets among the first `aCount`.
void
ConsiderRandom(const Pool& aPool,
               std::size_t aCount,
               const std::function<std::uint64_t()>& aRandom,
               Choice* aChoice)
{
  int found = 0;
  for (int i = 0; i < kTries && found < 2; ++i) {
    found += aChoice->Consider(aPool.mTargets[aRandom() % aCount], 0.0) ? 1 : 0;
  }
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
Score(const ReplicaTarget& aTarget, double aCached, const RouteOptions& aOptions, TimePoint aNow)
{
  double load = LoadPerSlot(aTarget);
  const Duration age = aNow - aTarget.mWholeSince;
  if (age < aOptions.mSlowStart) {
    const double left = 1.0 - std::chrono::duration<double>(age) / aOptions.mSlowStart;
    load = (load + 1.0 / std::max(1, aTarget.mSlots)) *
           (1.0 + (aOptions.mWarmest - 1.0) * std::clamp(left, 0.0, 1.0));
  }
  // Past its slots a replica makes requests wait for whole answers, not for a prefill.
  constexpr double kQueued = 8.0;
  const double queued = std::max(0.0, load - 1.0) * kQueued;
  return aTarget.mSlowness * (load + queued + 1.0 - aOptions.mPrefixWorth * aCached);
}

void
BuildRing(Pool* aPool)
{
  aPool->mRing.clear();
  for (std::size_t i = 0; i < aPool->mTargets.size(); ++i) {
    for (int point = 0; point < kPointsPerReplica; ++point) {
      const std::uint64_t at =
        Hash64(aPool->mTargets[i].mReplica, static_cast<std::uint64_t>(point));
      aPool->mRing.push_back({ at, i });
    }
  }
  std::sort(aPool->mRing.begin(),
            aPool->mRing.end(),
            [](const RingPoint& aLeft, const RingPoint& aRight) { return aLeft.mAt < aRight.mAt; });
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
    Choice choice(aQuery, aOptions, aNow);
    ConsiderOwners(pool, aQuery.mPrefix, &choice);
    ConsiderRandom(pool, subset, aRandom, &choice);
    const ReplicaTarget* target = choice.Best();
    const bool full =
      target == nullptr || target->mEjected || LoadPerSlot(*target) >= aOptions.mSpillAt;
    if (full && subset < pool.mTargets.size()) {
      ConsiderRandom(pool, pool.mTargets.size(), aRandom, &choice);
    }
    if (choice.Best() == nullptr || choice.Best()->mEjected) {
      for (const auto& other : pool.mTargets) {
        choice.Consider(other, 0.0);
      }
    }
    target = choice.Best();
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
