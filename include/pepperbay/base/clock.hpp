/// @file
/// @brief Time for everything that is leased, waited for or aged.
///
/// Leases are timed on CLOCK_BOOTTIME: CLOCK_MONOTONIC stands still while a machine sleeps, so a
/// holder that slept would believe that its lease still runs.
#pragma once

#include <chrono>
#include <functional>

namespace pepperbay {

using Duration = std::chrono::nanoseconds;

/// A clock that never steps back and counts the time a machine sleeps.
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

  /// @return the time of CLOCK_BOOTTIME.
  static time_point now() noexcept; // NOLINT(readability-identifier-naming): the standard's name
};

using TimePoint = BootClock::time_point;

/// A time of day as another program states it. Only for telling two statements of one program
/// apart: clocks of machines differ and jump. The default stands for "not stated".
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// How code asks for the time. Tests pass `ManualClock::Hook()`.
using NowFn = std::function<TimePoint()>;

/// A clock that stands still until a test moves it.
///
/// @code
/// ManualClock clock;
/// Thing thing(clock.Hook());
/// clock.Advance(std::chrono::seconds(3));
/// @endcode
class ManualClock
{
public:
  TimePoint Now() const { return mNow; }
  void Advance(Duration aBy) { mNow += aBy; }
  NowFn Hook()
  {
    return [this] { return mNow; };
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

/// @return a whole number of milliseconds, rounded down.
inline std::chrono::milliseconds
ToMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration);
}

} // namespace pepperbay
