/// @file
/// @brief Sends a request once to one engine and reads the answer as it arrives.
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
  bool mComplete = false; ///< a complete and valid HTTP answer was received
  /// The answer has neither a length nor chunked encoding: only the end of the connection marks its
  /// end.
  bool mByClose = false;
  /// False only if no byte of the request left this process.
  bool mMayHaveRun = true;
  bool mClosed = false;   ///< the engine closed or reset the connection
  bool mBadBytes = false; ///< the bytes received are not a valid HTTP answer
  /// A pooled connection was closed without a byte of an answer. The engine may not have read the
  /// request, and may accept it on a new connection.
  bool mStale = false;
  bool mNotListening = false; ///< no process listens at the engine's address, see EngineConnection
  std::string mReason;        ///< error; empty when complete
};

struct AttemptEvents
{
  /// Status and headers of the answer. Call `ReadMore()` for the body.
  std::function<void(int aStatus, const HeaderFields& aFields)> mOnHead;
  /// A piece of the body. Call `ReadMore()` for the next.
  std::function<void(std::string_view aBytes)> mOnBody;
  /// Called exactly once, as the last event; not after `Cancel()`.
  std::function<void(const AttemptEnd&)> mOnEnd;
};

/// A request to one engine. Not thread-safe. Its pending operations keep it alive.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
  Attempt(EngineConnector* aConnector, ConnectionPool* aPool, AttemptTarget aTarget);

  /// @param aFresh open a new connection. An engine may close a pooled connection while the request
  /// is in flight, and then it is unknown whether the request ran.
  void Start(UpstreamRequest aRequest, bool aFresh, AttemptEvents aEvents);
  /// Reads the next piece. Precondition: the last piece was handled.
  void ReadMore();
  /// Aborts the attempt and closes the connection, so that the engine can stop its work.
  void Cancel();

  const AttemptTarget& Target() const { return mTarget; }
  /// @return whether a byte of the request may have left this process.
  bool MayHaveRun() const { return mSent; }
  /// @return whether the connection to the engine is established.
  bool Connected() const { return mSocket.has_value(); }
  /// @return the peer that tunnels the connection; empty for a direct one.
  const std::string& Peer() const { return mPeer; }
  /// Sets the keep-alive time that the engine gave. Call it before the answer ends.
  void SetKeepAlive(std::optional<Duration> aKeepAlive) { mKeepAlive = aKeepAlive; }
  /// Sets the limit on idle connections to the engine; at the limit the connection is closed after
  /// the answer.
  void SetMaxIdle(std::size_t aMaxIdle) { mMaxIdle = aMaxIdle; }

private:
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{ 256 } << 10U; // bytes

  void Connect();
  void Send();
  void ReadHead();
  void OnHead();
  void OnPiece(boost::system::error_code aError);
  void Finish(bool aComplete, const std::string& aWhy);
  void Fail(const char* aStep, const boost::system::error_code& aError);
  void ReturnToPool();
  void CloseConnection();

  EngineConnector* mConnector;
  ConnectionPool* mPool;
  AttemptTarget mTarget;
  AttemptEvents mEvents;
  std::uint64_t mConnectId = 0; ///< ID of the pending connect; 0: none
  std::optional<EngineSocket> mSocket;
  std::string mPeer;
  UpstreamRequest mRequest;
  std::optional<boost::beast::http::request_serializer<boost::beast::http::string_body>>
    mSerializer;
  /// Bounded because the parser buffers whole lines, and a chunk's size line has no other limit.
  boost::beast::flat_buffer mBuffer{ kMaxBufferedBytes };
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> mParser;
  std::array<char, 8192> mPiece{};
  std::optional<Duration> mKeepAlive;
  std::size_t mMaxIdle = 1;
  int mInterim = 0; ///< interim (1xx) answers received
  bool mSent = false;
  bool mAllWritten = false;
  bool mPooled = false; ///< the connection came from the pool
  bool mClosed = false;
  bool mBadBytes = false;
  bool mStale = false;
  bool mNotListening = false;
  bool mEnded = false;
};

} // namespace pepperbay
