/// @file
/// @brief Second attempts that a node may make when the keeper gives none. Pure.
#pragma once

#include "pepperbay/admission/retry_limits.hpp"
#include "pepperbay/admission/token_bucket.hpp"
#include "pepperbay/places/own_part.hpp"

#include <map>
#include <string>

namespace pepperbay {

/// A node's own part of the slack, one by the number of nodes. Where that is less than one second
/// attempt, nodes have theirs at times that lie apart by a hash, see OwnPart.
///
/// @code
/// if (own.Take("search", nodes, now)) { sendAgain(); }
/// @endcode
class OwnRetries
{
public:
  OwnRetries(const std::string& aNode, RetryLimits aLimits, RetryParts aParts);

  void SetLimits(RetryLimits aLimits) { mLimits = aLimits; }
  /// @param aNodes that may be at work, this one included
  bool MayTake(const std::string& aService, int aNodes, TimePoint aNow);
  /// @return whether there was one to take
  bool Take(const std::string& aService, int aNodes, TimePoint aNow);
  void Tick(TimePoint aNow) { mRare.Tick(aNow); }

private:
  TokenBucket& BucketOf(const std::string& aService, int aNodes, TimePoint aNow);
  /// @return whether the part is at least one.
  bool IsWhole(int aNodes) const { return mLimits.mSlack * mParts.mNodesDepth >= aNodes; }
  /// @param aPart of the slack, in a window
  double PerSecond(double aPart) const;

  RetryLimits mLimits;
  RetryParts mParts;
  std::map<std::string, TokenBucket> mBuckets; ///< by service
  OwnPart mRare;
};

} // namespace pepperbay
