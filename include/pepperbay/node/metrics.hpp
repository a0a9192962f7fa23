/// @file
/// @brief Counters and gauges in the text form that Prometheus reads.
#pragma once

#include "pepperbay/control/controller.hpp"
#include "pepperbay/gateway/gateway.hpp"
#include "pepperbay/wire/peer_link.hpp"

#include <string>

namespace pepperbay {

/// @return the metrics page.
std::string
RenderMetrics(const ControllerCounters& aControl,
              const PeerLinkCounters& aLink,
              const GatewayCounters& aGateway,
              bool aHoldsLease,
              std::uint64_t aApplied,
              const HttpClientCounters& aControlHttp,
              double aControlCpuSeconds);

} // namespace pepperbay
