/// @file
/// @brief Looks up engines of a plan by the short form of their ids.
#pragma once

#include "pepperbay/routing/traffic_plan.hpp"

#include <cstdint>

namespace pepperbay {

/// @param aEngine by ShortId()
/// @return an engine of a plain service or the head of a replica; null if it is not listed.
const EngineTarget*
FindEngine(const TrafficPlan& aPlan, std::uint32_t aEngine);

} // namespace pepperbay
