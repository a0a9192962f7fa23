#include "pepperbay/wire/peer_link.hpp"

#include "pepperbay/wire/codec.hpp"

#include <arpa/inet.h>
#include <array>
#include <map>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.hpp>

namespace pepperbay {
namespace {

/// Messages handed over in one poll, so that a flood cannot starve the control thread's timers.
constexpr int kMaxPerPoll = 512;
/// Room for a datagram of another version that is longer than this one's; longer ones are cut and
/// then dropped as malformed.
constexpr std::size_t kDatagramBuffer = 2048;

/// @return the address of `IP:port`, or nothing when it is none
std::optional<sockaddr_in>
ToSocketAddress(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::strtoul(aAddress.c_str() + colon + 1, nullptr, 10)));
  const std::string ip = aAddress.substr(0, colon);
  if (inet_pton(AF_INET, ip == "*" ? "0.0.0.0" : ip.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

class PeerLinkImpl : public PeerLink
{
public:
  explicit PeerLinkImpl(const PeerLinkOptions& aOptions)
    : mOptions(aOptions)
    , mContext(1)
    , mIn(mContext, zmq::socket_type::pull)
  {
    mIn.set(zmq::sockopt::linger, 0);
    mIn.set(zmq::sockopt::rcvhwm, mOptions.mQueuedIn);
    mIn.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(kMaxMessageBytes));
  }

  ~PeerLinkImpl() override
  {
    if (mDatagrams >= 0) {
      ::close(mDatagrams);
    }
  }
  PeerLinkImpl(const PeerLinkImpl&) = delete;
  PeerLinkImpl& operator=(const PeerLinkImpl&) = delete;

  /// @return why it cannot hear at its address; empty when it can
  std::string Bind()
  {
    const auto address = ToSocketAddress(mOptions.mAddress);
    if (!address) {
      return "not IP:port";
    }
    mDatagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto* raw = reinterpret_cast<const sockaddr*>(&*address);
    if (mDatagrams < 0 || ::bind(mDatagrams, raw, sizeof *address) != 0) {
      return std::string("datagrams: ") + zmq_strerror(errno);
    }
    try {
      mIn.bind("tcp://" + mOptions.mAddress);
    } catch (const zmq::error_t& ec) {
      return ec.what();
    }
    return "";
  }

  void Send(const std::string& aAddress, std::string_view aBytes, Delivery aDelivery) override
  {
    const bool datagram = aDelivery == Delivery::kMayBeLost && aBytes.size() <= kMaxDatagramBytes;
    if (!(datagram ? SendDatagram(aAddress, aBytes) : SendQueued(aAddress, aBytes))) {
      ++mCounters.mDropped;
      return;
    }
    ++mCounters.mSent;
    mCounters.mSentBytes += aBytes.size();
    mCounters.mSentDatagrams += datagram ? 1 : 0;
  }

  void Poll(int aWakeFd,
            Duration aMost,
            const std::function<void(std::string_view)>& aOnMessage) override
  {
    std::array<zmq::pollitem_t, 3> items{ { { mIn.handle(), 0, ZMQ_POLLIN, 0 },
                                            { nullptr, mDatagrams, ZMQ_POLLIN, 0 },
                                            { nullptr, aWakeFd, ZMQ_POLLIN, 0 } } };
    try {
      zmq::poll(items.data(), items.size(), ToMs(aMost));
    } catch (const zmq::error_t&) {
      return; // interrupted by a signal; the caller's loop comes again
    }
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
      ReadQueued(aOnMessage);
    }
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
      ReadDatagrams(aOnMessage);
    }
    CloseIdle();
  }

  const PeerLinkCounters& Counters() const override { return mCounters; }

private:
  struct Connection
  {
    zmq::socket_t mSocket;
    std::string mEndpoint;
    TimePoint mUsed;
  };

  bool SendDatagram(const std::string& aAddress, std::string_view aBytes) const
  {
    const auto address = ToSocketAddress(aAddress);
    if (!address) {
      return false;
    }
    const auto* raw = reinterpret_cast<const sockaddr*>(&*address);
    const ssize_t n = ::sendto(mDatagrams, aBytes.data(), aBytes.size(), 0, raw, sizeof *address);
    return n == static_cast<ssize_t>(aBytes.size());
  }

  bool SendQueued(const std::string& aAddress, std::string_view aBytes)
  {
    Connection* connection = ConnectionTo(aAddress);
    if (connection == nullptr) {
      return false;
    }
    connection->mUsed = mOptions.mNow();
    const auto sent = connection->mSocket.send(zmq::buffer(aBytes.data(), aBytes.size()),
                                               zmq::send_flags::dontwait);
    return sent.has_value();
  }

  void ReadQueued(const std::function<void(std::string_view)>& aOnMessage)
  {
    for (int i = 0; i < kMaxPerPoll; ++i) {
      zmq::message_t message;
      if (!mIn.recv(message, zmq::recv_flags::dontwait)) {
        return;
      }
      HandOver({ message.data<char>(), message.size() }, aOnMessage);
    }
  }

  void ReadDatagrams(const std::function<void(std::string_view)>& aOnMessage)
  {
    std::array<char, kDatagramBuffer> buf{};
    for (int i = 0; i < kMaxPerPoll; ++i) {
      const ssize_t n = ::recv(mDatagrams, buf.data(), buf.size(), 0);
      if (n < 0) {
        return;
      }
      HandOver({ buf.data(), static_cast<std::size_t>(n) }, aOnMessage);
    }
  }

  void HandOver(std::string_view aBytes, const std::function<void(std::string_view)>& aOnMessage)
  {
    ++mCounters.mReceived;
    mCounters.mReceivedBytes += aBytes.size();
    aOnMessage(aBytes);
  }

  Connection* ConnectionTo(const std::string& aAddress)
  {
    const auto it = mOut.find(aAddress);
    if (it != mOut.end()) {
      return &it->second;
    }
    zmq::socket_t socket(mContext, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, mOptions.mQueuedPerPeer);
    socket.set(zmq::sockopt::reconnect_ivl,
               static_cast<int>(ToMs(mOptions.mReconnectFirst).count()));
    socket.set(zmq::sockopt::reconnect_ivl_max,
               static_cast<int>(ToMs(mOptions.mReconnectMost).count()));
    const std::string from = mOptions.mSource.empty() ? "" : mOptions.mSource + ":0;";
    const std::string endpoint = "tcp://" + from + aAddress;
    try {
      socket.connect(endpoint);
    } catch (const zmq::error_t&) {
      return nullptr;
    }
    ++mCounters.mConnections;
    Connection connection{ std::move(socket), endpoint, mOptions.mNow() };
    return &mOut.emplace(aAddress, std::move(connection)).first->second;
  }

  /// Also drops what still waits for a peer that has been away for so long.
  void CloseIdle()
  {
    const TimePoint now = mOptions.mNow();
    if (now < mNextSweep) {
      return;
    }
    mNextSweep = now + mOptions.mIdle / 4;
    for (auto it = mOut.begin(); it != mOut.end();) {
      if (now - it->second.mUsed < mOptions.mIdle) {
        ++it;
        continue;
      }
      // A socket is closed by another thread some time later; until then it would connect to a peer
      // that is back, and deliver what waits.
      try {
        it->second.mSocket.disconnect(it->second.mEndpoint);
      } catch (const zmq::error_t&) {
        ++mCounters.mDropped; // the library has no such endpoint any more
      }
      it = mOut.erase(it);
    }
    mCounters.mConnections = mOut.size();
  }

  PeerLinkOptions mOptions;
  zmq::context_t mContext;
  zmq::socket_t mIn;
  int mDatagrams = -1;
  std::map<std::string, Connection> mOut;
  TimePoint mNextSweep{};
  PeerLinkCounters mCounters;
};

} // namespace

Result<std::unique_ptr<PeerLink>>
PeerLink::Open(const PeerLinkOptions& aOptions)
{
  auto link = std::make_unique<PeerLinkImpl>(aOptions);
  const std::string problem = link->Bind();
  if (!problem.empty()) {
    return Error{ Errc::kUnavailable, "wire.bind", aOptions.mAddress, problem };
  }
  return std::unique_ptr<PeerLink>(std::move(link));
}

} // namespace pepperbay
