/// @file
/// @brief What a node may send to engines with a limit when nobody counts for it. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace pepperbay {

struct LocalShareOptions
{
  std::string mNode;
  /// Of each limit, for the own parts of all nodes together.
  double mShare = 0.1;
  /// A part of less than one request is one request now and then, which may be sent for so long and
  /// is lost otherwise: kept, many nodes would send theirs in the same moment.
  Duration mOpenFor = std::chrono::milliseconds(500);
};

/// A node's own part of engines' limits. The times at which it may send lie apart from other nodes'
/// by a hash, so that all parts together stay within theirs without a message.
///
/// @code
/// if (part.MayUse(ShortId(engine), limit, nodes, now)) { part.Use(ShortId(engine), now); send(); }
/// @endcode
class LocalShare
{
public:
  explicit LocalShare(LocalShareOptions aOptions);

  /// @param aPerSecond what the engine takes from all nodes together
  /// @param aNodes that may be at work
  bool MayUse(std::uint32_t aEngine, double aPerSecond, int aNodes, TimePoint aNow) const;
  void Use(std::uint32_t aEngine, TimePoint aNow) { mUsed[aEngine] = aNow; }
  /// Forget what is long past.
  void Tick(TimePoint aNow);

private:
  LocalShareOptions mOptions;
  std::unordered_map<std::uint32_t, TimePoint> mUsed; ///< by engine
};

} // namespace pepperbay
