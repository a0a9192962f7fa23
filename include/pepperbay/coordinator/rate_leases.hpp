/// @file
/// @brief Which node counts the requests that go to engines with a limit. Pure.
///
/// A limit is one engine's and many nodes send there, so one node has to count, and two that count
/// at once would let twice the limit through. The holder of the pool's lease gives the right to
/// count for a while, by data centre of the engines, to the desk that grants the places there. A
/// holder that takes over gives none until those of the one before have run out.
#pragma once

#include "pepperbay/routing/traffic_plan.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pepperbay {

struct RateLeaseOptions
{
  /// Five heartbeats: a lost one must not end it, and while nobody counts nodes have only a small
  /// part of each limit.
  Duration mLength = std::chrono::milliseconds(1000);
  /// How much faster one clock may run than another.
  int mDriftPermille = 20;
  /// Of those who have asked within this time, one with more than twice as many followers goes
  /// first: a desk that one node follows must not keep the right from that of all others.
  Duration mContestWindow = std::chrono::milliseconds(600);
};

/// Who asks to count.
struct RateLeaseRequester
{
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::size_t mFollowers = 0; ///< nodes that it finds places for
};

/// The holder's account of what it has given.
///
/// @code
/// if (lease.Held()) { book.Begin(lease.Fence(), now); given = book.Give(asker, centres, now); }
/// @endcode
class RateLeaseTable
{
public:
  explicit RateLeaseTable(RateLeaseOptions aOptions = {});

  /// This node holds the pool's lease, in this tenure. What a former holder gave may still run.
  void Begin(std::uint64_t aFence, TimePoint aNow);
  /// Call it only while the lease is held.
  /// @return of the data centres, those in which the asker may count, for `Length()` from its
  /// question on
  std::vector<std::string> Grant(const RateLeaseRequester& aRequester,
                                 const std::vector<std::string>& aDataCentres,
                                 TimePoint aNow);
  Duration Length() const { return mOptions.mLength; }

private:
  struct Asked
  {
    std::size_t mFollowers = 0;
    TimePoint mAt{};
  };
  struct Entry
  {
    std::string mNode;
    std::uint64_t mIncarnation = 0;
    TimePoint mUntil{}; ///< by the slowest clock
    std::map<std::string, Asked> mRequesters;
  };

  /// @return by when a right that is given at a time has run out for certain.
  TimePoint EndOf(TimePoint aGranted) const;
  /// @return the most followers of those that have asked lately.
  std::size_t MaxFollowers(Entry* aEntry, TimePoint aNow) const;

  RateLeaseOptions mOptions;
  std::uint64_t mFence = 0;
  TimePoint mFrom{};                     ///< nothing is given before
  std::map<std::string, Entry> mEntries; ///< by data centre
};

/// A desk's account of what it has been given.
class HeldRateLeases
{
public:
  /// @param aAskedAt by this node's clock, as the answer names it
  void OnGranted(const std::vector<std::string>& aDataCentres,
                 TimePoint aAskedAt,
                 Duration aLength,
                 TimePoint aNow);
  /// @return what still runs.
  RateLeases Current(TimePoint aNow);

private:
  RateLeases mLeases;
};

} // namespace pepperbay
