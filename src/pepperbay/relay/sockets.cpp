#include "sockets.hpp"

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pepperbay {
namespace {
/// Unacknowledged bytes after which a connection counts as cut: several round trips between data
/// centres, and below a caller's patience with a silent stream.
constexpr std::chrono::milliseconds kUnacknowledged{ 1500 };
}

PeekResult
Peek(Socket& aSocket)
{
  char byte = 0;
  const ssize_t n = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return PeekResult::kBytes;
  }
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    return PeekResult::kQuiet;
  }
  return PeekResult::kClosed;
}

void
Prepare(Socket& aSocket)
{
  boost::system::error_code ec; // a connection without these options still works
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  const auto timeout = static_cast<unsigned>(kUnacknowledged.count());
  ::setsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

void
CloseNow(Socket& aSocket)
{
  boost::system::error_code ec;
  aSocket.close(ec);
}

} // namespace pepperbay
