/// @file
/// @brief HTTP calls to engines that go through a peer.
#pragma once

#include "pepperbay/http/client.hpp"
#include "pepperbay/reach/proxy_choice.hpp"

#include <string>

namespace pepperbay {

/// Have a call to an engine go through a peer, on a connection of its own: one that is kept would
/// not tell whether the peer reaches the engine now.
/// @param aFrom name of this node
void
GoThrough(const ProxyPeer& aPeer,
          const std::string& aEngine,
          const std::string& aFrom,
          HttpCall* aCall);

/// What the failure of such a call says of the engine.
/// @return Errc::kCancelled where it says nothing: the peer was not heard, carries nothing now,
/// reaches no other engine either, or has a connection to the engine, whose host is there then;
/// else the engine has no answer
Error
ErrorOfTunnelled(const HttpOutcome& aOutcome);

} // namespace pepperbay
