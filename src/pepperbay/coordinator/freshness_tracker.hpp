/// @file
/// @brief Tracks how recent the configuration and the logs are according to other nodes. Pure.
///
/// A node that cannot reach the store does not know whether a key has been revoked since its last
/// read, and must refuse all requests with keys a few seconds later. Its peers often do reach the
/// store, and customers would notice a node that refuses what others serve. A peer's statement may
/// have been delayed and clocks differ, so an answer names the request that it answers: the peer's
/// view is at least as new as the time at which the request was sent, less the age that the peer
/// states.
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

  /// Handles a peer's heartbeat.
  /// @param aVersion version of the configuration in force here
  /// @param aOwn this node's next offset in each log
  void OnBeat(const proto::PeerMessage& aMessage,
              std::uint64_t aVersion,
              const LogOffsets& aOwn,
              TimePoint aNow);

  /// Adds the age of the configuration here to a heartbeat and, if `aAsk`, a request for freshness.
  /// @param aAsOf when the configuration here was certainly the newest
  void Fill(proto::Beat* aBeat, bool aAsk, TimePoint aAsOf, TimePoint aNow);
  /// @return whether a node has asked recently
  bool HasAsked(const std::string& aNode) const { return mRequests.count(aNode) != 0; }
  /// Adds the answer to a node's request.
  void Answer(const std::string& aNode, proto::Beat* aBeat, TimePoint aNow) const;

  /// @return when the configuration here was the newest, according to peers.
  TimePoint AsOf() const { return mAsOf; }
  /// @return when all records of a log were known here, according to peers.
  TimePoint LogAsOf(FollowedLog aLog) const { return mLogAsOf[static_cast<std::size_t>(aLog)]; }
  /// @return when a log last answered any node, according to peers, whether or not its records have
  /// come here; the zero time: not known.
  TimePoint LogAnsweredAt(FollowedLog aLog) const
  {
    return mLogAnsweredAt[static_cast<std::size_t>(aLog)];
  }

private:
  /// @param aAnswered a time at or before which the peer answered
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
  std::array<TimePoint, kFollowedLogs> mLogAnsweredAt{};
};

} // namespace pepperbay
