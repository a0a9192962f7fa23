/// @file
/// @brief Paces work that is done in rounds by the duration of the rounds. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <algorithm>

namespace pepperbay {

struct RoundPaceOptions
{
  /// Share of the time that rounds may take; the rest is for the answers that they wait for.
  double mMaxShare = 0.25;
  /// Upper limit of the pause, whatever the last round took.
  Duration mMaxPause = std::chrono::milliseconds(200);
};

/// Spaces rounds whose cost grows with the fleet. Without pauses they would leave no time for the
/// answers that they wait for, and each round would find little new.
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
