#include "pepperbay/tunnel/listener.hpp"

#include "pepperbay/settings/settings.hpp"

#include <boost/asio/error.hpp>
#include <utility>

namespace pepperbay {

namespace asio = boost::asio;

Listener::Listener(asio::io_context& aContext, ListenerHooks aHooks)
  : mHooks(std::move(aHooks))
  , mAcceptor(aContext)
{
}

Result<void>
Listener::Open(const char* aStep, const std::string& aAddress, int aQueue)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint.has_value()) {
    return endpoint.error();
  }
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(endpoint.value().mHost, ec);
  const asio::ip::tcp::endpoint local(address, static_cast<std::uint16_t>(endpoint.value().mPort));
  if (!ec) {
    mAcceptor.open(local.protocol(), ec);
  }
  if (!ec) {
    mAcceptor.set_option(Acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    mAcceptor.bind(local, ec);
  }
  if (!ec) {
    mAcceptor.listen(aQueue, ec);
  }
  if (ec) {
    return Error{ Errc::kUnavailable, aStep, aAddress, ec.message() };
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void
Listener::Start()
{
  mAcceptor.async_accept([this](boost::system::error_code aError, Socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      mPaused = true;
      mHooks.mOnFailure(aError.message());
      return;
    }
    mHooks.mOnConnection(std::move(aSocket));
    Start();
  });
}

void
Listener::Tick()
{
  if (std::exchange(mPaused, false) && IsOpen()) {
    Start();
  }
}

void
Listener::Close()
{
  boost::system::error_code ec; // it is given up in any case
  mAcceptor.close(ec);
}

} // namespace pepperbay
