/// @file
/// @brief Statuses that the relay tells apart or answers with itself, and times of its streams.
#pragma once

#include <chrono>

namespace pepperbay {

constexpr int kOk = 200;
constexpr int kServerFailure = 500; ///< and above: the server's own failures
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// A stream that cannot go on is ended after this without an event: callers leave after two
/// seconds, and can come back sooner.
constexpr std::chrono::seconds kHopelessAfter{ 1 };
/// A stream that found no place elsewhere asks again after this: a heartbeat, in which places come
/// free.
constexpr std::chrono::milliseconds kMoveAgainAfter{ 200 };

} // namespace pepperbay
