/// @file
/// @brief Asks a peer for a connection to an engine. Used by one thread only.
#pragma once

#include "pepperbay/reach/proxy_choice.hpp"
#include "pepperbay/reach/tunnel_wire.hpp"
#include "pepperbay/tunnel/sockets.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pepperbay {

/// What came of it.
struct OpenedTunnel
{
  TunnelAnswer mAnswer = TunnelAnswer::kNone;
  /// The peer has heard other engines meanwhile, so its word on this one counts.
  bool mSight = false;
  std::optional<Socket> mSocket; ///< to the engine, where the answer is kOpen
};

/// Kept alive by its own operations; `Cancel()` ends it without a word.
///
/// @code
/// auto opening = std::make_shared<TunnelOpening>(context);
/// opening->Start(peer, engine.mAddress, request, [](OpenedTunnel aTunnel) { ... });
/// @endcode
class TunnelOpening : public std::enable_shared_from_this<TunnelOpening>
{
public:
  using Done = std::function<void(OpenedTunnel)>;

  explicit TunnelOpening(boost::asio::io_context& aContext);

  /// @param aAddress of the engine, `IP:port`
  void Start(const ProxyPeer& aPeer,
             const std::string& aAddress,
             const TunnelRequest& aRequest,
             Done aDone);
  void Cancel();

private:
  using Request = boost::beast::http::request<boost::beast::http::empty_body>;
  using Parser = boost::beast::http::response_parser<boost::beast::http::empty_body>;

  void Send();
  void Finish(OpenedTunnel aTunnel);

  Socket mSocket;
  Request mRequest;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  Done mDone; ///< null once it is over
};

} // namespace pepperbay
