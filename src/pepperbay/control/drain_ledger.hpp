/// @file
/// @brief Whether anybody may still have a request in progress on a generation of a replica.
#pragma once

#include "pepperbay/membership/roster.hpp"

#include <map>
#include <string>
#include <tuple>

namespace pepperbay {

/// What each node says of the replicas that it has closed. Pure.
///
/// A host leaves a replica only when every node has said, in its present incarnation, that it takes
/// no more work for that generation and has none in progress. A silent node counts until its
/// membership has lapsed and the longest deadline has passed: it may be cut off and working.
class DrainLedger
{
public:
  /// Replace what a peer said.
  void OnReports(const std::string& aNode, const proto::Heartbeat& aHeartbeat);

  /// A peer has started anew: what it said before no longer holds.
  void OnRestart(const std::string& aNode) { mReports.erase(aNode); }

  /// @param aDataCentre only its nodes route to its replicas
  bool Drained(const std::string& aReplica,
               std::uint64_t aGeneration,
               const Roster& aRoster,
               const std::string& aDataCentre,
               Duration aLongestWork,
               TimePoint aNow) const;

private:
  struct Key
  {
    std::string mReplica;
    std::uint64_t mGeneration;
    bool operator<(const Key& aOther) const
    {
      return std::tie(mReplica, mGeneration) < std::tie(aOther.mReplica, aOther.mGeneration);
    }
  };
  std::map<std::string, std::map<Key, std::uint32_t>> mReports;
};

} // namespace pepperbay
