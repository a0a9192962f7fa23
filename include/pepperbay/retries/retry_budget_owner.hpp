/// @file
/// @brief The part of the retry budget that one node grants for all nodes. Pure: no I/O and no
/// clock of its own.
#pragma once

#include "pepperbay/admission/retry_limits.hpp"
#include "pepperbay/admission/token_bucket.hpp"

#include <map>
#include <string>

namespace pepperbay {

/// The exclusive right of one node to grant second attempts.
struct RetryBudgetLease
{
  TimePoint mSince{}; ///< start of the uninterrupted lease
  TimePoint mUntil{};

  /// The lease of a node without peers.
  static RetryBudgetLease Always()
  {
    return { TimePoint{} - std::chrono::hours(1), TimePoint::max() };
  }
};

/// Keeps a token bucket for each service while the node has the lease. A new budget owner starts
/// with empty buckets, since its predecessor may have spent everything; so a window sees no more
/// than the depth and rate of one bucket, however often the owner changes.
///
/// @code
/// owner.SetLease(plan.mLease);
/// granted = owner.Take("search", now);
/// @endcode
class RetryBudgetOwner
{
public:
  RetryBudgetOwner(RetryLimits aLimits, RetryParts aParts);

  void SetLimits(RetryLimits aLimits) { mLimits = aLimits; }
  void SetLease(RetryBudgetLease aLease);
  bool OwnsBudget(TimePoint aNow) const { return aNow < mLease.mUntil; }
  /// @return whether a second attempt is granted; it is then spent.
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
