/// @file
/// @brief What a pool is and what is asked of it: engines, models, kinds of request.
#pragma once

#include "pepperbay/routing/route_table.hpp"

#include <string>
#include <vector>

namespace pepperbay::pools {

/// One kind of request.
struct RequestSpec
{
  const char* mModel;
  double mPerSecond;
  double mPrompt; ///< tokens, mean
  double mSpread; ///< of the prompt's logarithm
  double mMost;   ///< tokens of the longest prompt
  double mEvents; ///< mean
  Duration mObjective;
  Duration mLongestPause;
  Duration mDeadline;
};

/// A pool and its work on an ordinary day.
struct Sheet
{
  EnginePool mPool;
  std::size_t mDomains = 0;
  std::size_t mPerDomain = 0;
  std::vector<RequestSpec> mRequests;
};

/// A pool of 66 engines in which both models have as much to do as their shares say.
Sheet
EvenSheet();

/// A pool of 162 engines whose smaller model is asked for ten times as often as the larger one,
/// with half of the engines each.
Sheet
SkewedSheet();

/// For some time one model is asked for more, or less.
struct Turn
{
  std::string mModel;
  Duration mFrom{ 0 }; ///< from the first request on
  Duration mTo{ 0 };
  double mFactor = 1;
};

} // namespace pepperbay::pools
