/// @file
/// @brief A paused clock for code that runs on threads of its own.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <atomic>

namespace pepperbay {

/// A clock that stands still until the test moves it, from any thread.
class SharedClock
{
public:
  void Advance(Duration aBy) { mSince += aBy.count(); }
  NowFn Hook()
  {
    return [this] { return mStart + Duration(mSince.load()); };
  }

private:
  const TimePoint mStart = BootClock::now();
  std::atomic<Duration::rep> mSince{ 0 };
};

} // namespace pepperbay
