#include "pepperbay/routing/router.hpp"

#include "pepperbay/base/hash.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

constexpr int kTries = 8;
constexpr int kPointsPerReplica = 8;
/// Maximum number of targets examined in one decision, whatever the size of the subset.
constexpr std::size_t kMaxConsidered = 64;
/// Probability that the first and second owner of a prefix on the ring have it cached.
constexpr double kOwnerCached[] = { 0.9, 0.5 };

constexpr double kReportSmoothing = 0.2;

/// If each node spreads its requests evenly over the replicas, the sum is even too. So this node's
/// own load, scaled up, is the better estimate of the current load, and the others' mean load only
/// corrects it.
double
LoadPerSlot(const ReplicaTarget& aTarget, const RouteOptions& aOptions)
{
  const double own = aTarget.mLoad->InFlight();
  const double all = aTarget.mOthers + own;
  const double load =
    aOptions.mOthersWeight * all + (1.0 - aOptions.mOthersWeight) * own * aOptions.mNodes;
  return load / std::max(1, aTarget.mSlots);
}

/// Scores candidates and keeps the best.
class Choice
{
public:
  Choice(const RouteQuery& aQuery, const RouteOptions& aOptions, TimePoint aNow)
    : mQuery(aQuery)
    , mOptions(aOptions)
    , mNow(aNow)
  {
  }

  void Consider(const ReplicaTarget& aTarget, double aCached)
  {
    const bool usable = !aTarget.mLoad->Closed() && mQuery.mAvoid.count(aTarget.mReplica) == 0;
    if (!usable || &aTarget == mBest) {
      return;
    }
    // A straggler is used only if there is no other target.
    constexpr double kEjectedPenalty = 1e6;
    const double score =
      Score(aTarget, aCached, mOptions, mNow) + (aTarget.mEjected ? kEjectedPenalty : 0.0);
    if (mBest == nullptr || score < mScore) {
      mBest = &aTarget;
      mScore = score;
    }
  }

  const ReplicaTarget* Best() const { return mBest; }

private:
  const RouteQuery& mQuery;
  const RouteOptions& mOptions;
  TimePoint mNow;
  const ReplicaTarget* mBest = nullptr;
  double mScore = 0;
};

/// The two replicas that own a prefix on the ring.
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

/// Some consecutive targets from a random index, so that equal ones are chosen equally often.
void
ConsiderRange(const Pool& aPool,
              std::size_t aCount,
              std::size_t aMax,
              std::uint64_t aRandom,
              Choice* aChoice)
{
  const std::size_t start = aRandom % aCount;
  for (std::size_t i = 0; i < std::min(aCount, aMax); ++i) {
    aChoice->Consider(aPool.mTargets[(start + i) % aCount], 0.0);
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

void
OthersEstimate::OnReport(int aReported, int aOwn)
{
  const double weight = mAny ? kReportSmoothing : 1.0;
  mAny = true;
  mReported += weight * (aReported - mReported);
  mOwn += weight * (aOwn - mOwn);
}

double
OthersEstimate::Value() const
{
  return std::max(0.0, mReported - mOwn);
}

double
Score(const ReplicaTarget& aTarget, double aCached, const RouteOptions& aOptions, TimePoint aNow)
{
  double load = LoadPerSlot(aTarget, aOptions);
  const Duration age = aNow - aTarget.mWholeSince;
  if (age < aOptions.mSlowStart) {
    const double left = 1.0 - std::chrono::duration<double>(age) / aOptions.mSlowStart;
    load = (load + 1.0 / std::max(1, aTarget.mSlots)) *
           (1.0 + (aOptions.mSlowStartFactor - 1.0) * std::clamp(left, 0.0, 1.0));
  }
  // In a full pool a request sent to the owner of its prefix waits there while another replica has
  // a free slot, and the wait costs more than the prefill that it saves.
  const double ease = std::clamp((1.0 - aOptions.mFullness) / aOptions.mPrefixEase, 0.0, 1.0);
  const double crowded = std::max(0.0, load - aOptions.mComfort) * aOptions.mCrowded;
  return aTarget.mSlowness * (load + crowded + 1.0 - aOptions.mPrefixWorth * ease * aCached);
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
  // A target may be closed between the choice and Enter(); another one is chosen then.
  for (int i = 0; i < kTries; ++i) {
    Choice choice(aQuery, aOptions, aNow);
    ConsiderOwners(pool, aQuery.mPrefix, &choice);
    ConsiderRange(pool, subset, kMaxConsidered, aRandom(), &choice);
    const ReplicaTarget* target = choice.Best();
    const bool full =
      target == nullptr || target->mEjected || LoadPerSlot(*target, aOptions) >= aOptions.mSpillAt;
    if (full && subset < pool.mTargets.size()) {
      ConsiderRange(pool, pool.mTargets.size(), kTries, aRandom(), &choice);
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
EjectStragglers(Pool* aPool, const FirstTokenTimes& aTimes, double aFactor, double aMaxShare)
{
  std::vector<Duration> sorted;
  for (const auto& it : aPool->mTargets) {
    const auto time = aTimes.find(it.mReplica);
    if (time != aTimes.end()) {
      sorted.push_back(time->second);
    }
  }
  if (sorted.size() < 3) {
    return; // too few to identify an outlier
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
  const auto maxEjected =
    static_cast<std::size_t>(aMaxShare * static_cast<double>(aPool->mTargets.size()));
  for (std::size_t i = 0; i < slow.size() && i < maxEjected; ++i) {
    slow[i]->mEjected = true;
  }
}

} // namespace pepperbay
