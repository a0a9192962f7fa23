/// @file
/// @brief Detects silent engines and has the network paths to them probed. Used by the relay's
/// thread only.
///
/// A network partition does not show on established connections: they are as silent as those to an
/// engine that processes a prompt. So if one engine is silent for too long, or all engines are, a
/// new connection is opened to tell the two cases apart.
#pragma once

#include "relay_core.hpp"

namespace pepperbay {

class SilenceWatch
{
public:
  /// For all engines together. An engine writes every 50 to 80 ms while it streams, so several of
  /// them rarely pause this long at once.
  static constexpr std::chrono::milliseconds kAllSilence{ 100 };
  /// For an engine that streams. It pauses this long when it processes several long prompts.
  static constexpr std::chrono::milliseconds kStreamingSilence{ 180 };
  /// For an engine that has to process the prompt first; few prompts take this long.
  static constexpr std::chrono::milliseconds kPromptSilence{ 400 };

  explicit SilenceWatch(RelayCore* aCore)
    : mCore(aCore)
  {
  }

  void Tick();

private:
  RelayCore* mCore;
};

} // namespace pepperbay
