/// @file
/// @brief What nodes say to each other when one asks another for a connection to an engine. Pure.
///
/// An HTTP `CONNECT` to the engine's address, with headers that name the engine, let the asker in
/// and bound the wait. Any status but 200 proves that no byte of what was to follow has reached the
/// engine.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"
#include <cstdint>

#include <functional>
#include <string>

#include <vector>

namespace pepperbay {

/// Header names.
inline constexpr const char* kTunnelKey = "Proxy-Authorization";
inline constexpr const char* kTunnelEngine = "Tunnel-Engine"; ///< id of the engine that is meant
inline constexpr const char* kTunnelFrom = "Tunnel-From";     ///< name of the asking node
inline constexpr const char* kTunnelWithin = "Tunnel-Within-Ms";
/// In an answer: the peer has reached another engine since it was asked for this one.
inline constexpr const char* kTunnelSight = "Tunnel-Sight";

/// Bytes of the head of a request or an answer; more is neither.
inline constexpr std::uint32_t kMostTunnelHeadBytes = 4096;

struct TunnelRequest
{
  std::string mEngine; ///< id
  std::string mFrom;   ///< the asking node
  std::string mKey;
  Duration mWithin{ 0 }; ///< the connection must stand by then
};

struct TunnelHeader
{
  std::string mName;
  std::string mValue;
};

/// @return the headers that say this.
std::vector<TunnelHeader>
HeadersOf(const TunnelRequest& aRequest);

/// @param aFind the value of a header; empty when it is not there
/// @return Errc::kInvalid for a name that is missing or too long, or a time that is none.
Result<TunnelRequest>
ReadTunnelRequest(const std::function<std::string(const char* aName)>& aFind);

/// What a peer says of an engine.
enum class TunnelAnswer
{
  kOpen,    ///< the connection stands
  kRefused, ///< no process listens at the engine's address
  kSilent,  ///< the engine does not answer
  kNotNow,  ///< the peer carries nothing more now, or reaches no engine itself
  kUnknown, ///< no such engine is registered, as far as the peer knows
  kNone,    ///< no answer of the peer, or none that can be understood
};

const char*
ToString(TunnelAnswer aAnswer);

/// @return the HTTP status that says this; 0 for kNone.
int
StatusOf(TunnelAnswer aAnswer);

TunnelAnswer
TunnelAnswerOf(int aStatus);

/// @param aSight the peer has reached another engine since
/// @return whether the answer says that the engine is away. An open connection does not: its host
/// is there, and paths that lose packets look the same.
bool
SaysEngineIsAway(TunnelAnswer aAnswer, bool aSight);

} // namespace pepperbay
