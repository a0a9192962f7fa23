/// @file
/// @brief Notices engines that have fallen silent, and has the paths to them tried. Used by the
/// relay's thread only.
///
/// A partition does not show on connections that stand: they are silent like an engine that reads a
/// prompt. So where an engine is silent for longer than it should be, or all are, a connection to
/// it is begun, which tells.
#pragma once

#include "relay_core.hpp"

namespace pepperbay {

class SilenceWatch
{
public:
  /// Engines that write do so every 50 to 80 ms; several of them together hardly pause so long.
  static constexpr std::chrono::milliseconds kAllSilent{ 100 };
  /// One that writes pauses so long when it reads several long prompts.
  static constexpr std::chrono::milliseconds kWritingSilent{ 180 };
  /// And one that has a prompt to read first, which hardly any takes so long for.
  static constexpr std::chrono::milliseconds kReadingSilent{ 400 };

  explicit SilenceWatch(RelayCore* aCore)
    : mCore(aCore)
  {
  }

  void Tick();

private:
  RelayCore* mCore;
};

} // namespace pepperbay
