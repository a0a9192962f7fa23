/// @file
/// @brief Notices that no engine writes any more, and has the path tried. Used by the relay's
/// thread only.
///
/// A partition does not show on connections that stand: they are silent like an engine that reads a
/// prompt. But all engines at once fall silent seldom, so then a connection to one of them is
/// begun, which tells.
#pragma once

#include "relay_core.hpp"

namespace pepperbay {

class SilenceWatch
{
public:
  /// Engines that write do so every 50 to 80 ms; several of them together hardly pause so long.
  static constexpr std::chrono::milliseconds kSilent{ 100 };
  /// After the path was tried and found well, it is tried again no sooner than this, and then after
  /// twice the time, up to the most, for as long as that goes on.
  static constexpr std::chrono::milliseconds kFirstPause{ 500 };
  static constexpr std::chrono::seconds kMostPause{ 4 };

  explicit SilenceWatch(RelayCore* aCore)
    : mCore(aCore)
  {
  }

  void Tick();

private:
  RelayCore* mCore;
  TimePoint mNextLook{};
  Duration mPause = kFirstPause;
};

} // namespace pepperbay
