/// @file
/// @brief Messages between nodes over ZeroMQ: bounded, and never kept for a peer that is away.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pepperbay {

struct PeerLinkOptions
{
  std::string mAddress;    ///< `IP:port` to hear at
  std::string mSource;     ///< IP number to connect from; empty lets the system choose
  int mQueuedPerPeer = 16; ///< messages waiting to go out to one peer; more are dropped
  int mQueuedIn = 4096;    ///< messages waiting to be read
  Duration mReconnectFirst = std::chrono::milliseconds(100);
  Duration mReconnectMost = std::chrono::seconds(2);
};

struct PeerLinkCounters
{
  std::uint64_t mSent = 0;
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceived = 0;
  std::uint64_t mReceivedBytes = 0;
  std::uint64_t mDropped = 0; ///< the peer was away or its queue full
};

/// One node's end of all its conversations. Used by one thread only.
class PeerLink
{
public:
  static Result<std::unique_ptr<PeerLink>> Open(const PeerLinkOptions& aOptions);
  virtual ~PeerLink() = default;

  /// Send to `IP:port`, connecting when need be. What cannot go out now is dropped and counted: a
  /// heartbeat or order that arrives minutes late is worse than none.
  virtual void Send(const std::string& aAddress, std::string_view aBytes) = 0;

  /// Close the connection to a peer that has gone.
  virtual void Forget(const std::string& aAddress) = 0;

  /// Wait for messages or for `aWakeFd` to become readable, for at most `aMost`, then hand over
  /// each message that has come.
  virtual void Poll(int aWakeFd,
                    Duration aMost,
                    const std::function<void(std::string_view)>& aOnMessage) = 0;

  virtual const PeerLinkCounters& Counters() const = 0;
};

} // namespace pepperbay
