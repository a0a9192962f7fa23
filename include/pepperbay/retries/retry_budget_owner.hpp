/// @file
/// @brief The second attempts that one node gives out for all nodes. Pure.
#pragma once

#include "pepperbay/admission/retry_limits.hpp"
#include "pepperbay/admission/token_bucket.hpp"

#include <map>
#include <string>

namespace pepperbay {

/// The right to give out, alone among all nodes.
struct RetryBudgetLease
{
  TimePoint mSince{}; ///< without a break
  TimePoint mUntil{};

  /// Of a node that has no others.
  static RetryBudgetLease Always()
  {
    return { TimePoint{} - std::chrono::hours(1), TimePoint::max() };
  }
};

/// Keeps a bucket for each service while it has the right to. A keeper that takes over has nothing
/// saved up, since the one before may have spent all; so a window sees no more than one bucket's
/// depth and rate, however often keepers change.
///
/// @code
/// keeper.SetRight(plan.mKeeperRight);
/// granted = keeper.Take("search", now);
/// @endcode
class RetryBudgetOwner
{
public:
  RetryBudgetOwner(RetryLimits aLimits, RetryParts aParts);

  void SetLimits(RetryLimits aLimits) { mLimits = aLimits; }
  void SetLease(RetryBudgetLease aLease);
  bool OwnsBudget(TimePoint aNow) const { return aNow < mLease.mUntil; }
  /// @return whether one more second attempt may be made; it is then spent.
  bool Take(const std::string& aService, TimePoint aNow);
  bool MayTake(const std::string& aService, TimePoint aNow);

private:
  TokenBucket* BucketOf(const std::string& aService, TimePoint aNow);

  RetryLimits mLimits;
  RetryParts mParts;
  RetryBudgetLease mLease;
  std::map<std::string, TokenBucket> mBuckets; ///< by service
};

} // namespace pepperbay
