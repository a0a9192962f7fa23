/// @file
/// @brief Retries that a node may make as a share of its own recent requests. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <deque>

namespace pepperbay {

/// Grants retries up to a share of the requests of the last window. Nothing is carried over beyond
/// the window, and a node starts with none, so the bound on the sum over all nodes holds however
/// often nodes restart.
///
/// @code
/// earned.OnRequest(now);
/// if (earned.Take(now)) { sendAgain(); }
/// @endcode
class EarnedRetries
{
public:
  struct Options
  {
    double mShare = 0.1;
    Duration mWindow = std::chrono::seconds(10);
  };

  explicit EarnedRetries(Options aOptions);

  void SetOptions(Options aOptions) { mOptions = aOptions; }
  void OnRequest(TimePoint aNow);
  bool MayTake(TimePoint aNow);
  /// Takes one retry. @return false if none is available
  bool Take(TimePoint aNow);

private:
  /// Counts of one step of the sliding window.
  struct Step
  {
    TimePoint mBegin{};
    int mRequests = 0;
    int mTaken = 0;
  };

  Step& Current(TimePoint aNow);
  Duration StepLength() const;

  Options mOptions;
  std::deque<Step> mSteps; ///< oldest first
};

} // namespace pepperbay
