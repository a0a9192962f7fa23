#include "pepperbay/wire/peer_link.hpp"

#include "pepperbay/wire/codec.hpp"

#include <array>
#include <map>
#include <zmq.hpp>

namespace pepperbay {
namespace {

/// Messages handed over in one poll, so that a flood cannot starve the control thread's timers.
constexpr int kMaxPerPoll = 512;

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

  void Bind() { mIn.bind("tcp://" + mOptions.mAddress); }

  void Send(const std::string& aAddress, std::string_view aBytes) override
  {
    zmq::socket_t* socket = SocketTo(aAddress);
    if (socket == nullptr) {
      ++mCounters.mDropped;
      return;
    }
    const auto sent =
      socket->send(zmq::buffer(aBytes.data(), aBytes.size()), zmq::send_flags::dontwait);
    if (!sent) {
      ++mCounters.mDropped;
      return;
    }
    ++mCounters.mSent;
    mCounters.mSentBytes += aBytes.size();
  }

  void Forget(const std::string& aAddress) override { mOut.erase(aAddress); }

  void Poll(int aWakeFd,
            Duration aMost,
            const std::function<void(std::string_view)>& aOnMessage) override
  {
    std::array<zmq::pollitem_t, 2> items{ { { mIn.handle(), 0, ZMQ_POLLIN, 0 },
                                            { nullptr, aWakeFd, ZMQ_POLLIN, 0 } } };
    try {
      zmq::poll(items.data(), items.size(), ToMs(aMost));
    } catch (const zmq::error_t&) {
      return; // interrupted by a signal; the caller's loop comes again
    }
    if ((items[0].revents & ZMQ_POLLIN) == 0) {
      return;
    }
    for (int i = 0; i < kMaxPerPoll; ++i) {
      zmq::message_t message;
      if (!mIn.recv(message, zmq::recv_flags::dontwait)) {
        return;
      }
      ++mCounters.mReceived;
      mCounters.mReceivedBytes += message.size();
      aOnMessage({ message.data<char>(), message.size() });
    }
  }

  const PeerLinkCounters& Counters() const override { return mCounters; }

private:
  zmq::socket_t* SocketTo(const std::string& aAddress)
  {
    const auto it = mOut.find(aAddress);
    if (it != mOut.end()) {
      return &it->second;
    }
    zmq::socket_t socket(mContext, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, mOptions.mQueuedPerPeer);
    // Without it the socket queues for a peer that is away and delivers the backlog on its return.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl,
               static_cast<int>(ToMs(mOptions.mReconnectFirst).count()));
    socket.set(zmq::sockopt::reconnect_ivl_max,
               static_cast<int>(ToMs(mOptions.mReconnectMost).count()));
    try {
      const std::string from = mOptions.mSource.empty() ? "" : mOptions.mSource + ":0;";
      socket.connect("tcp://" + from + aAddress);
    } catch (const zmq::error_t&) {
      return nullptr;
    }
    return &mOut.emplace(aAddress, std::move(socket)).first->second;
  }

  PeerLinkOptions mOptions;
  zmq::context_t mContext;
  zmq::socket_t mIn;
  std::map<std::string, zmq::socket_t> mOut;
  PeerLinkCounters mCounters;
};

} // namespace

Result<std::unique_ptr<PeerLink>>
PeerLink::Open(const PeerLinkOptions& aOptions)
{
  auto link = std::make_unique<PeerLinkImpl>(aOptions);
  try {
    link->Bind();
  } catch (const zmq::error_t& ec) {
    return Error{ Errc::kUnavailable, "wire.bind", aOptions.mAddress, ec.what() };
  }
  return std::unique_ptr<PeerLink>(std::move(link));
}

} // namespace pepperbay
