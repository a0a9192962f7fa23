/// @file
/// @brief How an order or a question goes to an engine.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/reach/proxy_choice.hpp"

#include <optional>

namespace pepperbay {

struct EngineCallOptions
{
  Duration mTimeout{ 0 };
  /// The peer that it goes through; none: directly. A question that ends without an answer then has
  /// the error kCancelled where the peer has no word on the engine, or reaches no other either.
  std::optional<ProxyPeer> mVia;
  /// Over a connection that is begun for it: one that was kept may live on in a cut.
  bool mOwnConnection = false;
};

} // namespace pepperbay
