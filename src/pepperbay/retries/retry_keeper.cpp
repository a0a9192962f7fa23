#include "pepperbay/retries/retry_keeper.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// @return the bucket of all nodes together; nothing where the slack is too small for any.
TokenBucket::Options
OptionsOf(const RetryLimits& aLimits, const RetryParts& aParts)
{
  const double all = aLimits.mSlack * (aParts.mOwnerDepth + aParts.mOwnerRate);
  const double depth = std::max(1.0, aLimits.mSlack * aParts.mOwnerDepth);
  const double window = std::chrono::duration<double>(aLimits.mWindow).count();
  return { std::max(0.0, all - depth) / window, depth };
}

} // namespace

RetryKeeper::RetryKeeper(RetryLimits aLimits, RetryParts aParts)
  : mLimits(aLimits)
  , mParts(aParts)
{
}

void
RetryKeeper::SetRight(KeeperRight aRight)
{
  if (aRight.mSince != mRight.mSince) {
    mBuckets.clear();
  }
  mRight = aRight;
}

TokenBucket*
RetryKeeper::BucketOf(const std::string& aService, TimePoint aNow)
{
  const TokenBucket::Options options = OptionsOf(mLimits, mParts);
  if (!Keeps(aNow) || options.mPerSecond <= 0) {
    return nullptr;
  }
  // Filled from the beginning of the right on: until now nobody has spent anything of it.
  TokenBucket& bucket =
    mBuckets.emplace(aService, TokenBucket(options, mRight.mSince)).first->second;
  if (bucket.Current().mPerSecond != options.mPerSecond) {
    bucket.SetOptions(options, aNow);
  }
  return &bucket;
}

bool
RetryKeeper::MayTake(const std::string& aService, TimePoint aNow)
{
  const TokenBucket* bucket = BucketOf(aService, aNow);
  return bucket != nullptr && bucket->Level(aNow) >= 1.0;
}

bool
RetryKeeper::Take(const std::string& aService, TimePoint aNow)
{
  TokenBucket* bucket = BucketOf(aService, aNow);
  return bucket != nullptr && bucket->Take(aNow);
}

} // namespace pepperbay
