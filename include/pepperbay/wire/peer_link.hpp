/// @file
/// @brief Messages between nodes: heartbeats as datagrams, all else over ZeroMQ.
///
/// A heartbeat goes to every node of a data centre, is out of date at the next one, and shows by
/// its digest when one before it was lost. Nothing of it needs a connection, and a connection to
/// each peer is what a node's memory grew by (measured: docs/DESIGN.md). Everything that must
/// arrive goes over a ZeroMQ connection, opened when it is needed and closed when it has been idle.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pepperbay {

/// Largest message sent as a datagram; it fits one frame of the network, so no part can be lost.
constexpr std::size_t kMaxDatagramBytes = 1400;

/// How a message travels.
enum class Delivery
{
  kMayBeLost, ///< a datagram if it fits one: late is worse than lost
  kQueued,    ///< waits, bounded, until the connection to the peer stands
};

struct PeerLinkOptions
{
  std::string mAddress;    ///< `IP:port` to hear at
  std::string mSource;     ///< IP number to connect from; empty lets the system choose
  int mQueuedPerPeer = 64; ///< messages waiting to go out to one peer; more are dropped
  int mQueuedIn = 4096;    ///< messages waiting to be read
  Duration mReconnectFirst = std::chrono::milliseconds(100);
  Duration mReconnectMost = std::chrono::seconds(2);
  Duration mIdle = std::chrono::seconds(30); ///< connections unused for so long are closed
  NowFn mNow = &BootClock::now;
};

struct PeerLinkCounters
{
  std::uint64_t mSent = 0;
  std::uint64_t mSentBytes = 0;
  std::uint64_t mSentDatagrams = 0; ///< of the messages sent
  std::uint64_t mReceived = 0;
  std::uint64_t mReceivedBytes = 0;
  std::uint64_t mDropped = 0;     ///< its queue was full or the system refused it
  std::uint64_t mConnections = 0; ///< to peers, open now
};

/// One node's end of all its conversations. Used by one thread only.
class PeerLink
{
public:
  static Result<std::unique_ptr<PeerLink>> Open(const PeerLinkOptions& aOptions);
  virtual ~PeerLink() = default;

  /// Send to `IP:port`, connecting when need be. What cannot go out is dropped and counted.
  virtual void Send(const std::string& aAddress, std::string_view aBytes, Delivery aDelivery) = 0;

  /// Wait for messages or for `aWakeFd` to become readable, for at most `aMost`, then hand over
  /// each message that has come.
  virtual void Poll(int aWakeFd,
                    Duration aMost,
                    const std::function<void(std::string_view)>& aOnMessage) = 0;

  virtual const PeerLinkCounters& Counters() const = 0;
};

} // namespace pepperbay
