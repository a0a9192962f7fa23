/// @file
/// @brief Connections to engines that wait for their next request.
#pragma once

#include "pepperbay/base/clock.hpp"
#include "sockets.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pepperbay {

struct ConnectionPoolOptions
{
  /// Unused connections kept to one engine. Engines bound the connections of all callers together;
  /// a node holds its own part of them only.
  std::size_t mIdlePerEngine = 12;
  /// Kept unused for this long where the engine does not say.
  Duration mIdle = std::chrono::seconds(4);
  /// Given up this long before the engine would, so that a request does not cross its close.
  Duration mMargin = std::chrono::seconds(1);
};

/// Used by one thread only.
///
/// An engine may close a kept connection, or put a late answer on it. So a connection is looked at
/// before it is used again: one that shows an end or any byte is dropped, or the next request would
/// get an answer that belongs to an earlier one.
class ConnectionPool
{
public:
  ConnectionPool(const ConnectionPoolOptions& aOptions, NowFn aNow);

  /// @param aEngine id of the engine's start: connections to an address that another engine has
  /// taken over are not used
  std::optional<Socket> Take(const std::string& aEngine);
  /// @param aKeepAlive what the engine said; none: the default
  void Put(const std::string& aEngine, Socket aSocket, std::optional<Duration> aKeepAlive);
  /// Close what is kept to an engine.
  void Forget(const std::string& aEngine) { mIdle.erase(aEngine); }
  /// Close what has been unused for too long.
  void Tick();
  std::size_t Size() const;

private:
  struct Idle
  {
    Socket mSocket;
    TimePoint mUntil{};
  };

  ConnectionPoolOptions mOptions;
  NowFn mNow;
  std::map<std::string, std::vector<Idle>> mIdle;
};

} // namespace pepperbay
