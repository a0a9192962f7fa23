/// @file
/// @brief Limit of retries over all nodes together, and how it is divided. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

namespace pepperbay {

/// Limit for one service over all nodes together: in each window, `mShare` of its requests plus
/// `mSlack` retries.
struct RetryLimits
{
  double mShare = 0.2;
  double mSlack = 100;
  Duration mWindow = std::chrono::seconds(10);
};

/// Fractions of the limits that are granted independently of each other. Their sum stays below 1,
/// so no part needs to know how much of another was spent.
struct RetryParts
{
  /// Of the share: spent by each node according to its own requests. A request counts in two
  /// windows.
  double mEarned = 0.5;
  /// Of the slack, for the retry budget owner: bucket depth, and refill per window.
  double mOwnerDepth = 0.35;
  double mOwnerRate = 0.4;
  /// Of the slack, for all nodes together without the retry budget owner: bucket depth, and refill
  /// per window.
  double mNodesDepth = 0.1;
  double mNodesRate = 0.1;
  /// Of the slack, instead of these two if the depth is below one retry per node: each node then
  /// spends at times of its own. Such times coincide by chance, so the rate is lower, and it is
  /// zero if depth and rate together are under `mMinRareRetries` retries.
  double mRareRate = 0.05;
  double mMinRareRetries = 5;
};

} // namespace pepperbay
