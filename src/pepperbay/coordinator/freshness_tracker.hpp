/// @file
/// @brief How fresh the configuration and the logs are by the word of other nodes. Pure.
///
/// A node that the store turns away cannot know whether a key has been taken away since its last
/// read, and has to refuse all requests with keys a few seconds later. Its peers often reach the
/// store: one would notice a node that refuses what its neighbours serve. A peer's word may have
/// been long on its way and clocks differ, so an answer names the question that it answers: the
/// peer's view is at least as new as the moment at which the question left, less the age that the
/// peer states.
#pragma once

#include "log_reads.hpp"
#include "pepperbay/base/clock.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <pepperbay.pb.h>
#include <string>

namespace pepperbay {

class FreshnessTracker
{
public:
  FreshnessTracker(std::string aSelf, std::uint64_t aIncarnation);

  /// A peer's heartbeat came.
  /// @param aVersion of the configuration in force here
  /// @param aOwn how far this node has been told of each log
  void OnBeat(const proto::PeerMessage& aMessage,
              std::uint64_t aVersion,
              const LogOffsets& aOwn,
              TimePoint aNow);

  /// Add to a heartbeat how old the configuration here is, and the question when this node asks.
  /// @param aAsOf when the configuration here was the newest for certain
  void Fill(proto::Beat* aBeat, bool aAsk, TimePoint aAsOf, TimePoint aNow);
  /// @return whether a node has asked lately
  bool HasAsked(const std::string& aNode) const { return mRequests.count(aNode) != 0; }
  /// Add the answer to what a node has asked.
  void Answer(const std::string& aNode, proto::Beat* aBeat, TimePoint aNow) const;

  /// @return when the configuration here was the newest by the word of peers.
  TimePoint AsOf() const { return mAsOf; }
  /// @return when all that was in a log was known here by the word of peers.
  TimePoint LogAsOf(FollowedLog aLog) const { return mLogAsOf[static_cast<std::size_t>(aLog)]; }

private:
  /// @param aAnswered a moment before which the peer did not speak
  void NoteLogs(const proto::Beat& aBeat, const LogOffsets& aOwn, TimePoint aAnswered);

  struct Request
  {
    std::uint64_t mIncarnation = 0;
    std::uint64_t mAskedAtNs = 0;
    TimePoint mReceived{};
  };

  std::string mSelf;
  std::uint64_t mIncarnation;
  std::map<std::string, Request> mRequests; ///< by node
  TimePoint mAsOf{};
  std::array<TimePoint, kFollowedLogs> mLogAsOf{};
};

} // namespace pepperbay
