/// @file
/// @brief The metrics page of a node before a pool.
#pragma once

#include "pepperbay/coordinator/coordinator.hpp"
#include "pepperbay/relay/relay.hpp"

#include <string>

namespace pepperbay {

/// What the page shows, copied from the threads that own it.
struct EdgeFigures
{
  RelayCounters mRelay;
  SlotCounters mPlaces;
  RetryCounters mRetries;
  CoordinatorCounters mCoordinator;
  Duration mConfigurationAge{ 0 }; ///< of what requests go by
  Duration mEngineHeardAge{ 0 };   ///< since the last byte of any engine
  LatencyHistogram mControlLag;    ///< by which rounds of the control thread begin late
  bool mHoldsLease = false;
  std::uint64_t mLinesLeftOut = 0;
};

std::string
RenderEdgeMetrics(const EdgeFigures& aFigures);

} // namespace pepperbay
