#include "pepperbay/http/tunnelled.hpp"

#include "pepperbay/reach/tunnel_wire.hpp"

#include <algorithm>

namespace pepperbay {

void
GoThrough(const ProxyPeer& aPeer,
          const std::string& aEngine,
          const std::string& aFrom,
          HttpCall* aCall)
{
  // The peer's word has to come in time as well.
  const Duration within = aCall->mTimeout * 2 / 3;
  HttpProxy proxy;
  proxy.mAddress = aPeer.mAddress;
  for (const auto& it : HeadersOf({ aEngine, aFrom, aPeer.mKey, within })) {
    proxy.mHeaders.push_back({ it.mName, it.mValue });
  }
  aCall->mProxy = std::move(proxy);
  aCall->mOwnConnection = true;
}

Error
ErrorOfTunnelled(const HttpOutcome& aOutcome)
{
  const TunnelAnswer answer = TunnelAnswerOf(aOutcome.mProxyStatus);
  const bool sight =
    std::any_of(aOutcome.mProxyHeaders.begin(),
                aOutcome.mProxyHeaders.end(),
                [](const HttpHeader& aHeader) { return aHeader.mName == kTunnelSight; });
  Error error = aOutcome.mError;
  error.mStep = "engine.ask_through_peer";
  error.mDetail = std::string("peer: ") + ToString(answer) + (sight ? "" : ", sees no other") +
                  "; " + error.mDetail;
  if (!SaysEngineIsAway(answer, sight)) {
    error.mCode = Errc::kCancelled;
  } else if (answer == TunnelAnswer::kRefused) {
    error.mCode = Errc::kRefused;
  } else if (error.mCode == Errc::kCancelled) {
    error.mCode = Errc::kTimeout;
  }
  return error;
}

} // namespace pepperbay
