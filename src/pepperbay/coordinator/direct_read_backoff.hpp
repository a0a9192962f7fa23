/// @file
/// @brief When a node with outdated records reads the store directly again. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <algorithm>

namespace pepperbay {

/// A pause that doubles from one read to the next.
///
/// The upper limit may change during a pause: a node that the store does not answer reads seldom
/// while others forward what it needs, and must read sooner once they do not.
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
