/// @file
/// @brief Statuses that the relay tells apart or answers with itself, and times of its streams.
#pragma once

#include <chrono>

namespace pepperbay {

constexpr int kOk = 200;
constexpr int kRedirection = 300;   ///< and above: no success
constexpr int kServerFailure = 500; ///< and above: the server's own failures
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// A stream that stands at no engine is ended after this without an event: callers leave after two
/// seconds, and can come back sooner. A second engine that is silent for so long is let go if
/// another may be asked in its place.
constexpr std::chrono::seconds kHopelessAfter{ 1 };
/// An engine that is silent may go on, whatever is said of its replica, and its answer is not ended
/// sooner than callers leave at the earliest.
constexpr std::chrono::seconds kGivenUpAfter{ 2 };
/// A stream that found no place elsewhere asks again after this: a heartbeat, in which places come
/// free.
constexpr std::chrono::milliseconds kMoveAgainAfter{ 200 };

} // namespace pepperbay
