/// @file
/// @brief One sending of one request to one engine, and its answer as it comes.
#pragma once

#include "connection_pool.hpp"
#include "engine_connector.hpp"
#include "pepperbay/base/error.hpp"
#include "pepperbay/relay/dialect.hpp"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pepperbay {

using UpstreamRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// How an attempt ended.
struct AttemptEnd
{
  bool mComplete = false; ///< the whole answer came, in the form of the protocol
  /// It has neither a length nor chunks: nothing but the end of its connection says that it is
  /// whole.
  bool mByClose = false;
  /// False only with proof: no byte of the request left this process.
  bool mMayHaveRun = true;
  bool mClosed = false;   ///< the engine closed or reset the connection
  bool mBadBytes = false; ///< what came is no answer in the protocol
  /// A kept connection was closed without a byte of an answer: the engine may not have read the
  /// request, and take it on a connection of its own.
  bool mStale = false;
  bool mGone = false; ///< no process listens at its address, see EngineConnection
  std::string mWhy;   ///< what went wrong; empty when complete
};

struct AttemptEvents
{
  /// The head of the answer. Call `ReadMore()` for its body.
  std::function<void(int aStatus, const HeaderFields& aFields)> mOnHead;
  /// A piece of the body. Call `ReadMore()` for the next.
  std::function<void(std::string_view aBytes)> mOnBody;
  /// Exactly once, last; not after `Cancel()`.
  std::function<void(const AttemptEnd&)> mOnEnd;
};

/// A request on its way. Not for several threads; kept alive by its own operations.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
  Attempt(EngineConnector* aConnector, ConnectionPool* aPool, AttemptTarget aTarget);

  /// @param aFresh use a connection of its own. On a kept one an engine's close may cross the
  /// request, and then nobody can tell whether it ran.
  void Start(UpstreamRequest aRequest, bool aFresh, AttemptEvents aEvents);
  /// Read on. Not before the last piece was handled.
  void ReadMore();
  /// Give up: the engine sees its connection close.
  void Cancel();

  const AttemptTarget& Target() const { return mTarget; }
  /// @return whether a byte of the request may have left.
  bool MayHaveRun() const { return mSent; }
  /// @return whether the connection to the engine stands.
  bool Connected() const { return mSocket.has_value(); }
  /// @return the peer that carries the connection; empty while there is none.
  const std::string& Peer() const { return mPeer; }
  /// How long the engine said that it keeps the connection; set it before the end.
  void SetKeepAlive(std::optional<Duration> aKeepAlive) { mKeepAlive = aKeepAlive; }
  /// Keep the connection only while fewer than this wait unused for the engine.
  void SetMostIdle(std::size_t aMost) { mMostIdle = aMost; }

private:
  static constexpr std::size_t kMostBuffered = std::size_t{ 256 } << 10U; // bytes

  void Connect();
  void Send();
  void ReadHead();
  void OnHead();
  void OnPiece(boost::system::error_code aError);
  void Finish(bool aComplete, const std::string& aWhy);
  void Fail(const char* aStep, const boost::system::error_code& aError);
  void KeepConnection();
  void CloseConnection();

  EngineConnector* mConnector;
  ConnectionPool* mPool;
  AttemptTarget mTarget;
  AttemptEvents mEvents;
  std::uint64_t mConnecting = 0; ///< while it is
  std::optional<EngineSocket> mSocket;
  std::string mPeer;
  UpstreamRequest mRequest;
  std::optional<boost::beast::http::request_serializer<boost::beast::http::string_body>>
    mSerializer;
  /// Bounded: the parser keeps a line until its end, and a line of a chunk has no other bound.
  boost::beast::flat_buffer mBuffer{ kMostBuffered };
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> mParser;
  std::array<char, 8192> mPiece{};
  std::optional<Duration> mKeepAlive;
  std::size_t mMostIdle = 1;
  int mInterim = 0; ///< answers that have come before the final one
  bool mSent = false;
  bool mAllWritten = false;
  bool mKept = false; ///< the connection had waited unused
  bool mClosed = false;
  bool mBadBytes = false;
  bool mStale = false;
  bool mGone = false;
  bool mEnded = false;
};

} // namespace pepperbay
