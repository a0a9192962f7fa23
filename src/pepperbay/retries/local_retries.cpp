#include "pepperbay/retries/local_retries.hpp"

#include "pepperbay/base/hash.hpp"

namespace pepperbay {

LocalRetries::LocalRetries(const std::string& aNode, RetryLimits aLimits, RetryParts aParts)
  : mLimits(aLimits)
  , mParts(aParts)
  , mSchedule({ aNode, 1.0 })
{
}

double
LocalRetries::PerSecond(double aPart) const
{
  return mLimits.mSlack * aPart / std::chrono::duration<double>(mLimits.mWindow).count();
}

TokenBucket&
LocalRetries::BucketOf(const std::string& aService, int aNodes, TimePoint aNow)
{
  const TokenBucket::Options options{ PerSecond(mParts.mNodesRate) / aNodes,
                                      mLimits.mSlack * mParts.mNodesDepth / aNodes };
  TokenBucket& bucket = mBuckets.emplace(aService, TokenBucket(options, aNow)).first->second;
  if (bucket.Current().mPerSecond != options.mPerSecond) {
    bucket.SetOptions(options, aNow);
  }
  return bucket;
}

bool
LocalRetries::MayTake(const std::string& aService, int aNodes, TimePoint aNow)
{
  if (HasWholeAttempt(aNodes)) {
    return BucketOf(aService, aNodes, aNow).Level(aNow) >= 1.0;
  }
  return mLimits.mSlack * (mParts.mNodesDepth + mParts.mNodesRate) >= mParts.mMinRareRetries &&
         mSchedule.MayUse(ShortId(aService), PerSecond(mParts.mRareRate), aNodes, aNow);
}

bool
LocalRetries::Take(const std::string& aService, int aNodes, TimePoint aNow)
{
  if (!MayTake(aService, aNodes, aNow)) {
    return false;
  }
  if (HasWholeAttempt(aNodes)) {
    return BucketOf(aService, aNodes, aNow).Take(aNow);
  }
  mSchedule.Use(ShortId(aService), aNow);
  return true;
}

} // namespace pepperbay
