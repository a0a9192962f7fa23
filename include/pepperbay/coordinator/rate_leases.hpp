/// @file
/// @brief Which node counts the requests to engines with a rate limit. Pure.
///
/// A limit belongs to one engine and many nodes send there, so exactly one node must count; two
/// that count at once would let twice the limit through. The holder of the pool's lease grants rate
/// leases, by data centre of the engines, to the slot allocators there. A new holder grants none
/// until those of the previous holder have expired.
#pragma once

#include "pepperbay/routing/traffic_plan.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pepperbay {

struct RateLeaseOptions
{
  /// Five heartbeats: a lost one must not end the lease, and while no node counts, each node has
  /// only a small part of each limit.
  Duration mLength = std::chrono::milliseconds(1000);
  /// Maximum drift between two clocks.
  int mDriftPermille = 20;
  /// Of the nodes that asked within this time, one with more than twice as many followers has
  /// priority: an allocator that one node follows must not keep the lease from the one that all
  /// others follow.
  Duration mContestWindow = std::chrono::milliseconds(600);
};

/// A node that asks for rate leases.
struct RateLeaseRequester
{
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::size_t mFollowers = 0; ///< nodes for which it assigns slots
};

/// The lease holder's record of the rate leases that it has granted.
///
/// @code
/// if (lease.Held()) { table.Begin(lease.Fence(), now); granted = table.Grant(node, zones, now); }
/// @endcode
class RateLeaseTable
{
public:
  explicit RateLeaseTable(RateLeaseOptions aOptions = {});

  /// Starts a term in which this node holds the pool's lease. Rate leases of a former holder may
  /// still be valid.
  void Begin(std::uint64_t aFence, TimePoint aNow);
  /// Grants rate leases. Precondition: the pool's lease is held.
  /// @return those of the data centres whose requests the node may count, for `Length()` from the
  /// time of its request
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
    TimePoint mUntil{}; ///< expiry by the slowest clock
    std::map<std::string, Asked> mRequesters;
  };

  /// @return when a lease granted at this time has certainly expired.
  TimePoint EndOf(TimePoint aGranted) const;
  /// @return the largest number of followers among recent requesters.
  std::size_t MaxFollowers(Entry* aEntry, TimePoint aNow) const;

  RateLeaseOptions mOptions;
  std::uint64_t mFence = 0;
  TimePoint mFrom{};                     ///< no lease is granted before
  std::map<std::string, Entry> mEntries; ///< by data centre
};

/// The rate leases that a slot allocator holds.
class HeldRateLeases
{
public:
  /// @param aAskedAt time of the request by this node's clock, as echoed in the answer
  void OnGranted(const std::vector<std::string>& aDataCentres,
                 TimePoint aAskedAt,
                 Duration aLength,
                 TimePoint aNow);
  /// @return the leases that have not expired.
  RateLeases Current(TimePoint aNow);

private:
  RateLeases mLeases;
};

} // namespace pepperbay
