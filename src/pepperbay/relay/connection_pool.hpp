/// @file
/// @brief Pool of idle connections to engines.
#pragma once

#include "engine_connector.hpp"
#include "pepperbay/base/clock.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pepperbay {

/// Engines limit the connections of all their clients together. A node may keep idle only its share
/// of half of them, since connections in use count towards the limit as well.
/// @param aMaxConnections the engine's limit on connections from all clients; 0: not given
/// @param aNodes number of nodes that may connect to the engine
/// @return limit on the idle connections that one node keeps to one engine
std::size_t
MaxIdleConnections(int aMaxConnections, int aNodes);

struct ConnectionPoolOptions
{
  /// Idle time-out where the engine gives none.
  Duration mIdle = std::chrono::seconds(4);
  /// Connections are closed this long before the engine's own time-out, so that the engine does not
  /// close one while a request is in flight.
  Duration mMargin = std::chrono::seconds(1);
};

/// Not thread-safe.
///
/// An engine may close an idle connection or write a late answer to it. So a connection is checked
/// before reuse, and dropped if it is closed or has unread bytes; otherwise the next request could
/// receive the answer to an earlier one.
class ConnectionPool
{
public:
  ConnectionPool(const ConnectionPoolOptions& aOptions, NowFn aNow);

  /// Takes the most recently used connection that is still usable.
  /// @param aEngine ID of the engine, not its address: connections to an address that another
  /// engine has taken over must not be used
  /// @param aMayUse whether a connection through this peer may be used; the empty name stands for
  /// direct connections
  std::optional<EngineSocket> Take(const std::string& aEngine,
                                   const std::function<bool(const std::string& aPeer)>& aMayUse);
  /// Adds an idle connection, or closes it if the pool must not keep it.
  /// @param aKeepAlive keep-alive time that the engine gave; none: the default
  /// @param aMaxIdle limit on the idle connections to the engine
  void Put(const std::string& aEngine,
           EngineSocket aSocket,
           std::optional<Duration> aKeepAlive,
           std::size_t aMaxIdle);
  /// Closes the idle connections to an engine.
  void Forget(const std::string& aEngine) { mIdle.erase(aEngine); }
  /// Closes idle connections by peer: those for which `aForgets` is true, which is called with the
  /// empty name for direct connections.
  void ForgetByPeer(const std::function<bool(const std::string& aPeer)>& aForgets);
  /// Closes connections whose idle time-out has passed.
  void Tick();
  std::size_t Size() const;

private:
  struct Idle
  {
    EngineSocket mSocket;
    TimePoint mUntil{};
  };

  ConnectionPoolOptions mOptions;
  NowFn mNow;
  std::map<std::string, std::vector<Idle>> mIdle;
};

} // namespace pepperbay
