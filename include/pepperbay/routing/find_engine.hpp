/// @file
/// @brief Looks up engines of a plan, and how recent it is.
#pragma once

#include "pepperbay/routing/traffic_plan.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pepperbay {

/// @param aEngine by ShortId()
/// @return an engine of a plain service or the head of a replica; null if it is not listed.
const EngineTarget*
FindEngine(const TrafficPlan& aPlan, std::uint32_t aEngine);

/// @param aBorn the start that is meant; default: any
/// @return what the plan knows of the leaving of an engine, unless of a former start; null:
/// nothing.
const EngineDeparture*
FindDeparture(const TrafficPlan& aPlan, const std::string& aEngine, WallTime aBorn);

/// @return the time since all registrations were known; none: they never were.
std::optional<Duration>
EnginesAge(const TrafficPlan& aPlan, TimePoint aNow);

} // namespace pepperbay
