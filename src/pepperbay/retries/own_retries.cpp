#include "pepperbay/retries/own_retries.hpp"

#include "pepperbay/base/hash.hpp"

namespace pepperbay {

OwnRetries::OwnRetries(const std::string& aNode, RetryLimits aLimits, RetryParts aParts)
  : mLimits(aLimits)
  , mParts(aParts)
  , mRare({ aNode, 1.0 })
{
}

double
OwnRetries::PerSecond(double aPart) const
{
  return mLimits.mSlack * aPart / std::chrono::duration<double>(mLimits.mWindow).count();
}

TokenBucket&
OwnRetries::BucketOf(const std::string& aService, int aNodes, TimePoint aNow)
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
OwnRetries::MayTake(const std::string& aService, int aNodes, TimePoint aNow)
{
  if (IsWhole(aNodes)) {
    return BucketOf(aService, aNodes, aNow).Level(aNow) >= 1.0;
  }
  return mLimits.mSlack * (mParts.mNodesDepth + mParts.mNodesRate) >= mParts.mMinRareRetries &&
         mRare.MayUse(ShortId(aService), PerSecond(mParts.mRareRate), aNodes, aNow);
}

bool
OwnRetries::Take(const std::string& aService, int aNodes, TimePoint aNow)
{
  if (!MayTake(aService, aNodes, aNow)) {
    return false;
  }
  if (IsWhole(aNodes)) {
    return BucketOf(aService, aNodes, aNow).Take(aNow);
  }
  mRare.Use(ShortId(aService), aNow);
  return true;
}

} // namespace pepperbay
