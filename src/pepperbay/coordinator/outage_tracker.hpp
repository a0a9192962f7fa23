/// @file
/// @brief Recognizes outages of the store in which registrations may lapse. Pure.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace pepperbay {

/// Follows when the log of registrations has answered, this node or any other.
///
/// A failed call of this node is no outage while the log answers others, and neither is a dead
/// connection. An outage is a time in which the log has answered nobody, as far as is known here,
/// and in which calls over new connections have failed. A node that knows of no answer at all,
/// since it has just started, knows of no outage either, and has no registrations to keep. All
/// nodes should agree on its end, as the registrations that are missing after it are kept for a
/// while: the node that notices the end first reports it to the others.
class OutageTracker
{
public:
  /// A registration outlives a shorter time without heartbeats. Longer than the age that the word
  /// of a working reader reaches at the other nodes.
  static constexpr std::chrono::milliseconds kMinOutage{ 1500 };

  /// The log has answered some node at this time; the zero time: none is known of.
  void OnAnswered(TimePoint aAt)
  {
    if (aAt != TimePoint{}) {
      mAnswered = std::max(mAnswered.value_or(aAt), aAt);
    }
  }
  /// A call of this node has failed, over a new connection as well.
  void OnFailed(TimePoint aNow) { mFailed = aNow; }
  /// The log has answered this node. @return whether that ends an outage
  bool OnOwnAnswer(TimePoint aNow)
  {
    const bool failed = mAnswered && mFailed && *mFailed > *mAnswered;
    const bool ends = failed && End(aNow);
    OnAnswered(aNow);
    return ends;
  }
  /// Another node reports that an outage has ended. @return whether nothing known here refutes it
  bool OnReported(TimePoint aEnded) { return End(aEnded); }

  /// @return the end of the last outage; none: there was none.
  std::optional<TimePoint> Ended() const { return mEnded; }

private:
  bool End(TimePoint aAt)
  {
    if (!mAnswered || aAt - *mAnswered < kMinOutage) {
      return false;
    }
    mEnded = aAt;
    mAnswered = aAt;
    return true;
  }

  std::optional<TimePoint> mAnswered; ///< none: never, as far as known
  std::optional<TimePoint> mFailed;
  std::optional<TimePoint> mEnded;
};

} // namespace pepperbay
