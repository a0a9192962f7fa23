/// @file
/// @brief Retry budget that a node may spend when the budget owner grants nothing. Pure: no I/O and
/// no clock of its own.
#pragma once

#include "pepperbay/admission/retry_limits.hpp"
#include "pepperbay/admission/token_bucket.hpp"
#include "pepperbay/places/local_share.hpp"

#include <map>
#include <string>

namespace pepperbay {

/// The local share of the slack: one part in the number of nodes. Where that is less than one
/// second attempt, each node may make one at times offset by a hash of its name, see LocalShare.
///
/// @code
/// if (local.Take("search", nodes, now)) { sendAgain(); }
/// @endcode
class LocalRetries
{
public:
  LocalRetries(const std::string& aNode, RetryLimits aLimits, RetryParts aParts);

  void SetLimits(RetryLimits aLimits) { mLimits = aLimits; }
  /// @param aNodes number of nodes that may be running, this one included
  bool MayTake(const std::string& aService, int aNodes, TimePoint aNow);
  /// @return whether a second attempt was available; it is then spent.
  bool Take(const std::string& aService, int aNodes, TimePoint aNow);
  void Tick(TimePoint aNow) { mSchedule.Tick(aNow); }

private:
  TokenBucket& BucketOf(const std::string& aService, int aNodes, TimePoint aNow);
  /// @return whether the local share is at least one second attempt.
  bool HasWholeAttempt(int aNodes) const { return mLimits.mSlack * mParts.mNodesDepth >= aNodes; }
  /// @param aPart fraction of the slack that is available in one window
  double PerSecond(double aPart) const;

  RetryLimits mLimits;
  RetryParts mParts;
  std::map<std::string, TokenBucket> mBuckets; ///< by service
  LocalShare mSchedule;
};

} // namespace pepperbay
