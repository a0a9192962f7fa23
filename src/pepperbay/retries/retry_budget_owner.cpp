#include "pepperbay/retries/retry_budget_owner.hpp"

#include <algorithm>

namespace pepperbay {
namespace {

/// @return options of the bucket shared by all nodes; a rate of zero where the slack is too small.
TokenBucket::Options
OptionsOf(const RetryLimits& aLimits, const RetryParts& aParts)
{
  const double all = aLimits.mSlack * (aParts.mOwnerDepth + aParts.mOwnerRate);
  const double depth = std::max(1.0, aLimits.mSlack * aParts.mOwnerDepth);
  const double window = std::chrono::duration<double>(aLimits.mWindow).count();
  return { std::max(0.0, all - depth) / window, depth };
}

} // namespace

RetryBudgetOwner::RetryBudgetOwner(RetryLimits aLimits, RetryParts aParts)
  : mLimits(aLimits)
  , mParts(aParts)
{
}

void
RetryBudgetOwner::SetLease(RetryBudgetLease aLease)
{
  if (aLease.mSince != mLease.mSince) {
    mBuckets.clear();
  }
  mLease = aLease;
}

TokenBucket*
RetryBudgetOwner::BucketOf(const std::string& aService, TimePoint aNow)
{
  const TokenBucket::Options options = OptionsOf(mLimits, mParts);
  if (!OwnsBudget(aNow) || options.mPerSecond <= 0) {
    return nullptr;
  }
  // The bucket fills from the start of the lease: nothing has been spent from it yet.
  TokenBucket& bucket =
    mBuckets.emplace(aService, TokenBucket(options, mLease.mSince)).first->second;
  if (bucket.Current().mPerSecond != options.mPerSecond) {
    bucket.SetOptions(options, aNow);
  }
  return &bucket;
}

bool
RetryBudgetOwner::MayTake(const std::string& aService, TimePoint aNow)
{
  const TokenBucket* bucket = BucketOf(aService, aNow);
  return bucket != nullptr && bucket->Level(aNow) >= 1.0;
}

bool
RetryBudgetOwner::Take(const std::string& aService, TimePoint aNow)
{
  TokenBucket* bucket = BucketOf(aService, aNow);
  return bucket != nullptr && bucket->Take(aNow);
}

} // namespace pepperbay
