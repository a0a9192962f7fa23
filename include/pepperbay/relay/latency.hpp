/// @file
/// @brief Latency histogram with fixed buckets.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <array>
#include <cstdint>

namespace pepperbay {

/// Counts durations by upper bound. The bounds are dense between 100 and 500 ms, where the latency
/// objectives lie, and reach up to the longest deadline.
struct LatencyHistogram
{
  static constexpr std::array<std::chrono::milliseconds, 12> kBounds = {
    std::chrono::milliseconds(10),   std::chrono::milliseconds(25),
    std::chrono::milliseconds(50),   std::chrono::milliseconds(100),
    std::chrono::milliseconds(150),  std::chrono::milliseconds(250),
    std::chrono::milliseconds(400),  std::chrono::milliseconds(600),
    std::chrono::milliseconds(1000), std::chrono::milliseconds(2000),
    std::chrono::milliseconds(4000), std::chrono::milliseconds(8000)
  };

  void Observe(Duration aTook)
  {
    std::size_t i = 0;
    while (i < kBounds.size() && aTook > kBounds[i]) {
      ++i;
    }
    ++mCounts[i];
    mSum += aTook;
  }

  std::array<std::uint64_t, kBounds.size() + 1> mCounts{}; ///< the last one: above all bounds
  Duration mSum{ 0 };
};

} // namespace pepperbay
