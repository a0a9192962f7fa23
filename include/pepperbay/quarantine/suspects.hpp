/// @file
/// @brief What traffic threads know of requests under which engines have ended.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/quarantine/request_key.hpp"

#include <unordered_map>

namespace pepperbay {

struct SuspectRequest
{
  int mScore = 0;                ///< see CrashBook::Charge(); at least 1
  TimePoint mQuarantinedUntil{}; ///< it goes to no engine before; the zero time: it may run
};

using SuspectRequests = std::unordered_map<RequestKey, SuspectRequest, RequestKeyHash>;

} // namespace pepperbay
