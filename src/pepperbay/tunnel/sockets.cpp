#include "pepperbay/tunnel/sockets.hpp"

#include "pepperbay/base/system_error.hpp"
#include "pepperbay/settings/settings.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
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

void
ResetOnClose(Socket& aSocket)
{
  const linger now{ 1, 0 };
  ::setsockopt(aSocket.native_handle(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

bool
IsShortage(const boost::system::error_code& aError)
{
  return aError.category() == boost::system::system_category() && IsShortage(aError.value());
}

void
Dial(Socket& aSocket,
     const std::string& aAddress,
     std::function<void(boost::system::error_code)> aDone)
{
  namespace asio = boost::asio;
  boost::system::error_code ec;
  const auto endpoint = ParseEndpoint(aAddress);
  const auto address =
    endpoint.has_value() ? asio::ip::make_address(endpoint.value().mHost, ec) : asio::ip::address();
  if (!endpoint.has_value() || ec) {
    asio::post(aSocket.get_executor(), [done = std::move(aDone)] {
      done(asio::error::make_error_code(asio::error::invalid_argument));
    });
    return;
  }
  aSocket.async_connect({ address, static_cast<std::uint16_t>(endpoint.value().mPort) },
                        std::move(aDone));
}

} // namespace pepperbay
