/// @file
/// @brief Engines that were sent requests and have said nothing since. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <string>
#include <unordered_map>

namespace pepperbay {

struct UnansweredOptions
{
  /// An engine with an unanswered request is silent after this time without a byte. Several times
  /// the usual work of a request.
  Duration mSilentAfter = std::chrono::milliseconds(200);
  /// Second sendings to an engine until it says something.
  int mMaxRepeats = 1;
  /// This long after the last request, nothing is known of an engine any more.
  Duration mMemory = std::chrono::seconds(4);
};

/// The host of a paused engine goes on taking connections and bytes. The engine reads and runs them
/// when it continues, perhaps long after another engine has answered. So it is to be given as few
/// as possible, second sendings least of all.
///
/// @code
/// tracker.OnSent(engine, false, now);
/// if (tracker.MayRepeatAt(other, now)) { ... send the request there as well }
/// tracker.OnHeard(engine);
/// @endcode
class UnansweredTracker
{
public:
  UnansweredTracker() = default;
  explicit UnansweredTracker(UnansweredOptions aOptions);

  /// @param aRepeat the request was sent to another engine before
  void OnSent(const std::string& aEngine, bool aRepeat, TimePoint aNow);
  /// Another engine answered a request that this one has had for longer: it is silent from now on.
  void OnOvertaken(const std::string& aEngine, TimePoint aNow);
  /// The engine sent bytes or closed a connection.
  void OnHeard(const std::string& aEngine) { mEngines.erase(aEngine); }
  /// The engine has restarted or is gone.
  void Forget(const std::string& aEngine) { mEngines.erase(aEngine); }

  bool IsSilent(const std::string& aEngine, TimePoint aNow) const;
  /// @return whether a request that was sent to another engine may be sent to this one as well.
  bool MayRepeatAt(const std::string& aEngine, TimePoint aNow) const;
  /// @return how many engines are silent.
  std::size_t Silent(TimePoint aNow) const;

private:
  struct Engine
  {
    TimePoint mFirst{}; ///< of the requests since it was last heard
    TimePoint mLast{};
    int mRepeats = 0;
    bool mOvertaken = false;
  };

  /// @return what is known of the engine; null for nothing.
  const Engine* Find(const std::string& aEngine, TimePoint aNow) const;

  UnansweredOptions mOptions;
  std::unordered_map<std::string, Engine> mEngines;
};

} // namespace pepperbay
