/// @file
/// @brief How an order or a status request is sent to an engine.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/reach/proxy_choice.hpp"

#include <optional>

namespace pepperbay {

struct EngineCallOptions
{
  Duration mTimeout{ 0 };
  /// The peer through which the call is tunnelled; none: directly. A status request that ends
  /// without an answer has the error kCancelled where the peer has no evidence on the engine, or
  /// reaches no other engine either.
  std::optional<ProxyPeer> mVia;
  /// Opens a new connection: a pooled one may survive in a network partition.
  bool mOwnConnection = false;
};

} // namespace pepperbay
