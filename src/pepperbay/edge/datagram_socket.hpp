/// @file
/// @brief Datagrams between nodes.
#pragma once

#include "pepperbay/base/error.hpp"
#include "pepperbay/settings/settings.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>

namespace pepperbay {

/// Messages between nodes. Used by the thread of its context, but for `Open()`.
class DatagramSocket
{
public:
  explicit DatagramSocket(boost::asio::io_context& aContext)
    : mSocket(aContext)
  {
  }

  Result<void> Open(const char* aStep, const std::string& aAddress)
  {
    const auto endpoint = ParseEndpoint(aAddress);
    if (!endpoint.has_value()) {
      return endpoint.error();
    }
    boost::system::error_code ec;
    const Udp::endpoint address(boost::asio::ip::make_address(endpoint.value().mHost, ec),
                                static_cast<std::uint16_t>(endpoint.value().mPort));
    mSocket.open(address.protocol(), ec);
    if (!ec) {
      mSocket.bind(address, ec);
    }
    if (!ec) {
      mSocket.non_blocking(true, ec);
    }
    if (ec) {
      return Error{ Errc::kUnavailable, aStep, aAddress, ec.message() };
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void Send(const std::string& aAddress, const std::string& aBytes)
  {
    const auto endpoint = ParseEndpoint(aAddress);
    if (!endpoint.has_value()) {
      return;
    }
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(endpoint.value().mHost, ec);
    // What cannot go out now is out of date at the next heartbeat, or is sent again.
    mSocket.send_to(boost::asio::buffer(aBytes),
                    { address, static_cast<std::uint16_t>(endpoint.value().mPort) },
                    0,
                    ec);
  }

  void Receive(std::function<void(const std::string& aBytes)> aOnBytes)
  {
    mOnBytes = std::move(aOnBytes);
    ReceiveNext();
  }

private:
  void ReceiveNext()
  {
    mSocket.async_receive_from(boost::asio::buffer(mDatagram),
                               mSender,
                               [this](boost::system::error_code aError, std::size_t aSize) {
                                 if (aError == boost::asio::error::operation_aborted) {
                                   return;
                                 }
                                 if (!aError) {
                                   mOnBytes(std::string(mDatagram.data(), aSize));
                                 }
                                 ReceiveNext();
                               });
  }

  using Udp = boost::asio::ip::udp;
  static constexpr std::size_t kMostDatagram = 65536;

  Udp::socket mSocket;
  Udp::endpoint mSender;
  std::array<char, kMostDatagram> mDatagram{};
  std::function<void(const std::string&)> mOnBytes;
};

} // namespace pepperbay
