/// @file
/// @brief Statuses that the relay tells apart or answers with itself.
#pragma once

namespace pepperbay {

constexpr int kOk = 200;
constexpr int kServerFailure = 500; ///< and above: the server's own failures
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

} // namespace pepperbay
