/// @file
/// @brief What the parts of the planner of groups agree on.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <string>

namespace pepperbay {

/// Epochs of one tenure follow its fencing number, so every order of a later holder goes before
/// every order of an earlier one. A tenure gives fewer orders than this.
constexpr std::uint64_t kEpochsPerFence = 100000;

/// Groups of a single engine that is never opened: a spare that is 200 ms away from a replica.
constexpr const char* kSparePrefix = "spare-";

/// A join of an engine whose last group was of the same model; measured.
constexpr std::chrono::milliseconds kRejoinTime{ 200 };

/// Loads of weights are counted over this time against the weight store's rate a second.
constexpr std::chrono::seconds kLoadWindow{ 1 };

inline bool
IsSpareGroup(const std::string& aName)
{
  return aName.rfind(kSparePrefix, 0) == 0;
}

} // namespace pepperbay
