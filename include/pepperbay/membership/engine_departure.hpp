/// @file
/// @brief Engines that this node knows to leave or to have left.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <string>
#include <unordered_map>

namespace pepperbay {

/// One start of an engine that takes no new work.
struct EngineDeparture
{
  TimePoint mSince{}; ///< when this node learned of it
  WallTime mBorn{};   ///< of the start that leaves; default where the engine states none
};

/// By engine id.
using EngineDepartures = std::unordered_map<std::string, EngineDeparture>;

} // namespace pepperbay
