/// @file
/// @brief Snapshot of suspect requests for the traffic threads.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/quarantine/request_key.hpp"

#include <unordered_map>

namespace pepperbay {

struct SuspectRequest
{
  int mScore = 0;                ///< see CrashTracker::Charge(); at least 1
  TimePoint mQuarantinedUntil{}; ///< end of the quarantine: it is sent to no engine before; the
                                 ///< zero time: not quarantined
};

using SuspectRequests = std::unordered_map<RequestKey, SuspectRequest, RequestKeyHash>;

} // namespace pepperbay
