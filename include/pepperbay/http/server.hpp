/// @file
/// @brief An HTTP server whose answers may come later and from any thread.
///
/// A few threads serve all connections; a request that waits costs memory, not a thread.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"
#include "pepperbay/http/message.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace pepperbay {

/// The way back to one caller. Every method may be called from any thread.
///
/// Give exactly one answer: `Send()`, or `StartStream()` with `Write()`s and one of `End()` and
/// `Abort()`. An exchange whose responder is dropped without an answer gets a 500.
class Responder
{
public:
  virtual ~Responder() = default;

  /// Send a whole answer.
  virtual void Send(HttpResponse aResponse) = 0;

  /// Begin a streamed answer; the body of `aHead` is ignored.
  virtual void StartStream(HttpResponse aHead) = 0;

  /// Add bytes to a streamed answer.
  /// @return false when the caller has gone or reads too slowly for the server's limit; the stream
  /// is then cut and there is no use in writing more.
  virtual bool Write(std::string_view aBytes) = 0;

  /// The streamed answer is complete.
  virtual void End() = 0;

  /// Send what is written and then cut the connection, so that the caller cannot take the answer
  /// for a complete one.
  virtual void Abort() = 0;

  /// Called once, on a server thread, when the exchange is over for whatever reason; at once when
  /// it already is.
  /// The flag tells whether the whole answer went out.
  virtual void OnClosed(std::function<void(bool aComplete)> aHook) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<Responder>)>;

struct HttpServerOptions
{
  std::string mAddress = "127.0.0.1"; ///< an IP number
  int mPort = 0;
  int mThreads = 1;
  std::size_t mMaxBody = 1U << 20U;         ///< bytes; a larger body gets 413
  std::size_t mMaxBuffered = 1U << 20U;     ///< bytes waiting for a slow reader before the cut
  unsigned mMaxConnections = 4096;          ///< more are not accepted
  std::chrono::seconds mIdleTimeout{ 120 }; ///< a connection without traffic is closed after it
};

/// Serves until it is destroyed; destruction aborts what is still open.
///
/// @code
/// auto server = HttpServer::Start({ "127.0.0.1", 8080 }, [](HttpRequest, auto aResponder) {
///   aResponder->Send({ 200, {}, "{}" });
/// });
/// @endcode
class HttpServer
{
public:
  static Result<std::unique_ptr<HttpServer>> Start(const HttpServerOptions& aOptions,
                                                   HttpHandler aHandler);
  virtual ~HttpServer() = default;

  /// Stop taking connections; exchanges in progress go on.
  virtual void StopAccepting() = 0;

  /// From now on each answer tells its caller to close the connection, and the server closes it
  /// after the answer.
  virtual void BeginClosing() = 0;

  /// Requests whose head has been read and which are not over, those whose body is still coming and
  /// those whose answer is not out included.
  virtual std::size_t Open() const = 0;

  /// Connections of callers, unused ones included.
  virtual std::size_t Connections() const = 0;

  /// Answers that are complete and whose last bytes have not been handed to the system yet. Ending
  /// the server, or the process, would cut them off.
  virtual std::size_t Unsent() const = 0;
};

} // namespace pepperbay
