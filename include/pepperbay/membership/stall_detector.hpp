/// @file
/// @brief Replicas that have fallen silent, found from the streams that they should be writing.
/// Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace pepperbay {

struct StallOptions
{
  /// A replica that writes gives every stream an event each few steps, 50 to 80 ms apart; reading
  /// several long prompts in one pass can stretch that to a quarter of a second.
  Duration mSuspectAfter = std::chrono::milliseconds(180);
  /// A suspicion is told again after this while it lasts.
  Duration mRepeatAfter = std::chrono::milliseconds(200);
};

/// Watches the heads of replicas by the events that this node passes on.
///
/// When a member of a replica dies, its head goes on taking requests and nothing in it moves; the
/// head itself notices after seconds, and the member's registration lapses as late. One would see
/// streams of one head standing still together while others run. An event on any stream shows that
/// the whole replica moves, so silence stands for the replica and not for one request.
///
/// @code
/// detector.OnWriting(head, now);  // a stream's first event
/// detector.OnEvent(head, now);
/// for (const auto& it : detector.Suspects(now)) { ... ask the members ... }
/// @endcode
class StallDetector
{
public:
  StallDetector() = default;
  explicit StallDetector(StallOptions aOptions);

  /// A stream has begun: its first event came.
  void OnWriting(const std::string& aHead, TimePoint aNow);
  void OnEvent(const std::string& aHead, TimePoint aNow);
  /// A stream that had begun is over or was moved away.
  void OnDone(const std::string& aHead);

  /// @return how long no stream of the head has moved; zero when none is being written.
  Duration Silence(const std::string& aHead, TimePoint aNow) const;

  /// @return whether a stream of the head is being written.
  bool Watches(const std::string& aHead) const { return mHeads.count(aHead) != 0; }

  /// @return heads to be suspected now, each at most once in mRepeatAfter.
  std::vector<std::string> Suspects(TimePoint aNow);

private:
  struct Head
  {
    int mWriting = 0;
    TimePoint mLastEvent{};
    TimePoint mTold{};
  };

  StallOptions mOptions;
  std::unordered_map<std::string, Head> mHeads;
};

} // namespace pepperbay
