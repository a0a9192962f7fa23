/// @file
/// @brief The socket type of the traffic thread, and what every one of its connections is set to.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace pepperbay {

using Socket =
  boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

/// What shows on a connection that should be silent.
enum class PeekResult
{
  kQuiet,
  kBytes,
  kClosed,
};

/// Look at a connection without taking anything from it.
PeekResult
Peek(Socket& aSocket);

/// Send small messages at once, and notice a peer that is cut off.
///
/// A peer behind a partition answers nothing, so without a limit on unacknowledged bytes a write
/// would be retried for minutes and the connection be taken for a good one.
void
Prepare(Socket& aSocket);

/// Close without waiting; errors do not matter any more.
void
CloseNow(Socket& aSocket);

/// Let the other side see a reset, not an end, whenever the socket is closed from now on, also by
/// the end of this process. What was sent before may be lost.
void
ResetOnClose(Socket& aSocket);

/// @return whether a connection failed for want of something of this process; see IsShortage().
bool
IsShortage(const boost::system::error_code& aError);

/// Connect to `IP:port`. What is no address is reported like any other failure, later.
void
Dial(Socket& aSocket,
     const std::string& aAddress,
     std::function<void(boost::system::error_code)> aDone);

} // namespace pepperbay
