/// @file
/// @brief Share of the rate limits of engines that a node may use when no node counts requests for
/// them. Pure: no I/O and no clock of its own.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace pepperbay {

struct LocalShareOptions
{
  std::string mNode;
  /// Fraction of each limit that is set aside for the local shares of all nodes together.
  double mShare = 0.1;
  /// Where the local share is less than one request in this time, the node may send one request per
  /// period, within a window of this length; an unused window is lost. If its request could be sent
  /// later, many nodes would send theirs in the same moment.
  Duration mOpenFor = std::chrono::milliseconds(500);
};

/// The local share of one node. The times at which it may send are offset from those of other nodes
/// by a hash, so that all shares together stay within the fraction set aside, without messages.
///
/// @code
/// if (share.MayUse(ShortId(engine), limit, nodes, now)) {
///   share.Use(ShortId(engine), now);
///   send();
/// }
/// @endcode
class LocalShare
{
public:
  explicit LocalShare(LocalShareOptions aOptions);

  /// @param aPerSecond limit of the engine in requests per second, from all nodes together
  /// @param aNodes number of nodes that may be running
  bool MayUse(std::uint32_t aEngine, double aPerSecond, int aNodes, TimePoint aNow) const;
  void Use(std::uint32_t aEngine, TimePoint aNow) { mUsed[aEngine] = aNow; }
  /// Drop old entries.
  void Tick(TimePoint aNow);

private:
  LocalShareOptions mOptions;
  std::unordered_map<std::uint32_t, TimePoint> mUsed; ///< by engine
};

} // namespace pepperbay
