/// @file
/// @brief HTTP statuses that the relay interprets or sends, and time-outs of streams.
#pragma once

#include <chrono>

namespace pepperbay {

constexpr int kOk = 200;
constexpr int kRedirection = 300;   ///< this and above: not successful
constexpr int kServerFailure = 500; ///< this and above: server failures
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// A stream that no engine serves is ended after this time without an event. Callers disconnect
/// after two seconds, and can retry sooner this way. A second engine that is silent for this long
/// is abandoned if another engine can be used instead.
constexpr std::chrono::seconds kUnservedTimeout{ 1 };
/// A silent engine may continue even if its replica is reported lost. So its answer is not ended
/// before the earliest time at which callers disconnect.
constexpr std::chrono::seconds kSilentEngineTimeout{ 2 };
/// A stream that found no slot at another replica asks again after this time: one heartbeat
/// interval, in which slots become free.
constexpr std::chrono::milliseconds kSlotRetryDelay{ 200 };

} // namespace pepperbay
