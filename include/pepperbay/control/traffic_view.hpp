/// @file
/// @brief What the control thread tells the traffic threads: an immutable value, swapped whole.
#pragma once

#include "pepperbay/admission/admission.hpp"
#include "pepperbay/routing/router.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pepperbay {

/// One generation of one replica.
struct ReplicaKey
{
  std::string mReplica;
  std::uint64_t mGeneration = 0;
  bool operator<(const ReplicaKey& aOther) const
  {
    return std::tie(mReplica, mGeneration) < std::tie(aOther.mReplica, aOther.mGeneration);
  }
  bool operator==(const ReplicaKey& aOther) const
  {
    return mReplica == aOther.mReplica && mGeneration == aOther.mGeneration;
  }
};

struct TrafficView
{
  RoutingTable mRouting;
  std::map<std::string, PoolState> mPools; ///< by profile; also those without a whole replica
  std::set<std::string> mCustomers;
  /// Replicas that are known to have lost a member: attempts on them are over.
  std::set<ReplicaKey> mBroken;
  /// Entries of other data centres with room, by profile, nearest first.
  std::map<std::string, std::vector<std::string>> mSpill;
  bool mAccepts = false; ///< this node takes new requests
  std::string mWhyNot;   ///< when it does not
};

/// What the traffic threads tell the control thread.
struct TrafficReport
{
  /// By profile, then customer.
  std::map<std::string, std::map<std::string, CustomerUsage>> mUsage;
  FirstTokenTimes mFirstTokens;
};

} // namespace pepperbay
