/// @file
/// @brief The lease holder's state of each replica, as numbered changes that any node can forward.
/// Pure.
///
/// Sent in full with every heartbeat, the states of 140 replicas were 6 kB to each of 295 nodes
/// five times a second. Changes take some tens of bytes when something happens, and a number in
/// each heartbeat shows which node has missed one.
#pragma once

#include "pepperbay/base/clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <pepperbay.pb.h>
#include <string>

namespace pepperbay {

/// @return whether two updates of one replica state the same.
bool
IsSameState(const proto::ReplicaNews& aLeft, const proto::ReplicaNews& aRight);

/// Tracks one term of the lease at a time. The holder writes; all other nodes apply what they
/// receive.
class UpdateTracker
{
public:
  /// Starts this node's term: nothing is known yet.
  void Begin(std::uint64_t aFence, TimePoint aNow);
  /// Records that the holder confirmed the present state of all replicas.
  void Confirm(TimePoint aNow) { mAsOf = aNow; }
  /// Records an update. @return whether it changes the replica's state; the update then gets a
  /// number
  bool Put(proto::ReplicaNews aUpdate);
  /// Removes the replicas for which `aIsKept` is false.
  void KeepOnly(const std::function<bool(const std::string& aGroup)>& aIsKept);

  enum class ApplyOutcome
  {
    kStale, ///< already known
    kApplied,
    kGap, ///< changes before these have not arrived
  };
  /// Applies changes that another node forwards.
  ApplyOutcome ApplyChanges(const proto::NewsChanges& aChanges, TimePoint aNow);
  /// Handles the number in another node's heartbeat. @return whether that node has changes that are
  /// unknown here
  bool OnNewest(const proto::Beat& aBeat, TimePoint aNow);

  /// @return the changes after `aChange`, bounded for one message; the complete state when older
  /// removals have been dropped.
  proto::NewsChanges Since(std::uint64_t aFence, std::uint64_t aChange, TimePoint aNow) const;

  std::uint64_t Fence() const { return mFence; }
  std::uint64_t Change() const { return mChange; }
  /// When the holder certainly confirmed this state, by this node's clock.
  TimePoint AsOf() const { return mAsOf; }
  /// By name; without removed replicas.
  const std::map<std::string, proto::ReplicaNews>& Replicas() const { return mReplicas; }

private:
  void Apply(const proto::ReplicaNews& aUpdate);

  std::uint64_t mFence = 0;
  std::uint64_t mChange = 0;
  TimePoint mAsOf{};
  std::map<std::string, proto::ReplicaNews> mReplicas;
  std::deque<proto::ReplicaNews> mRemovals; ///< the last removals, in order
  std::uint64_t mDroppedUpTo = 0;           ///< older removals have been dropped
};

} // namespace pepperbay
