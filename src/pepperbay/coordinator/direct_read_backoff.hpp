/// @file
/// @brief When a node that doubts what it is told asks the store itself again. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <algorithm>

namespace pepperbay {

/// A pause that doubles from one question to the next.
///
/// What bounds the pause may change while it lasts: a node that the store does not answer asks
/// seldom while others tell it what it needs, and has to ask sooner once they do not.
class DirectReadBackoff
{
public:
  DirectReadBackoff(Duration aMin, Duration aMax)
    : mMin(aMin)
    , mMax(aMax)
  {
  }

  /// @param aMaxPause the longest pause that is allowed now
  bool IsDue(TimePoint aNow, Duration aMaxPause) const
  {
    return aNow >= mLast + std::min(mPause, aMaxPause);
  }
  void Begin(TimePoint aNow)
  {
    mLast = aNow;
    mPause = std::clamp(2 * mPause, mMin, mMax);
  }
  void Reset() { mPause = Duration::zero(); }

private:
  Duration mMin;
  Duration mMax;
  Duration mPause{ 0 };
  TimePoint mLast{};
};

} // namespace pepperbay
