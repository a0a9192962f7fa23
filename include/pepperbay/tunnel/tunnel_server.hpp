/// @file
/// @brief Carries connections of other nodes to engines that those cannot reach.
///
/// A node that is partitioned from the engines asks a peer for a connection (`CONNECT`, see
/// reach/tunnel_wire.hpp) and speaks to the engine through it as if it were its own. The peer
/// decides nothing about requests; it only passes bytes on, both ways.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "pepperbay/base/error.hpp"
#include "pepperbay/reach/tunnel_wire.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pepperbay {

/// Connections that one node carries at once; each holds two descriptors and 16 kB.
inline constexpr std::size_t kMostCarried = 512;

/// @param aDescriptors that the process may have open
/// @return connections that it may carry, so that most descriptors are left for its own callers
std::size_t
MostCarried(std::size_t aDescriptors);

struct TunnelServerOptions
{
  std::string mAddress;             ///< `IP:port` (TCP) to listen at
  std::string mKey;                 ///< who does not name it is let in to nothing
  std::size_t mMost = kMostCarried; ///< connections carried at once; see MostCarried()
  /// Connections whose request has not come whole; of one address, an eighth of them.
  std::size_t mMostWaiting = 64;
  Duration mHeadWithin = std::chrono::seconds(1); ///< for the request to come whole
  /// An engine has no longer than this to take the connection up, whatever the asker says.
  Duration mMostWithin = std::chrono::milliseconds(120);
  /// After an engine has ended its side, the asker has so long to end the other.
  Duration mLinger = std::chrono::seconds(2);
  /// A connection that nothing passes over is closed after this: its asker may have lost power,
  /// and not every engine closes connections that are not used.
  Duration mIdle = std::chrono::hours(1);
  NowFn mNow = &BootClock::now;
};

/// All of these are called on the server's own thread.
struct TunnelServerHooks
{
  /// @return the address of a registered engine; empty for any other.
  std::function<std::string(const std::string& aEngine)> mAddressOf;
  /// @return why nothing more is carried now; empty: it is.
  std::function<std::string()> mWhyNot;
  /// An engine was heard over a connection of this node.
  std::function<void(const std::string& aEngine)> mOnHeard;
  /// Find out whether this node reaches any engine but this one: has one been heard since a time,
  /// or does one answer now? `aDone` may be called at once.
  std::function<
    void(const std::string& aEngine, TimePoint aSince, std::function<void(bool aReaches)> aDone)>
    mFindSight;
  /// A line for the log; see log.hpp.
  std::function<void(const char* aEvent, const std::map<std::string, std::string>& aFields)> mLog;
};

/// Counts since the start; see docs/OPERATIONS.md.
struct TunnelCounters
{
  std::map<std::string, std::uint64_t> mAnswers; ///< to askers, by answer
  std::uint64_t mForbidden = 0;                  ///< asked without the key, or what is no request
  std::uint64_t mToEngines = 0;                  ///< bytes
  std::uint64_t mFromEngines = 0;                ///< bytes
  std::uint64_t mOpen = 0;                       ///< now
};

/// Used by the thread of its context only.
///
/// It connects to registered engines and nothing else, for nodes that name the key which this start
/// has written into the platform's store. How many connections one node may have follows from how
/// many nodes there are: a newcomer always finds room.
class TunnelServer
{
public:
  /// @param aCounters what it counts goes there; has to live longer
  static Result<std::unique_ptr<TunnelServer>> Open(boost::asio::io_context& aContext,
                                                    TunnelServerOptions aOptions,
                                                    TunnelServerHooks aHooks,
                                                    TunnelCounters* aCounters);
  virtual ~TunnelServer() = default;

  /// Do what is due by time.
  virtual void Tick() = 0;
  /// Close all that is open.
  virtual void Close() = 0;
};

} // namespace pepperbay
