/// @file
/// @brief Takes connections up at an address. Used by one thread only.
#pragma once

#include "pepperbay/base/error.hpp"
#include "pepperbay/tunnel/sockets.hpp"

#include <functional>
#include <string>

namespace pepperbay {

struct ListenerHooks
{
  std::function<void(Socket)> mOnConnection;
  /// A connection could not be taken up, for instance because the process has no descriptor left.
  std::function<void(const std::string& aDetail)> mOnFailure;
};

/// Connections wait in the system's queue until `Start()`.
///
/// @code
/// Listener listener(context, { onConnection, onFailure });
/// const auto listening = listener.Open("relay.listen", "127.0.0.1:8080", 1024);
/// listener.Start();
/// @endcode
class Listener
{
public:
  Listener(boost::asio::io_context& aContext, ListenerHooks aHooks);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// @param aStep named in the error
  /// @param aAddress `IP:port`
  /// @param aQueue most connections that wait to be taken up
  Result<void> Open(const char* aStep, const std::string& aAddress, int aQueue);
  void Start();
  /// Go on after a failure. Not before: the connection that could not be taken up still waits, so a
  /// process without descriptors would do nothing else than fail.
  void Tick();
  void Close();
  bool IsOpen() const { return mAcceptor.is_open(); }

private:
  using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp,
                                                      boost::asio::io_context::executor_type>;

  ListenerHooks mHooks;
  Acceptor mAcceptor;
  bool mPaused = false;
};

} // namespace pepperbay
