/// @file
/// @brief When work that is done in rounds may be done again, by what a round takes. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <algorithm>

namespace pepperbay {

struct RoundPaceOptions
{
  /// Part of the time that rounds may take; the rest is for what they wait for.
  double mMaxShare = 0.25;
  /// The next round begins after this at the latest, whatever the last one took.
  Duration mMaxPause = std::chrono::milliseconds(200);
};

/// Spaces rounds whose cost grows with the fleet. Done as often as ever they would leave no time
/// for the answers that they wait for, and each round would find little that is new.
///
/// @code
/// if (pace.IsDue(now())) { const TimePoint begun = now(); plan(); pace.OnRound(begun, now()); }
/// @endcode
class RoundPace
{
public:
  explicit RoundPace(RoundPaceOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  bool IsDue(TimePoint aNow) const { return aNow >= mDue; }

  void OnRound(TimePoint aBegun, TimePoint aEnded)
  {
    const std::chrono::duration<double> took = aEnded - aBegun;
    const auto pause = std::chrono::duration_cast<Duration>(took / mOptions.mMaxShare - took);
    mDue = aEnded + std::min(pause, mOptions.mMaxPause);
  }

private:
  RoundPaceOptions mOptions;
  TimePoint mDue{};
};

} // namespace pepperbay
