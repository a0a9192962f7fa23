#include "pepperbay/tunnel/tunnel_opening.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace pepperbay {

namespace http = boost::beast::http;

namespace {
constexpr unsigned kHttp11 = 11;
}

TunnelOpening::TunnelOpening(boost::asio::io_context& aContext)
  : mSocket(aContext)
{
}

void
TunnelOpening::Start(const ProxyPeer& aPeer,
                     const std::string& aAddress,
                     const TunnelRequest& aRequest,
                     Done aDone)
{
  mDone = std::move(aDone);
  mRequest.method(http::verb::connect);
  mRequest.target(aAddress);
  mRequest.version(kHttp11);
  mRequest.set(http::field::host, aAddress);
  for (const auto& it : HeadersOf(aRequest)) {
    mRequest.set(it.mName, it.mValue);
  }
  Dial(mSocket, aPeer.mAddress, [self = shared_from_this()](boost::system::error_code aError) {
    if (!self->mDone) {
      return;
    }
    if (aError) {
      self->Finish({});
      return;
    }
    Prepare(self->mSocket);
    self->Send();
  });
}

void
TunnelOpening::Send()
{
  http::async_write(mSocket,
                    mRequest,
                    // A failed write shows in the read.
                    [self = shared_from_this()](boost::system::error_code, std::size_t) {});
  mParser.emplace();
  mParser->header_limit(kMostTunnelHeadBytes);
  mParser->skip(true); // what follows a 200 is the engine's
  http::async_read_header(
    mSocket,
    mBuffer,
    *mParser,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (!self->mDone) {
        return;
      }
      OpenedTunnel tunnel;
      if (!aError) {
        tunnel.mAnswer = TunnelAnswerOf(static_cast<int>(self->mParser->get().result_int()));
        tunnel.mSight = self->mParser->get().count(kTunnelSight) != 0;
      }
      if (tunnel.mAnswer == TunnelAnswer::kOpen && self->mBuffer.size() > 0) {
        tunnel.mAnswer = TunnelAnswer::kNone; // an engine says nothing before it is asked
      }
      if (tunnel.mAnswer == TunnelAnswer::kOpen) {
        tunnel.mSocket = std::move(self->mSocket);
      }
      self->Finish(std::move(tunnel));
    });
}

void
TunnelOpening::Finish(OpenedTunnel aTunnel)
{
  if (!aTunnel.mSocket) {
    CloseNow(mSocket);
  }
  std::exchange(mDone, nullptr)(std::move(aTunnel));
}

void
TunnelOpening::Cancel()
{
  mDone = nullptr;
  CloseNow(mSocket);
}

} // namespace pepperbay
