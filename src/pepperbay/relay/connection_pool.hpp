/// @file
/// @brief Connections to engines that wait for their next request.
#pragma once

#include "engine_connector.hpp"
#include "pepperbay/base/clock.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pepperbay {

/// Engines bound the connections of all callers together, so a node keeps its own part only: of
/// half of them, since those in use count as well.
/// @param aMostOfAll what the engine takes from all callers; 0: not said
/// @param aNodes that may be at work
/// @return unused connections that one node keeps to one engine
std::size_t
MostIdleConnections(int aMostOfAll, int aNodes);

struct ConnectionPoolOptions
{
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
  /// @param aMayUse by the peer that carries it; empty for none
  std::optional<EngineSocket> Take(const std::string& aEngine,
                                   const std::function<bool(const std::string& aPeer)>& aMayUse);
  /// @param aKeepAlive what the engine said; none: the default
  /// @param aMost unused connections to the engine; beyond that it is closed
  void Put(const std::string& aEngine,
           EngineSocket aSocket,
           std::optional<Duration> aKeepAlive,
           std::size_t aMost);
  /// Close what is kept to an engine.
  void Forget(const std::string& aEngine) { mIdle.erase(aEngine); }
  /// Close what is kept and carried by a peer, or by none, for which `aForgets` is true.
  void ForgetCarriedBy(const std::function<bool(const std::string& aPeer)>& aForgets);
  /// Close what has been unused for too long.
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
