/// @file
/// @brief Constants shared by the sources of the group planner.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <string>

namespace pepperbay {

/// The epochs of one tenure start at a multiple of its fencing number, so orders of a later holder
/// override those of earlier ones. A tenure gives fewer orders than this.
constexpr std::uint64_t kEpochsPerFence = 100000;

/// Name prefix of the one-engine groups of spares, which are never opened. Such a spare joins a
/// replica in 200 ms.
constexpr const char* kSparePrefix = "spare-";

/// Measured duration of a join of an engine whose last group was of the same model.
constexpr std::chrono::milliseconds kRejoinTime{ 200 };

/// Window in which weight loads are counted against the weight store's rate limit per second.
constexpr std::chrono::seconds kLoadWindow{ 1 };

inline bool
IsSpareGroup(const std::string& aName)
{
  return aName.rfind(kSparePrefix, 0) == 0;
}

} // namespace pepperbay
