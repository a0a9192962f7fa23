#include "pepperbay/base/clock.hpp"

#include <ctime>

namespace pepperbay {

BootClock::time_point
BootClock::now() noexcept
{
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return time_point(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}

} // namespace pepperbay
