/// @file
/// @brief Reading the log to its end, from the log itself or from a peer, and never backwards.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <pepperbay.pb.h>
#include <string>
#include <string_view>
#include <vector>

namespace pepperbay {

/// What the follower does to the fold.
struct FollowerHooks
{
  /// @return the first offset that is not folded.
  std::function<std::uint64_t()> mNext;
  /// Fold one record; called in offset order without gaps.
  std::function<void(std::uint64_t aOffset, const std::string& aBytes)> mApply;
  /// Replace the folded state by a newer one.
  std::function<void(const proto::Snapshot& aSnapshot)> mInstall;
};

struct FollowerOptions
{
  std::size_t mMaxRead = 512;                         ///< records in one read
  std::size_t mKeepBytes = std::size_t{ 512 } * 1024; ///< recent records kept for peers, in bytes
  std::size_t mMaxServe = 256;                        ///< records given to a peer in one message
  Duration mRetryFirst{ 100'000'000 };                ///< wait after a failed read; doubles
  Duration mRetryMost{ 1'000'000'000 };               ///< longest wait between reads that fail
  Duration mPeerFetchEvery{ 200'000'000 };            ///< shortest time between fetches from peers
};

/// One read to make of the log.
struct LogRead
{
  std::uint64_t mFrom = 0;
  std::size_t mMax = 0;
};

/// Decides what to read next and feeds the fold. Pure.
///
/// When retention has cut records that this node has not folded, it looks for the newest snapshot:
/// from a peer if one answers, else by reading the stream from its oldest record.
class Follower
{
public:
  Follower(FollowerOptions aOptions, FollowerHooks aHooks);

  /// @return true with the read to make now, when none is in flight.
  bool NextRead(TimePoint aNow, LogRead* aRead);

  /// The log's answer to the read.
  void OnRead(const proto::LogRecords& aRecords, TimePoint aNow);
  void OnReadFailed(TimePoint aNow);

  /// A peer says how far it has folded. @return true when records should be asked of it now.
  bool OnPeerApplied(std::uint64_t aApplied, TimePoint aNow);

  /// Records or a snapshot from a peer. Older ones than folded are ignored.
  void OnPeerRecords(const proto::Records& aRecords);
  void OnPeerSnapshot(const proto::Snapshot& aSnapshot);

  /// Recent records for a peer; empty when the first is no longer kept, and a snapshot is needed.
  proto::Records Serve(std::uint64_t aFrom) const;

  /// The log has been read to its end at least once, or this node's state came from a peer.
  bool CaughtUp() const { return mReachedEnd; }
  /// The last read succeeded.
  bool LogReachable() const { return mLogReachable; }
  /// When the last read succeeded.
  TimePoint LastRead() const { return mLastRead; }

private:
  void Take(std::uint64_t aFirst, int aCount, const std::function<const std::string&(int)>& aAt);
  void Keep(std::uint64_t aOffset, const std::string& aBytes);
  void SeekSnapshot(const proto::LogRecords& aRecords);

  struct Kept
  {
    std::uint64_t mOffset;
    std::string mBytes;
  };

  FollowerOptions mOptions;
  FollowerHooks mHooks;
  std::deque<Kept> mKept;
  std::size_t mKeptBytes = 0;
  bool mInFlight = false;
  bool mSeeking = false;
  std::uint64_t mSeekAt = 0;
  bool mReachedEnd = false;
  bool mLogReachable = false;
  int mFailures = 0;
  TimePoint mNotBefore{};
  TimePoint mLastRead{};
  TimePoint mNextPeerFetch{};
};

} // namespace pepperbay
